//! Circuit breaker: opens by the ratio of errors and slow answers, and probes before it closes.

use super::constants::{
    ANSWERS_MIN, BAD_RATIO, BAD_ROW, BUCKETS, CALM, GOOD_PROBES, OPEN_FIRST, OPEN_MAX, WINDOW,
};
use crate::settings::{Reader, SettingRow, parse_duration};
use std::time::Duration;

const SECTION: &str = "circuit";

/// The settings of circuits, for the table in the docs.
pub const SETTINGS: &[SettingRow] = &[
    SettingRow {
        section: SECTION,
        key: "bad_percent",
        default: Some("50"),
        meaning: "a part of errors and slow answers that opens a circuit, from 1 to 100 percent",
    },
    SettingRow {
        section: SECTION,
        key: "first_wait",
        default: Some("2s"),
        meaning: "a duration before the first probe of an open circuit",
    },
    SettingRow {
        section: SECTION,
        key: "longest_wait",
        default: Some("30s"),
        meaning: "the longest duration before a probe of an open circuit",
    },
];

/// When a circuit opens and when it is probed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CircuitSettings {
    /// Part of errors and slow answers that opens it, from 0 to 1.
    pub bad_ratio: f64,
    /// Time before the first probe.
    pub first_wait: Duration,
    /// Longest time before a probe.
    pub longest_wait: Duration,
}

impl Default for CircuitSettings {
    fn default() -> Self {
        Self { bad_ratio: BAD_RATIO, first_wait: OPEN_FIRST, longest_wait: OPEN_MAX }
    }
}

impl CircuitSettings {
    /// Reads the settings; `None` if one is wrong, which the reader then reports.
    pub fn read(reader: &mut Reader) -> Option<Self> {
        let percent = reader.value(SECTION, "bad_percent", parse_percent);
        let first_wait = reader.value(SECTION, "first_wait", parse_duration);
        let longest_wait = reader.value(SECTION, "longest_wait", parse_duration);
        Some(Self {
            bad_ratio: f64::from(percent?) / 100.0,
            first_wait: first_wait?,
            longest_wait: longest_wait?,
        })
    }
}

fn parse_percent(text: &str) -> Result<u8, String> {
    let value = text.parse().ok().filter(|p| (1..=100).contains(p));
    value.ok_or_else(|| "a whole number from 1 to 100".into())
}

/// The state of a circuit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CircuitState {
    /// Requests pass.
    Closed,
    /// Nothing passes until the wait is over.
    Open,
    /// One probe at a time passes.
    HalfOpen,
}

impl CircuitState {
    /// The state as it stands in a log line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Open => "open",
            Self::HalfOpen => "half-open",
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    good: u32,
    bad: u32,
}

/// The circuit of one upstream.
#[derive(Clone, Debug)]
pub struct Circuit {
    settings: CircuitSettings,
    state: CircuitState,
    changed_at: Duration,
    wait: Duration,
    buckets: [Bucket; BUCKETS],
    bad_row: u32,
    good_probes: u32,
    probing: bool,
}

impl Circuit {
    /// Makes a closed circuit.
    pub fn new(settings: CircuitSettings) -> Self {
        Self {
            settings,
            state: CircuitState::Closed,
            changed_at: Duration::ZERO,
            wait: settings.first_wait,
            buckets: [Bucket::default(); BUCKETS],
            bad_row: 0,
            good_probes: 0,
            probing: false,
        }
    }

    /// Its state.
    pub fn state(&self) -> CircuitState {
        self.state
    }

    /// When its state last changed.
    pub fn changed_at(&self) -> Duration {
        self.changed_at
    }

    /// Tells whether a request may pass at `now`.
    pub fn allows(&self, now: Duration) -> bool {
        match self.state {
            CircuitState::Closed => true,
            CircuitState::Open => now >= self.changed_at + self.wait,
            CircuitState::HalfOpen => !self.probing,
        }
    }

    /// Time until a request may pass.
    pub fn retry_after(&self, now: Duration) -> Duration {
        match self.state {
            CircuitState::Closed => Duration::ZERO,
            CircuitState::Open => (self.changed_at + self.wait).saturating_sub(now),
            CircuitState::HalfOpen => self.settings.first_wait,
        }
    }

    /// Notes that a request passes; returns whether it is a probe.
    pub fn start_attempt(&mut self, now: Duration) -> bool {
        if self.state == CircuitState::Open && self.allows(now) {
            self.change(CircuitState::HalfOpen, now);
        }
        let probe = self.state == CircuitState::HalfOpen && !self.probing;
        self.probing |= probe;
        probe
    }

    /// Counts an answer; `good` is false for an error or a slow one. Returns whether the circuit
    /// is due to open, which [`Circuit::open`] then does.
    #[must_use]
    pub fn record_answer(&mut self, good: bool, probe: bool, now: Duration) -> bool {
        if probe {
            return self.probed(good, now);
        }
        if self.state != CircuitState::Closed {
            return false;
        }
        self.count(good, now);
        self.bad_row = if good { 0 } else { self.bad_row + 1 };
        !good && (self.bad_row >= BAD_ROW || self.is_bad(now))
    }

    /// Opens a circuit that is due to.
    pub fn open(&mut self, now: Duration) {
        if self.state == CircuitState::Closed && now.saturating_sub(self.changed_at) >= CALM {
            self.wait = self.settings.first_wait;
        }
        self.change(CircuitState::Open, now);
    }

    /// Notes that an attempt ended without saying anything of the upstream.
    pub fn release_probe(&mut self, probe: bool) {
        if probe {
            self.probing = false;
        }
    }

    fn probed(&mut self, good: bool, now: Duration) -> bool {
        self.probing = false;
        if self.state != CircuitState::HalfOpen {
            return false;
        }
        if !good {
            self.wait = (self.wait * 2).min(self.settings.longest_wait);
            return true;
        }
        self.good_probes += 1;
        if self.good_probes >= GOOD_PROBES {
            self.wait = (self.wait * 2).min(self.settings.longest_wait);
            self.change(CircuitState::Closed, now);
        }
        false
    }

    fn change(&mut self, state: CircuitState, now: Duration) {
        self.state = state;
        self.changed_at = now;
        self.good_probes = 0;
        self.bad_row = 0;
        self.probing = false;
        self.buckets = [Bucket::default(); BUCKETS];
    }

    fn count(&mut self, good: bool, now: Duration) {
        let number = bucket_number(now);
        let bucket = &mut self.buckets[number as usize % BUCKETS];
        if bucket.number != number {
            *bucket = Bucket { number, ..Bucket::default() };
        }
        if good {
            bucket.good += 1;
        } else {
            bucket.bad += 1;
        }
    }

    fn is_bad(&self, now: Duration) -> bool {
        let oldest = (bucket_number(now) + 1).saturating_sub(BUCKETS as u64);
        let recent = || self.buckets.iter().filter(|b| b.number >= oldest);
        let bad: u32 = recent().map(|b| b.bad).sum();
        let all: u32 = recent().map(|b| b.good + b.bad).sum();
        all >= ANSWERS_MIN && f64::from(bad) >= self.settings.bad_ratio * f64::from(all)
    }
}

fn bucket_number(now: Duration) -> u64 {
    let width = WINDOW.as_millis() as u64 / BUCKETS as u64;
    now.as_millis() as u64 / width
}
