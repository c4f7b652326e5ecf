//! Restarts tasks that must run for as long as the process does.

use super::events;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio_util::task::AbortOnDropHandle;

/// Delay before a failed task is started again, so that one that fails at once does not spin.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Runs the task that `start` returns until it ends. A panic, such as one caused by a message that
/// nobody expected, is logged and the task started again: without it the process would run on, but
/// no longer do its work. Must run on a `LocalSet`.
pub(crate) async fn restart_on_panic<F>(name: &'static str, mut start: impl FnMut() -> F)
where
    F: Future<Output = ()> + 'static,
{
    loop {
        match AbortOnDropHandle::new(spawn_local(start())).await {
            Err(error) if error.is_panic() => {
                tracing::error!(event = events::TASK_FAILED, task = name, %error, "task failed");
            }
            _ => return,
        }
        tokio::time::sleep(RESTART_DELAY).await;
    }
}
