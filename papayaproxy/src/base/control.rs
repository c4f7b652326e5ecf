//! The control thread, which owns all control state of a process.

use tokio::runtime::{Builder, Handle};
use tokio_util::sync::{CancellationToken, DropGuard};

/// A running control thread: a current-thread runtime that owns all control state.
///
/// Dropping it stops the thread and the tasks on it.
pub struct Control {
    handle: Handle,
    _stop: DropGuard,
}

impl Control {
    /// Starts the thread.
    ///
    /// # Errors
    /// Returns the system's error if the runtime or the thread cannot be created.
    pub fn spawn() -> std::io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let body = move || runtime.block_on(stopped.cancelled());
        std::thread::Builder::new().name("control".into()).spawn(body)?;
        Ok(Self { handle, _stop: stop.drop_guard() })
    }

    /// Returns the runtime on which control tasks and actors are spawned.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }
}
