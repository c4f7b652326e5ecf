//! Holds repeats against the budget of each service in every window.

use super::checks::View;
use super::constants::{BUDGET_RATIO, BUDGET_WINDOW};
use super::record::{Act, Breach, Service};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// The window of a service whose repeats come closest to what is allowed, or exceed it most.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Window {
    pub(super) end: Duration,
    pub(super) repeats: usize,
    pub(super) requests: usize,
    pub(super) allowed: f64,
}

impl Window {
    pub(super) fn share(&self) -> f64 {
        if self.repeats == 0 { 0.0 } else { self.repeats as f64 / self.allowed }
    }
}

/// Counts of repeats of one service.
pub(super) struct Repeats {
    pub(super) service: Service,
    requests: Vec<Duration>,
    repeats: Vec<Duration>,
}

fn count(times: &[Duration], from: Duration, to: Duration) -> usize {
    let before = |limit: Duration| times.partition_point(|t| *t <= limit);
    before(to) - before(from).min(before(to))
}

impl Repeats {
    pub(super) fn new(view: &View<'_>, service: Service) -> Self {
        let of_service = view.seen.requests.values().filter(|r| r.kind.service() == service);
        let mut requests: Vec<_> = of_service.map(|r| r.sent).collect();
        requests.sort();
        let mut met = HashSet::new();
        let arrivals = view.seen.arrivals.iter().filter(|a| a.service == service);
        let mut repeats: Vec<_> =
            arrivals.filter(|a| !met.insert(a.id.as_str())).map(|a| a.at).collect();
        repeats.sort();
        Self { service, requests, repeats }
    }

    pub(super) fn total(&self) -> usize {
        self.repeats.len()
    }

    fn window(&self, end: Duration, slack: u64) -> Window {
        let start = end.saturating_sub(BUDGET_WINDOW);
        let counted = |back: Duration| {
            let to = end.saturating_sub(back);
            count(&self.requests, to.saturating_sub(BUDGET_WINDOW), to)
        };
        let requests =
            counted(Duration::ZERO).max(counted(BUDGET_WINDOW)).max(counted(BUDGET_WINDOW / 2));
        let allowed = BUDGET_RATIO * requests as f64 + slack as f64;
        Window { end, repeats: count(&self.repeats, start, end), requests, allowed }
    }

    /// The worst window. Windows that end with a repeat, or begin just before one, hold the most.
    pub(super) fn worst(&self, slack: u64) -> Window {
        let before = Duration::from_micros(1);
        let ends = self.repeats.iter().flat_map(|at| [*at, *at + BUDGET_WINDOW - before]);
        let windows = ends.map(|end| self.window(end, slack));
        windows.max_by(|a, b| a.share().total_cmp(&b.share())).unwrap_or_default()
    }

    /// The breach of the worst window, if it is one.
    pub(super) fn breach(&self, view: &View<'_>, slack: u64) -> Option<Breach> {
        let worst = self.worst(slack);
        if worst.share() <= 1.0 {
            return None;
        }
        let from = worst.end.saturating_sub(BUDGET_WINDOW);
        // What each process spent tells a share that is too large from one that is granted anew.
        let mut spent: HashMap<_, usize> = HashMap::new();
        let mut met = HashSet::new();
        for arrival in view.seen.arrivals.iter().filter(|a| a.service == self.service) {
            let is_repeat = !met.insert(arrival.id.as_str());
            if let Some(request) = view.seen.requests.get(&arrival.id)
                && is_repeat
                && (arrival.at > from && arrival.at <= worst.end)
            {
                let starts =
                    view.seen.acts.iter().filter(|(at, act)| {
                        *act == Act::Started(request.entry) && *at <= arrival.at
                    });
                *spent.entry((request.entry, starts.count())).or_default() += 1;
            }
        }
        let entries: HashSet<_> = spent.keys().map(|(entry, _)| *entry).collect();
        let seen = format!(
            "{}: {} repeats in the window that ends at {:.3} s, {:.1} are allowed for {} requests; by {} processes of {} entries, at most {} by one process",
            self.service.name(),
            worst.repeats,
            worst.end.as_secs_f64(),
            worst.allowed,
            worst.requests,
            spent.len(),
            entries.len(),
            spent.values().max().unwrap_or(&0),
        );
        Some(Breach { rule: "BUDGET", at: worst.end, entry: None, id: "-".to_owned(), seen })
    }
}
