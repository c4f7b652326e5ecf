//! Circuit breaker: opens on too many errors and slow answers, and sends probes before it closes.

use super::constants::{
    ANSWERS_MIN, BAD_RATIO, BAD_STREAK, BUCKETS, FIRST_WAIT, GOOD_PROBES, LONGEST_WAIT,
    UNPROBED_WAITS, WAIT_RESET, WINDOW,
};
use crate::settings::{Reader, SettingRow, parse_duration};
use std::time::Duration;

const SECTION: &str = "circuit";

/// Rows of these settings, for the reference page.
pub const SETTINGS: &[SettingRow] = &[
    SettingRow {
        section: SECTION,
        key: "bad_percent",
        default: Some("50"),
        meaning: "a percentage of errors and slow answers that opens a circuit, from 1 to 100",
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

/// Thresholds and times of a circuit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CircuitSettings {
    /// Fraction of errors and slow answers that opens it, from 0 to 1.
    pub bad_ratio: f64,
    /// Errors and slow answers in a row that open it.
    pub bad_streak: u32,
    /// Time open before the first probe.
    pub first_wait: Duration,
    /// Longest time open before a probe; the wait doubles with each failed probe and each closing.
    pub longest_wait: Duration,
}

impl Default for CircuitSettings {
    fn default() -> Self {
        Self {
            bad_ratio: BAD_RATIO,
            bad_streak: BAD_STREAK,
            first_wait: FIRST_WAIT,
            longest_wait: LONGEST_WAIT,
        }
    }
}

impl CircuitSettings {
    /// Reads the settings; `None` if one is invalid, which the reader reports.
    pub fn read(reader: &mut Reader) -> Option<Self> {
        let percent = reader.value(SECTION, "bad_percent", parse_percent);
        let first_wait = reader.value(SECTION, "first_wait", parse_duration);
        let longest_wait = reader.value(SECTION, "longest_wait", parse_duration);
        Some(Self {
            bad_ratio: f64::from(percent?) / 100.0,
            bad_streak: BAD_STREAK,
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
    /// All requests pass.
    Closed,
    /// No request passes until the wait is over.
    Open,
    /// One probe at a time passes.
    HalfOpen,
}

impl CircuitState {
    /// Name of the state in log lines.
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

/// Circuit breaker of one upstream.
#[derive(Clone, Debug)]
pub struct Circuit {
    settings: CircuitSettings,
    state: CircuitState,
    changed_at: Duration,
    wait: Duration,
    buckets: [Bucket; BUCKETS],
    bad_streak: u32,
    good_probes: u32,
    is_probing: bool,
}

impl Circuit {
    /// Creates a closed circuit.
    pub fn new(settings: CircuitSettings) -> Self {
        Self {
            settings,
            state: CircuitState::Closed,
            changed_at: Duration::ZERO,
            wait: settings.first_wait,
            buckets: [Bucket::default(); BUCKETS],
            bad_streak: 0,
            good_probes: 0,
            is_probing: false,
        }
    }

    /// Current state.
    pub fn state(&self) -> CircuitState {
        self.state
    }

    /// When the state last changed; zero if it never did.
    pub fn changed_at(&self) -> Duration {
        self.changed_at
    }

    /// Whether a request may pass at `now`.
    pub fn allows(&self, now: Duration) -> bool {
        match self.state {
            CircuitState::Closed => true,
            CircuitState::Open => now >= self.changed_at + self.wait,
            CircuitState::HalfOpen => !self.is_probing,
        }
    }

    /// Whether a request that cannot be a probe may pass at `now`: only where none has come that can.
    pub fn allows_unprobed(&self, now: Duration) -> bool {
        match self.state {
            CircuitState::Closed => true,
            CircuitState::Open => now >= self.changed_at + self.wait * UNPROBED_WAITS,
            CircuitState::HalfOpen => false,
        }
    }

    /// Records that a request passes that cannot be a probe. If that ends the wait for one, the circuit
    /// closes, and opens again as usual.
    pub fn start_unprobed(&mut self, now: Duration) {
        if self.state == CircuitState::Open {
            self.wait = (self.wait * 2).min(self.settings.longest_wait);
            self.set_state(CircuitState::Closed, now);
        }
    }

    /// Delay after which a request may pass. The end of a probe is unknown, so a half-open circuit
    /// gives the first wait.
    pub fn retry_after(&self, now: Duration) -> Duration {
        match self.state {
            CircuitState::Closed => Duration::ZERO,
            CircuitState::Open => (self.changed_at + self.wait).saturating_sub(now),
            CircuitState::HalfOpen => self.settings.first_wait,
        }
    }

    /// Records that a request passes; returns whether it is a probe.
    pub fn start_attempt(&mut self, now: Duration) -> bool {
        if self.state == CircuitState::Open && self.allows(now) {
            self.set_state(CircuitState::HalfOpen, now);
        }
        let is_probe = self.state == CircuitState::HalfOpen && !self.is_probing;
        self.is_probing |= is_probe;
        is_probe
    }

    /// Counts an answer; `is_good` is false for an error or a slow answer. Returns whether the
    /// circuit should open, which is left to the caller and [`Circuit::open`].
    #[must_use]
    pub fn record_answer(&mut self, is_good: bool, is_probe: bool, now: Duration) -> bool {
        if is_probe {
            return self.record_probe(is_good, now);
        }
        if self.state != CircuitState::Closed {
            return false;
        }
        self.count(is_good, now);
        self.bad_streak = if is_good { 0 } else { self.bad_streak + 1 };
        !is_good && (self.bad_streak >= self.settings.bad_streak || self.exceeds_ratio(now))
    }

    /// Opens the circuit for its wait times `jitter`, which keeps processes that opened theirs together
    /// from probing together. After a long time closed, the wait before a probe starts anew.
    pub fn open_jittered(&mut self, jitter: f64, now: Duration) {
        self.open(now);
        self.wait = self.wait.mul_f64(jitter).min(self.settings.longest_wait);
    }

    /// Opens the circuit. After a long time closed, the wait before a probe starts anew.
    pub fn open(&mut self, now: Duration) {
        if self.state == CircuitState::Closed && now.saturating_sub(self.changed_at) >= WAIT_RESET {
            self.wait = self.settings.first_wait;
        }
        self.set_state(CircuitState::Open, now);
    }

    /// Records that an attempt ended without a result that counts, so that another probe may pass.
    pub fn release_probe(&mut self, is_probe: bool) {
        if is_probe {
            self.is_probing = false;
        }
    }

    fn record_probe(&mut self, is_good: bool, now: Duration) -> bool {
        self.is_probing = false;
        if self.state != CircuitState::HalfOpen {
            return false;
        }
        if !is_good {
            self.wait = (self.wait * 2).min(self.settings.longest_wait);
            return true;
        }
        self.good_probes += 1;
        if self.good_probes >= GOOD_PROBES {
            self.wait = (self.wait * 2).min(self.settings.longest_wait);
            self.set_state(CircuitState::Closed, now);
        }
        false
    }

    fn set_state(&mut self, state: CircuitState, now: Duration) {
        self.state = state;
        self.changed_at = now;
        self.good_probes = 0;
        self.bad_streak = 0;
        self.is_probing = false;
        self.buckets = [Bucket::default(); BUCKETS];
    }

    fn count(&mut self, is_good: bool, now: Duration) {
        let number = bucket_number(now);
        let bucket = &mut self.buckets[number as usize % BUCKETS];
        if bucket.number != number {
            *bucket = Bucket { number, ..Bucket::default() };
        }
        if is_good {
            bucket.good += 1;
        } else {
            bucket.bad += 1;
        }
    }

    fn exceeds_ratio(&self, now: Duration) -> bool {
        let oldest = (bucket_number(now) + 1).saturating_sub(BUCKETS as u64);
        let recent = || self.buckets.iter().filter(|b| b.number >= oldest);
        let bad: u32 = recent().map(|b| b.bad).sum();
        let total: u32 = recent().map(|b| b.good + b.bad).sum();
        total >= ANSWERS_MIN && f64::from(bad) >= self.settings.bad_ratio * f64::from(total)
    }
}

fn bucket_number(now: Duration) -> u64 {
    let width = WINDOW.as_millis() as u64 / BUCKETS as u64;
    now.as_millis() as u64 / width
}
