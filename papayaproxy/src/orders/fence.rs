//! Fencing numbers that never go back, without a disk.

use super::codes;
use crate::base::name::Incarnation;

/// Numbers the orders of one run of an agent.
///
/// They start at the incarnation, which holds the host's clock in its upper bits, or above the
/// engine's current number where that is higher: a clock that stepped back does no harm then.
#[derive(Clone, Debug)]
pub struct Fence {
    last: u64,
}

impl Fence {
    /// Starts at an incarnation.
    pub fn start(incarnation: Incarnation) -> Self {
        Self { last: incarnation.0 }
    }

    /// Rises above the engine's current number. Only before the first order.
    pub fn learn(&mut self, current: u64) {
        self.last = self.last.max(current);
    }

    /// The last number given out.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// The next number.
    ///
    /// # Panics
    /// With `P1800` where the numbers are used up.
    pub fn draw(&mut self) -> u64 {
        let next = self.last.wrapping_add(1);
        assert!(next > self.last, "{}: no number after {}", codes::FENCE_REVERSED, self.last);
        self.last = next;
        next
    }
}
