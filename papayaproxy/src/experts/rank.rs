//! A rank's side of the agreement. It lives in the engine, so it survives its agent.

use super::codes;
use super::message::{Hold, MapId, RankState, Reply, Request, StepNumber, Switch, Term, Verdict};
use crate::base::code::Code;

/// A step that a rank has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Its number.
    pub number: StepNumber,
    /// The map that it runs on.
    pub map: MapId,
}

/// The promises of one rank and the maps of its steps.
#[derive(Clone, Debug)]
pub struct Rank {
    state: RankState,
    prior: MapId,
    released: Option<Hold>,
    #[cfg(test)]
    pub(crate) guards: Guards,
}

/// Guards that a test may remove to show that the randomised runs notice.
#[cfg(test)]
#[derive(Clone, Copy, Debug)]
pub(crate) struct Guards {
    /// Refuse lower terms.
    pub(crate) term: bool,
    /// Stop at the held step.
    pub(crate) hold: bool,
}

impl Rank {
    /// A rank whose engine joined its group with `map`.
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
            prior: map,
            released: None,
            #[cfg(test)]
            guards: Guards { term: true, hold: true },
        }
    }

    /// What it has promised and runs.
    pub fn state(&self) -> RankState {
        self.state
    }

    /// Notes that the engine has loaded all that `map` needs.
    pub fn mark_staged(&mut self, map: MapId) {
        self.state.staged = Some(map);
    }

    /// Begins the next step, or gives `None` while that step is held.
    pub fn begin_step(&mut self) -> Option<Step> {
        let number = self.state.next;
        if self.holds(number) {
            return None;
        }
        self.state.next += 1;
        let switch = self.state.switch;
        let map = if number >= switch.step { switch.map } else { self.prior };
        Some(Step { number, map })
    }

    /// Answers a lead. Repeats of a request change nothing and get the same verdict.
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
            Request::Ask { .. } => Ok(Verdict::Accepted),
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
        if self.released == Some(hold) {
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
            "{}: commit for step {} after step {} began",
            codes::COMMIT_LATE,
            hold.step,
            self.state.next
        );
        self.prior = self.state.switch.map;
        self.state.switch = hold.switch();
        self.state.hold = None;
        self.state.staged = None;
        Ok(Verdict::Accepted)
    }

    fn release(&mut self, hold: Hold) -> Verdict {
        self.released = Some(hold);
        if self.state.hold == Some(hold) {
            self.state.hold = None;
        }
        Verdict::Accepted
    }

    fn holds(&self, number: StepNumber) -> bool {
        #[cfg(test)]
        if !self.guards.hold {
            return false;
        }
        self.state.hold.is_some_and(|h| number >= h.step)
    }

    fn is_stale(&self, term: Term) -> bool {
        #[cfg(test)]
        if !self.guards.term {
            return false;
        }
        term < self.state.term
    }
}
