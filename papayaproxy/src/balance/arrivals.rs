//! Attempts of one request that may still arrive at upstreams, and the retries charged for them.
//!
//! All arrivals but one count as retries, whichever comes first: an attempt that was given up may
//! arrive after the one that replaced it.

use super::budget::Charge;
use std::time::Duration;

/// The attempts of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Arrivals {
    /// Retries that the request was granted and that stand in the budget.
    pub(super) charges: Vec<Charge>,
    /// Attempts that were sent.
    sent: usize,
    /// Attempts that were sent, have not shown that they arrived, and are not given up.
    in_transit: usize,
    /// Latest time at which one of the others may arrive.
    latest: Duration,
    /// Whether no further attempt will be sent.
    is_over: bool,
}

impl Arrivals {
    /// An attempt is sent.
    pub(crate) fn record_sent(&mut self) {
        self.sent += 1;
        self.in_transit += 1;
    }

    /// An attempt has arrived by `latest`, or was given up and arrives no later.
    pub(crate) fn record_settled(&mut self, latest: Duration) {
        self.in_transit = self.in_transit.saturating_sub(1);
        self.latest = self.latest.max(latest);
    }

    /// Nothing of an attempt was sent after all.
    pub(crate) fn record_unsent(&mut self) {
        self.sent = self.sent.saturating_sub(1);
        self.in_transit = self.in_transit.saturating_sub(1);
    }

    /// No further attempt is sent.
    pub(crate) fn finish(&mut self) {
        self.is_over = true;
    }

    /// Charges for arrivals that will not come.
    pub(super) fn take_surplus(&mut self) -> Vec<Charge> {
        let kept = if self.is_over { self.sent.saturating_sub(1) } else { usize::MAX };
        self.charges.split_off(kept.min(self.charges.len()))
    }

    /// Latest time at which an attempt may arrive; `None` while that is open.
    pub(super) fn latest(&self) -> Option<Duration> {
        let is_awaited = !self.is_over && self.charges.len() >= self.sent.max(1);
        (self.in_transit == 0 && !is_awaited).then_some(self.latest)
    }
}
