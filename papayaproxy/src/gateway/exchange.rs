//! Forwards one request: attempts at upstreams, retry decisions and the final response.

use super::body::ResponseBody;
use super::buffer::Buffered;
use super::codes;
use super::constants::{
    ATTEMPT_TIME_MIN, NOT_RUN_MAX, PLAIN_SILENCE_FACTOR, PLAIN_SILENCE_MIN, REFUSAL_BYTES_MAX,
    REFUSAL_TIMEOUT, RESPONSE_BYTES_MAX, RETRY_AFTER_STOPPING, SILENCE_CHECK_INTERVAL,
};
use super::envelope::{Envelope, Verdict};
use super::events;
use super::pool::{Connection, SendError};
use super::process::{InFlight, Shared};
use super::refuse;
use super::relay;
use super::repeats;
use super::seats::SeatGuard;
use crate::balance::{Balancer, Refusal, SeatRequest, SendOutcome};
use crate::base::code::Code;
use crate::base::name::Name;
use crate::catalog::{Route, Workspace};
use crate::platform::{replica, request};
use crate::quarantine::PartKey;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, Request, Response, Uri};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// One client request with a known route and a complete body, and the state of its attempts.
pub(crate) struct Exchange {
    pub(crate) shared: Rc<Shared>,
    /// Counts the request as in progress until its response, including a stream, has ended.
    pub(crate) in_flight: Rc<InFlight>,
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
    /// Whether the client retries a request that was refused before.
    pub(crate) is_returning: bool,
    pub(crate) history: AttemptHistory,
}

/// The attempts made for one request.
#[derive(Default)]
pub(crate) struct AttemptHistory {
    /// Upstreams that have been tried, oldest first.
    tried: Vec<Name>,
    /// When the last attempt was sent, on the process clock; `None` before the first.
    pub(super) sent_at: Option<Duration>,
    /// When the answer of the last attempt began; `None` before its head.
    began: Option<Duration>,
    /// Failed attempts in which the request may have run.
    pub(crate) maybe_run: u32,
    /// Failed attempts in which the request did not run.
    not_run: u32,
    /// Last response of an upstream that ran the request and failed. It is returned if all retries
    /// fail.
    last_failure: Option<Response<ResponseBody>>,
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
pub(crate) enum StopReason {
    /// The balancer found no upstream with capacity in time.
    Refused(Refusal),
    /// The deadline has passed.
    DeadlinePassed,
    /// The entry stops before the request could be expected to end.
    Stopping,
    /// The request must not be retried, or the retry budget is used up.
    RetriesExhausted,
    /// A part of the prompt crashes upstreams.
    PartBlocked,
}

impl Exchange {
    /// Makes attempts until there is a response for the client.
    pub(crate) async fn run(mut self) -> Response<ResponseBody> {
        loop {
            let head = match self.next_head(None).await {
                Ok(head) => head,
                Err(reason) => return self.final_response(reason),
            };
            if self.route.kind.is_stream() && head.parts.status.is_success() {
                return relay::spawn(self, head);
            }
            match self.read_plain(head).await {
                Ok(response) => return response,
                Err(failure) => {
                    if !self.record_failure(&failure) {
                        return self.final_response(StopReason::RetriesExhausted);
                    }
                }
            }
        }
    }

    /// Makes attempts until a replica starts a valid response. `last_event` is the event after
    /// which a stream resumes.
    pub(crate) async fn next_head(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<ResponseHead, StopReason> {
        loop {
            let now = self.shared.clock.now();
            if self.deadline.saturating_sub(now) < ATTEMPT_TIME_MIN {
                return Err(StopReason::DeadlinePassed);
            }
            if self.is_blocked() {
                return Err(StopReason::PartBlocked);
            }
            let resumed = self.history.maybe_run > 0 && self.route.kind.is_stream();
            let seat_wait = self.shared.seats.acquire(self.seat_request(resumed));
            let time_left = self.deadline.saturating_sub(now);
            let seat = match timeout(time_left, seat_wait).await {
                Ok(Ok(seat)) => seat,
                Ok(Err(refusal)) => return Err(StopReason::Refused(refusal)),
                Err(_) => return Err(StopReason::DeadlinePassed),
            };
            // The entry may have begun to stop while the request waited. One that may have run goes
            // on, since only its answer can end it well.
            if self.history.maybe_run == 0 && !self.shared.can_finish(&self.route, self.time_left())
            {
                return Err(StopReason::Stopping);
            }
            // A part may have been blocked while the request waited.
            if self.is_blocked() {
                return Err(StopReason::PartBlocked);
            }
            match self.send(seat, last_event).await {
                Ok(head) => return Ok(head),
                Err(failure) => {
                    if !self.record_failure(&failure) {
                        return Err(StopReason::RetriesExhausted);
                    }
                }
            }
        }
    }

    /// Records a failed attempt. Returns whether another attempt may follow.
    pub(crate) fn record_failure(&mut self, failure: &FailedAttempt) -> bool {
        let id = &self.envelope.id;
        let now = self.shared.clock.now();
        let began = self.history.began.map(|at| now.saturating_sub(at).as_millis() as u64);
        tracing::info!(
            event = events::SEND_ENDED,
            request = %id,
            upstream = self.history.tried.last().map(Name::as_str),
            end = ?failure.outcome,
            detail = failure.detail,
            took_ms = self.elapsed().as_millis() as u64,
            began_ms = began,
            workspace = self.workspace.as_ref().map(|w| w.name.as_str()),
            parts = self.envelope.prompt_parts.join(","),
            "attempt failed"
        );
        if failure.may_have_run {
            self.history.maybe_run += 1;
            if !self.route.kind.is_repeatable() || self.history.maybe_run >= self.route.max_attempts
            {
                return false;
            }
        } else {
            self.history.not_run += 1;
            if self.history.not_run > NOT_RUN_MAX {
                return false;
            }
        }
        if matches!(
            failure.outcome,
            SendOutcome::Unreached | SendOutcome::Closed | SendOutcome::Stale
        ) {
            // No upstream received the request, so the retry needs no budget.
            self.shared.meters.record_repeat(&self.service, "free");
            return true;
        }
        let decision = self.shared.seats.with_balancer(|b| b.try_retry(&self.service, now));
        repeats::record(&self.shared.meters, id, &self.service, decision)
    }

    /// Time since the request arrived.
    pub(crate) fn elapsed(&self) -> Duration {
        self.shared.clock.now().saturating_sub(self.arrived)
    }

    /// Time until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.shared.clock.now())
    }

    fn seat_request(&self, resumed: bool) -> SeatRequest {
        SeatRequest {
            ticket: self.shared.seats.next_ticket(),
            request_id: self.envelope.id.clone(),
            service: self.service.clone(),
            excluded: self.history.tried.clone(),
            arrived: self.arrived,
            deadline: self.deadline,
            latency_target: self.latency_target,
            gap_target: self.route.gap_target,
            prompt_tokens: self.envelope.prompt_tokens,
            is_returning: self.is_returning,
            is_resumed: resumed,
            draw: rand::random(),
        }
    }

    /// Makes one attempt: connects, sends the request and reads the head of the response.
    async fn send(
        &mut self,
        seat: SeatGuard,
        last_event: Option<u64>,
    ) -> Result<ResponseHead, FailedAttempt> {
        self.history.tried.push(seat.seat().upstream.clone());
        (self.history.sent_at, self.history.began) = (Some(self.shared.clock.now()), None);
        let repeatable = self.route.kind.is_repeatable();
        let address = seat.seat().address;
        let connection = self.shared.pool.connection(address, repeatable).await;
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(error) => {
                let outcome =
                    if error.is_unreachable { SendOutcome::Unreached } else { SendOutcome::Closed };
                return Err(fail_attempt(seat, outcome, false, error.detail));
            }
        };
        let request = self.build_request(&seat, last_event);
        let upstream = seat.seat().upstream.clone();
        let sent_at = self.shared.clock.now();
        let response = match self.next_from(&upstream, sent_at, connection.send(request)).await {
            Some(Ok(response)) => response,
            Some(Err(SendError::Unsent(detail))) => {
                return Err(fail_attempt(seat, SendOutcome::Stale, false, detail));
            }
            Some(Err(SendError::Lost(detail))) => {
                return Err(fail_attempt(seat, SendOutcome::Lost, true, detail));
            }
            None => {
                return Err(fail_attempt(
                    seat,
                    SendOutcome::Silent,
                    true,
                    "no response in time".into(),
                ));
            }
        };
        let (parts, body) = response.into_parts();
        let is_reused = connection.is_reused();
        let verdict = replica::verdict(&self.envelope.id, parts.status, &parts.headers, is_reused);
        if !matches!(verdict, Verdict::Foreign | Verdict::NotRun { misdirected: true }) {
            let limit = replica::rate_limit(&parts.headers);
            let (now, draw) = (self.shared.clock.now(), rand::random());
            let observe = |b: &mut Balancer| b.observe_limit(&upstream, limit, draw, now);
            self.shared.seats.with_balancer(observe);
        }
        match verdict {
            Verdict::NotRun { misdirected } => {
                let outcome = if misdirected { SendOutcome::Foreign } else { SendOutcome::Full };
                let detail = format!("{} without running the request", parts.status);
                self.drain_body(body, connection, &parts.headers).await;
                Err(fail_attempt(seat, outcome, false, detail))
            }
            Verdict::Foreign => {
                let detail = format!("{} is not a valid response to this request", parts.status);
                Err(fail_attempt(seat, SendOutcome::Lost, true, detail))
            }
            Verdict::Unproven => {
                let detail = format!("{} does not state whether the request ran", parts.status);
                Err(fail_attempt(seat, SendOutcome::Failed, true, detail))
            }
            verdict => {
                self.history.began = Some(self.shared.clock.now());
                Ok(ResponseHead { parts, body, connection, seat, verdict })
            }
        }
    }

    /// Reads the short body of a refusal, so that its connection can be reused.
    async fn drain_body(&self, body: Incoming, connection: Connection, headers: &HeaderMap) {
        let read = self.shared.buffers.collect(body, REFUSAL_BYTES_MAX);
        if let Ok(Ok(_)) = timeout(REFUSAL_TIMEOUT, read).await {
            self.shared.pool.put_back(connection, headers);
        }
    }

    fn build_request(&self, seat: &SeatGuard, last_event: Option<u64>) -> Request<Full<Bytes>> {
        let attempt = request::AttemptHeaders {
            replica: &seat.seat().upstream,
            workspace: self.workspace.as_ref().map(|w| w.name.as_str()),
            time_left: Some(self.time_left()),
            last_event,
        };
        let mut request = Request::new(Full::new(self.body.bytes.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = request::replica_headers(&self.headers, &attempt);
        request
    }

    /// Waits for `next`, which yields the next data from `upstream`. Returns `None` if the deadline
    /// has passed, or if the upstream has brought nothing useful since `since`, for so long that a
    /// repeatable request should move to another one.
    pub(crate) async fn next_from<T>(
        &self,
        upstream: &Name,
        since: Duration,
        next: impl Future<Output = T>,
    ) -> Option<T> {
        let mut next = std::pin::pin!(next);
        let has_attempts = self.history.maybe_run + 1 < self.route.max_attempts;
        let may_move = has_attempts && self.route.kind.is_repeatable();
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

    fn is_overdue(&self, upstream: &str, silence: Duration, now: Duration) -> bool {
        if self.route.kind.is_stream() {
            return self
                .shared
                .seats
                .with_balancer(|balancer| balancer.should_move(upstream, silence, now));
        }
        silence >= self.latency_target.mul_f64(PLAIN_SILENCE_FACTOR).max(PLAIN_SILENCE_MIN)
    }

    /// Reads the complete body of a plain response.
    async fn read_plain(
        &mut self,
        head: ResponseHead,
    ) -> Result<Response<ResponseBody>, FailedAttempt> {
        let ResponseHead { parts, body, connection, seat, verdict } = head;
        let upstream = seat.seat().upstream.clone();
        let read = self.shared.buffers.collect(body, RESPONSE_BYTES_MAX);
        let bytes = match self.next_from(&upstream, self.shared.clock.now(), read).await {
            Some(Ok(buffered)) => buffered.bytes,
            Some(Err(error)) => {
                self.check_crash(&seat);
                return Err(fail_attempt(seat, SendOutcome::Lost, true, error.to_string()));
            }
            None => {
                return Err(fail_attempt(
                    seat,
                    SendOutcome::Silent,
                    true,
                    "response body incomplete in time".into(),
                ));
            }
        };
        self.shared.pool.put_back(connection, &parts.headers);
        let failed = verdict == Verdict::Failed;
        if !failed {
            self.record_survival();
        }
        seat.finish(if failed { SendOutcome::Failed } else { SendOutcome::Good });
        let status = parts.status;
        let response = self.client_response(parts, bytes);
        let is_last = self.history.maybe_run + 1 >= self.route.max_attempts;
        if failed && self.route.kind.is_repeatable() && !is_last {
            self.history.last_failure = Some(response);
            let detail = format!("upstream failed with {status}");
            return Err(FailedAttempt { outcome: SendOutcome::Failed, may_have_run: true, detail });
        }
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
    fn final_response(mut self, reason: StopReason) -> Response<ResponseBody> {
        if let Some(failure) = self.history.last_failure.take() {
            self.record_response(failure.status().as_u16(), None, None);
            return failure;
        }
        let ran = self.history.maybe_run > 0;
        let (code, retry) = match reason {
            StopReason::DeadlinePassed if ran => (codes::ANSWER_LATE, None),
            _ if ran => (codes::ANSWER_LOST, None),
            StopReason::PartBlocked => {
                (codes::PART_BLOCKED, Some(crate::balance::constants::RETRY_AFTER_MAX))
            }
            StopReason::DeadlinePassed => (codes::NOT_OFFERED, Some(Duration::ZERO)),
            StopReason::Stopping => (codes::STOPPING, Some(RETRY_AFTER_STOPPING)),
            StopReason::Refused(refusal) => (codes::NO_SEAT, Some(refusal.retry_after)),
            StopReason::RetriesExhausted => {
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
            sends = self.history.tried.len(),
            took_ms = elapsed.as_millis() as u64,
            "request answered"
        );
    }

    /// Number of attempts so far.
    pub(crate) fn attempts(&self) -> usize {
        self.history.tried.len()
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
