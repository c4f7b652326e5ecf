//! Holds what was seen against the rules about single requests.

use super::constants::{
    CONFIG_LIMIT, DEADLINE_SLACK, DEADLINES_MAX, EXCUSED_SENT, GRACE, GRACE_TAIL, LOSS_SLACK,
    PLAIN_TIMEOUT, REVOKE_LIMIT, STABLE_WINDOW, STRAY_MAX,
};
use super::fleet::STEADY_KEY;
use super::record::{Act, Arrival, Breach, End, Fate, Kind, Request, Seen};
use super::spans::Spans;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Slack for the order in which two tasks of the soak note the same moment.
const NOTE_SLACK: Duration = Duration::from_millis(20);

/// What was seen, by request.
pub(super) struct View<'a> {
    pub(super) seen: &'a Seen,
    pub(super) spans: Spans,
    arrivals: HashMap<&'a str, Vec<&'a Arrival>>,
}

impl<'a> View<'a> {
    pub(super) fn new(seen: &'a Seen, entries: usize) -> Self {
        let mut arrivals: HashMap<&str, Vec<&Arrival>> = HashMap::new();
        for arrival in &seen.arrivals {
            arrivals.entry(&arrival.id).or_default().push(arrival);
        }
        Self { seen, spans: Spans::new(seen, entries), arrivals }
    }

    pub(super) fn of(&self, id: &str) -> &[&'a Arrival] {
        self.arrivals.get(id).map_or(&[], Vec::as_slice)
    }

    fn breach(&self, rule: &'static str, id: &str, request: &Request, seen: &str) -> Breach {
        let of_id = self.of(id).iter();
        let runs = of_id.map(|a| {
            let end = a.ended.map_or("-".to_owned(), |e| format!("{:.3}", e.as_secs_f64()));
            format!("{} at {:.3}..{end} {:?}", a.replica, a.at.as_secs_f64(), a.fate)
        });
        let runs: Vec<String> = runs.collect();
        let seen = format!(
            "{seen}; {:?} sent {:.3}, ended {:.3} as {:?}, status {:?}, {} events; at replicas: [{}]",
            request.kind,
            request.sent.as_secs_f64(),
            request.ended.as_secs_f64(),
            request.end,
            request.status,
            request.events,
            runs.join(", "),
        );
        let entry = Some(request.entry);
        Breach { rule, at: request.ended, entry, id: id.to_owned(), seen }
    }

    fn timeout(request: &Request) -> Duration {
        if request.kind == Kind::Stream { request.deadline } else { PLAIN_TIMEOUT }
    }

    /// Requests that ended without a complete response, by the entry's doing.
    pub(super) fn cut(&self) -> impl Iterator<Item = (&'a String, &'a Request)> {
        let is_cut = |r: &Request| matches!(r.end, End::Closed | End::Reset);
        self.seen.requests.iter().filter(move |(_, r)| is_cut(r))
    }

    /// Whether the entry is the one that broke off, and had time left.
    pub(super) fn is_own_cut(&self, id: &str, request: &Request) -> bool {
        let runs = self.of(id);
        // Two replicas may run it side by side; the one that ended last is the one that served.
        let last = runs.iter().filter(|a| a.ran()).max_by_key(|a| a.ended.unwrap_or(Duration::MAX));
        let is_replica = last.is_some_and(|a| matches!(a.fate, Fate::BrokeOff | Fate::Crashed));
        let is_late = request.ended + NOTE_SLACK >= request.sent + Self::timeout(request);
        let is_passed = runs.iter().any(|a| a.at <= request.ended);
        // Data that was left unread makes the kernel reset the connection.
        let is_read = request.end == End::Closed && request.ended > request.sent + LOSS_SLACK;
        (is_passed || is_read) && !is_replica && !is_late
    }

    /// Requests lost around planned work, and those that a disruption excuses.
    pub(super) fn lost(&self) -> (Vec<Breach>, usize) {
        let (mut breaches, mut excused) = (Vec::new(), 0);
        for (id, request) in self.cut().filter(|(i, r)| self.is_own_cut(i, r)) {
            let Some((at, work)) = self.planned(request) else { continue };
            let still_runs = work == "SIGTERM"
                && request.sent <= at + EXCUSED_SENT
                && self
                    .of(id)
                    .iter()
                    .any(|a| a.ended.is_none_or(|e| e + NOTE_SLACK >= at + GRACE * 5 / 6));
            if still_runs {
                continue;
            }
            let from = request.sent.saturating_sub(STABLE_WINDOW);
            let by_store =
                request.kind == Kind::Stream && self.spans.is_store_disturbed(from, request.ended);
            // Other links of the entry excuse nothing, unless no replica tells which one it used.
            let runs = self.of(id);
            let is_used = |(entry, replica): &(usize, String)| {
                *entry == request.entry
                    && (runs.is_empty() || runs.iter().any(|a| a.replica == *replica))
            };
            if by_store
                || self.spans.has_unplanned(request.entry, from, request.ended)
                || self.spans.is_harmed(from, request.ended, is_used)
            {
                excused += 1;
                continue;
            }
            let seen = format!(
                "cut around {work} of {:.3} s: sent {:+.3} s, ended {:+.3} s",
                at.as_secs_f64(),
                request.sent.as_secs_f64() - at.as_secs_f64(),
                request.ended.as_secs_f64() - at.as_secs_f64(),
            );
            breaches.push(self.breach("LOST", id, request, &seen));
        }
        (breaches, excused)
    }

    /// The planned work at the entry that a cut belongs to, with its time.
    fn planned(&self, request: &Request) -> Option<(Duration, &'static str)> {
        let ended = request.ended;
        self.seen.acts.iter().rev().find_map(|(at, act)| match act {
            Act::Terminated(e)
                if *e == request.entry && *at <= ended && ended <= *at + GRACE + GRACE_TAIL =>
            {
                Some((*at, "SIGTERM"))
            }
            Act::Reloaded(e)
                if *e == request.entry && *at <= ended && request.sent <= *at + CONFIG_LIMIT =>
            {
                Some((*at, "SIGHUP"))
            }
            _ => None,
        })
    }

    /// Requests that an entry in touch passed on and closed without an answer.
    pub(super) fn unanswered(&self) -> Vec<Breach> {
        let cut = self.cut().filter(|(id, r)| {
            r.is_kept
                && r.status.is_none()
                && self.is_own_cut(id, r)
                && !self.of(id).is_empty()
                && self.spans.is_in_touch(r.entry, r.sent, r.ended)
        });
        let found: Vec<_> = cut
            .map(|(id, r)| self.breach("LOST", id, r, "passed on and closed without an answer"))
            .collect();
        if found.len() > STRAY_MAX { found } else { Vec::new() }
    }

    pub(super) fn ran_twice(&self) -> Vec<Breach> {
        let books = self.seen.requests.iter().filter(|(_, r)| r.kind == Kind::Book);
        let twice = books.filter(|(id, _)| self.of(id).iter().filter(|a| a.ran()).count() > 1);
        twice.map(|(id, r)| self.breach("TWICE", id, r, "ran more than once")).collect()
    }

    pub(super) fn refused(&self) -> Vec<Breach> {
        let books = self.seen.requests.iter().filter(|(_, r)| r.kind == Kind::Book);
        let told = books.filter(|(id, r)| {
            let is_promise = matches!(r.status, Some(408 | 421 | 429 | 503));
            is_promise && self.of(id).iter().any(|a| a.ran())
        });
        told.map(|(id, r)| self.breach("REFUSED", id, r, "was told that it hasn't run")).collect()
    }

    /// Requests that ran at more replicas than their route allows.
    pub(super) fn attempts(&self) -> Vec<Breach> {
        let over = self.seen.requests.iter().filter(|(id, r)| {
            let ran = self.of(id).iter().filter(|a| a.ran() && a.fate != Fate::Crashed);
            ran.map(|a| &a.replica).collect::<HashSet<_>>().len() > r.kind.attempts_max()
        });
        let found: Vec<_> =
            over.map(|(id, r)| self.breach("BUDGET", id, r, "more than maxAttempts")).collect();
        if found.len() > STRAY_MAX { found } else { Vec::new() }
    }

    /// Plain requests that were passed on with more time than was left.
    pub(super) fn deadlines(&self) -> Vec<Breach> {
        let (mut found, mut counted) = (Vec::new(), 0);
        for (id, request) in self.seen.requests.iter().filter(|(_, r)| r.kind != Kind::Stream) {
            let Some(first) = self.of(id).first() else { continue };
            for arrival in self.of(id) {
                if !self.spans.is_in_touch(request.entry, request.sent, arrival.at) {
                    continue;
                }
                let end = |a: &Arrival| a.limit.map(|l| a.at + l);
                let is_late = arrival.at > first.at + DEADLINE_SLACK;
                counted += usize::from(arrival.at == first.at || is_late);
                let too_long = arrival.limit.is_none_or(|l| l > request.deadline + DEADLINE_SLACK);
                let latest = end(first).unwrap_or_default().max(request.sent + request.deadline);
                let too_late = is_late && end(arrival).is_none_or(|e| e > latest + DEADLINE_SLACK);
                if too_long || too_late {
                    let seen = format!("{} was given {:?}", arrival.replica, arrival.limit);
                    found.push(self.breach("BUDGET", id, request, &seen));
                }
            }
        }
        let is_broken = found.len() > DEADLINES_MAX && found.len() * 5 > counted;
        if is_broken { found } else { Vec::new() }
    }

    /// Work that nobody asked for, or in the name of another tenant.
    pub(super) fn unasked(&self) -> Vec<Breach> {
        let mut breaches = Vec::new();
        for arrival in &self.seen.arrivals {
            let entry = self.seen.requests.get(&arrival.id).map(|r| r.entry);
            let seen = match self.seen.requests.get(&arrival.id) {
                None => "no client sent it".to_owned(),
                Some(request) => {
                    let is_steady = request.key == STEADY_KEY;
                    let tenant = if is_steady { "growers" } else { "pickers" };
                    if !arrival.ran() || arrival.tenant.as_deref() == Some(tenant) {
                        continue;
                    }
                    format!("ran for the tenant {:?} with the key {}", arrival.tenant, request.key)
                }
            };
            let (at, id) = (arrival.at, arrival.id.clone());
            breaches.push(Breach { rule: "UNASKED", at, entry, id, seen });
        }
        breaches
    }

    /// Requests that reach a replica too long after it has begun to leave.
    pub(super) fn drained(&self, drain: Duration) -> Vec<Breach> {
        let leaving = self.seen.acts.iter().filter_map(|(at, act)| match act {
            Act::Leaving(id) => Some((id.as_str(), *at)),
            _ => None,
        });
        let leaving: HashMap<_, _> = leaving.collect();
        let mut breaches = Vec::new();
        for arrival in self.seen.arrivals.iter().filter(|a| a.fate != Fate::Refused(421)) {
            let Some(at) = leaving.get(arrival.replica.as_str()) else { continue };
            let Some(request) = self.seen.requests.get(&arrival.id) else { continue };
            let is_late = arrival.at > *at + drain;
            // The acknowledgement counts while the store is stable and the machine in touch.
            let from = at.saturating_sub(STABLE_WINDOW);
            let holds = self.spans.is_in_touch(request.entry, *at, arrival.at)
                && !self.spans.is_store_disturbed(from, arrival.at);
            if is_late && holds {
                let late = (arrival.at - *at).as_secs_f64();
                let seen = format!("reached {} {late:.3} s after it left", arrival.replica);
                breaches.push(self.breach("DRAIN", &arrival.id, request, &seen));
            }
        }
        breaches
    }

    /// Keys used too long after their end, or refused too long after their start.
    pub(super) fn keys(&self) -> Vec<Breach> {
        let (mut added, mut removed) = (HashMap::new(), HashMap::new());
        for (at, act) in &self.seen.acts {
            match act {
                Act::Published(version) => drop(added.insert(format!("key-{version}"), *at)),
                Act::Removed(key) => drop(removed.insert(key.clone(), *at)),
                _ => {}
            }
        }
        let mut breaches = Vec::new();
        for (id, request) in &self.seen.requests {
            let gone = removed.get(&request.key);
            let late = gone.filter(|at| request.sent > **at + REVOKE_LIMIT);
            if late.is_some() && self.of(id).iter().any(|a| a.ran()) {
                breaches.push(self.breach(
                    "CONFIG",
                    id,
                    request,
                    "ran with a key that was removed",
                ));
            }
            let since = added.get(&request.key).copied().unwrap_or_default();
            let is_known =
                request.sent > since + CONFIG_LIMIT && gone.is_none_or(|at| request.ended < *at);
            let from = since.saturating_sub(STABLE_WINDOW);
            let holds =
                self.spans.is_in_touch(request.entry, since.max(request.sent), request.ended)
                    && !self.spans.is_store_disturbed(from, request.ended);
            if is_known && holds && matches!(request.status, Some(401 | 403 | 404)) {
                breaches.push(self.breach(
                    "CONFIG",
                    id,
                    request,
                    "was refused though it is allowed",
                ));
            }
        }
        breaches
    }
}
