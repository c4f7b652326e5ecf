//! The attempts of one request: how each ended, and why no further one follows.

use super::body::ResponseBody;
use super::envelope::Verdict;
use super::pool::{Connection, UpstreamBody};
use super::reader::StreamReader;
use super::seats::SeatGuard;
use crate::balance::{Refusal, SendOutcome};
use crate::base::name::Name;
use hyper::header::CONTENT_TYPE;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Response};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::time::Duration;

/// The attempts made for one request.
#[derive(Default)]
pub(crate) struct AttemptHistory {
    /// Upstreams that have been tried, oldest first.
    pub(super) tried: RefCell<Vec<Name>>,
    /// Attempts in which the request may have run, those in progress included.
    pub(super) runs: Cell<u32>,
    /// Failed attempts in which the request did not run.
    pub(super) not_run: Cell<u32>,
    /// Last response of an upstream that ran the request and failed. It is returned if all retries
    /// fail.
    pub(super) last_failure: RefCell<Option<Response<ResponseBody>>>,
}

/// Where an answer has to go on.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResumePoint {
    /// Id of the last event that the caller has.
    pub(crate) last_event: Option<u64>,
    /// Media type of the head that the caller has; `None` before any head.
    pub(crate) media_type: Option<Option<String>>,
}

impl ResumePoint {
    /// Whether a body with `headers` may be part of the answer.
    pub(super) fn fits(&self, headers: &HeaderMap) -> bool {
        self.media_type.as_ref().is_none_or(|media_type| *media_type == media_type_of(headers))
    }
}

/// The media type that `headers` state, without parameters.
pub(super) fn media_type_of(headers: &HeaderMap) -> Option<String> {
    let text = headers.get(CONTENT_TYPE)?.to_str().ok()?;
    Some(text.split(';').next().unwrap_or_default().trim().to_ascii_lowercase())
}

/// The head of a valid response and the connection that its body arrives on.
pub(crate) struct ResponseHead {
    pub(crate) parts: Parts,
    pub(crate) body: UpstreamBody,
    pub(crate) connection: Connection,
    pub(crate) verdict: Verdict,
    /// When the request was sent, on the process clock.
    pub(crate) sent_at: Duration,
    /// When the head arrived, on the process clock.
    pub(crate) began: Duration,
}

/// A valid answer to a request.
pub(crate) enum Answer {
    /// Its head, and the seat that it takes.
    Head(Box<ResponseHead>, SeatGuard),
    /// A stream whose first events have been read.
    Stream(Box<StreamReader>),
}

/// An attempt that brought no usable response.
#[derive(Debug)]
pub(crate) struct FailedAttempt {
    pub(crate) upstream: Name,
    pub(crate) outcome: SendOutcome,
    /// Whether the upstream may have run the request.
    pub(crate) may_have_run: bool,
    /// Observed error, for the log.
    pub(crate) detail: String,
    /// When the answer began, on the process clock; `None` before its head.
    pub(crate) began: Option<Duration>,
}

/// Why no further attempt is made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum StopReason {
    /// The balancer found no upstream with capacity in time.
    Refused(Refusal),
    /// The deadline has passed.
    DeadlinePassed,
    /// The entry stops, and the request may not end before.
    Stopping,
    /// The request may have run as often as its route allows.
    AttemptsUsed,
    /// More upstreams than the limit have not run the request.
    RefusalsUsed,
    /// The retry budget is used up.
    BudgetSpent,
    /// A part of the prompt crashes upstreams.
    PartBlocked,
    /// Requests of this content crash upstreams.
    RequestBlocked,
    /// The next upstream answered a resumed stream with this status.
    Status(u16),
    /// The attempt at the next upstream failed.
    Failed(SendOutcome),
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
            Self::RequestBlocked => f.write_str("request blocked"),
            Self::Status(status) => write!(f, "next upstream answered {status}"),
            Self::Failed(outcome) => write!(f, "attempt ended as {outcome:?}"),
        }
    }
}

impl FailedAttempt {
    /// An answer that began at `began` and did not end well. Releases its seat.
    pub(crate) fn begun(
        seat: SeatGuard,
        began: Duration,
        outcome: SendOutcome,
        detail: String,
    ) -> Self {
        let upstream = seat.seat().upstream.clone();
        seat.finish(outcome);
        Self { upstream, outcome, may_have_run: true, detail, began: Some(began) }
    }
}
