//! Step barrier of a lock-step group, which also checks that all ranks use the same expert map.

use super::codes;
use super::message::StepNumber;
use super::rank::Step;

/// Barrier for one step at a time. It asserts that all ranks run the step on the same map.
#[derive(Clone, Debug)]
pub struct Barrier {
    joined: Vec<bool>,
    remaining: usize,
    step: Option<Step>,
}

impl Barrier {
    /// Creates a barrier for `ranks` ranks.
    pub fn new(ranks: usize) -> Self {
        Self { joined: vec![false; ranks], remaining: ranks, step: None }
    }

    /// Whether `rank` has joined the current step.
    pub fn has_joined(&self, rank: usize) -> bool {
        self.joined[rank]
    }

    /// Lets `rank` join with the step that it has begun. Returns the step's number once all ranks
    /// have joined, `None` before.
    ///
    /// # Panics
    /// With `P1701` if the rank's step or map differs from that of another rank.
    pub fn join(&mut self, rank: usize, step: Step) -> Option<StepNumber> {
        let first = *self.step.get_or_insert(step);
        assert!(
            first == step,
            "{}: rank {rank} joined with {step:?}, another rank with {first:?}",
            codes::STEP_DIVERGED
        );
        if !std::mem::replace(&mut self.joined[rank], true) {
            self.remaining -= 1;
        }
        if self.remaining > 0 {
            return None;
        }
        self.joined.fill(false);
        self.remaining = self.joined.len();
        self.step.take().map(|s| s.number)
    }
}
