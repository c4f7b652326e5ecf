//! What is known of one upstream.

use super::constants::{
    BROKEN_TIME, CLOSED_PART, CLOSED_TIME, FOREIGN_TIME, FULL_TIME, PICTURE_AGE, PLAIN_QUEUE,
    SILENCE_BROKEN, SILENCE_HEALTHY, SILENCE_UNKNOWN, UNREACHED_TIME,
};
use super::engine::Pace;
use super::events;
use crate::base::name::Name;
use crate::catalog::{EngineFigures, UpstreamRecord};
use crate::limits::{Circuit, CircuitSettings};
use std::net::SocketAddr;
use std::time::Duration;

/// How a send has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendOutcome {
    /// A whole answer.
    Good,
    /// The replica's own failure.
    Failed,
    /// The connection broke, or bytes were no answer.
    Lost,
    /// No answer, or no next event, in the time expected of it.
    Silent,
    /// The replica had no room.
    Full,
    /// Another replica has the address.
    Foreign,
    /// No connection in time: the host, or the way to it, is gone.
    Unreached,
    /// The host refuses the connection: the process is gone.
    Closed,
    /// A kept connection was gone before anything was sent.
    Stale,
    /// The caller left, or the deadline came.
    Abandoned,
}

/// One upstream.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    /// Its id.
    pub(crate) id: Name,
    /// The digest of its id, as peers name it.
    pub(crate) digest: u32,
    /// The service that it serves.
    pub(crate) service: Name,
    /// Its availability zone.
    pub(crate) zone: Name,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// Requests that run at a time.
    pub(crate) slots: u32,
    /// Unix milliseconds of its start.
    pub(crate) born: u64,
    /// Requests of this entry.
    pub(crate) own: u32,
    /// Requests of the other entries.
    pub(crate) others: u32,
    /// Prompt tokens of this entry's requests that have not begun to answer.
    pub(crate) own_tokens: u32,
    /// The same of the other entries.
    pub(crate) others_tokens: u32,
    /// How fast its passes are.
    pub(crate) pace: Pace,
    /// How much slower it is than its group; 1 where it is not.
    pub(crate) slowness: f64,
    circuit: Circuit,
    barred: Duration,
    /// When the replica's group was last seen broken.
    broken: Option<Duration>,
    /// Until when it counts as unable to run anything.
    closed: Duration,
    /// When an answer last began, of those that this entry asked for.
    answered: Option<Duration>,
    /// When the replica's group was last seen running passes.
    healthy: Option<Duration>,
}

impl Upstream {
    /// An upstream of which only its entry is known.
    pub(crate) fn new(
        id: Name,
        digest: u32,
        entry: &UpstreamRecord,
        circuit: CircuitSettings,
    ) -> Self {
        Self {
            id,
            digest,
            service: entry.service.clone(),
            zone: entry.zone.clone(),
            address: entry.address,
            slots: entry.slots,
            born: entry.started_ms,
            own: 0,
            others: 0,
            own_tokens: 0,
            others_tokens: 0,
            pace: Pace::default(),
            slowness: 1.0,
            circuit: Circuit::new(circuit),
            barred: Duration::ZERO,
            broken: None,
            closed: Duration::ZERO,
            answered: None,
            healthy: None,
        }
    }

    /// Time to the first event of a request with `tokens` prompt tokens.
    pub(crate) fn first_event(&self, figures: &EngineFigures, tokens: u32) -> Duration {
        let before = f64::from(self.own_tokens) + f64::from(self.others_tokens);
        self.pace.first_event(figures, self.running() + 1.0, before + f64::from(tokens))
    }

    /// Silence after which a stream goes on elsewhere.
    pub(crate) fn silence(&self, now: Duration) -> Duration {
        match is_recent(self.healthy, now) {
            _ if self.is_broken(now) => SILENCE_BROKEN,
            true => SILENCE_HEALTHY,
            false => SILENCE_UNKNOWN,
        }
    }

    /// Time from the first event to the last of a usual answer.
    pub(crate) fn answer(&self, figures: &EngineFigures) -> Duration {
        self.pace.answer(figures, self.running() + 1.0, figures.mean_answer)
    }

    /// Whether its group does not run passes.
    pub(crate) fn is_broken(&self, now: Duration) -> bool {
        now < self.closed || self.broken.is_some_and(|at| now < at + BROKEN_TIME)
    }

    /// Requests of all entries.
    pub(crate) fn running(&self) -> f64 {
        f64::from(self.own + self.others)
    }

    /// Requests of all entries that still run `age` after the others told theirs, if each takes
    /// `whole`.
    pub(crate) fn running_after(&self, age: Duration, whole: Duration) -> f64 {
        let ended = age.as_secs_f64() / whole.as_secs_f64().max(0.001);
        f64::from(self.own) + f64::from(self.others) * (1.0 - ended).max(0.0)
    }

    /// Most requests that it is given. A slow rank gets fewer, since its group waits for it.
    pub(crate) fn limit(&self, engine: Option<&EngineFigures>, gap: Option<Duration>) -> f64 {
        match engine {
            Some(figures) => self.pace.seats(figures, gap) / self.slowness,
            None => f64::from(self.slots) * PLAIN_QUEUE,
        }
    }

    /// Whether it may be given a request.
    pub(crate) fn allows(&self, now: Duration) -> bool {
        now >= self.barred && !self.is_broken(now) && self.circuit.allows(now)
    }

    /// Whether something tells that it runs: a recent picture of its group, or a recent answer.
    pub(crate) fn is_known(&self, now: Duration) -> bool {
        is_recent(self.healthy, now) || is_recent(self.answered, now)
    }

    /// Until when it counts as unable to run anything, if it does.
    pub(crate) fn closed_until(&self, now: Duration) -> Option<Duration> {
        (now < self.closed).then_some(self.closed)
    }

    /// Counts it as unable to run anything.
    pub(crate) fn close(&mut self, until: Duration) {
        self.closed = until;
    }

    /// Takes note of an answer that has begun.
    pub(crate) fn observe_answer(&mut self, now: Duration) {
        self.answered = Some(now);
    }

    /// Takes note of whether the replica's group runs passes.
    pub(crate) fn observe_group(&mut self, open: bool, now: Duration) {
        self.broken = (!open).then_some(now);
        if open && !self.is_known(now) {
            // What was refused before the group formed says nothing any more.
            (self.closed, self.barred) = (Duration::ZERO, Duration::ZERO);
        }
        if open {
            self.healthy = Some(now);
        }
    }

    /// Takes note of a request that is sent there; gives whether it probes an open circuit.
    pub(crate) fn begin(&mut self, now: Duration) -> bool {
        self.own += 1;
        self.circuit.take(now)
    }

    /// Takes note of how a request has ended.
    pub(crate) fn end(&mut self, end: SendOutcome, probe: bool, now: Duration) {
        self.own = self.own.saturating_sub(1);
        let before = self.circuit.state();
        match end {
            SendOutcome::Good => {
                let _ = self.circuit.answered(true, probe, now);
            }
            SendOutcome::Failed | SendOutcome::Lost | SendOutcome::Silent => {
                let _ = self.circuit.answered(false, probe, now);
            }
            SendOutcome::Abandoned | SendOutcome::Stale => self.circuit.given_up(probe),
            SendOutcome::Full if self.running() < f64::from(self.slots) * CLOSED_PART => {
                self.closed = now + CLOSED_TIME;
                self.bar(CLOSED_TIME, probe, now);
            }
            SendOutcome::Full => self.bar(FULL_TIME, probe, now),
            SendOutcome::Foreign => self.bar(FOREIGN_TIME, probe, now),
            SendOutcome::Unreached | SendOutcome::Closed => self.bar(UNREACHED_TIME, probe, now),
        }
        let state = self.circuit.state();
        if state != before {
            let (event, upstream) = (events::CIRCUIT_CHANGED, &self.id);
            tracing::info!(event, %upstream, state = state.as_str(), ?end, "circuit changed");
        }
    }

    fn bar(&mut self, time: Duration, probe: bool, now: Duration) {
        self.circuit.given_up(probe);
        self.barred = self.barred.max(now + time);
    }
}

fn is_recent(at: Option<Duration>, now: Duration) -> bool {
    at.is_some_and(|at| now < at + PICTURE_AGE)
}
