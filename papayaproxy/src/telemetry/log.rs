//! Structured logs to standard output, written by a thread of their own.

use std::sync::OnceLock;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that wait for the writer at most; further ones are dropped and counted.
const LINES_MAX: usize = 8192;

static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// Writes the lines that wait when dropped.
pub struct LogGuard {
    _writer: WorkerGuard,
}

/// Log lines that were dropped because the writer could not keep up.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED.get().map_or(0, |c| c.dropped_lines() as u64)
}

fn writer() -> (NonBlocking, LogGuard) {
    let builder = NonBlockingBuilder::default().buffered_lines_limit(LINES_MAX).lossy(true);
    let (writer, guard) = builder.thread_name("log").finish(std::io::stdout());
    // A second log of one process is not opened, so its counter is not needed either.
    let _ = DROPPED.set(writer.error_counter());
    (writer, LogGuard { _writer: guard })
}

/// Form of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One readable line an event.
    #[default]
    Text,
    /// One JSON object an event.
    Json,
}

impl LogFormat {
    /// Reads `text` or `json`.
    ///
    /// # Errors
    /// Returns what was expected.
    pub fn parse(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("text or json".into()),
        }
    }
}

/// Opens the process' log. `filter` has the form of `RUST_LOG`; it was checked with the settings.
///
/// A second call in one process changes nothing, so that several roles can run in one.
///
/// Log lines that still wait are written when the guard is dropped.
#[must_use]
pub fn open_log(format: LogFormat, filter: &str) -> LogGuard {
    let (writer, guard) = writer();
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer);
    let _ = match format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    guard
}

/// Checks a log filter.
///
/// # Errors
/// Returns what was expected.
pub(crate) fn parse_filter(text: &str) -> Result<String, String> {
    match EnvFilter::try_new(text) {
        Ok(_) => Ok(text.to_owned()),
        Err(_) => Err("a log filter such as info or papayaproxy=debug".into()),
    }
}
