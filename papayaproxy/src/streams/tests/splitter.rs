//! Tests of event streams and of an answer's progress.

use super::super::codes;
use super::super::progress::{EventAction, Progress};
use super::super::splitter::{EngineEvent, EventSplitter, TextPiece, read_event};
use crate::base::code::Code;
use rstest::rstest;

fn piece(index: u64, text: &str) -> EngineEvent {
    EngineEvent::Piece(TextPiece { index, text: text.into() })
}

#[rstest]
#[case::piece("data: {\"index\":0,\"text\":\"pear \"}\n\n", Ok(piece(0, "pear ")))]
#[case::crlf("data: {\"index\":1,\"text\":\"\"}\r\n\r\n", Ok(piece(1, "")))]
#[case::done("data: [DONE]\n\n", Ok(EngineEvent::Done))]
#[case::comment(": alive\n\n", Ok(EngineEvent::Idle))]
#[case::no_index("data: {\"text\":\"x\"}\n\n", Err(codes::EVENT_MALFORMED))]
#[case::other_field("event: error\n\n", Err(codes::EVENT_MALFORMED))]
fn read_event_kinds(#[case] raw: &str, #[case] expected: Result<EngineEvent, Code>) {
    assert_eq!(read_event(raw.as_bytes()), expected);
}

#[test]
fn splitter_every_split() {
    let whole = b"data: a\n\ndata: b\r\n\r\n: c\n\n";
    for split in 0..whole.len() {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for part in [&whole[..split], &whole[split..]] {
            splitter.push(part);
            while let Some(event) = splitter.next_event().unwrap() {
                events.push(event);
            }
        }
        assert_eq!(events.concat(), whole, "split at {split}");
        assert_eq!(events.len(), 3, "split at {split}");
    }
}

#[test]
fn splitter_oversized_event() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; 65 << 10]);
    assert_eq!(splitter.next_event(), Err(codes::EVENT_OVERSIZED));
}

#[test]
fn progress_duplicate_and_gap() {
    let mut progress = Progress::default();
    assert_eq!(progress.accept(&piece(0, "a")), Ok(EventAction::Forward));
    assert_eq!(progress.accept(&piece(0, "a")), Ok(EventAction::Drop));
    assert_eq!(progress.accept(&piece(2, "c")), Err(codes::PIECE_MISSING));
    assert_eq!(progress.accept(&piece(1, "b")), Ok(EventAction::Forward));
    assert_eq!((progress.prior(), progress.pieces(), progress.duplicates()), (Ok("ab"), 2, 1));
    assert_eq!(progress.accept(&EngineEvent::Done), Ok(EventAction::Complete));
    assert!(progress.is_complete());
}

#[test]
fn progress_from_prior() {
    let mut progress = Progress::from_prior("ab", 2);
    assert_eq!(progress.accept(&piece(2, "c")), Ok(EventAction::Forward));
    assert_eq!((progress.prior(), progress.pieces()), (Ok("abc"), 3));
}

#[test]
fn progress_oversized_text() {
    let mut progress = Progress::default();
    progress.accept(&piece(0, &"x".repeat((1 << 20) + 1))).unwrap();
    assert_eq!(progress.prior(), Err(codes::PRIOR_OVERSIZED));
}
