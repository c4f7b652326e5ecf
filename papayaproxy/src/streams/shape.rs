//! Tells what a whole event of a numbered stream is, from the names of its fields.

/// What a whole event is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventShape {
    /// Only comments, which keep the connection alive.
    Comment,
    /// One event with this id.
    Numbered(u64),
    /// An event whose id is missing or not a number.
    Unnumbered,
    /// No single event: parts of two, or only a part of one, as after a spoiled line end.
    Torn,
}

/// The shape of a whole event, including its blank line.
///
/// Fields with names other than those of the event stream format may stand first.
pub fn event_shape(raw: &[u8]) -> EventShape {
    let (mut id, mut has_id, mut has_data, mut has_other) = (None, false, false, false);
    let mut is_interrupted = false;
    for line in raw.split(|b| *b == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            continue;
        }
        let name = line.split(|b| *b == b':').next().unwrap_or_default();
        match name {
            b"" => is_interrupted |= has_data,
            b"id" if has_id => return EventShape::Torn,
            b"id" => {
                has_id = true;
                let value = line.get(name.len() + 1..).unwrap_or_default();
                id = std::str::from_utf8(value).ok().and_then(|v| v.trim().parse().ok());
            }
            b"data" if is_interrupted => return EventShape::Torn,
            b"data" => has_data = true,
            b"event" | b"retry" => has_other = true,
            _ if has_id || has_data => return EventShape::Torn,
            _ => has_other = true,
        }
    }
    match id {
        Some(id) if has_data => EventShape::Numbered(id),
        Some(_) => EventShape::Torn,
        None if has_id || has_data || has_other => EventShape::Unnumbered,
        None => EventShape::Comment,
    }
}
