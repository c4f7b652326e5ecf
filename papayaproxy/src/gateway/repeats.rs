//! Further attempts: the account of each request in the retry budget, and the record of decisions.

use super::events;
use super::meters::Meters;
use super::process::Shared;
use crate::balance::{Arrivals, Balancer, BudgetDecision};
use crate::base::name::Name;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// The attempts of one request, as the retry budget of its service counts them.
pub(crate) struct RetryAccount {
    shared: Rc<Shared>,
    service: Name,
    /// Time for which an attempt that was given up may still be on its way.
    transit: Duration,
    arrivals: RefCell<Arrivals>,
}

/// An attempt that was sent. If it is dropped, the attempt was given up and may arrive later.
pub(super) struct Transit {
    account: Rc<RetryAccount>,
    sent_at: Duration,
    is_settled: bool,
}

impl RetryAccount {
    /// Counts a request that `arrived` for `service`.
    pub(super) fn open(
        shared: Rc<Shared>,
        service: Name,
        transit: Duration,
        arrived: Duration,
    ) -> Rc<Self> {
        shared.seats.with_balancer(|b| b.count_request(&service, transit, arrived));
        Rc::new(Self { shared, service, transit, arrivals: RefCell::default() })
    }

    /// Asks the budget for a further attempt of `request`. Returns whether it is granted.
    pub(super) fn take(&self, request: &str) -> bool {
        let now = self.shared.clock.now();
        let mut arrivals = self.arrivals.borrow_mut();
        let decide = |b: &mut Balancer| b.try_retry(&self.service, &mut arrivals, now);
        let decision = self.shared.seats.with_balancer(decide);
        record(&self.shared.meters, request, &self.service, decision)
    }

    /// Counts an attempt that is sent now.
    pub(super) fn send(self: &Rc<Self>) -> Transit {
        self.update(Arrivals::record_sent);
        let sent_at = self.shared.clock.now();
        Transit { account: self.clone(), sent_at, is_settled: false }
    }

    fn update(&self, change: impl FnOnce(&mut Arrivals)) {
        let mut arrivals = self.arrivals.borrow_mut();
        change(&mut arrivals);
        let settle = |b: &mut Balancer| {
            b.settle_retries(&self.service, &mut arrivals);
        };
        self.shared.seats.with_balancer(settle);
    }
}

impl Drop for RetryAccount {
    fn drop(&mut self) {
        self.update(Arrivals::finish);
    }
}

impl Transit {
    /// The upstream has shown that it received the request, or will not receive it any more.
    pub(super) fn arrived(mut self) {
        self.is_settled = true;
        let now = self.account.shared.clock.now();
        self.account.update(|arrivals| arrivals.record_settled(now));
    }

    /// Nothing was sent.
    pub(super) fn unsent(mut self) {
        self.is_settled = true;
        self.account.update(Arrivals::record_unsent);
    }
}

impl Drop for Transit {
    fn drop(&mut self) {
        if !self.is_settled {
            let latest = self.sent_at + self.account.transit;
            self.account.update(|arrivals| arrivals.record_settled(latest));
        }
    }
}

/// Records the budget's decision on a further attempt of a request, `None` if its service is
/// unknown. Returns whether the attempt is granted.
pub(crate) fn record(
    meters: &Meters,
    request: &str,
    service: &str,
    decision: Option<BudgetDecision>,
) -> bool {
    let Some(BudgetDecision { is_granted, requests, retries, outstanding, entries, slack }) =
        decision
    else {
        meters.record_repeat(service, "denied");
        tracing::warn!(event = events::REPEAT_DENIED, request, service, "service unknown");
        return false;
    };
    meters.record_repeat(service, if is_granted { "granted" } else { "denied" });
    if is_granted {
        tracing::info!(
            event = events::REPEAT_GRANTED,
            request,
            service,
            requests,
            repeats = retries,
            outstanding,
            entries,
            slack,
            "retry granted"
        );
    } else {
        tracing::warn!(
            event = events::REPEAT_DENIED,
            request,
            service,
            requests,
            repeats = retries,
            outstanding,
            entries,
            slack,
            "retry budget exhausted"
        );
    }
    is_granted
}
