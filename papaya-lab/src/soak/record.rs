//! What clients, replicas and the operator of a soak have seen.

use indexmap::IndexMap;
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Kind {
    /// A stream that may be resumed.
    Stream,
    /// May run once at most.
    Book,
    /// May run again.
    Look,
}

impl Kind {
    pub(super) fn service(self) -> Service {
        if self == Self::Stream { Service::Assistant } else { Service::Ledger }
    }

    /// Replicas that one request may be sent to.
    pub(super) fn attempts_max(self) -> usize {
        if self == Self::Look { 3 } else { 2 }
    }
}

/// A service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Service {
    Assistant,
    Ledger,
}

impl Service {
    pub(super) const ALL: [Self; 2] = [Self::Assistant, Self::Ledger];

    pub(super) fn name(self) -> &'static str {
        if self == Self::Assistant { "assistant" } else { "ledger" }
    }
}

/// How a client's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// It has not ended.
    Open,
    /// A complete response.
    Answered,
    /// The entry closed the connection, all that was sent having been read.
    Closed,
    /// The entry reset the connection.
    Reset,
    /// The client left.
    Left,
}

/// One request of a client.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) kind: Kind,
    pub(super) entry: usize,
    /// Key that it was sent with.
    pub(super) key: String,
    /// Moment at which the last byte was sent.
    pub(super) sent: Duration,
    pub(super) deadline: Duration,
    /// Whether the connection had served a request before.
    pub(super) is_kept: bool,
    pub(super) ended: Duration,
    pub(super) end: End,
    /// Status of the response, if its head arrived.
    pub(super) status: Option<u16>,
    /// Events that arrived.
    pub(super) events: u64,
}

/// What became of an arrival at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    Running,
    /// Whole response with a status.
    Answered(u16),
    /// Stated as not run.
    Refused(u16),
    /// The replica broke off, crashed or lost the response.
    BrokeOff,
    /// The caller closed the connection.
    Dropped,
    /// The replica ended.
    Crashed,
}

/// One arrival of a request at a replica.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) id: String,
    pub(super) replica: String,
    pub(super) service: Service,
    pub(super) at: Duration,
    pub(super) ended: Option<Duration>,
    /// Time that the replica was given.
    pub(super) limit: Option<Duration>,
    pub(super) tenant: Option<String>,
    pub(super) fate: Fate,
}

impl Arrival {
    pub(super) fn ran(&self) -> bool {
        !matches!(self.fate, Fate::Refused(_))
    }
}

/// Something that the operator or the plan of faults did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Act {
    Terminated(usize),
    /// Ended by itself after SIGTERM.
    Stopped(usize),
    /// SIGKILL at the end of the grace period.
    Overran(usize),
    Killed(usize),
    Started(usize),
    Frozen(usize),
    Thawed(usize),
    Reloaded(usize),
    /// A process ended that nobody stopped.
    Ended(usize),
    Ready(usize),
    Unready(usize),
    StoreFault(String),
    StoreFine,
    Published(u64),
    Removed(String),
    /// A replica that drains or is removed.
    Leaving(String),
    Replica(String),
    /// Links are harmed: the number of the fault, the pairs of entry and replica, and the harm.
    LinkFault(usize, Vec<(usize, String)>, String),
    /// The fault of links with this number is over.
    LinkFine(usize),
}

/// A breach of a rule.
#[derive(Clone, Debug)]
pub(super) struct Breach {
    pub(super) rule: &'static str,
    pub(super) at: Duration,
    pub(super) entry: Option<usize>,
    pub(super) id: String,
    pub(super) seen: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let entry = self.entry.map_or("-".to_owned(), |e| format!("entry-{e}"));
        let at = self.at.as_secs_f64();
        write!(f, "{} at {at:.3} s, request {}, {entry}: {}", self.rule, self.id, self.seen)
    }
}

/// Everything recorded.
#[derive(Clone, Debug, Default)]
pub(super) struct Seen {
    pub(super) requests: IndexMap<String, Request>,
    pub(super) arrivals: Vec<Arrival>,
    pub(super) acts: Vec<(Duration, Act)>,
    /// Breaches that a client or replica notices at once.
    pub(super) breaches: Vec<Breach>,
    /// Largest lateness of the soak's timer, and ticks that were over 50 ms late.
    pub(super) lag_max: Duration,
    pub(super) lags: u64,
    pub(super) ticks: u64,
}

/// The record of a running soak.
pub(super) struct Record {
    start: Instant,
    seen: Mutex<Seen>,
}

impl Record {
    pub(super) fn new() -> Self {
        Self { start: Instant::now(), seen: Mutex::default() }
    }

    /// Time since the start.
    pub(super) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub(super) fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn act(&self, act: Act) {
        let now = self.now();
        self.seen().acts.push((now, act));
    }

    pub(super) fn breach(&self, rule: &'static str, entry: Option<usize>, id: &str, seen: String) {
        let breach = Breach { rule, at: self.now(), entry, id: id.to_owned(), seen };
        self.seen().breaches.push(breach);
    }

    /// Notes an arrival and returns its number.
    pub(super) fn arrive(&self, arrival: Arrival) -> usize {
        let mut seen = self.seen();
        seen.arrivals.push(arrival);
        seen.arrivals.len() - 1
    }

    pub(super) fn end_arrival(&self, number: usize, fate: Fate) {
        let now = self.now();
        let mut seen = self.seen();
        let arrival = &mut seen.arrivals[number];
        if arrival.fate == Fate::Running {
            (arrival.fate, arrival.ended) = (fate, Some(now));
        }
    }
}
