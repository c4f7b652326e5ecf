//! Forwards one request: attempts at upstreams, retry decisions and the final response.

use super::attempts::{Answer, FailedAttempt, ResponseHead, ResumePoint, StopReason};
use super::body::ResponseBody;
use super::buffer::{BufferError, Buffered};
use super::clients::Client;
use super::codes;
use super::constants::{
    ATTEMPT_TIME_MIN, FAILURE_BYTES_MAX, NOT_RUN_MAX, PLAIN_SILENCE_FACTOR, PLAIN_SILENCE_MIN,
    RESPONSE_BYTES_MAX, RETRY_AFTER_STOPPING, SILENCE_CHECK_INTERVAL,
};
use super::envelope::{Envelope, Verdict};
use super::events;
use super::handover::{Handover, Raced};
use super::process::{InFlight, Shared};
use super::reader::{Numbering, StreamReader};
use super::refuse;
use super::relay;
use super::repeats::RetryAccount;
use super::seats::SeatGuard;
use crate::balance::{SeatRequest, SendOutcome};
use crate::base::code::Code;
use crate::base::name::Name;
use crate::catalog::{Route, Workspace};
use crate::quarantine::{PartKey, RequestKey};
use bytes::Bytes;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, Response, Uri};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

pub(crate) use super::attempts::AttemptHistory;

/// One client request with a known route and a complete body, and the state of its attempts.
pub(crate) struct Exchange {
    pub(crate) shared: Rc<Shared>,
    /// Counts the request as in progress until its response, including a stream, has ended.
    pub(crate) in_flight: Rc<InFlight>,
    /// The connection of the client.
    pub(crate) client: Rc<Client>,
    pub(crate) envelope: Envelope,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Name,
    /// The workspace of the API key; `None` if the route or the configuration needs no key.
    pub(crate) workspace: Option<Arc<Workspace>>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Buffered,
    /// Time on the process clock at which the request arrived.
    pub(crate) arrived: Duration,
    /// Time on the process clock at which the client or the route gives up.
    pub(crate) deadline: Duration,
    /// Latency target of the route: the time in which a response, or the first event of a stream,
    /// should arrive.
    pub(crate) latency_target: Duration,
    /// Keys of the parts that the prompt may share with others.
    pub(crate) shared_parts: Vec<PartKey>,
    /// Stands for all requests of the same content.
    pub(crate) content: RequestKey,
    /// Whether the client retries a request that was refused before.
    pub(crate) is_returning: bool,
    /// Whether a returning request comes when its client was told; `None` for other requests, and
    /// unless the entries coordinate these times.
    pub(crate) kept_time: Option<bool>,
    pub(crate) history: AttemptHistory,
    pub(super) retries: Rc<RetryAccount>,
}

impl Exchange {
    /// Makes attempts until there is a response for the client.
    pub(crate) async fn run(self) -> Response<ResponseBody> {
        // A client that resumes a stream has its events up to the one that it names.
        let is_stream = self.route.kind.is_stream();
        let last_event = self.envelope.last_event.filter(|_| is_stream);
        let point = ResumePoint { last_event, media_type: None };
        loop {
            let (head, seat) = match self.next_answer(&point).await {
                Ok(Answer::Head(head, seat)) => (head, seat),
                Ok(Answer::Stream(reader)) => return relay::spawn(self, *reader),
                Err(reason) => return self.final_response(reason),
            };
            if is_stream && head.parts.status.is_success() {
                let reader = StreamReader::new(*head, seat, self.numbering());
                return relay::spawn(self, reader);
            }
            match self.read_plain(*head, seat).await {
                Ok(response) => return response,
                Err(failure) => {
                    if let Err(reason) = self.record_failure(&failure) {
                        return self.final_response(reason);
                    }
                }
            }
        }
    }

    /// Makes attempts until a replica starts a valid response. `point` is where a stream resumes.
    pub(crate) async fn next_answer(&self, point: &ResumePoint) -> Result<Answer, StopReason> {
        loop {
            let now = self.shared.clock.now();
            if self.deadline.saturating_sub(now) < ATTEMPT_TIME_MIN {
                return Err(StopReason::DeadlinePassed);
            }
            self.check_blocked()?;
            let seat = self.acquire_seat(self.history.runs.get() > 0).await?;
            // It may have been blocked while it waited.
            self.check_blocked()?;
            let failure = match self.attempt(seat, point).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            self.record_failure(&failure)?;
        }
    }

    /// Makes one attempt. A stream's upstream that is silent is kept until another one has begun.
    async fn attempt(&self, seat: SeatGuard, point: &ResumePoint) -> Result<Answer, FailedAttempt> {
        let is_stream = self.route.kind.is_stream();
        let connection = match self.connect(&seat).await {
            Ok(connection) => connection,
            Err(failure) => {
                seat.finish(failure.outcome);
                return Err(failure);
            }
        };
        let sent = self.send(&seat, connection, point.last_event, !is_stream);
        let result = match is_stream {
            false => sent.await,
            true => {
                let now = self.shared.clock.now();
                let handover = Handover::new(&seat.seat().upstream, now);
                match self.race(&handover, point, sent, Result::is_err).await {
                    Raced::Kept(result) => result,
                    Raced::Moved(reader, broken) => {
                        let failure = broken.and_then(Result::err).unwrap_or_else(|| {
                            let detail = "no response in time".into();
                            self.fail(&seat, SendOutcome::Silent, true, detail)
                        });
                        seat.finish(failure.outcome);
                        self.log_failure(&failure);
                        return Ok(Answer::Stream(reader));
                    }
                }
            }
        };
        match result {
            Ok(head) => Ok(Answer::Head(Box::new(head), seat)),
            Err(failure) => {
                seat.finish(failure.outcome);
                Err(failure)
            }
        }
    }

    /// Records a failed attempt.
    ///
    /// # Errors
    /// No further attempt may follow.
    pub(crate) fn record_failure(&self, failure: &FailedAttempt) -> Result<(), StopReason> {
        self.log_failure(failure);
        if failure.may_have_run && !self.may_run_again() {
            return Err(StopReason::AttemptsUsed);
        }
        if !failure.may_have_run && self.history.not_run.get() > NOT_RUN_MAX {
            return Err(StopReason::RefusalsUsed);
        }
        // If no upstream received the request, the retry needs no budget.
        if failure.outcome.is_unsent() {
            self.shared.meters.record_repeat(&self.service, "free");
            return Ok(());
        }
        self.take_retry()
    }

    /// Whether the request may run once more.
    pub(super) fn may_run_again(&self) -> bool {
        self.route.kind.is_repeatable() && self.history.runs.get() < self.route.max_attempts
    }

    /// Takes one retry from the budget of the service.
    ///
    /// # Errors
    /// The budget is used up.
    pub(super) fn take_retry(&self) -> Result<(), StopReason> {
        match self.retries.take(&self.envelope.id) {
            true => Ok(()),
            false => Err(StopReason::BudgetSpent),
        }
    }

    pub(super) fn log_failure(&self, failure: &FailedAttempt) {
        let id = &self.envelope.id;
        let now = self.shared.clock.now();
        let began = failure.began.map(|at| now.saturating_sub(at).as_millis() as u64);
        tracing::info!(
            event = events::SEND_ENDED,
            request = %id,
            upstream = %failure.upstream,
            end = ?failure.outcome,
            detail = failure.detail,
            took_ms = self.elapsed().as_millis() as u64,
            began_ms = began,
            workspace = self.workspace.as_ref().map(|w| w.name.as_str()),
            parts = self.envelope.prompt_parts.join(","),
            content = format!("{:016x}", self.content),
            "attempt failed"
        );
    }

    /// Time since the request arrived.
    pub(crate) fn elapsed(&self) -> Duration {
        self.shared.clock.now().saturating_sub(self.arrived)
    }

    /// Time until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.shared.clock.now())
    }

    /// How the events of the stream are numbered.
    pub(super) fn numbering(&self) -> Numbering {
        Numbering {
            service: self.service.clone(),
            first_ids: self.shared.first_ids.clone(),
            is_numbered: self.route.kind.is_repeatable(),
        }
    }

    /// Urgency to state to the upstream; `None` if all requests to the service have the same.
    pub(super) fn urgency(&self) -> Option<u8> {
        let config = self.shared.catalog.config().filter(|_| self.shared.admits_by_load());
        let config = config.filter(|c| c.is_ranked(&self.service));
        config.map(|_| priority(&self.route, self.workspace.as_deref()))
    }

    pub(super) fn seat_request(&self, resumed: bool) -> SeatRequest {
        SeatRequest {
            ticket: self.shared.seats.next_ticket(),
            request_id: self.envelope.id.clone(),
            service: self.service.clone(),
            workspace: self.workspace.as_ref().map(|w| w.name.clone()).unwrap_or_default(),
            priority: priority(&self.route, self.workspace.as_deref()),
            excluded: self.history.tried.borrow().clone(),
            // The caller of a stream that goes on elsewhere waits from now on.
            arrived: if resumed { self.shared.clock.now() } else { self.arrived },
            deadline: self.deadline,
            latency_target: self.latency_target,
            gap_target: self.route.gap_target,
            prompt_tokens: self.envelope.prompt_tokens,
            is_returning: self.is_returning,
            is_on_time: self.kept_time == Some(true),
            is_resumed: resumed,
            is_repeatable: self.may_run_again(),
            draw: rand::random(),
        }
    }

    /// Waits for `next`, which yields the next data from `upstream`. Returns `None` if the deadline
    /// has passed or, if it `may_leave`, if the upstream has brought nothing useful since `since`,
    /// for so long that a repeatable request should move to another one.
    pub(crate) async fn next_from<T>(
        &self,
        upstream: &Name,
        since: Duration,
        next: impl Future<Output = T>,
        may_leave: bool,
    ) -> Option<T> {
        let mut next = std::pin::pin!(next);
        let may_move = may_leave && self.may_run_again();
        loop {
            // Data that never ends, or trickles, is always at hand, so the time is checked first.
            let now = self.shared.clock.now();
            let silence = now.saturating_sub(since);
            if self.time_left().is_zero() || (may_move && self.is_overdue(upstream, silence, now)) {
                return None;
            }
            let limit = if may_move {
                self.time_left().min(SILENCE_CHECK_INTERVAL)
            } else {
                self.time_left()
            };
            if let Ok(received) = timeout(limit, next.as_mut()).await {
                return Some(received);
            }
        }
    }

    pub(super) fn is_overdue(&self, upstream: &str, silence: Duration, now: Duration) -> bool {
        if self.route.kind.is_stream() {
            let tried = self.history.tried.borrow();
            return self
                .shared
                .seats
                .with_balancer(|balancer| balancer.should_move(upstream, &tried, silence, now));
        }
        silence >= self.latency_target.mul_f64(PLAIN_SILENCE_FACTOR).max(PLAIN_SILENCE_MIN)
    }

    /// Reads the complete body of a plain response.
    async fn read_plain(
        &self,
        head: ResponseHead,
        seat: SeatGuard,
    ) -> Result<Response<ResponseBody>, FailedAttempt> {
        let ResponseHead { parts, body, connection, verdict, sent_at, began } = head;
        let upstream = seat.seat().upstream.clone();
        let is_failure = !parts.status.is_success();
        let limit = if is_failure { FAILURE_BYTES_MAX } else { RESPONSE_BYTES_MAX };
        let read = self.shared.buffers.collect(body, limit);
        let bytes = match self.next_from(&upstream, self.shared.clock.now(), read, true).await {
            Some(Ok(buffered)) => buffered.bytes,
            Some(Err(error)) => {
                let outcome = match error {
                    BufferError::Interrupted { .. } => {
                        self.check_crash(&seat, sent_at);
                        self.record_broken(&seat, sent_at);
                        SendOutcome::Lost
                    }
                    BufferError::Oversized { .. } => SendOutcome::Lost,
                    // The replica has no part in it.
                    BufferError::Exhausted { .. } => SendOutcome::Abandoned,
                };
                return Err(FailedAttempt::begun(seat, began, outcome, error.to_string()));
            }
            None => {
                let (outcome, detail) = (SendOutcome::Silent, "response body incomplete in time");
                return Err(FailedAttempt::begun(seat, began, outcome, detail.into()));
            }
        };
        self.shared.pool.put_back(connection, &parts.headers);
        self.record_answer();
        let failed = verdict == Verdict::Failed;
        if !failed {
            self.record_survival();
        }
        let status = parts.status;
        let response = self.client_response(parts, bytes);
        if failed && self.may_run_again() {
            self.history.last_failure.replace(Some(response));
            let (outcome, detail) = (SendOutcome::Failed, format!("upstream failed with {status}"));
            return Err(FailedAttempt::begun(seat, began, outcome, detail));
        }
        seat.finish(if failed { SendOutcome::Failed } else { SendOutcome::Good });
        self.record_response(status.as_u16(), None, Some(&upstream));
        Ok(response)
    }

    fn client_response(&self, parts: Parts, bytes: Bytes) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::full(bytes));
        *response.status_mut() = parts.status;
        let keep = |name: &hyper::header::HeaderName| {
            self.method == Method::HEAD || name != CONTENT_LENGTH
        };
        super::hops::copy_end_to_end(&parts.headers, response.headers_mut(), keep);
        response
    }

    /// The response to a request for which no further attempt is made.
    fn final_response(self, reason: StopReason) -> Response<ResponseBody> {
        if let Some(failure) = self.history.last_failure.take() {
            self.record_response(failure.status().as_u16(), None, None);
            return failure;
        }
        let ran = self.history.runs.get() > 0;
        let (code, retry) = match reason {
            StopReason::DeadlinePassed if ran => (codes::ANSWER_LATE, None),
            _ if ran => (codes::ANSWER_LOST, None),
            StopReason::PartBlocked => {
                (codes::PART_BLOCKED, Some(crate::balance::constants::RETRY_AFTER_MAX))
            }
            StopReason::RequestBlocked => {
                (codes::REQUEST_BLOCKED, Some(crate::balance::constants::RETRY_AFTER_MAX))
            }
            StopReason::DeadlinePassed => (codes::NOT_OFFERED, Some(Duration::ZERO)),
            StopReason::Stopping => (codes::STOPPING, Some(RETRY_AFTER_STOPPING)),
            StopReason::Refused(refusal) => (codes::NO_SEAT, Some(refusal.retry_after)),
            StopReason::AttemptsUsed
            | StopReason::RefusalsUsed
            | StopReason::BudgetSpent
            | StopReason::Status(_)
            | StopReason::Failed(_) => {
                (codes::TURNED_DOWN, Some(crate::balance::constants::RETRY_AFTER_MAX))
            }
        };
        let response = match retry {
            Some(after) => refuse::retry_later(code, after),
            None => refuse::response(code),
        };
        self.record_response(response.status().as_u16(), Some(code), None);
        response
    }

    fn record_response(&self, status: u16, code: Option<Code>, upstream: Option<&Name>) {
        let elapsed = self.elapsed();
        self.shared.meters.record_response(status, elapsed);
        tracing::info!(
            event = events::REQUEST_ANSWERED,
            request = %self.envelope.id,
            status,
            code = code.map(|c| c.to_string()),
            upstream = upstream.map(Name::as_str),
            sends = self.attempts(),
            took_ms = elapsed.as_millis() as u64,
            "request answered"
        );
    }

    /// Number of attempts so far.
    pub(crate) fn attempts(&self) -> usize {
        self.history.tried.borrow().len()
    }
}

/// Priority of the workspace or else of the route; 0 is the most urgent.
pub(super) fn priority(route: &Route, workspace: Option<&Workspace>) -> u8 {
    workspace.and_then(|w| w.priority).unwrap_or(route.priority)
}
