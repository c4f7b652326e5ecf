//! Settings of routing.

use super::constants::{CACHE_HALF_LIFE, REGION_PENALTY, SLOW_START, ZONE_PENALTY};
use crate::limits::CircuitSettings;
use crate::settings::{Reader, SettingRow, parse_duration};
use std::time::Duration;

const SECTION: &str = "routing";

/// The settings of routing, for the table in the docs.
pub const SETTINGS: &[SettingRow] = &[
    SettingRow {
        section: SECTION,
        key: "zone_penalty",
        default: Some("15ms"),
        meaning: "a duration that is added to the score of another zone of the own region",
    },
    SettingRow {
        section: SECTION,
        key: "region_penalty",
        default: Some("150ms"),
        meaning: "a duration that is added to the score of another region",
    },
    SettingRow {
        section: SECTION,
        key: "cache_half_life",
        default: Some("60s"),
        meaning: "a duration in which trust in a cached prefix halves",
    },
    SettingRow {
        section: SECTION,
        key: "slow_start",
        default: Some("10s"),
        meaning: "a duration in which a new or returning upstream comes up to its full part",
    },
];

/// Checked settings of routing.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Score added for another zone of the own region.
    pub zone_penalty: Duration,
    /// Score added for another region.
    pub region_penalty: Duration,
    /// Time in which trust in a cached prefix halves.
    pub half_life: Duration,
    /// Time in which an upstream comes up to its full part.
    pub slow_start: Duration,
    /// When the circuit of an upstream opens.
    pub circuit: CircuitSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            zone_penalty: ZONE_PENALTY,
            region_penalty: REGION_PENALTY,
            half_life: CACHE_HALF_LIFE,
            slow_start: SLOW_START,
            circuit: CircuitSettings::default(),
        }
    }
}

impl Settings {
    /// Reads the settings; `None` if one is wrong, which the reader then reports.
    pub fn read(reader: &mut Reader) -> Option<Self> {
        let zone_penalty = reader.value(SECTION, "zone_penalty", parse_duration);
        let region_penalty = reader.value(SECTION, "region_penalty", parse_duration);
        let half_life = reader.value(SECTION, "cache_half_life", parse_positive);
        let slow_start = reader.value(SECTION, "slow_start", parse_duration);
        let circuit = CircuitSettings::read(reader);
        Some(Self {
            zone_penalty: zone_penalty?,
            region_penalty: region_penalty?,
            half_life: half_life?,
            slow_start: slow_start?,
            circuit: circuit?,
        })
    }
}

fn parse_positive(text: &str) -> Result<Duration, String> {
    let value = parse_duration(text)?;
    if value.is_zero() {
        return Err("a duration above zero".into());
    }
    Ok(value)
}
