//! Faults that a run brings about.

use std::time::Duration;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultKind {
    /// An engine makes no steps.
    Stall(usize),
    /// An engine answers errors at once.
    Errors(usize),
    /// One rank of the lock-step group is slow, and all its ranks with it.
    Straggler,
    /// The first zone is cut off from the others.
    Cut,
    /// No load report is sent.
    Freeze,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fault {
    pub kind: FaultKind,
    pub from: Duration,
    pub until: Duration,
}
