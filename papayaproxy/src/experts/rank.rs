//! A rank's side of the agreement on an expert map. It runs in the engine, so its promises survive
//! a restart of the agent.

use super::codes;
use super::message::{Hold, MapId, RankState, Reply, Request, StepNumber, Switch, Term, Verdict};
use crate::base::code::Code;

/// A step that a rank has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Number of the step, counted from 0.
    pub number: StepNumber,
    /// The map that the step runs on.
    pub map: MapId,
}

/// Protocol state machine of one rank.
#[derive(Clone, Debug)]
pub struct Rank {
    state: RankState,
    previous_map: MapId,
    last_released: Option<Hold>,
    #[cfg(test)]
    pub(crate) guards: Guards,
}

/// Safety checks that a test can disable, to show that the randomised runs detect the violation.
#[cfg(test)]
#[derive(Clone, Copy, Debug)]
pub(crate) struct Guards {
    /// Refuses requests of lower terms.
    pub(crate) checks_term: bool,
    /// Does not begin a held step.
    pub(crate) enforces_hold: bool,
}

impl Rank {
    /// Creates the state of a rank whose engine joined its group with `map` in force.
    pub fn new(map: MapId) -> Self {
        let state = RankState {
            term: Term::default(),
            switch: Switch { map, step: 0 },
            hold: None,
            staged: None,
            next: 0,
        };
        Self {
            state,
            previous_map: map,
            last_released: None,
            #[cfg(test)]
            guards: Guards { checks_term: true, enforces_hold: true },
        }
    }

    /// Promises and map of the rank.
    pub fn state(&self) -> RankState {
        self.state
    }

    /// Records that the engine has loaded all experts that `map` needs.
    pub fn mark_staged(&mut self, map: MapId) {
        self.state.staged = Some(map);
    }

    /// Begins the next step. Returns `None` while that step is held.
    pub fn begin_step(&mut self) -> Option<Step> {
        let number = self.state.next;
        if self.is_held(number) {
            return None;
        }
        self.state.next += 1;
        let switch = self.state.switch;
        let map = if number >= switch.step { switch.map } else { self.previous_map };
        Some(Step { number, map })
    }

    /// Handles a request of a lead. It is idempotent: a repeated request changes nothing and gets
    /// the same verdict.
    pub fn receive(&mut self, request: Request) -> Reply {
        let verdict = match self.apply(request) {
            Ok(verdict) => verdict,
            Err(code) => Verdict::Refused(code),
        };
        Reply { request, verdict, state: self.state }
    }

    fn apply(&mut self, request: Request) -> Result<Verdict, Code> {
        if self.is_stale(request.term()) {
            return Err(codes::TERM_STALE);
        }
        self.state.term = self.state.term.max(request.term());
        match request {
            Request::Query { .. } => Ok(Verdict::Accepted),
            Request::Stage { map, .. } => Ok(self.stage(map)),
            Request::Hold(hold) => self.hold(hold),
            Request::Commit { hold, .. } => self.commit(hold),
            Request::Release { hold, .. } => Ok(self.release(hold)),
        }
    }

    fn stage(&self, map: MapId) -> Verdict {
        let ready = self.state.staged == Some(map) || self.state.switch.map == map;
        if ready { Verdict::Accepted } else { Verdict::Pending }
    }

    fn hold(&mut self, hold: Hold) -> Result<Verdict, Code> {
        if self.state.hold == Some(hold) {
            return Ok(Verdict::Accepted);
        }
        if self.last_released == Some(hold) {
            return Err(codes::HOLD_UNKNOWN);
        }
        if self.state.hold.is_some() {
            return Err(codes::HOLD_BUSY);
        }
        if self.state.switch.map != hold.base {
            return Err(codes::BASE_MISMATCH);
        }
        if self.state.staged != Some(hold.map) {
            return Err(codes::MAP_UNSTAGED);
        }
        if hold.step < self.state.next || hold.step <= self.state.switch.step {
            return Err(codes::STEP_PASSED);
        }
        self.state.hold = Some(hold);
        Ok(Verdict::Accepted)
    }

    fn commit(&mut self, hold: Hold) -> Result<Verdict, Code> {
        if self.state.switch == hold.switch() {
            return Ok(Verdict::Accepted);
        }
        if self.state.hold != Some(hold) {
            return Err(codes::HOLD_UNKNOWN);
        }
        assert!(
            self.state.next <= hold.step,
            "{}: commit for step {} arrived when the next step was {}",
            codes::COMMIT_LATE,
            hold.step,
            self.state.next
        );
        self.previous_map = self.state.switch.map;
        self.state.switch = hold.switch();
        self.state.hold = None;
        self.state.staged = None;
        Ok(Verdict::Accepted)
    }

    fn release(&mut self, hold: Hold) -> Verdict {
        self.last_released = Some(hold);
        if self.state.hold == Some(hold) {
            self.state.hold = None;
        }
        Verdict::Accepted
    }

    fn is_held(&self, number: StepNumber) -> bool {
        #[cfg(test)]
        if !self.guards.enforces_hold {
            return false;
        }
        self.state.hold.is_some_and(|h| number >= h.step)
    }

    fn is_stale(&self, term: Term) -> bool {
        #[cfg(test)]
        if !self.guards.checks_term {
            return false;
        }
        term < self.state.term
    }
}
