//! Explains how a request was routed from the log lines that contain its id.

use crate::base::event::Event;
use std::fmt::Write;

/// Returns the lines of `log` that contain the id `request`, each below the meaning of its event;
/// `None` if there are none.
pub(crate) fn explain(log: &str, request: &str) -> Option<String> {
    let mut text = String::new();
    for line in log.lines().filter(|l| has_request(l, request)) {
        let event = event_number(line).and_then(find_event);
        if let Some(event) = event {
            let _ = writeln!(text, "{} {}: {}", event.id, event.name, event.meaning);
        }
        let _ = writeln!(text, "    {}", line.trim());
    }
    (!text.is_empty()).then_some(text)
}

/// Whether a text or JSON line contains the request's id as a whole word.
fn has_request(line: &str, request: &str) -> bool {
    let mut words = line.split(|c: char| !c.is_ascii_alphanumeric());
    !request.is_empty() && words.any(|w| w == request)
}

fn event_number(line: &str) -> Option<u16> {
    let at = ["\"event\":", " event="].iter().find_map(|key| {
        let start = line.find(key)?;
        Some(start + key.len())
    })?;
    let rest = &line[at..];
    let end = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
    rest[..end].parse().ok()
}

fn find_event(id: u16) -> Option<&'static Event> {
    crate::EVENT_TABLES.iter().flat_map(|t| t.iter()).find(|e| e.id == id)
}
