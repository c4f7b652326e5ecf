//! The step barrier of a lock-step group, with the map number that it carries.

use super::codes;
use super::message::StepNumber;
use super::rank::Step;

/// Gathers the ranks of one step at a time and asserts that they use one map.
#[derive(Clone, Debug)]
pub struct Barrier {
    joined: Vec<bool>,
    waiting: usize,
    step: Option<Step>,
}

impl Barrier {
    /// A barrier for `ranks` ranks.
    pub fn new(ranks: usize) -> Self {
        Self { joined: vec![false; ranks], waiting: ranks, step: None }
    }

    /// Tells whether `rank` stands at the barrier.
    pub fn has(&self, rank: usize) -> bool {
        self.joined[rank]
    }

    /// Lets `rank` join with the step that it has begun. Gives the step once all have joined.
    ///
    /// # Panics
    /// With `P1701` where the rank's step or map differs from that of another rank.
    pub fn join(&mut self, rank: usize, step: Step) -> Option<StepNumber> {
        let first = *self.step.get_or_insert(step);
        assert!(
            first == step,
            "{}: rank {rank} joined {step:?}, another rank {first:?}",
            codes::STEP_DIVERGED
        );
        if !std::mem::replace(&mut self.joined[rank], true) {
            self.waiting -= 1;
        }
        if self.waiting > 0 {
            return None;
        }
        self.joined.fill(false);
        self.waiting = self.joined.len();
        self.step.take().map(|s| s.number)
    }
}
