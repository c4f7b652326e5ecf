//! Checks that the frames of a reply belong to its call and are complete and unaltered.

use super::codes;
use crate::base::code::Code;
use crate::wire::{CallTag, ReplyEnd};
use xxhash_rust::xxh3::Xxh3;

/// Number of dropped pieces and end markers, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Drops {
    /// Pieces that were accepted before.
    pub duplicate: u64,
    /// Pieces and end markers of another call.
    pub foreign: u64,
    /// Pieces and end markers after the accepted end.
    pub late: u64,
}

/// Verifies the pieces and the end marker of the reply to one call.
pub struct Assembler {
    tag: CallTag,
    /// Number of the next expected piece.
    next_sequence: u64,
    /// Bytes accepted so far.
    length: u64,
    checksum: Xxh3,
    is_complete: bool,
    drops: Drops,
}

impl Assembler {
    /// Starts before the first piece of the reply to the call `tag`.
    pub fn new(tag: CallTag) -> Self {
        Self {
            tag,
            next_sequence: 0,
            length: 0,
            checksum: Xxh3::new(),
            is_complete: false,
            drops: Drops::default(),
        }
    }

    /// Accepts the piece numbered `sequence`. `Ok(false)` if the piece must be dropped: it is late, a
    /// duplicate, or of another call.
    ///
    /// # Errors
    /// `PIECE_MISSING` if pieces before it have not arrived.
    pub fn accept_piece(&mut self, tag: CallTag, sequence: u64, data: &[u8]) -> Result<bool, Code> {
        if tag != self.tag {
            self.drops.foreign += 1;
            return Ok(false);
        }
        if self.is_complete {
            self.drops.late += 1;
            return Ok(false);
        }
        if sequence < self.next_sequence {
            self.drops.duplicate += 1;
            return Ok(false);
        }
        if sequence > self.next_sequence {
            return Err(codes::PIECE_MISSING);
        }
        self.next_sequence += 1;
        self.length += data.len() as u64;
        self.checksum.update(data);
        Ok(true)
    }

    /// Checks the end marker. `Ok(false)` if the marker must be dropped: it is late or of another
    /// call.
    ///
    /// # Errors
    /// `LENGTH_MISMATCH` or `CHECKSUM_MISMATCH` if the accepted pieces do not match the marker.
    pub fn accept_end(&mut self, tag: CallTag, end: &ReplyEnd) -> Result<bool, Code> {
        if tag != self.tag {
            self.drops.foreign += 1;
            return Ok(false);
        }
        if self.is_complete {
            self.drops.late += 1;
            return Ok(false);
        }
        if end.length != self.length {
            return Err(codes::LENGTH_MISMATCH);
        }
        if end.checksum != self.checksum.digest() {
            return Err(codes::CHECKSUM_MISMATCH);
        }
        self.is_complete = true;
        Ok(true)
    }

    /// Whether the end marker has arrived and matched all pieces.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Counts of what was dropped so far.
    pub fn drops(&self) -> Drops {
        self.drops
    }
}
