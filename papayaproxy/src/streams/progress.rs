//! Progress of a model's answer, across all engines that have generated parts of it.

use super::codes;
use super::constants::PRIOR_BYTES_MAX;
use super::splitter::EngineEvent;
use crate::base::code::Code;

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventAction {
    /// Forward it to the caller.
    Forward,
    /// Do not forward it: it is a duplicate or has no content.
    Drop,
    /// Forward it: it ends the answer, which is complete.
    Complete,
}

/// The pieces of one answer that were forwarded to the caller.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Index of the next expected piece.
    next_index: u64,
    /// Text of the forwarded pieces; empty once it is oversized.
    text: String,
    is_oversized: bool,
    duplicates: u64,
    is_complete: bool,
}

impl Progress {
    /// Starts after `pieces` pieces that the caller already has, with their text `prior`.
    pub fn from_prior(prior: &str, pieces: u64) -> Self {
        let mut progress = Self { next_index: pieces, ..Self::default() };
        progress.append(prior);
        progress
    }

    /// Accepts an event of the engine that currently generates the answer.
    ///
    /// # Errors
    /// `PIECE_MISSING` if pieces before it have not arrived.
    pub fn accept(&mut self, event: &EngineEvent) -> Result<EventAction, Code> {
        let piece = match event {
            EngineEvent::Idle => return Ok(EventAction::Drop),
            EngineEvent::Done => {
                self.is_complete = true;
                return Ok(EventAction::Complete);
            }
            EngineEvent::Piece(piece) => piece,
        };
        if self.is_complete || piece.index < self.next_index {
            self.duplicates += 1;
            return Ok(EventAction::Drop);
        }
        if piece.index > self.next_index {
            return Err(codes::PIECE_MISSING);
        }
        self.next_index += 1;
        self.append(&piece.text);
        Ok(EventAction::Forward)
    }

    /// Number of pieces forwarded to the caller, including those it had at the start.
    pub fn pieces(&self) -> u64 {
        self.next_index
    }

    /// Text of the forwarded pieces, from which another replica can continue.
    ///
    /// # Errors
    /// `PRIOR_OVERSIZED` once the text has exceeded [`PRIOR_BYTES_MAX`].
    pub fn prior(&self) -> Result<&str, Code> {
        if self.is_oversized { Err(codes::PRIOR_OVERSIZED) } else { Ok(&self.text) }
    }

    /// Whether the engine has ended the answer.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Number of dropped pieces: duplicates, and pieces after the end of the answer.
    pub fn duplicates(&self) -> u64 {
        self.duplicates
    }

    fn append(&mut self, text: &str) {
        self.is_oversized |= self.text.len() + text.len() > PRIOR_BYTES_MAX;
        if self.is_oversized {
            self.text = String::new();
        } else {
            self.text.push_str(text);
        }
    }
}
