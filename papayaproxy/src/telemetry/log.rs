//! Structured logs to standard error.

use tracing_subscriber::EnvFilter;

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
pub fn open_log(format: LogFormat, filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let _ = match format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
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
