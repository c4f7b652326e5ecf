//! Settings of this slice.

use super::constants::{KEYS_MAX, REPLY_BYTES_MAX, RETENTION, START_LIFE, WORKSPACE_KEYS_MAX};
use crate::settings::{Reader, SettingRow, parse_duration, parse_size};
use std::time::Duration;

/// Section of the settings file.
const SECTION: &str = "keys";

/// Settings of idempotency keys.
pub const SETTINGS: &[SettingRow] = &[
    SettingRow {
        section: SECTION,
        key: "start_life",
        default: Some("600s"),
        meaning: "a duration after its issue within which an idempotency key may start",
    },
    SettingRow {
        section: SECTION,
        key: "retention",
        default: Some("600s"),
        meaning: "a minimum duration for which the outcome of a finished key is stored",
    },
    SettingRow {
        section: SECTION,
        key: "keys_max",
        default: Some("200000"),
        meaning: "maximum number of keys that an agent issues within start_life plus retention",
    },
    SettingRow {
        section: SECTION,
        key: "workspace_max",
        default: Some("50000"),
        meaning: "of these, the maximum number of keys of one workspace",
    },
    SettingRow {
        section: SECTION,
        key: "reply_bytes_max",
        default: Some("16MiB"),
        meaning: "a maximum size in bytes of the replies that an agent stores for repeated calls",
    },
];

/// Limits of an agent's key state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeySettings {
    /// Time after its issue within which a key may start.
    pub start_life: Duration,
    /// Minimum time for which an outcome is stored after the request ended.
    pub retention: Duration,
    /// Maximum number of keys issued within [`KeySettings::proof_span`].
    pub keys_max: usize,
    /// The same for one workspace.
    pub workspace_max: usize,
    /// Maximum size of all stored replies, in bytes.
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
    /// Reads the section `keys`; `None` if a value is missing or invalid, which the reader reports.
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

    /// Time since a key's issue during which the absence of a record proves that it never started.
    pub fn proof_span(&self) -> Duration {
        self.start_life + self.retention
    }
}
