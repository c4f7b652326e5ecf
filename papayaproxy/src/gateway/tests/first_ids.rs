//! Which events a run may begin with.

use crate::base::name::Name;
use crate::gateway::constants::FIRST_ID_RUNS;
use crate::gateway::first_ids::FirstIds;

fn name(text: &str) -> Name {
    text.into()
}

#[test]
fn accepts_unlearned_any() {
    let mut first_ids = FirstIds::default();
    assert!(first_ids.accepts(&name("s"), &name("a"), 4));
    first_ids.learn(&name("s"), 1);
    assert!(first_ids.accepts(&name("other"), &name("a"), 4));
}

/// One replica that spoils its ids again and again never changes what is learned.
#[test]
fn accepts_one_upstream_other_refused() {
    let mut first_ids = FirstIds::default();
    first_ids.learn(&name("s"), 1);
    for _ in 0..9 {
        assert!(!first_ids.accepts(&name("s"), &name("a"), 4));
        assert!(first_ids.accepts(&name("s"), &name("b"), 1));
    }
}

/// A service that numbers its events anew is served again after a few refused runs.
#[test]
fn accepts_numbered_anew_learned() {
    let mut first_ids = FirstIds::default();
    first_ids.learn(&name("s"), 1);
    for _ in 1..FIRST_ID_RUNS {
        assert!(!first_ids.accepts(&name("s"), &name("a"), 0));
    }
    assert!(first_ids.accepts(&name("s"), &name("b"), 0));
    assert!(first_ids.accepts(&name("s"), &name("a"), 0));
    assert!(!first_ids.accepts(&name("s"), &name("a"), 1));
}

/// A sound run in between shows that the numbers are as before.
#[test]
fn learn_between_others_forgotten() {
    let mut first_ids = FirstIds::default();
    first_ids.learn(&name("s"), 1);
    for _ in 0..FIRST_ID_RUNS {
        assert!(!first_ids.accepts(&name("s"), &name("a"), 4));
        first_ids.learn(&name("s"), 1);
        assert!(!first_ids.accepts(&name("s"), &name("b"), 4));
        first_ids.learn(&name("s"), 1);
    }
}

#[test]
fn retain_removed_service_forgotten() {
    let mut first_ids = FirstIds::default();
    first_ids.learn(&name("s"), 1);
    first_ids.retain(|s| s.as_str() != "s");
    assert!(first_ids.accepts(&name("s"), &name("a"), 4));
}
