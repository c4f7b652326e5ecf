//! Splits an engine's event stream into whole events.

use super::codes;
use super::constants::EVENT_BYTES_MAX;
use crate::base::code::Code;
use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// The last event of an engine's stream.
const DONE: &str = "[DONE]";

/// One event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A piece of text.
    Piece(TextPiece),
    /// The stream is whole.
    Done,
    /// A comment or an empty event, which keeps the connection alive.
    Idle,
}

/// A numbered piece of text.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct TextPiece {
    /// Number of the piece in the whole answer, from 0.
    pub index: u64,
    /// Its text.
    pub text: String,
}

/// Collects bytes until they make up whole events, and gives those.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Adds bytes as they came from the engine.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// The next whole event, with its blank line; `None` until more bytes have come.
    ///
    /// # Errors
    /// `EVENT_OVERSIZED` for an event without an end.
    pub fn next_event(&mut self) -> Result<Option<Bytes>, Code> {
        match blank_line(&self.buffer) {
            Some(end) => Ok(Some(self.buffer.split_to(end).freeze())),
            None if self.buffer.len() > EVENT_BYTES_MAX => Err(codes::EVENT_OVERSIZED),
            None => Ok(None),
        }
    }

    /// Whether an event has begun that is not whole.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Forgets a partial event, before the stream is taken up from another connection.
    pub fn reset(&mut self) {
        self.buffer.clear();
    }
}

/// Reads one whole event.
///
/// # Errors
/// `EVENT_MALFORMED` for anything but a piece, the end or a comment.
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

/// Length of the first event with its blank line.
fn blank_line(buffer: &[u8]) -> Option<usize> {
    let mut start = 0;
    for (i, byte) in buffer.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buffer[start..i];
        if line.is_empty() || line == b"\r" {
            return Some(i + 1);
        }
        start = i + 1;
    }
    None
}

/// The id of a whole event, as its line `id:` gives it.
pub fn event_id(raw: &[u8]) -> Option<u64> {
    let line = raw.split(|b| *b == b'\n').find_map(|l| l.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
