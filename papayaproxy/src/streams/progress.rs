//! How far an answer of a model has come, over all engines that worked on it.

use super::codes;
use super::constants::PRIOR_BYTES_MAX;
use super::splitter::EngineEvent;
use crate::base::code::Code;

/// What is to be done with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventAction {
    /// Pass it on to the caller.
    Forward,
    /// It was passed on before, or says nothing.
    Drop,
    /// The answer is whole.
    Complete,
}

/// The pieces of one answer that the caller has been given.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    next: u64,
    text: String,
    oversized: bool,
    repeated: u64,
    whole: bool,
}

impl Progress {
    /// Goes on after `pieces` pieces that the caller brought itself, with their text.
    pub fn from_prior(prior: &str, pieces: u64) -> Self {
        let mut progress = Self { next: pieces, ..Self::default() };
        progress.keep(prior);
        progress
    }

    /// Takes an event of the engine that works on the answer now.
    ///
    /// # Errors
    /// `PIECE_MISSING` where pieces before it did not come.
    pub fn accept(&mut self, event: &EngineEvent) -> Result<EventAction, Code> {
        let piece = match event {
            EngineEvent::Idle => return Ok(EventAction::Drop),
            EngineEvent::Done => {
                self.whole = true;
                return Ok(EventAction::Complete);
            }
            EngineEvent::Piece(piece) => piece,
        };
        if self.whole || piece.index < self.next {
            self.repeated += 1;
            return Ok(EventAction::Drop);
        }
        if piece.index > self.next {
            return Err(codes::PIECE_MISSING);
        }
        self.next += 1;
        self.keep(&piece.text);
        Ok(EventAction::Forward)
    }

    /// Number of pieces that the caller has been given.
    pub fn pieces(&self) -> u64 {
        self.next
    }

    /// Their text, for another replica to go on after.
    ///
    /// # Errors
    /// `PRIOR_OVERSIZED` once it has become too long to be kept.
    pub fn prior(&self) -> Result<&str, Code> {
        if self.oversized { Err(codes::PRIOR_OVERSIZED) } else { Ok(&self.text) }
    }

    /// Whether the end has come.
    pub fn is_complete(&self) -> bool {
        self.whole
    }

    /// Pieces that were dropped because they had been taken before.
    pub fn repeated(&self) -> u64 {
        self.repeated
    }

    fn keep(&mut self, text: &str) {
        self.oversized |= self.text.len() + text.len() > PRIOR_BYTES_MAX;
        if self.oversized {
            self.text = String::new();
        } else {
            self.text.push_str(text);
        }
    }
}
