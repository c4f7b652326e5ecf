//! Checks that the pieces of a reply fit together.

use super::codes;
use crate::base::code::Code;
use crate::wire::ReplyEnd;
use xxhash_rust::xxh3::Xxh3;

/// What came of a reply so far.
pub(crate) struct Verifier {
    sequence: u64,
    length: u64,
    checksum: Xxh3,
}

impl Verifier {
    pub(crate) fn new() -> Self {
        Self { sequence: 0, length: 0, checksum: Xxh3::new() }
    }

    /// Takes the next piece.
    ///
    /// # Errors
    /// `REPLY_CORRUPT` if a piece is missing or repeated.
    pub(crate) fn piece(&mut self, sequence: u64, data: &[u8]) -> Result<(), Code> {
        if sequence != self.sequence {
            return Err(codes::REPLY_CORRUPT);
        }
        self.sequence += 1;
        self.length += data.len() as u64;
        self.checksum.update(data);
        Ok(())
    }

    /// Checks the end.
    ///
    /// # Errors
    /// `REPLY_CORRUPT` if length or checksum differ.
    pub(crate) fn end(&self, end: &ReplyEnd) -> Result<(), Code> {
        let fits = end.length == self.length && end.checksum == self.checksum.digest();
        if fits { Ok(()) } else { Err(codes::REPLY_CORRUPT) }
    }
}
