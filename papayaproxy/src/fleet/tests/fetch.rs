//! Tests of chunks and of fetching them.

use super::document::{SAMPLE, large_text};
use crate::fleet::{Chunks, Document, Fetch, Progress, answer, parse, rebuild};
use bytes::Bytes;
use std::time::Duration;

const NOW: Duration = Duration::ZERO;

/// Fetches `to` while `from` is in force; gives the texts and the bytes that were moved.
fn fetch(from: &Document, to: &Chunks) -> (Vec<Bytes>, usize) {
    let mut fetch = Fetch::start(to.version, &Chunks::of(from));
    let mut ask = fetch.ask(NOW);
    for _ in 0..1000 {
        for piece in answer(to, &ask) {
            if let Progress::Complete(texts) = fetch.take(&piece) {
                return (texts, fetch.fetched());
            }
        }
        ask = fetch.ask(NOW);
    }
    panic!("the fetch does not end");
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
        let ask = fetch.ask(NOW);
        for mut piece in answer(&chunks, &ask) {
            let mut content = piece.content.to_vec();
            content.iter_mut().for_each(|b| *b ^= 1);
            piece.content = content.into();
            broken |= fetch.take(&piece) == Progress::Broken;
        }
    }
    assert!(broken);
}

#[test]
fn fetch_unanswered() {
    let document = parse(SAMPLE).unwrap();
    let mut fetch = Fetch::start(document.version(), &Chunks::default());
    let mut now = NOW;
    while !fetch.is_hopeless(now) {
        assert!(now < Duration::from_secs(5));
        if fetch.is_overdue(now) {
            fetch.ask(now);
        }
        now += Duration::from_millis(50);
    }
}
