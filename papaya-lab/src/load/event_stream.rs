//! Reads an event stream as its bytes come in.

/// Name of an event that has none of its own.
const NAME_DEFAULT: &str = "message";

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct StreamEvent {
    pub(crate) name: String,
    pub(crate) data: String,
}

/// Bytes that do not make a whole event yet.
#[derive(Debug, Default)]
pub(crate) struct EventReader {
    rest: Vec<u8>,
}

impl EventReader {
    /// Takes bytes and gives the events that they complete.
    pub(crate) fn take(&mut self, bytes: &[u8]) -> Vec<StreamEvent> {
        self.rest.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.rest.windows(2).position(|w| w == b"\n\n") {
            let block: Vec<u8> = self.rest.drain(..end + 2).collect();
            events.push(parse(&String::from_utf8_lossy(&block)));
        }
        events
    }

    /// Whether an event has begun and not ended.
    pub(crate) fn is_partial(&self) -> bool {
        !self.rest.is_empty()
    }
}

fn parse(block: &str) -> StreamEvent {
    let mut event = StreamEvent { name: NAME_DEFAULT.to_owned(), data: String::new() };
    for line in block.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => event.name = value.to_owned(),
            "data" => event.data.push_str(value),
            _ => {}
        }
    }
    event
}
