//! Complete replies and streams: numbered pieces, end markers, and recovery of broken streams.

pub(crate) mod assembler;
pub(crate) mod codes;
pub(crate) mod constants;
pub(crate) mod events;
pub(crate) mod progress;
pub(crate) mod resume;
pub(crate) mod shape;
pub(crate) mod splitter;

#[cfg(test)]
mod tests;

pub use assembler::{Assembler, Drops};
pub use progress::{EventAction, Progress};
pub use resume::{BreakCause, ModelRef, Recovery, RecoveryPlan, Replica};
pub use shape::{EventShape, event_shape};
pub use splitter::{EngineEvent, EventSplitter, TextPiece, read_event};
