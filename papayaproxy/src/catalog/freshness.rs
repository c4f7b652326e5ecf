//! Tracks when the configuration was last confirmed to be the store's newest.

use super::constants::{OVERDUE_MIN, PEER_GAP_MAX};
use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Time since the host booted, including time spent suspended.
///
/// A confirmation has to age while the host is suspended; the monotonic clock stops then.
pub(crate) fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}

/// Latest time of which an answer that is read at `now` may tell: it was given once the store had
/// waited, however long this process then stood still. `sent` and `now` are in [`boot_time`].
pub(crate) fn answered_by(sent: Duration, wait: Duration, now: Duration) -> Duration {
    now.min(sent + wait)
}

/// When the configuration in force was last known to be the store's newest, in [`boot_time`].
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Freshness {
    confirmed_at: Option<Duration>,
}

impl Freshness {
    /// Records that the configuration was the newest at the time `at`, unless a later time is
    /// already recorded.
    pub(crate) fn confirm(&mut self, at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Time since the last confirmation; `None` before the first.
    pub(crate) fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Whether the last confirmation is younger than `limit`.
    pub(crate) fn is_within(&self, limit: Duration, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}

/// Time for which the store has answered peers while own calls fail, in [`boot_time`].
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerAnswers {
    span: Option<(Duration, Duration)>,
}

impl PeerAnswers {
    /// Records that the store answered a peer at the time `at`, while own calls have failed since
    /// `failing_since`. Answers from before do not tell whether it is away, and may be read late.
    pub(crate) fn record(&mut self, at: Duration, failing_since: Duration) {
        if at < failing_since + OVERDUE_MIN {
            return;
        }
        let is_continued = |&(start, last): &(Duration, Duration)| {
            start >= failing_since && at <= last + PEER_GAP_MAX
        };
        let (start, last) = self.span.filter(is_continued).unwrap_or((at, at));
        self.span = Some((start, last.max(at)));
    }

    /// Since when the store has answered peers; `None` if it was not known to answer them a moment
    /// before `now`, or only before `failing_since`.
    pub(crate) fn since(&self, failing_since: Duration, now: Duration) -> Option<Duration> {
        let is_current = |&(start, last): &(Duration, Duration)| {
            start >= failing_since && now <= last + PEER_GAP_MAX
        };
        self.span.filter(is_current).map(|(start, _)| start)
    }
}
