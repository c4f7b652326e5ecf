//! Settings of this slice.

use super::constants::{KEYS_MAX, REPLY_BYTES_MAX, RETENTION, START_LIFE, WORKSPACE_KEYS_MAX};
use crate::settings::{Reader, SettingRow, parse_duration, parse_size};
use std::time::Duration;

/// The section of the settings file.
const SECTION: &str = "keys";

/// The settings that this slice reads.
pub const SETTINGS: &[SettingRow] = &[
    SettingRow {
        section: SECTION,
        key: "start_life",
        default: Some("600s"),
        meaning: "a duration after its issue in which an idempotency key may start",
    },
    SettingRow {
        section: SECTION,
        key: "retention",
        default: Some("600s"),
        meaning: "a duration for which the outcome of a finished key is kept at least",
    },
    SettingRow {
        section: SECTION,
        key: "keys_max",
        default: Some("200000"),
        meaning: "keys that an agent issues within the time for which it keeps them",
    },
    SettingRow {
        section: SECTION,
        key: "workspace_max",
        default: Some("50000"),
        meaning: "of these, keys that one workspace may have",
    },
    SettingRow {
        section: SECTION,
        key: "reply_bytes_max",
        default: Some("16MiB"),
        meaning: "a size in bytes of the replies that an agent keeps for repeated calls",
    },
];

/// Limits of an agent's key state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeySettings {
    /// Time after its issue in which a key may start.
    pub start_life: Duration,
    /// Least time for which an outcome is kept after the end.
    pub retention: Duration,
    /// Keys that are issued within [`KeySettings::keep`].
    pub keys_max: usize,
    /// Of these, keys of one workspace.
    pub workspace_max: usize,
    /// Bytes of replies that are kept.
    pub reply_bytes_max: usize,
}

impl Default for KeySettings {
    fn default() -> Self {
        Self {
            start_life: START_LIFE,
            retention: RETENTION,
            keys_max: KEYS_MAX,
            workspace_max: WORKSPACE_KEYS_MAX,
            reply_bytes_max: REPLY_BYTES_MAX,
        }
    }
}

impl KeySettings {
    /// Reads the section `keys`; `None` where something is missing, which the reader reports.
    pub fn read(reader: &mut Reader) -> Option<Self> {
        let start_life = reader.value(SECTION, "start_life", parse_duration);
        let retention = reader.value(SECTION, "retention", parse_duration);
        let keys_max = reader.parsed(SECTION, "keys_max", "a number of keys");
        let workspace_max = reader.parsed(SECTION, "workspace_max", "a number of keys");
        let bytes = reader.value(SECTION, "reply_bytes_max", parse_size);
        Some(Self {
            start_life: start_life?,
            retention: retention?,
            keys_max: keys_max?,
            workspace_max: workspace_max?,
            reply_bytes_max: usize::try_from(bytes?).ok()?,
        })
    }

    /// Time since a key's issue for which the absence of a record proves that it never started.
    pub fn keep(&self) -> Duration {
        self.start_life + self.retention
    }
}
