//! Settings of this slice.

use super::constants::{LINGER, MOVE_AFTER, STOP_LIMIT};
use crate::settings::{Reader, SettingRow, parse_duration};
use std::time::Duration;

/// The section of the settings file.
const SECTION: &str = "drain";

/// The settings that this slice reads.
pub const SETTINGS: &[SettingRow] = &[
    SettingRow {
        section: SECTION,
        key: "move_after",
        default: Some("20s"),
        meaning: "a duration from the start of leaving after which streams move to other replicas",
    },
    SettingRow {
        section: SECTION,
        key: "stop_limit",
        default: Some("620s"),
        meaning: "a duration that a stopping process waits at most for work in progress",
    },
    SettingRow {
        section: SECTION,
        key: "linger",
        default: Some("3s"),
        meaning: "a duration for which a stopping process goes on answering, so that those who \
                  send to it have heard",
    },
];

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSettings {
    /// From then on, counted from the start of leaving, streams are moved.
    pub move_after: Duration,
    /// A stopping process waits no longer than this.
    pub stop_limit: Duration,
    /// A stopping process answers at least for so long.
    pub linger: Duration,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self { move_after: MOVE_AFTER, stop_limit: STOP_LIMIT, linger: LINGER }
    }
}

impl DrainSettings {
    /// Reads the section `drain`; `None` where something is missing, which the reader reports.
    pub fn read(reader: &mut Reader) -> Option<Self> {
        let move_after = reader.value(SECTION, "move_after", parse_duration);
        let stop_limit = reader.value(SECTION, "stop_limit", parse_duration);
        let linger = reader.value(SECTION, "linger", parse_duration);
        Some(Self { move_after: move_after?, stop_limit: stop_limit?, linger: linger? })
    }
}
