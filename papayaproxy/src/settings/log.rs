//! Settings of the log.

use super::reader::{Reader, SettingRow};
use crate::telemetry::log::{LogFormat, LogGuard, open_log, parse_filter};

/// Rows of the settings of the log.
pub(crate) const ROWS: &[SettingRow] = &[
    SettingRow { section: "log", key: "format", default: Some("text"), meaning: "text or json" },
    SettingRow {
        section: "log",
        key: "filter",
        default: Some("info"),
        meaning: "log filter such as info or papayaproxy=debug",
    },
];

/// The checked settings of the log.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Form of log lines.
    pub format: LogFormat,
    /// Log filter.
    pub filter: String,
}

impl LogSettings {
    /// Reads the settings; `None` if one is wrong, which the reader then reports.
    pub fn read(reader: &mut Reader) -> Option<Self> {
        let format = reader.value("log", "format", LogFormat::parse);
        let filter = reader.value("log", "filter", parse_filter);
        Some(Self { format: format?, filter: filter? })
    }

    /// Opens the process' log, which is whole once the guard is dropped.
    #[must_use]
    pub fn open(&self) -> LogGuard {
        open_log(self.format, &self.filter)
    }
}
