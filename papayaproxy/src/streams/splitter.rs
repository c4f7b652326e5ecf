//! Splits an engine's server-sent event stream into events and decodes them.

use super::codes;
use super::constants::EVENT_BYTES_MAX;
use crate::base::code::Code;
use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Data of the last event in an engine's stream.
const DONE: &str = "[DONE]";

/// A decoded event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A piece of text.
    Piece(TextPiece),
    /// The stream is complete.
    Done,
    /// A comment or an event without data, sent to keep the connection alive.
    Idle,
}

/// A numbered piece of text.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct TextPiece {
    /// Position in the whole answer, from 0.
    pub index: u64,
    /// Generated text; may be empty.
    pub text: String,
}

/// Buffers the bytes of an event stream and returns whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes of the buffer that are known not to end an event.
    scanned: usize,
    /// Where the line begins that goes on at `scanned`.
    line_start: usize,
}

impl EventSplitter {
    /// Adds bytes in the order received from the engine.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Removes and returns the next whole event, including its blank line; `None` until more bytes
    /// are added.
    ///
    /// # Errors
    /// `EVENT_OVERSIZED` if the buffer exceeds [`EVENT_BYTES_MAX`] without a whole event.
    pub fn next_event(&mut self) -> Result<Option<Bytes>, Code> {
        match self.find_end() {
            Some(length) => {
                (self.scanned, self.line_start) = (0, 0);
                Ok(Some(self.buffer.split_to(length).freeze()))
            }
            None if self.buffer.len() > EVENT_BYTES_MAX => Err(codes::EVENT_OVERSIZED),
            None => Ok(None),
        }
    }

    /// Whether the buffer holds bytes of an event that is not whole yet.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards a partial event before the stream is read from another connection.
    pub fn reset(&mut self) {
        self.buffer.clear();
        (self.scanned, self.line_start) = (0, 0);
    }

    /// Length of the first whole event, including its blank line. Each byte is looked at once, however
    /// small the parts are in which an event arrives.
    fn find_end(&mut self) -> Option<usize> {
        for at in self.scanned..self.buffer.len() {
            if self.buffer[at] != b'\n' {
                continue;
            }
            let line = &self.buffer[self.line_start..at];
            if line.is_empty() || line == b"\r" {
                return Some(at + 1);
            }
            self.line_start = at + 1;
        }
        self.scanned = self.buffer.len();
        None
    }
}

/// Decodes one whole event.
///
/// # Errors
/// `EVENT_MALFORMED` if it is not a piece, the end of the stream or a comment.
pub fn read_event(raw: &[u8]) -> Result<EngineEvent, Code> {
    let text = std::str::from_utf8(raw).map_err(|_| codes::EVENT_MALFORMED)?;
    let fields = text.lines().filter(|l| !l.is_empty() && !l.starts_with(':'));
    let mut data = String::new();
    for line in fields {
        let value = line.strip_prefix("data:").ok_or(codes::EVENT_MALFORMED)?;
        data.push_str(value.strip_prefix(' ').unwrap_or(value));
    }
    match data.as_str() {
        "" => Ok(EngineEvent::Idle),
        DONE => Ok(EngineEvent::Done),
        json => {
            let piece = serde_json::from_str(json).map_err(|_| codes::EVENT_MALFORMED)?;
            Ok(EngineEvent::Piece(piece))
        }
    }
}
