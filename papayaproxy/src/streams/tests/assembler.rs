//! Tests of reply assembly, some of them randomised.

use super::super::assembler::Assembler;
use super::super::codes;
use crate::base::code::Code;
use crate::base::name::Incarnation;
use crate::wire::{CallTag, ReplyEnd};
use proptest::prelude::*;
use rstest::rstest;
use xxhash_rust::xxh3::xxh3_64;

const TAG: CallTag = CallTag { caller: Incarnation(1), call: 5, workspace: 9 };

fn end_of(content: &[u8]) -> ReplyEnd {
    let checksum = xxh3_64(content);
    ReplyEnd { length: content.len() as u64, checksum, code: Code(0) }
}

#[rstest]
#[case::caller(CallTag { caller: Incarnation(2), ..TAG })]
#[case::call(CallTag { call: 6, ..TAG })]
#[case::workspace(CallTag { workspace: 8, ..TAG })]
fn accept_piece_of_other_call(#[case] other: CallTag) {
    let mut assembler = Assembler::new(TAG);
    assert_eq!(assembler.accept_piece(other, 0, b"x"), Ok(false));
    assert_eq!(assembler.accept_end(other, &end_of(b"")), Ok(false));
    assert_eq!(assembler.drops().foreign, 2);
    assert!(!assembler.is_complete());
}

#[test]
fn accept_end_wrong_length_and_checksum() {
    let mut assembler = Assembler::new(TAG);
    assert_eq!(assembler.accept_piece(TAG, 0, b"pear"), Ok(true));
    assert_eq!(assembler.accept_piece(TAG, 2, b"s"), Err(codes::PIECE_MISSING));
    assert_eq!(assembler.accept_piece(TAG, 0, b"pear"), Ok(false));
    assert_eq!(assembler.drops().duplicate, 1);
    assert_eq!(assembler.accept_end(TAG, &end_of(b"pears")), Err(codes::LENGTH_MISMATCH));
    assert_eq!(assembler.accept_end(TAG, &end_of(b"peas")), Err(codes::CHECKSUM_MISMATCH));
    assert_eq!(assembler.accept_end(TAG, &end_of(b"pear")), Ok(true));
    assert_eq!(assembler.accept_piece(TAG, 1, b"s"), Ok(false));
    assert_eq!(assembler.drops().late, 1);
}

proptest! {
    /// A reply that is accepted as complete equals the sent one, whichever frames are duplicated,
    /// lost or of another call.
    #[test]
    fn assembler_complete_only_if_equal(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..8), 0..12),
        steps in prop::collection::vec((0usize..14, 0u8..4), 0..40),
    ) {
        let sent: Vec<u8> = pieces.concat();
        let mut received = Vec::new();
        let mut assembler = Assembler::new(TAG);
        for (i, kind) in steps {
            let tag = if kind == 0 { CallTag { call: 77, ..TAG } } else { TAG };
            let Some(piece) = pieces.get(i) else {
                if assembler.accept_end(tag, &end_of(&sent)) == Ok(true) {
                    prop_assert_eq!(&received, &sent);
                }
                continue;
            };
            if assembler.accept_piece(tag, i as u64, piece) == Ok(true) {
                received.extend_from_slice(piece);
            }
            prop_assert!(sent.starts_with(&received));
        }
        prop_assert!(!assembler.is_complete() || received == sent);
    }
}
