//! Tests of splitting, fetching and rebuilding a document.

use super::document::{SAMPLE, large_text};
use crate::fleet::{Chunks, Document, Fetch, Progress, answer, parse, rebuild};
use bytes::Bytes;
use std::time::Duration;

const NOW: Duration = Duration::ZERO;

/// Fetches `to` while `from` is in force; returns the texts and the received bytes.
fn fetch(from: &Document, to: &Chunks) -> (Vec<Bytes>, usize) {
    let mut fetch = Fetch::start(to.version, &Chunks::of(from));
    let mut request = fetch.next_request(NOW);
    for _ in 0..1000 {
        for chunk in answer(to, &request) {
            if let Progress::Complete(texts) = fetch.accept(&chunk) {
                return (texts, fetch.received_bytes());
            }
        }
        request = fetch.next_request(NOW);
    }
    panic!("the fetch did not complete");
}

#[test]
fn rebuild_equal() {
    let document = parse(SAMPLE).unwrap();
    assert_eq!(rebuild(&Chunks::of(&document).texts).unwrap(), document);
}

#[test]
fn fetch_from_nothing() {
    let document = parse(&large_text()).unwrap();
    let (texts, _) = fetch(&Document::default(), &Chunks::of(&document));
    assert_eq!(rebuild(&texts).unwrap(), document);
}

#[test]
fn fetch_one_change_moves_little() {
    let before = parse(&large_text()).unwrap();
    let mut after = before.clone();
    after.generation += 1;
    after.workspaces[7].share = 5;
    let after = after.sealed();
    let (texts, moved) = fetch(&before, &Chunks::of(&after));
    assert_eq!(rebuild(&texts).unwrap(), after);
    assert!(moved < 16 << 10, "{moved} bytes");
}

#[test]
fn fetch_altered_piece() {
    let document = parse(SAMPLE).unwrap();
    let chunks = Chunks::of(&document);
    let mut fetch = Fetch::start(chunks.version, &Chunks::of(&Document::default()));
    let mut broken = false;
    for _ in 0..20 {
        let request = fetch.next_request(NOW);
        for mut chunk in answer(&chunks, &request) {
            let mut content = chunk.content.to_vec();
            content.iter_mut().for_each(|b| *b ^= 1);
            chunk.content = content.into();
            broken |= fetch.accept(&chunk) == Progress::Broken;
        }
    }
    assert!(broken);
}

#[test]
fn fetch_unanswered() {
    let document = parse(SAMPLE).unwrap();
    let mut fetch = Fetch::start(document.version(), &Chunks::default());
    let mut now = NOW;
    while !fetch.has_failed(now) {
        assert!(now < Duration::from_secs(5));
        if fetch.is_overdue(now) {
            fetch.next_request(now);
        }
        now += Duration::from_millis(50);
    }
}
