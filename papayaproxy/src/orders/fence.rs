//! Fencing numbers that increase across restarts of an agent without persistent storage.

use super::codes;
use crate::base::name::Incarnation;

/// Numbers the orders of one run of an agent.
///
/// They start above the incarnation, which holds the host's clock in its upper bits, or above the
/// engine's current number if that is higher, so that a clock that stepped back does no harm.
#[derive(Clone, Debug)]
pub struct FenceCounter {
    last: u64,
}

impl FenceCounter {
    /// A counter whose first number is above the incarnation.
    pub fn from_incarnation(incarnation: Incarnation) -> Self {
        Self { last: incarnation.0 }
    }

    /// Skips all numbers up to the engine's `current` one. Called before the first order.
    pub fn raise_to(&mut self, current: u64) {
        self.last = self.last.max(current);
    }

    /// The last number allocated; the starting point before the first.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Allocates the next number.
    ///
    /// # Panics
    /// With `P1800` if no number is left.
    pub fn allocate(&mut self) -> u64 {
        let next = self.last.wrapping_add(1);
        assert!(
            next > self.last,
            "{}: no fencing number is left after {}",
            codes::FENCE_REVERSED,
            self.last
        );
        self.last = next;
        next
    }
}
