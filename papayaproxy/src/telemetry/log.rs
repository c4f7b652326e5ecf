//! Structured logs to standard output, written by a dedicated thread.

use std::sync::OnceLock;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Most lines buffered for the writer thread; further lines are dropped and counted.
const BUFFERED_LINES_MAX: usize = 8192;

static DROPPED_LINES: OnceLock<ErrorCounter> = OnceLock::new();

/// Writes the buffered lines when dropped.
pub struct LogGuard {
    _writer: WorkerGuard,
}

/// Log lines that were dropped because the writer could not keep up.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED_LINES.get().map_or(0, |c| c.dropped_lines() as u64)
}

fn open_writer() -> (NonBlocking, LogGuard) {
    let builder =
        NonBlockingBuilder::default().buffered_lines_limit(BUFFERED_LINES_MAX).lossy(true);
    let (writer, guard) = builder.thread_name("log").finish(std::io::stdout());
    // Only the first log of a process is installed, so the counter of a second one is not needed.
    let _ = DROPPED_LINES.set(writer.error_counter());
    (writer, LogGuard { _writer: guard })
}

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One human-readable line per event.
    #[default]
    Text,
    /// One JSON object per event.
    Json,
}

impl LogFormat {
    /// Parses `text` or `json`.
    ///
    /// # Errors
    /// The expected form, for the message about an invalid setting.
    pub fn parse(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("text or json".into()),
        }
    }
}

/// Installs the log of the process. `filter` has the syntax of `RUST_LOG`; an invalid one counts as
/// `info`.
///
/// Only the first call in a process has an effect, so that several roles can share a process.
///
/// Buffered log lines are written when the guard is dropped.
#[must_use]
pub fn open_log(format: LogFormat, filter: &str) -> LogGuard {
    let (writer, guard) = open_writer();
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer);
    let _ = match format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    guard
}

/// Validates a log filter and returns it unchanged.
///
/// # Errors
/// The expected form, for the message about an invalid setting.
pub(crate) fn parse_filter(text: &str) -> Result<String, String> {
    match EnvFilter::try_new(text) {
        Ok(_) => Ok(text.to_owned()),
        Err(_) => Err("a log filter such as info or papayaproxy=debug".into()),
    }
}
