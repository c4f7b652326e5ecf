//! The lead's side of the agreement on an expert map: query, stage, hold, and commit or release.

use super::codes;
use super::constants::{DEPOSED_BACKOFF, HOLD_STEPS_MIN, HOLD_TIMEOUT, RESEND_INTERVAL};
use super::events;
use super::message::{Hold, MapId, RankState, Reply, Request, Switch, Term, Verdict};
use crate::base::digest::Digest;
use std::time::Duration;

/// A request to be sent to a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutboundRequest {
    /// Index of the destination rank.
    pub rank: u16,
    /// The request to send.
    pub request: Request,
}

/// Phase of the protocol at the lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// This rank does not lead.
    Idle,
    /// All ranks are queried for their promises.
    Querying,
    /// All ranks have the same map; a new one may be proposed.
    Ready,
    /// The ranks load the experts of the proposed map.
    Staging(MapId),
    /// The ranks are queried for their next steps, from which the step to hold is chosen.
    Probing(MapId),
    /// Hold requests are pending.
    Holding(Hold),
    /// The switch is decided; commit requests are pending.
    Committing(Hold),
    /// Release requests are pending.
    Releasing,
}

/// Protocol state machine of a group's lead. All its durable state is at the ranks, so a new lead
/// can recover it by querying them.
#[derive(Clone, Debug)]
pub struct Lead {
    index: u16,
    term: Term,
    highest_seen: Term,
    phase: Phase,
    round: u32,
    pending: Vec<Option<Request>>,
    states: Vec<Option<RankState>>,
    hold_distance: u64,
    phase_start: Duration,
    next_resend: Duration,
    outbox: Vec<OutboundRequest>,
}

impl Lead {
    /// Creates an idle lead at rank `index` of `ranks` ranks. It holds the step `hold_distance`
    /// steps ahead of the ranks, at least [`HOLD_STEPS_MIN`].
    pub fn new(index: u16, ranks: u16, hold_distance: u64) -> Self {
        let ranks = usize::from(ranks);
        Self {
            index,
            term: Term::default(),
            highest_seen: Term::default(),
            phase: Phase::Idle,
            round: 0,
            pending: vec![None; ranks],
            states: vec![None; ranks],
            hold_distance: hold_distance.max(HOLD_STEPS_MIN),
            phase_start: Duration::ZERO,
            next_resend: Duration::ZERO,
            outbox: Vec::new(),
        }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The lead's own term; the default term before it has led.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Sets how many steps the next hold lies ahead of the ranks, at least [`HOLD_STEPS_MIN`].
    pub fn set_hold_distance(&mut self, steps: u64) {
        self.hold_distance = steps.max(HOLD_STEPS_MIN);
    }

    /// The newest switch among the ranks' states; `None` while the phase is [`Phase::Idle`] or
    /// [`Phase::Querying`].
    pub fn switch(&self) -> Option<Switch> {
        (self.phase != Phase::Idle && self.phase != Phase::Querying)
            .then(|| self.states.iter().flatten().map(|s| s.switch).max_by_key(|s| s.map.number))
            .flatten()
    }

    /// Takes the requests to be sent.
    pub fn take_requests(&mut self) -> Vec<OutboundRequest> {
        std::mem::take(&mut self.outbox)
    }

    /// Begins to lead with a term higher than any it has seen.
    ///
    /// Does nothing if it already leads, or if it stopped leading less than [`DEPOSED_BACKOFF`]
    /// times one more than its index ago.
    pub fn begin(&mut self, now: Duration) {
        let wait = DEPOSED_BACKOFF * (u32::from(self.index) + 1);
        let deposed = self.term.number > 0 && now < self.phase_start + wait;
        if self.phase == Phase::Idle && !deposed {
            self.begin_term(now);
        }
    }

    /// Stops leading. Holds stay in effect until the next lead resolves them.
    pub fn stop(&mut self, now: Duration) {
        self.pending.fill(None);
        self.enter_phase(now, Phase::Idle);
    }

    /// Proposes the map with content `digest`. Returns `false` unless the phase is
    /// [`Phase::Ready`].
    pub fn propose(&mut self, now: Duration, digest: Digest) -> bool {
        let (Phase::Ready, Some(base)) = (self.phase, self.switch()) else {
            return false;
        };
        let map = MapId { number: base.map.number + 1, digest };
        tracing::info!(event = events::SWITCH_PROPOSED, term = ?self.term, map = map.number, "expert map proposed");
        self.enter_phase(now, Phase::Staging(map));
        self.request_all(Request::Stage { term: self.term, map });
        true
    }

    /// Withdraws the proposed map. Returns `false` if none is proposed or its commit has begun.
    pub fn withdraw(&mut self, now: Duration) -> bool {
        match self.phase {
            Phase::Staging(_) | Phase::Probing(_) => self.begin_term(now),
            Phase::Holding(hold) => self.request_release(now, hold),
            _ => return false,
        }
        true
    }

    /// Sends the pending requests, again every [`RESEND_INTERVAL`], and releases a hold that not
    /// all ranks have promised within [`HOLD_TIMEOUT`].
    pub fn tick(&mut self, now: Duration) {
        if let Phase::Holding(hold) = self.phase
            && now >= self.phase_start + HOLD_TIMEOUT
        {
            return self.request_release(now, hold);
        }
        if now < self.next_resend {
            return;
        }
        self.next_resend = now + RESEND_INTERVAL;
        for (rank, request) in (0..).zip(&self.pending) {
            if let Some(request) = *request {
                self.outbox.push(OutboundRequest { rank, request });
            }
        }
    }

    /// Handles the report of an agent whose engine has held a step for longer than
    /// [`LEAD_TIMEOUT`](super::constants::LEAD_TIMEOUT). Without it, a lead with no request pending
    /// would not learn that another lead took over or left a hold behind.
    pub fn handle_held_step(&mut self, now: Duration, state: RankState) {
        self.highest_seen = self.highest_seen.max(state.term);
        if state.term > self.term && self.phase != Phase::Idle {
            return self.step_down(now);
        }
        if state.hold.is_some() && self.phase == Phase::Ready {
            self.begin_term(now);
        }
    }

    /// Handles a rank's reply. A reply to a request that is not pending changes nothing, except
    /// that a higher term makes the lead step down.
    pub fn receive(&mut self, now: Duration, from: u16, reply: Reply) {
        self.highest_seen = self.highest_seen.max(reply.state.term);
        if self.phase == Phase::Idle {
            return;
        }
        if reply.state.term > self.term {
            return self.step_down(now);
        }
        let rank = usize::from(from);
        if self.pending.get(rank).copied().flatten() != Some(reply.request) {
            return;
        }
        match reply.verdict {
            Verdict::Pending => {}
            Verdict::Accepted => self.handle_accepted(now, rank, reply.state),
            Verdict::Refused(code) => self.handle_refused(now, code),
        }
    }

    fn step_down(&mut self, now: Duration) {
        tracing::info!(event = events::LEAD_DEPOSED, term = ?self.term, seen = ?self.highest_seen, "deposed by a higher term");
        self.stop(now);
    }

    fn handle_accepted(&mut self, now: Duration, rank: usize, state: RankState) {
        self.pending[rank] = None;
        self.states[rank] = Some(state);
        if self.pending.iter().all(Option::is_none) {
            self.advance_phase(now);
        }
    }

    fn handle_refused(&mut self, now: Duration, code: crate::base::code::Code) {
        tracing::info!(event = events::SWITCH_RELEASED, term = ?self.term, %code, "a rank refused a request");
        match self.phase {
            Phase::Holding(hold) => self.request_release(now, hold),
            _ => self.begin_term(now),
        }
    }

    fn advance_phase(&mut self, now: Duration) {
        match self.phase {
            Phase::Querying => self.recover(now),
            Phase::Staging(map) => {
                self.enter_phase(now, Phase::Probing(map));
                self.query_all();
            }
            Phase::Probing(map) => self.request_hold(now, map),
            Phase::Holding(hold) => {
                tracing::info!(event = events::SWITCH_COMMITTED, term = ?self.term, map = hold.map.number, step = hold.step, "all ranks hold the step; committing the map");
                self.request_commit(now, hold);
            }
            Phase::Committing(hold) => {
                tracing::info!(event = events::SWITCH_DONE, term = ?self.term, map = hold.map.number, step = hold.step, "all ranks have the map");
                self.enter_phase(now, Phase::Ready);
            }
            Phase::Releasing => self.begin_term(now),
            Phase::Idle | Phase::Ready => {}
        }
    }

    /// Finishes or releases what an earlier lead left undecided, once all ranks have promised the
    /// term.
    fn recover(&mut self, now: Duration) {
        let states: Vec<RankState> = self.states.iter().flatten().copied().collect();
        let Some(last) = states.iter().map(|s| s.switch).max_by_key(|s| s.map.number) else {
            return;
        };
        for state in &states {
            let held = state.hold.is_some_and(|h| h.switch() == last && h.base == state.switch.map);
            assert!(
                state.switch == last || held,
                "{}: a rank in state {state:?} neither has nor holds {last:?}",
                codes::STEP_DIVERGED
            );
        }
        let lags = |s: &&RankState| s.switch != last;
        if let Some(hold) = states.iter().find(lags).and_then(|s| s.hold) {
            tracing::info!(event = events::SWITCH_FINISHED, term = ?self.term, map = hold.map.number, step = hold.step, "finishing the commit of an earlier lead");
            return self.request_commit(now, hold);
        }
        if states.iter().all(|s| s.hold.is_none()) {
            return self.enter_phase(now, Phase::Ready);
        }
        self.enter_phase(now, Phase::Releasing);
        for (rank, state) in states.iter().enumerate() {
            let request = state.hold.map(|hold| Request::Release { term: self.term, hold });
            self.pending[rank] = request;
        }
    }

    fn request_hold(&mut self, now: Duration, map: MapId) {
        let next = self.states.iter().flatten().map(|s| s.next).max().unwrap_or_default();
        let Some(base) = self.switch() else { return };
        let step = (next + self.hold_distance).max(base.step + 1);
        let hold = Hold { term: self.term, base: base.map, map, step };
        tracing::info!(event = events::SWITCH_HELD, term = ?self.term, map = map.number, step, "requesting a hold");
        self.enter_phase(now, Phase::Holding(hold));
        self.request_all(Request::Hold(hold));
    }

    fn request_commit(&mut self, now: Duration, hold: Hold) {
        self.enter_phase(now, Phase::Committing(hold));
        self.request_all(Request::Commit { term: self.term, hold });
    }

    /// Releases a hold of this term. No commit was sent for it, and none will be.
    fn request_release(&mut self, now: Duration, hold: Hold) {
        tracing::info!(event = events::SWITCH_RELEASED, term = ?self.term, map = hold.map.number, step = hold.step, "releasing a hold");
        self.enter_phase(now, Phase::Releasing);
        self.request_all(Request::Release { term: self.term, hold });
    }

    fn begin_term(&mut self, now: Duration) {
        let number = self.highest_seen.number.max(self.term.number) + 1;
        self.term = Term { number, lead: self.index };
        self.highest_seen = self.term;
        tracing::info!(
            event = events::LEAD_BEGUN,
            term = number,
            lead = self.index,
            "lead begins a term and queries all ranks"
        );
        self.enter_phase(now, Phase::Querying);
        self.query_all();
    }

    fn query_all(&mut self) {
        self.round += 1;
        self.request_all(Request::Query { term: self.term, round: self.round });
    }

    fn request_all(&mut self, request: Request) {
        self.pending.fill(Some(request));
    }

    fn enter_phase(&mut self, now: Duration, phase: Phase) {
        self.phase = phase;
        self.phase_start = now;
        self.next_resend = now;
    }
}
