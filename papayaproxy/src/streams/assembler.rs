//! Checks that the frames of one reply make up the whole of it, and belong to its call.

use super::codes;
use crate::base::code::Code;
use crate::wire::{CallTag, ReplyEnd};
use xxhash_rust::xxh3::Xxh3;

/// Counts of dropped pieces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Drops {
    /// Pieces that had been taken before.
    pub duplicate: u64,
    /// Pieces of another call.
    pub foreign: u64,
    /// Pieces after the end.
    pub late: u64,
}

/// Follows the pieces of one reply of one call.
pub struct Assembler {
    tag: CallTag,
    next: u64,
    length: u64,
    checksum: Xxh3,
    ended: bool,
    drops: Drops,
}

impl Assembler {
    /// Expects the first piece of the reply to `tag`.
    pub fn new(tag: CallTag) -> Self {
        Self {
            tag,
            next: 0,
            length: 0,
            checksum: Xxh3::new(),
            ended: false,
            drops: Drops::default(),
        }
    }

    /// Takes the piece numbered `sequence`. `Ok(false)` for a piece that is to be dropped: it came
    /// late, twice, or for another call.
    ///
    /// # Errors
    /// `PIECE_MISSING` where pieces before it did not come.
    pub fn accept_piece(&mut self, tag: CallTag, sequence: u64, data: &[u8]) -> Result<bool, Code> {
        if tag != self.tag {
            self.drops.foreign += 1;
            return Ok(false);
        }
        if self.ended {
            self.drops.late += 1;
            return Ok(false);
        }
        if sequence < self.next {
            self.drops.duplicate += 1;
            return Ok(false);
        }
        if sequence > self.next {
            return Err(codes::PIECE_MISSING);
        }
        self.next += 1;
        self.length += data.len() as u64;
        self.checksum.update(data);
        Ok(true)
    }

    /// Checks the end marker. `Ok(false)` for a marker that is to be dropped.
    ///
    /// # Errors
    /// `LENGTH_MISMATCH` or `CHECKSUM_MISMATCH`.
    pub fn accept_end(&mut self, tag: CallTag, end: &ReplyEnd) -> Result<bool, Code> {
        if tag != self.tag {
            self.drops.foreign += 1;
            return Ok(false);
        }
        if self.ended {
            self.drops.late += 1;
            return Ok(false);
        }
        if end.length != self.length {
            return Err(codes::LENGTH_MISMATCH);
        }
        if end.checksum != self.checksum.digest() {
            return Err(codes::CHECKSUM_MISMATCH);
        }
        self.ended = true;
        Ok(true)
    }

    /// Whether the reply is whole.
    pub fn is_complete(&self) -> bool {
        self.ended
    }

    /// What was dropped so far.
    pub fn drops(&self) -> Drops {
        self.drops
    }
}
