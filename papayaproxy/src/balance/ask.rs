//! A request for a seat: what it needs, how long it waits, and what becomes of it.

use super::constants::{
    CALLER_SILENCE, FIRST_PART, RETRY_AFTER_MAX, RETURN_PART, WAIT_BACK, WAIT_PART,
};
use crate::base::name::Name;
use std::net::SocketAddr;
use std::time::Duration;

/// A request for a seat.
#[derive(Clone, Debug)]
pub(crate) struct SeatRequest {
    /// Tells requests of this process apart.
    pub(crate) ticket: u64,
    /// The request's id, for the log.
    pub(crate) request_id: Name,
    /// The service.
    pub(crate) service: Name,
    /// Upstreams that it has been at.
    pub(crate) excluded: Vec<Name>,
    /// When it came.
    pub(crate) arrived: Duration,
    /// When its caller or its route gives up.
    pub(crate) deadline: Duration,
    /// Time in which an answer is on time.
    pub(crate) latency_target: Duration,
    /// Longest pause between events that is on time.
    pub(crate) gap_target: Option<Duration>,
    /// Tokens of its prompt.
    pub(crate) prompt_tokens: u32,
    /// Whether it was refused before, so that it can no longer be on time.
    pub(crate) is_returning: bool,
    /// Whether part of the answer is with the caller already.
    pub(crate) is_resumed: bool,
    /// A uniform draw.
    pub(crate) draw: u32,
}

/// A seat at an upstream. Handed back with [`Balancer::release`].
#[derive(Clone, Debug)]
pub(crate) struct Seat {
    /// The upstream's id.
    pub(crate) upstream: Name,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// Whether the request probes an open circuit.
    pub(crate) is_probe: bool,
    /// Prompt tokens that the upstream reads for it.
    pub(crate) prompt_tokens: u32,
}

/// Why a request is refused, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Refusal {
    /// What binds.
    pub(crate) reason: &'static str,
    /// When it may find room.
    pub(crate) retry_after: Duration,
}

/// What becomes of a request.
#[derive(Clone, Debug)]
pub(crate) enum SeatDecision {
    /// It is sent.
    Grant(Seat),
    /// It waits; [`Balancer::advance`] tells when that is over.
    Wait,
    /// It is refused.
    Refuse(Refusal),
}

/// Which of its chances for a seat a request has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueueStage {
    /// It has just come.
    Arriving,
    /// It waits.
    Waiting,
    /// Its wait is over.
    TimedOut,
}

impl SeatRequest {
    /// Until when it waits for a seat.
    pub(crate) fn patience(&self) -> Duration {
        if self.is_returning || self.is_resumed {
            return self.deadline.min(self.arrived + WAIT_BACK);
        }
        self.arrived + self.latency_target.mul_f64(WAIT_PART)
    }

    /// Whether it takes a seat that makes it late: it is late anyway, or would be refused otherwise.
    pub(crate) fn takes_late(&self, turn: QueueStage) -> bool {
        turn == QueueStage::TimedOut || self.is_returning || self.is_resumed
    }

    /// The latest time at which the first event is of use.
    pub(crate) fn latest_start(&self, turn: QueueStage) -> Duration {
        match self.takes_late(turn) {
            true => self.arrived + CALLER_SILENCE,
            false => self.arrived + self.latency_target.mul_f64(FIRST_PART),
        }
    }

    /// The latest time after which its caller comes back.
    pub(crate) fn latest_return(&self) -> Duration {
        let left = self.deadline.saturating_sub(self.arrived);
        left.mul_f64(RETURN_PART).min(RETRY_AFTER_MAX)
    }
}
