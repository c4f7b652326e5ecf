//! The attempts of one request: how each ended, and why no further one follows.

use super::body::ResponseBody;
use super::envelope::Verdict;
use super::pool::Connection;
use super::seats::SeatGuard;
use crate::balance::{Refusal, SendOutcome};
use crate::base::name::Name;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use std::fmt;
use std::time::Duration;

/// The attempts made for one request.
#[derive(Default)]
pub(crate) struct AttemptHistory {
    /// Upstreams that have been tried, oldest first.
    pub(super) tried: Vec<Name>,
    /// When the last attempt was sent, on the process clock; `None` before the first.
    pub(super) sent_at: Option<Duration>,
    /// When the answer of the last attempt began; `None` before its head.
    pub(super) began: Option<Duration>,
    /// Failed attempts in which the request may have run.
    pub(crate) maybe_run: u32,
    /// Failed attempts in which the request did not run.
    pub(super) not_run: u32,
    /// Last response of an upstream that ran the request and failed. It is returned if all retries
    /// fail.
    pub(super) last_failure: Option<Response<ResponseBody>>,
}

/// The head of a valid response and the connection that its body arrives on.
pub(crate) struct ResponseHead {
    pub(crate) parts: Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) seat: SeatGuard,
    pub(crate) verdict: Verdict,
}

/// An attempt that brought no usable response.
#[derive(Debug)]
pub(crate) struct FailedAttempt {
    pub(crate) outcome: SendOutcome,
    /// Whether the upstream may have run the request.
    pub(crate) may_have_run: bool,
    /// Observed error, for the log.
    pub(crate) detail: String,
}

/// Why no further attempt is made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum StopReason {
    /// The balancer found no upstream with capacity in time.
    Refused(Refusal),
    /// The deadline has passed.
    DeadlinePassed,
    /// The entry stops before the request could be expected to end.
    Stopping,
    /// The request may have run as often as its route allows.
    AttemptsUsed,
    /// More upstreams than the limit have not run the request.
    RefusalsUsed,
    /// The retry budget is used up.
    BudgetSpent,
    /// A part of the prompt crashes upstreams.
    PartBlocked,
    /// The next upstream answered a resumed stream with this status.
    Status(u16),
}

impl fmt::Display for StopReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(refusal) => f.write_str(refusal.reason),
            Self::DeadlinePassed => f.write_str("deadline passed"),
            Self::Stopping => f.write_str("stopping"),
            Self::AttemptsUsed => f.write_str("attempts used up"),
            Self::RefusalsUsed => f.write_str("not run by too many upstreams"),
            Self::BudgetSpent => f.write_str("retry budget used up"),
            Self::PartBlocked => f.write_str("part blocked"),
            Self::Status(status) => write!(f, "next upstream answered {status}"),
        }
    }
}

/// Releases the seat of a failed attempt.
pub(crate) fn fail_attempt(
    seat: SeatGuard,
    outcome: SendOutcome,
    may_have_run: bool,
    detail: String,
) -> FailedAttempt {
    seat.finish(outcome);
    FailedAttempt { outcome, may_have_run, detail }
}
