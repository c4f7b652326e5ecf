//! Settings of the `[log]` section.

use super::reader::{Reader, SettingRow};
use crate::telemetry::log::{LogFormat, LogGuard, open_log, parse_filter};

/// Rows of the log settings.
pub(crate) const ROWS: &[SettingRow] = &[
    SettingRow { section: "log", key: "format", default: Some("text"), meaning: "text or json" },
    SettingRow {
        section: "log",
        key: "filter",
        default: Some("info"),
        meaning: "log filter such as info or papayaproxy=debug",
    },
];

/// The validated log settings.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Format of log lines.
    pub format: LogFormat,
    /// Filter directives, such as `info` or `papayaproxy=debug`.
    pub filter: String,
}

impl LogSettings {
    /// Reads the settings; `None` if one is invalid, which the reader reports.
    pub fn read(reader: &mut Reader) -> Option<Self> {
        let format = reader.value("log", "format", LogFormat::parse);
        let filter = reader.value("log", "filter", parse_filter);
        Some(Self { format: format?, filter: filter? })
    }

    /// Opens the process log; dropping the guard flushes it.
    #[must_use]
    pub fn open(&self) -> LogGuard {
        open_log(self.format, &self.filter)
    }
}
