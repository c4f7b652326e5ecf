//! Settings of draining: the section `drain`.

use super::constants::{LINGER, MOVE_AFTER, STOP_LIMIT};
use crate::settings::{Reader, SettingRow, parse_duration};
use std::time::Duration;

const SECTION: &str = "drain";

/// The rows of the section `drain`.
pub const SETTINGS: &[SettingRow] = &[
    SettingRow {
        section: SECTION,
        key: "move_after",
        default: Some("20s"),
        meaning: "a duration from the start of leaving after which streams are moved to other replicas",
    },
    SettingRow {
        section: SECTION,
        key: "stop_limit",
        default: Some("620s"),
        meaning: "a duration for which a stopping process waits at most for work in progress",
    },
    SettingRow {
        section: SECTION,
        key: "linger",
        default: Some("3s"),
        meaning: "a duration for which a stopping process keeps answering, so that its callers learn \
                  of the stop",
    },
];

/// Time limits of draining and stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSettings {
    /// Time from the start of leaving after which streams are moved to other replicas.
    pub move_after: Duration,
    /// Longest time for which a stopping process waits for work in progress.
    pub stop_limit: Duration,
    /// Shortest time for which a stopping process keeps answering.
    pub linger: Duration,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self { move_after: MOVE_AFTER, stop_limit: STOP_LIMIT, linger: LINGER }
    }
}

impl DrainSettings {
    /// Reads the section `drain`; `None` if a value is missing or invalid, as the reader reports.
    pub fn read(reader: &mut Reader) -> Option<Self> {
        let move_after = reader.value(SECTION, "move_after", parse_duration);
        let stop_limit = reader.value(SECTION, "stop_limit", parse_duration);
        let linger = reader.value(SECTION, "linger", parse_duration);
        Some(Self { move_after: move_after?, stop_limit: stop_limit?, linger: linger? })
    }
}
