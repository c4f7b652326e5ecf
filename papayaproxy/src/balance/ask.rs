//! Requests for a seat at an upstream: their limits, and the decisions on them.

use super::constants::{
    CALLER_SILENCE, FIRST_EVENT_RATIO, RETRY_AFTER_MAX, RETRY_AFTER_MIN, RETRY_AFTER_RATIO,
    RETURNING_WAIT, WAIT_RATIO,
};
use crate::base::name::Name;
use std::net::SocketAddr;
use std::time::Duration;

/// A client request that needs a seat, meaning one place among the requests of an upstream.
#[derive(Clone, Debug)]
pub(crate) struct SeatRequest {
    /// Unique within the process.
    pub(crate) ticket: u64,
    /// Written to log lines.
    pub(crate) request_id: Name,
    pub(crate) service: Name,
    /// Workspace that is charged; empty if the request has none.
    pub(crate) workspace: Name,
    /// Priority of the workspace or else of the route; 0 is the most urgent.
    pub(crate) priority: u8,
    /// Upstreams that earlier attempts were sent to.
    pub(crate) excluded: Vec<Name>,
    /// When the request arrived, on the clock of the process.
    pub(crate) arrived: Duration,
    /// When the caller or the route gives up.
    pub(crate) deadline: Duration,
    /// Longest wanted time from arrival to the first event, or to the answer of a plain service.
    pub(crate) latency_target: Duration,
    /// Longest wanted pause between events; `None` if the route sets none.
    pub(crate) gap_target: Option<Duration>,
    pub(crate) prompt_tokens: u32,
    /// Whether the client was refused before and retries, so that the latency target is missed.
    pub(crate) is_returning: bool,
    /// Whether it returns at the time that its client was told.
    pub(crate) is_on_time: bool,
    /// Whether this continues a stream that an earlier attempt may have started.
    pub(crate) is_resumed: bool,
    /// Whether it may run once more, so that it may be the probe of a circuit.
    pub(crate) is_repeatable: bool,
    /// Uniformly random bits.
    pub(crate) draw: u32,
}

/// A seat at an upstream. Must be returned with
/// [`Balancer::release`](super::desk::Balancer::release).
#[derive(Clone, Debug)]
pub(crate) struct Seat {
    /// Id of the upstream.
    pub(crate) upstream: Name,
    /// The balancer's record of the upstream that counts the seat.
    pub(crate) record: u64,
    pub(crate) address: SocketAddr,
    /// Whether the request is the probe of a half-open circuit.
    pub(crate) is_probe: bool,
    /// Prompt tokens that the upstream has yet to read; 0 once the answer has begun.
    pub(crate) prompt_tokens: u32,
}

/// Why a request is refused, and when the client may retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Refusal {
    /// Written to log lines.
    pub(crate) reason: &'static str,
    /// Delay after which a retry may get a seat.
    pub(crate) retry_after: Duration,
}

/// Decision on a request.
#[derive(Clone, Debug)]
pub(crate) enum SeatDecision {
    /// The request is sent to the upstream of the seat.
    Grant(Seat),
    /// The request is queued; [`Balancer::advance`](super::desk::Balancer::advance) returns the
    /// final decision.
    Wait,
    /// The request is not sent.
    Refuse(Refusal),
}

/// Why a request gets no seat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoSeat {
    /// No upstream that may get it has a free one.
    Full,
    /// More requests arrive than can be served on time, and others come first.
    OverCapacity,
}

/// When a request is considered for a seat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueueStage {
    /// On arrival.
    Arriving,
    /// While it is queued.
    Waiting,
    /// Once, when its time in the queue is over.
    TimedOut,
}

impl SeatRequest {
    /// When the request stops waiting for a seat.
    pub(crate) fn wait_until(&self) -> Duration {
        if self.is_returning || self.is_resumed {
            return self.deadline.min(self.arrived + RETURNING_WAIT);
        }
        self.arrived + self.latency_target.mul_f64(WAIT_RATIO)
    }

    /// Whether no attempt has been made before at this entry.
    pub(crate) fn is_first_attempt(&self) -> bool {
        !self.is_resumed && self.excluded.is_empty()
    }

    /// Whether a seat that misses the latency target will do: the request is already late, or would
    /// otherwise be refused.
    pub(crate) fn may_be_late(&self, stage: QueueStage) -> bool {
        stage == QueueStage::TimedOut || self.is_returning || self.is_resumed
    }

    /// When the first event must be expected at the latest.
    pub(crate) fn latest_first_event(&self, stage: QueueStage) -> Duration {
        match self.may_be_late(stage) {
            true => self.arrived + CALLER_SILENCE,
            false => self.arrived + self.latency_target.mul_f64(FIRST_EVENT_RATIO),
        }
    }

    /// A random delay after which the client may retry.
    pub(crate) fn random_retry_after(&self) -> Duration {
        let fraction = f64::from(self.draw) / f64::from(u32::MAX);
        let range = self.longest_retry_after().saturating_sub(RETRY_AFTER_MIN);
        RETRY_AFTER_MIN + range.mul_f64(fraction)
    }

    /// Longest delay after which the client may retry.
    pub(crate) fn longest_retry_after(&self) -> Duration {
        let limit = self.deadline.saturating_sub(self.arrived);
        limit.mul_f64(RETRY_AFTER_RATIO).min(RETRY_AFTER_MAX)
    }
}
