//! The lead's side of the agreement: ask, stage, hold, commit, release.

use super::codes;
use super::constants::{DEPOSED_WAIT, HOLD_STEPS_MIN, HOLD_WAIT, RESEND_AFTER};
use super::events;
use super::message::{Hold, MapId, RankState, Reply, Request, Switch, Term, Verdict};
use crate::base::digest::Digest;
use std::time::Duration;

/// A request on its way to a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutboundRequest {
    /// Index of the rank.
    pub rank: u16,
    /// The request.
    pub request: Request,
}

/// What the lead is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It does not lead.
    Idle,
    /// It asks all ranks what they have promised.
    Asking,
    /// All ranks run one map; a new one may be proposed.
    Ready,
    /// The ranks load the proposed map.
    Staging(MapId),
    /// It asks for the ranks' next steps before it chooses the step to hold.
    Probing(MapId),
    /// The ranks are asked to hold a step.
    Holding(Hold),
    /// The map is decided, and every rank is told.
    Committing(Hold),
    /// Holds are given up.
    Releasing,
}

/// The lead of one group. It keeps nothing that the ranks do not hold as well.
#[derive(Clone, Debug)]
pub struct Lead {
    index: u16,
    term: Term,
    seen: Term,
    phase: Phase,
    round: u32,
    pending: Vec<Option<Request>>,
    states: Vec<Option<RankState>>,
    distance: u64,
    since: Duration,
    resend: Duration,
    outbox: Vec<OutboundRequest>,
}

impl Lead {
    /// A lead at rank `index` of `ranks` ranks that holds steps `distance` steps ahead.
    pub fn new(index: u16, ranks: u16, distance: u64) -> Self {
        let ranks = usize::from(ranks);
        Self {
            index,
            term: Term::default(),
            seen: Term::default(),
            phase: Phase::Idle,
            round: 0,
            pending: vec![None; ranks],
            states: vec![None; ranks],
            distance: distance.max(HOLD_STEPS_MIN),
            since: Duration::ZERO,
            resend: Duration::ZERO,
            outbox: Vec::new(),
        }
    }

    /// What it is at.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Its term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Changes the distance, in steps, of the next hold.
    pub fn set_distance(&mut self, steps: u64) {
        self.distance = steps.max(HOLD_STEPS_MIN);
    }

    /// The map that every rank has, once all of them were asked.
    pub fn switch(&self) -> Option<Switch> {
        (self.phase != Phase::Idle && self.phase != Phase::Asking)
            .then(|| self.states.iter().flatten().map(|s| s.switch).max_by_key(|s| s.map.number))
            .flatten()
    }

    /// Takes the requests that are to be sent.
    pub fn take_requests(&mut self) -> Vec<OutboundRequest> {
        std::mem::take(&mut self.outbox)
    }

    /// Begins to lead with a term higher than any that it has seen.
    ///
    /// Does nothing while it already leads, or for a while after it was deposed.
    pub fn begin(&mut self, now: Duration) {
        let wait = DEPOSED_WAIT * (u32::from(self.index) + 1);
        let deposed = self.term.number > 0 && now < self.since + wait;
        if self.phase == Phase::Idle && !deposed {
            self.ask_anew(now);
        }
    }

    /// Stops leading. Holds stay until the next lead asks.
    pub fn stop(&mut self, now: Duration) {
        self.pending.fill(None);
        self.enter(now, Phase::Idle);
    }

    /// Proposes the map with content `digest`. `false` unless it is ready.
    pub fn propose(&mut self, now: Duration, digest: Digest) -> bool {
        let (Phase::Ready, Some(base)) = (self.phase, self.switch()) else {
            return false;
        };
        let map = MapId { number: base.map.number + 1, digest };
        tracing::info!(event = events::SWITCH_PROPOSED, term = ?self.term, map = map.number, "staging a map");
        self.enter(now, Phase::Staging(map));
        self.request_all(Request::Stage { term: self.term, map });
        true
    }

    /// Gives up the proposed map while that is still possible. `false` once it may be committed.
    pub fn withdraw(&mut self, now: Duration) -> bool {
        match self.phase {
            Phase::Staging(_) | Phase::Probing(_) => self.ask_anew(now),
            Phase::Holding(hold) => self.release(now, hold),
            _ => return false,
        }
        true
    }

    /// Sends again what was not answered, and releases a hold that not all ranks promised in time.
    pub fn tick(&mut self, now: Duration) {
        if let Phase::Holding(hold) = self.phase
            && now >= self.since + HOLD_WAIT
        {
            return self.release(now, hold);
        }
        if now < self.resend {
            return;
        }
        self.resend = now + RESEND_AFTER;
        for (rank, request) in (0..).zip(&self.pending) {
            if let Some(request) = *request {
                self.outbox.push(OutboundRequest { rank, request });
            }
        }
    }

    /// Takes the word of an agent whose engine has held a step for longer than
    /// [`LEAD_TIMEOUT`](super::constants::LEAD_TIMEOUT). A lead that has rested since learns by it
    /// that another one took over or left a hold behind.
    pub fn notice(&mut self, now: Duration, state: RankState) {
        self.seen = self.seen.max(state.term);
        if state.term > self.term && self.phase != Phase::Idle {
            return self.depose(now);
        }
        if state.hold.is_some() && self.phase == Phase::Ready {
            self.ask_anew(now);
        }
    }

    /// Takes a rank's answer. Answers to anything but the request in progress change nothing.
    pub fn receive(&mut self, now: Duration, from: u16, reply: Reply) {
        self.seen = self.seen.max(reply.state.term);
        if self.phase == Phase::Idle {
            return;
        }
        if reply.state.term > self.term {
            return self.depose(now);
        }
        let rank = usize::from(from);
        if self.pending.get(rank).copied().flatten() != Some(reply.request) {
            return;
        }
        match reply.verdict {
            Verdict::Pending => {}
            Verdict::Accepted => self.accept(now, rank, reply.state),
            Verdict::Refused(code) => self.refuse(now, code),
        }
    }

    fn depose(&mut self, now: Duration) {
        tracing::info!(event = events::LEAD_DEPOSED, term = ?self.term, seen = ?self.seen, "deposed");
        self.stop(now);
    }

    fn accept(&mut self, now: Duration, rank: usize, state: RankState) {
        self.pending[rank] = None;
        self.states[rank] = Some(state);
        if self.pending.iter().all(Option::is_none) {
            self.advance(now);
        }
    }

    fn refuse(&mut self, now: Duration, code: crate::base::code::Code) {
        tracing::info!(event = events::SWITCH_RELEASED, term = ?self.term, %code, "a rank refused");
        match self.phase {
            Phase::Holding(hold) => self.release(now, hold),
            _ => self.ask_anew(now),
        }
    }

    fn advance(&mut self, now: Duration) {
        match self.phase {
            Phase::Asking => self.resolve(now),
            Phase::Staging(map) => {
                self.enter(now, Phase::Probing(map));
                self.ask();
            }
            Phase::Probing(map) => self.hold(now, map),
            Phase::Holding(hold) => {
                tracing::info!(event = events::SWITCH_COMMITTED, term = ?self.term, map = hold.map.number, step = hold.step, "all ranks hold");
                self.commit(now, hold);
            }
            Phase::Committing(hold) => {
                tracing::info!(event = events::SWITCH_DONE, term = ?self.term, map = hold.map.number, step = hold.step, "all ranks have the map");
                self.enter(now, Phase::Ready);
            }
            Phase::Releasing => self.ask_anew(now),
            Phase::Idle | Phase::Ready => {}
        }
    }

    /// Decides what an earlier lead left behind, once all ranks have promised the term.
    fn resolve(&mut self, now: Duration) {
        let states: Vec<RankState> = self.states.iter().flatten().copied().collect();
        let Some(last) = states.iter().map(|s| s.switch).max_by_key(|s| s.map.number) else {
            return;
        };
        for state in &states {
            let held = state.hold.is_some_and(|h| h.switch() == last && h.base == state.switch.map);
            assert!(
                state.switch == last || held,
                "{}: {state:?} can neither have nor get {last:?}",
                codes::STEP_DIVERGED
            );
        }
        let lags = |s: &&RankState| s.switch != last;
        if let Some(hold) = states.iter().find(lags).and_then(|s| s.hold) {
            tracing::info!(event = events::SWITCH_FINISHED, term = ?self.term, map = hold.map.number, step = hold.step, "finishing a commit");
            return self.commit(now, hold);
        }
        if states.iter().all(|s| s.hold.is_none()) {
            return self.enter(now, Phase::Ready);
        }
        self.enter(now, Phase::Releasing);
        for (rank, state) in states.iter().enumerate() {
            let request = state.hold.map(|hold| Request::Release { term: self.term, hold });
            self.pending[rank] = request;
        }
    }

    fn hold(&mut self, now: Duration, map: MapId) {
        let next = self.states.iter().flatten().map(|s| s.next).max().unwrap_or_default();
        let Some(base) = self.switch() else { return };
        let step = (next + self.distance).max(base.step + 1);
        let hold = Hold { term: self.term, base: base.map, map, step };
        tracing::info!(event = events::SWITCH_HELD, term = ?self.term, map = map.number, step, "asking for a hold");
        self.enter(now, Phase::Holding(hold));
        self.request_all(Request::Hold(hold));
    }

    fn commit(&mut self, now: Duration, hold: Hold) {
        self.enter(now, Phase::Committing(hold));
        self.request_all(Request::Commit { term: self.term, hold });
    }

    /// Gives up a hold of its own. No commit was sent for it, and none will be.
    fn release(&mut self, now: Duration, hold: Hold) {
        tracing::info!(event = events::SWITCH_RELEASED, term = ?self.term, map = hold.map.number, step = hold.step, "releasing");
        self.enter(now, Phase::Releasing);
        self.request_all(Request::Release { term: self.term, hold });
    }

    fn ask_anew(&mut self, now: Duration) {
        let number = self.seen.number.max(self.term.number) + 1;
        self.term = Term { number, lead: self.index };
        self.seen = self.term;
        tracing::info!(
            event = events::LEAD_BEGUN,
            term = number,
            lead = self.index,
            "asking all ranks"
        );
        self.enter(now, Phase::Asking);
        self.ask();
    }

    fn ask(&mut self) {
        self.round += 1;
        self.request_all(Request::Ask { term: self.term, round: self.round });
    }

    fn request_all(&mut self, request: Request) {
        self.pending.fill(Some(request));
    }

    fn enter(&mut self, now: Duration, phase: Phase) {
        self.phase = phase;
        self.since = now;
        self.resend = now;
    }
}
