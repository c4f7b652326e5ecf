//! One request from its head to its answer: the attempts at upstreams and what follows each.

use super::body::ReplyBody;
use super::codes;
use super::constants::{
    ANSWER_BYTES_MAX, PLAIN_SILENCE, PLAIN_SILENCE_LEAST, SEND_LEAST, SILENCE_SLICE, UNRUN_MAX,
};
use super::envelope::{Envelope, Verdict};
use super::events;
use super::pool::{Link, SendError};
use super::process::{Busy, Shared};
use super::refuse;
use super::relay;
use super::seats::TakenSeat;
use crate::balance::{Refusal, SeatRequest, SendOutcome};
use crate::base::code::Code;
use crate::base::name::Name;
use crate::catalog::{Route, Workspace};
use crate::platform::{replica, request};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Method, Request, Response, Uri};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// A request whose route is known and whose body is whole.
pub(crate) struct Call {
    /// The process.
    pub(crate) shared: Rc<Shared>,
    /// Counts it as in progress, until the last event of a stream too.
    pub(crate) _busy: Busy,
    /// What the client says of it.
    pub(crate) envelope: Envelope,
    /// Its route.
    pub(crate) route: Arc<Route>,
    /// The service it goes to.
    pub(crate) service: Name,
    /// The workspace of its key.
    pub(crate) workspace: Option<Arc<Workspace>>,
    /// Its method.
    pub(crate) method: Method,
    /// Its path and query.
    pub(crate) target: Uri,
    /// Its headers.
    pub(crate) headers: HeaderMap,
    /// Its body.
    pub(crate) body: Bytes,
    /// When it came.
    pub(crate) arrived: Duration,
    /// When its client or its route gives up.
    pub(crate) deadline: Duration,
    /// Time in which an answer is on time.
    pub(crate) on_time: Duration,
    /// Whether it was refused before.
    pub(crate) back: bool,
    /// What has become of it so far.
    pub(crate) history: History,
}

/// The sends of one request.
#[derive(Default)]
pub(crate) struct History {
    /// Upstreams that had it.
    avoid: Vec<Name>,
    /// Sends that may have run.
    pub(crate) runs: u32,
    /// Sends that have not run.
    unrun: u32,
    /// Last answer of an upstream that failed.
    failure: Option<Response<ReplyBody>>,
}

/// A head of an answer, and the connection it came on.
pub(crate) struct Head {
    /// Status and headers.
    pub(crate) parts: Parts,
    /// What follows.
    pub(crate) body: Incoming,
    /// The connection.
    pub(crate) link: Link,
    /// The seat.
    pub(crate) seat: TakenSeat,
    /// What the head proves.
    pub(crate) verdict: Verdict,
}

/// A send that brought no answer.
#[derive(Debug)]
pub(crate) struct Missed {
    /// How it ended.
    pub(crate) end: SendOutcome,
    /// Whether the request may have run.
    pub(crate) ran: bool,
    /// What was seen.
    pub(crate) detail: String,
}

/// Why there is no further send.
pub(crate) enum Stop {
    /// Upstreams have no room.
    Refused(Refusal),
    /// The time is over.
    Late,
    /// It must not, or may not, be sent again.
    Spent,
}

impl Call {
    /// Sends the request until there is an answer.
    pub(crate) async fn run(mut self) -> Response<ReplyBody> {
        loop {
            let head = match self.next_head(None).await {
                Ok(head) => head,
                Err(stop) => return self.conclude(stop),
            };
            if self.route.kind.is_stream() && head.parts.status.is_success() {
                return relay::spawn(self, head);
            }
            match self.read_plain(head).await {
                Ok(response) => return response,
                Err(missed) => {
                    if !self.note(&missed) {
                        return self.conclude(Stop::Spent);
                    }
                }
            }
        }
    }

    /// Sends the request until a replica begins to answer. `last_event` tells where a stream is
    /// taken up.
    pub(crate) async fn next_head(&mut self, last_event: Option<u64>) -> Result<Head, Stop> {
        loop {
            let now = self.shared.clock.now();
            if self.deadline.saturating_sub(now) < SEND_LEAST {
                return Err(Stop::Late);
            }
            let begun = self.history.runs > 0 && self.route.kind.is_stream();
            let asked = self.shared.seats.take(self.ask(begun));
            let left = self.deadline.saturating_sub(now);
            let seat = match timeout(left, asked).await {
                Ok(Ok(seat)) => seat,
                Ok(Err(refusal)) => return Err(Stop::Refused(refusal)),
                Err(_) => return Err(Stop::Late),
            };
            match self.send(seat, last_event).await {
                Ok(head) => return Ok(head),
                Err(missed) => {
                    if !self.note(&missed) {
                        return Err(Stop::Spent);
                    }
                }
            }
        }
    }

    /// Takes note of a send that brought nothing. `true` if another one may follow.
    pub(crate) fn note(&mut self, missed: &Missed) -> bool {
        let id = &self.envelope.id;
        tracing::info!(
            event = events::SEND_ENDED,
            request = %id,
            upstream = self.history.avoid.last().map(Name::as_str),
            end = ?missed.end,
            detail = missed.detail,
            took_ms = self.took().as_millis() as u64,
            "no answer"
        );
        if missed.ran {
            self.history.runs += 1;
            if !self.route.kind.is_repeatable() || self.history.runs >= self.route.max_attempts {
                return false;
            }
        } else {
            self.history.unrun += 1;
            if self.history.unrun > UNRUN_MAX {
                return false;
            }
        }
        if matches!(missed.end, SendOutcome::Unreached | SendOutcome::Closed | SendOutcome::Stale) {
            // Nothing arrived anywhere, so that no budget is touched.
            return true;
        }
        let now = self.shared.clock.now();
        let allowed = self.shared.seats.with(|desk| desk.try_retry(&self.service, now));
        if !allowed {
            let (event, service) = (events::REPEAT_DENIED, &self.service);
            tracing::warn!(event, request = %self.envelope.id, %service, "repeat denied");
        }
        allowed
    }

    /// Time since the request came.
    pub(crate) fn took(&self) -> Duration {
        self.shared.clock.now().saturating_sub(self.arrived)
    }

    /// Time until the client or the route gives up.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_sub(self.shared.clock.now())
    }

    fn ask(&self, begun: bool) -> SeatRequest {
        SeatRequest {
            ticket: self.shared.seats.next_ticket(),
            request_id: self.envelope.id.clone(),
            service: self.service.clone(),
            excluded: self.history.avoid.clone(),
            arrived: self.arrived,
            deadline: self.deadline,
            latency_target: self.on_time,
            gap_target: self.route.gap_target,
            prompt_tokens: self.envelope.prompt_tokens,
            is_returning: self.back,
            is_resumed: begun,
            draw: rand::random(),
        }
    }

    /// One send: a connection, the request, the head of the answer.
    async fn send(&mut self, seat: TakenSeat, last_event: Option<u64>) -> Result<Head, Missed> {
        self.history.avoid.push(seat.seat().upstream.clone());
        let repeatable = self.route.kind.is_repeatable();
        let address = seat.seat().address;
        let link = self.shared.pool.link(address, repeatable).await;
        let mut link = match link {
            Ok(link) => link,
            Err(error) => {
                let end = if error.silent { SendOutcome::Unreached } else { SendOutcome::Closed };
                return Err(miss(seat, end, false, error.detail));
            }
        };
        let request = self.build(&seat, last_event);
        let upstream = seat.seat().upstream.clone();
        let response = match self.heard(&upstream, link.send(request)).await {
            Some(Ok(response)) => response,
            Some(Err(SendError::Unsent(detail))) => {
                return Err(miss(seat, SendOutcome::Stale, false, detail));
            }
            Some(Err(SendError::Lost(detail))) => {
                return Err(miss(seat, SendOutcome::Lost, true, detail));
            }
            None => return Err(miss(seat, SendOutcome::Silent, true, "no answer in time".into())),
        };
        let (parts, body) = response.into_parts();
        match replica::read(&self.envelope.id, parts.status, &parts.headers) {
            Verdict::NotRun { misdirected } => {
                let end = if misdirected { SendOutcome::Foreign } else { SendOutcome::Full };
                let detail = format!("{} without a run", parts.status);
                self.drain(body, link, &parts.headers).await;
                Err(miss(seat, end, false, detail))
            }
            Verdict::Foreign => {
                let detail = format!("{} that is no answer to this request", parts.status);
                Err(miss(seat, SendOutcome::Lost, true, detail))
            }
            Verdict::Unproven => {
                let detail = format!("{} that does not say whether it ran", parts.status);
                Err(miss(seat, SendOutcome::Failed, true, detail))
            }
            verdict => Ok(Head { parts, body, link, seat, verdict }),
        }
    }

    /// Reads the small body of a refusal, so that its connection can be kept.
    async fn drain(&self, body: Incoming, link: Link, headers: &HeaderMap) {
        let read = Limited::new(body, ANSWER_BYTES_MAX).collect();
        if let Ok(Ok(_)) = timeout(PLAIN_SILENCE_LEAST, read).await {
            self.shared.pool.keep(link, headers);
        }
    }

    fn build(&self, seat: &TakenSeat, last_event: Option<u64>) -> Request<Full<Bytes>> {
        let send = request::Send {
            replica: &seat.seat().upstream,
            workspace: self.workspace.as_ref().map(|w| w.name.as_str()),
            left: Some(self.left()),
            last_event,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = request::rewrite(&self.headers, &send);
        request
    }

    /// Waits for the next word of `upstream`; `None` where the time is over, or where the upstream
    /// has been silent for so long that the request is better taken elsewhere.
    pub(crate) async fn heard<T>(
        &self,
        upstream: &Name,
        word: impl Future<Output = T>,
    ) -> Option<T> {
        let mut word = std::pin::pin!(word);
        let begun = self.shared.clock.now();
        let more = self.history.runs + 1 < self.route.max_attempts;
        let movable = more && self.route.kind.is_repeatable();
        loop {
            let limit = if movable { self.left().min(SILENCE_SLICE) } else { self.left() };
            if let Ok(heard) = timeout(limit, word.as_mut()).await {
                return Some(heard);
            }
            let now = self.shared.clock.now();
            let silence = now.saturating_sub(begun);
            if self.left().is_zero() || (movable && self.is_overdue(upstream, silence, now)) {
                return None;
            }
        }
    }

    fn is_overdue(&self, upstream: &str, silence: Duration, now: Duration) -> bool {
        if self.route.kind.is_stream() {
            return self.shared.seats.with(|desk| desk.should_move(upstream, silence, now));
        }
        silence >= self.on_time.mul_f64(PLAIN_SILENCE).max(PLAIN_SILENCE_LEAST)
    }

    /// Reads a whole plain answer.
    async fn read_plain(&mut self, head: Head) -> Result<Response<ReplyBody>, Missed> {
        let Head { parts, body, link, seat, verdict } = head;
        let read = Limited::new(body, ANSWER_BYTES_MAX).collect();
        let bytes = match timeout(self.left(), read).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => return Err(miss(seat, SendOutcome::Lost, true, error.to_string())),
            Err(_) => {
                return Err(miss(seat, SendOutcome::Silent, true, "body not whole in time".into()));
            }
        };
        self.shared.pool.keep(link, &parts.headers);
        let failed = verdict == Verdict::Failed;
        let upstream = seat.seat().upstream.clone();
        seat.ended(if failed { SendOutcome::Failed } else { SendOutcome::Good });
        let status = parts.status;
        let response = self.passed_on(parts, bytes);
        let last = self.history.runs + 1 >= self.route.max_attempts;
        if failed && self.route.kind.is_repeatable() && !last {
            self.history.failure = Some(response);
            let detail = format!("{status} of the upstream itself");
            return Err(Missed { end: SendOutcome::Failed, ran: true, detail });
        }
        self.log_answer(status.as_u16(), None, Some(&upstream));
        Ok(response)
    }

    fn passed_on(&self, parts: Parts, bytes: Bytes) -> Response<ReplyBody> {
        let mut response = Response::new(ReplyBody::whole(bytes));
        *response.status_mut() = parts.status;
        let keep = |name: &hyper::header::HeaderName| {
            self.method == Method::HEAD || name != CONTENT_LENGTH
        };
        super::hops::copy_end_to_end(&parts.headers, response.headers_mut(), keep);
        response
    }

    /// The answer of a request that is not sent any more.
    fn conclude(mut self, stop: Stop) -> Response<ReplyBody> {
        if let Some(failure) = self.history.failure.take() {
            self.log_answer(failure.status().as_u16(), None, None);
            return failure;
        }
        let ran = self.history.runs > 0;
        let (code, retry) = match stop {
            Stop::Late if ran => (codes::ANSWER_LATE, None),
            _ if ran => (codes::ANSWER_LOST, None),
            Stop::Late => (codes::NOT_OFFERED, Some(Duration::ZERO)),
            Stop::Refused(refusal) => (codes::NO_SEAT, Some(refusal.retry_after)),
            Stop::Spent => (codes::TURNED_DOWN, Some(crate::balance::constants::RETRY_AFTER_MAX)),
        };
        let response = match retry {
            Some(after) => refuse::come_back(code, after),
            None => refuse::answer(code),
        };
        self.log_answer(response.status().as_u16(), Some(code), None);
        response
    }

    fn log_answer(&self, status: u16, code: Option<Code>, upstream: Option<&Name>) {
        let took = self.took();
        self.shared.meters.answered(status, took);
        tracing::info!(
            event = events::REQUEST_ANSWERED,
            request = %self.envelope.id,
            status,
            code = code.map(|c| c.to_string()),
            upstream = upstream.map(Name::as_str),
            sends = self.history.avoid.len(),
            took_ms = took.as_millis() as u64,
            "answered"
        );
    }

    /// Sends of the request so far.
    pub(crate) fn sends(&self) -> usize {
        self.history.avoid.len()
    }
}

/// Ends a seat whose send brought nothing.
pub(crate) fn miss(seat: TakenSeat, end: SendOutcome, ran: bool, detail: String) -> Missed {
    seat.ended(end);
    Missed { end, ran, detail }
}
