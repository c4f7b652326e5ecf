//! Tests of names, digests and the tables of result codes and events.

use super::digest::Digest;
use super::name::is_name;
use rstest::rstest;
use std::collections::HashSet;

#[rstest]
#[case::plain("assistant-1", true)]
#[case::dotted("pear.7b_v2", true)]
#[case::empty("", false)]
#[case::upper("Assistant", false)]
#[case::space("a b", false)]
#[case::leading_dash("-a", false)]
fn is_name_forms(#[case] text: &str, #[case] expected: bool) {
    assert_eq!(is_name(text), expected);
}

#[test]
fn digest_round_trip() {
    let digest = Digest::of(b"pears");
    assert_eq!(Digest::parse(&digest.to_string()), Some(digest));
    assert_eq!(Digest::parse("xyz"), None);
}

#[test]
fn code_table_numbers_unique() {
    let mut seen = HashSet::new();
    for row in crate::CODE_TABLES.iter().flat_map(|t| t.iter()) {
        assert!(seen.insert(row.code), "{} is declared twice", row.code);
        assert!((100..600).contains(&row.status), "{} has an invalid HTTP status", row.code);
    }
}

#[test]
fn event_table_ids_unique() {
    let mut seen = HashSet::new();
    for row in crate::EVENT_TABLES.iter().flat_map(|t| t.iter()) {
        assert!(seen.insert(row.id), "the id of {} is declared twice", row.name);
    }
}

/// One unexpected message must not end the work of a process that runs on.
#[tokio::test(start_paused = true)]
async fn restart_on_panic_started_again() {
    let starts = std::rc::Rc::new(std::cell::Cell::new(0));
    let counted = starts.clone();
    let start = move || {
        counted.set(counted.get() + 1);
        let number = counted.get();
        async move { assert!(number > 2, "unexpected message") }
    };
    let local = tokio::task::LocalSet::new();
    local.run_until(super::supervise::restart_on_panic("test", start)).await;
    assert_eq!(starts.get(), 3);
}
