//! Numbered log events.

/// One row of the catalogue of log events.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// Number, written as the `event` field of a log line.
    pub id: u16,
    /// Symbolic name, as in docs/events.md.
    pub name: &'static str,
    /// When the event is logged and which fields it has.
    pub meaning: &'static str,
}

/// Declares the log events of a slice: a constant number for each, and the slice's `ROWS`.
///
/// An event is logged as `tracing::info!(event = events::NAME, field = value, "text")`.
macro_rules! events {
    ($($name:ident = $number:literal, $meaning:literal;)*) => {
        $(#[doc = $meaning] pub(crate) const $name: u16 = $number;)*
        /// The slice's rows of the catalogue of events.
        pub(crate) const ROWS: &[$crate::base::event::Event] = &[
            $($crate::base::event::Event {
                id: $number,
                name: stringify!($name),
                meaning: $meaning,
            },)*
        ];
    };
}
pub(crate) use events;
