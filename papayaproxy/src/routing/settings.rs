//! Settings of routing.

use super::constants::{CACHE_HALF_LIFE, REGION_PENALTY, SLOW_START, ZONE_PENALTY};
use crate::limits::CircuitSettings;
use crate::settings::{Reader, SettingRow, parse_duration};
use std::time::Duration;

const SECTION: &str = "routing";

/// Setting rows of routing.
pub const SETTINGS: &[SettingRow] = &[
    SettingRow {
        section: SECTION,
        key: "zone_penalty",
        default: Some("15ms"),
        meaning: "a duration added to the score of upstreams in other zones of the same region",
    },
    SettingRow {
        section: SECTION,
        key: "region_penalty",
        default: Some("150ms"),
        meaning: "a duration added to the score of upstreams in other regions",
    },
    SettingRow {
        section: SECTION,
        key: "cache_half_life",
        default: Some("60s"),
        meaning: "a duration above zero in which the tokens expected of a cached prefix halve",
    },
    SettingRow {
        section: SECTION,
        key: "slow_start",
        default: Some("10s"),
        meaning: "a duration over which the share of a new or recovered upstream grows to its full value",
    },
];

/// Validated settings of routing.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Score added for upstreams in other zones of the same region.
    pub zone_penalty: Duration,
    /// Score added for upstreams in other regions.
    pub region_penalty: Duration,
    /// Time in which the tokens expected of a cached prefix halve; above zero.
    pub cache_half_life: Duration,
    /// Time over which the share of a new or recovered upstream grows to its full value.
    pub slow_start: Duration,
    /// Settings of the circuit of each upstream.
    pub circuit: CircuitSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            zone_penalty: ZONE_PENALTY,
            region_penalty: REGION_PENALTY,
            cache_half_life: CACHE_HALF_LIFE,
            slow_start: SLOW_START,
            circuit: CircuitSettings::default(),
        }
    }
}

impl Settings {
    /// Reads the settings; `None` if one is invalid, which the reader reports.
    pub fn read(reader: &mut Reader) -> Option<Self> {
        let zone_penalty = reader.value(SECTION, "zone_penalty", parse_duration);
        let region_penalty = reader.value(SECTION, "region_penalty", parse_duration);
        let cache_half_life = reader.value(SECTION, "cache_half_life", parse_positive_duration);
        let slow_start = reader.value(SECTION, "slow_start", parse_duration);
        let circuit = CircuitSettings::read(reader);
        Some(Self {
            zone_penalty: zone_penalty?,
            region_penalty: region_penalty?,
            cache_half_life: cache_half_life?,
            slow_start: slow_start?,
            circuit: circuit?,
        })
    }
}

fn parse_positive_duration(text: &str) -> Result<Duration, String> {
    let value = parse_duration(text)?;
    if value.is_zero() {
        return Err("a duration above zero".into());
    }
    Ok(value)
}
