//! State of one upstream: its load, timing, group status and circuit.

use super::constants::{
    BROKEN_TTL, CIRCUIT_JITTER, FOREIGN_BACKOFF, FULL_BACKOFF, HASH_FACTOR, IDLE_FULL_BACKOFF,
    LIMIT_NEWS_TIME, LOAD_MAX_AGE, LOW_LOAD_RATIO, PLAIN_LIMIT_FACTOR, SILENCE_BROKEN,
    SILENCE_HEALTHY, SILENCE_UNKNOWN, STATUS_MAX_AGE, UNREACHED_BACKOFF,
};
use super::engine::Slowdown;
use super::events;
use super::limits::RateLimit;
use super::warmup::{ColdReason, WarmUpState};
use crate::base::name::Name;
use crate::catalog::{EngineFigures, UpstreamRecord};
use crate::limits::{Circuit, CircuitSettings, CircuitState};
use crate::peers::message::digest;
use std::net::SocketAddr;
use std::time::Duration;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendOutcome {
    /// The answer is complete.
    Good,
    /// The replica reported a failure of its own.
    Failed,
    /// The connection broke, or the bytes received are not a valid answer.
    Lost,
    /// No answer, or no further event, arrived in time.
    Silent,
    /// The replica rejected the request because it is full.
    Full,
    /// Another replica listens at the address.
    Foreign,
    /// No connection in time: the host or the network path to it is down.
    Unreached,
    /// The host refused the connection: the process is not running.
    Closed,
    /// A kept-alive connection was closed before anything was sent.
    Stale,
    /// The caller disconnected, or the deadline passed.
    Abandoned,
}

impl SendOutcome {
    /// Whether no upstream received the request.
    pub(crate) fn is_unsent(self) -> bool {
        matches!(self, Self::Unreached | Self::Closed | Self::Stale)
    }
}

/// Load of a replica, as its agent reports it.
#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    /// Requests of all entries that ran or waited.
    requests: f64,
    /// When that was so.
    at: Duration,
    /// Requests of this entry that were started before the report arrived.
    own_started: u64,
}

/// State of one upstream, as one entry knows it.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub(crate) id: Name,
    /// Identifies this record; an upstream that starts anew under the same id gets another.
    pub(crate) record: u64,
    /// Digest of the id, by which load reports of peers refer to it.
    pub(crate) digest: u32,
    pub(crate) service: Name,
    /// Availability zone.
    pub(crate) zone: Name,
    pub(crate) address: SocketAddr,
    /// Requests that it runs concurrently.
    pub(crate) slots: u32,
    /// When it started, in Unix milliseconds.
    pub(crate) started_ms: u64,
    /// Requests of this entry that were started.
    own_started: u64,
    /// Requests of this entry that are in progress.
    pub(crate) own_requests: u32,
    /// Requests of the other entries, by their last load reports.
    pub(crate) peer_requests: u32,
    /// Prompt tokens of this entry's requests whose answer has not begun.
    pub(crate) own_tokens: u32,
    /// The same of the other entries, by their last load reports.
    pub(crate) peer_tokens: u32,
    /// Load that its agent reported last; `None` if its agent reports none.
    reported: Option<ReportedLoad>,
    /// Slowdown of its passes.
    pub(crate) slowdown: Slowdown,
    /// Slowdown of its rank as its agent reports it; at least 1.
    pub(crate) rank_slowdown: f64,
    /// Limit that its last answer named; `None` if it named none.
    rate_limit: Option<RateLimit>,
    /// When that answer arrived, here or at a peer.
    limit_at: Duration,
    /// Until when the peers are told of the limit, or of its end.
    limit_news_until: Duration,
    pub(super) warm_up: WarmUpState,
    circuit: Circuit,
    backoff_until: Duration,
    /// When its group was last reported broken, if not reported running since.
    broken_at: Option<Duration>,
    /// Until when it counts as unready, because its group does not run passes.
    unready_until: Duration,
    /// When an answer to a request of this entry last began.
    answered_at: Option<Duration>,
    /// When its group was last reported to run passes.
    healthy_at: Option<Duration>,
}

impl Upstream {
    /// Creates the state from the catalog entry alone.
    pub(crate) fn new(
        id: Name,
        record: u64,
        entry: &UpstreamRecord,
        circuit: CircuitSettings,
    ) -> Self {
        Self {
            digest: digest(&id),
            id,
            record,
            service: entry.service.clone(),
            zone: entry.zone.clone(),
            address: entry.address,
            slots: entry.slots,
            started_ms: entry.started_ms,
            own_started: 0,
            own_requests: 0,
            peer_requests: 0,
            own_tokens: 0,
            peer_tokens: 0,
            reported: None,
            slowdown: Slowdown::default(),
            rank_slowdown: 1.0,
            rate_limit: None,
            limit_at: Duration::ZERO,
            limit_news_until: Duration::ZERO,
            warm_up: WarmUpState::default(),
            circuit: Circuit::new(circuit),
            backoff_until: Duration::ZERO,
            broken_at: None,
            unready_until: Duration::ZERO,
            answered_at: None,
            healthy_at: None,
        }
    }

    /// Expected time to the first event of a request with `tokens` prompt tokens.
    pub(crate) fn first_event_time(&self, figures: &EngineFigures, tokens: u32) -> Duration {
        let queued = f64::from(self.own_tokens) + f64::from(self.peer_tokens);
        self.slowdown.first_event_time(figures, self.running() + 1.0, queued + f64::from(tokens))
    }

    /// Silence after which a stream is better moved to another upstream.
    pub(crate) fn silence_limit(&self, now: Duration) -> Duration {
        match is_recent(self.healthy_at, now) {
            _ if self.is_broken(now) => SILENCE_BROKEN,
            true => SILENCE_HEALTHY,
            false => SILENCE_UNKNOWN,
        }
    }

    /// Expected time from the first to the last event of an answer of usual length.
    pub(crate) fn answer_time(&self, figures: &EngineFigures) -> Duration {
        self.slowdown.answer_time(figures, self.running() + 1.0, figures.mean_answer)
    }

    /// Longest time of a request with `tokens` prompt tokens and at most `answer` tokens of output,
    /// while the batch is full and no faster than usual.
    pub(crate) fn longest_time(
        &self,
        figures: &EngineFigures,
        tokens: u32,
        answer: u32,
    ) -> Duration {
        let slowdown = self.slowdown.at_least_usual();
        let (full, stride) = (f64::from(figures.slots.max(1)), figures.stride.max(1));
        let queued = f64::from(self.own_tokens) + f64::from(self.peer_tokens);
        let whole_passes = f64::from(answer.div_ceil(stride)) * f64::from(stride);
        let first_event = slowdown.first_event_time(figures, full, queued + f64::from(tokens));
        let rest = slowdown.answer_time(figures, full, whole_passes);
        first_event + rest
    }

    /// Seats that become free per second while `seats` requests of the usual size run.
    pub(crate) fn seat_rate(&self, figures: &EngineFigures, seats: f64) -> f64 {
        let first_event = self.slowdown.first_event_time(figures, seats, figures.mean_prompt);
        let rest = self.slowdown.answer_time(figures, seats, figures.mean_answer);
        seats / (first_event + rest).as_secs_f64().max(0.001)
    }

    /// Whether its group is known not to run passes.
    pub(crate) fn is_broken(&self, now: Duration) -> bool {
        now < self.unready_until || self.broken_at.is_some_and(|at| now < at + BROKEN_TTL)
    }

    /// Whether `entry` describes this run of the upstream.
    pub(crate) fn is_run_of(&self, entry: &UpstreamRecord) -> bool {
        self.started_ms == entry.started_ms
            && self.address == entry.address
            && self.service == entry.service
    }

    /// Requests of all entries in progress.
    pub(crate) fn running(&self) -> f64 {
        f64::from(self.own_requests) + f64::from(self.peer_requests)
    }

    /// Requests of all entries still in progress `age` after the peers' load reports, if each takes
    /// `duration`.
    pub(crate) fn running_after(&self, age: Duration, duration: Duration) -> f64 {
        let ended = age.as_secs_f64() / duration.as_secs_f64().max(0.001);
        f64::from(self.own_requests) + f64::from(self.peer_requests) * (1.0 - ended).max(0.0)
    }

    /// Takes the load that its agent reports as of `at`.
    pub(crate) fn observe_load(&mut self, requests: Option<u8>, at: Duration) {
        let own_started = self.own_started;
        self.reported = requests.map(|n| ReportedLoad { requests: n.into(), at, own_started });
    }

    /// Running and waiting requests of all entries by the last report, with those that this entry
    /// has sent since, and the age of the report. `None` without a recent report.
    pub(crate) fn reported_load(&self, now: Duration) -> Option<(f64, Duration)> {
        let load = self.reported?;
        let age = now.saturating_sub(load.at);
        let since = self.own_started.saturating_sub(load.own_started);
        (age < LOAD_MAX_AGE).then_some((load.requests + since as f64, age))
    }

    /// Most requests that it is given. A slow rank gets fewer, since all ranks of its group wait
    /// for it.
    pub(crate) fn limit(&self, engine: Option<&EngineFigures>, gap: Option<Duration>) -> f64 {
        match engine {
            Some(figures) => self.slowdown.request_limit(figures, gap) / self.rank_slowdown,
            None => f64::from(self.slots) * PLAIN_LIMIT_FACTOR,
        }
    }

    /// Whether it may get a request.
    pub(crate) fn is_available(&self, now: Duration) -> bool {
        now >= self.backoff_until && !self.is_broken(now) && self.circuit.allows(now)
    }

    /// Whether its circuit lets a request pass that may run once more, or one that may not. A request
    /// that may run only once is no probe.
    pub(crate) fn lets_pass(&self, is_repeatable: bool, now: Duration) -> bool {
        is_repeatable || self.circuit.allows_unprobed(now)
    }

    /// Whether its circuit keeps requests away.
    pub(crate) fn is_out(&self) -> bool {
        self.circuit.state() != CircuitState::Closed
    }

    /// Opens its circuit after requests that ended with `outcome`.
    pub(crate) fn open_circuit(&mut self, outcome: SendOutcome, now: Duration) {
        let hash = (self.digest ^ now.as_micros() as u32).wrapping_mul(HASH_FACTOR);
        let draw = f64::from(hash) / f64::from(u32::MAX);
        self.circuit.open_jittered(1.0 + CIRCUIT_JITTER * (draw - 0.5), now);
        self.log_circuit(outcome);
    }

    fn log_circuit(&self, outcome: SendOutcome) {
        let (event, upstream, state) = (events::CIRCUIT_CHANGED, &self.id, self.circuit.state());
        tracing::info!(event, %upstream, state = state.as_str(), end = ?outcome, "circuit changed");
    }

    /// Whether a recent group status or a recent answer shows that it runs.
    pub(crate) fn is_confirmed(&self, now: Duration) -> bool {
        is_recent(self.healthy_at, now) || is_recent(self.answered_at, now)
    }

    /// Until when it counts as unready; `None` if it does not.
    pub(crate) fn unready_until(&self, now: Duration) -> Option<Duration> {
        (now < self.unready_until).then_some(self.unready_until)
    }

    /// Counts it as unready until `until`, whatever was set before.
    pub(crate) fn mark_unready(&mut self, until: Duration) {
        self.unready_until = until;
    }

    /// Records that an answer has begun.
    pub(crate) fn observe_answer(&mut self, now: Duration) {
        self.answered_at = Some(now);
    }

    /// Records the limit that an answer to this entry names, which `entries` share. `draw` is
    /// uniformly random.
    pub(crate) fn observe_limit(
        &mut self,
        limit: Option<f64>,
        entries: usize,
        draw: u32,
        now: Duration,
    ) {
        self.limit_at = now;
        if self.apply_limit(limit, entries, draw, now) {
            self.limit_news_until = now + LIMIT_NEWS_TIME;
        }
    }

    /// Records the limit that an answer to a peer named at `at`, unless a later one is known.
    pub(crate) fn observe_peer_limit(
        &mut self,
        limit: Option<f64>,
        at: Duration,
        entries: usize,
        draw: u32,
        now: Duration,
    ) {
        if at > self.limit_at {
            self.limit_at = at;
            self.apply_limit(limit, entries, draw, now);
        }
    }

    /// Sets the limit; returns whether it differs from the one before.
    fn apply_limit(
        &mut self,
        limit: Option<f64>,
        entries: usize,
        draw: u32,
        now: Duration,
    ) -> bool {
        let old = self.rate_limit.take();
        self.rate_limit = limit.map(|limit| RateLimit::new(limit, entries, old, draw, now));
        let before = old.map(|l| l.per_second);
        if before == limit {
            return false;
        }
        let (event, upstream) = (events::RATE_LIMITED, &self.id);
        tracing::info!(event, %upstream, limit, before, "rate limit changed");
        true
    }

    /// The limit and the time of the answer that named it, while the peers are to be told.
    pub(crate) fn limit_news(&self, now: Duration) -> Option<(Option<f64>, Duration)> {
        let limit = self.rate_limit.map(|l| l.per_second);
        (now < self.limit_news_until).then_some((limit, self.limit_at))
    }

    /// From when on its limits allow this entry a request; zero without a limit.
    pub(crate) fn limited_until(&self, now: Duration) -> Duration {
        self.rate_limited_until().max(self.cold_limited_until(now))
    }

    /// From when on the limit that it names allows this entry a request; zero without one.
    pub(super) fn rate_limited_until(&self) -> Duration {
        self.rate_limit.map_or(Duration::ZERO, |limit| limit.next_send)
    }

    /// Records whether its group runs passes.
    pub(crate) fn observe_group(&mut self, is_open: bool, now: Duration) {
        if is_open && self.broken_at.is_some() {
            self.start_warm_up(ColdReason::GroupFormed, now);
        }
        self.broken_at = (!is_open).then_some(now);
        if is_open && !self.is_confirmed(now) {
            // Rejections from before the group formed no longer apply.
            (self.unready_until, self.backoff_until) = (Duration::ZERO, Duration::ZERO);
        }
        if is_open {
            self.healthy_at = Some(now);
        }
    }

    /// Records that a request is sent to it; returns whether the request is a probe of its circuit.
    pub(crate) fn record_start(&mut self, is_repeatable: bool, now: Duration) -> bool {
        self.own_requests += 1;
        self.own_started += 1;
        if let Some(limit) = &mut self.rate_limit {
            limit.next_send = now + limit.interval;
        }
        self.count_cold_send(now);
        if !is_repeatable {
            self.circuit.start_unprobed(now);
            return false;
        }
        self.circuit.start_attempt(now)
    }

    /// Records how a request ended. Returns whether its circuit should open. With `in_group` it runs
    /// passes together with others, whose stop is not its own fault.
    #[must_use]
    pub(crate) fn record_end(
        &mut self,
        outcome: SendOutcome,
        is_probe: bool,
        in_group: bool,
        now: Duration,
    ) -> bool {
        self.own_requests = self.own_requests.saturating_sub(1);
        let old_state = self.circuit.state();
        let is_own_fault = !in_group || is_recent(self.healthy_at, now) && !self.is_broken(now);
        let should_open = match outcome {
            SendOutcome::Good => self.circuit.record_answer(true, is_probe, now),
            SendOutcome::Failed => self.circuit.record_answer(false, is_probe, now),
            SendOutcome::Lost | SendOutcome::Silent if is_own_fault => {
                self.circuit.record_answer(false, is_probe, now)
            }
            _ => {
                self.circuit.release_probe(is_probe);
                false
            }
        };
        match outcome {
            SendOutcome::Full if self.running() < f64::from(self.slots) * LOW_LOAD_RATIO => {
                self.unready_until = now + IDLE_FULL_BACKOFF;
                self.back_off(IDLE_FULL_BACKOFF, now);
            }
            SendOutcome::Full => self.back_off(FULL_BACKOFF, now),
            SendOutcome::Foreign => self.back_off(FOREIGN_BACKOFF, now),
            SendOutcome::Unreached | SendOutcome::Closed => self.back_off(UNREACHED_BACKOFF, now),
            _ => {}
        }
        if self.circuit.state() != old_state {
            self.log_circuit(outcome);
        }
        should_open
    }

    fn back_off(&mut self, time: Duration, now: Duration) {
        self.backoff_until = self.backoff_until.max(now + time);
    }
}

fn is_recent(at: Option<Duration>, now: Duration) -> bool {
    at.is_some_and(|at| now < at + STATUS_MAX_AGE)
}
