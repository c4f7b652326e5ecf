//! Serves one request: validation, admission, attempts and the response.

use super::attempt::{
    AttemptReply, CompleteReply, StreamedReply, Target, attempt, is_event_stream,
};
use super::codes;
use super::constants::{ANSWER_MARGIN, KEYED_RETRY_INTERVAL, QUEUED_PIECES};
use super::events;
use super::gate::Permit;
use super::keyed::IssuingAgent;
use super::keys_api::{is_keys_path, keys_request};
use super::process::Shared;
use super::pump::relay_reply;
use super::reply;
use super::request::{CheckedRequest, KEY_HEADER, authenticate, check_request};
use super::route::RoutedAttempt;
use super::stream::ModelStream;
use crate::base::code::{Code, Outcome, outcome};
use crate::base::http::Body;
use crate::base::name::Name;
use crate::delivery::{Attempts, CallKind, Failure, NextStep};
use crate::fleet::Document;
use crate::limits::log_retry_denied;
use crate::routing::{AttemptOutcome, Ticket};
use http_body_util::BodyExt;
use http_body_util::channel::Channel;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

/// Error response to a request without a reply from an upstream.
pub(crate) struct Rejection {
    code: Code,
    retry_after: Option<Duration>,
    /// A call under the same key may have run through another entry, so the response must not say
    /// `not-run`.
    may_have_run: bool,
}

impl From<Code> for Rejection {
    fn from(code: Code) -> Self {
        Self { code, retry_after: None, may_have_run: false }
    }
}

/// An admitted request.
struct ActiveRequest {
    shared: Arc<Shared>,
    request: CheckedRequest,
    started: Instant,
    attempts: Attempts,
    attempt_count: u32,
    upstream: Name,
}

/// Answers a caller's request.
pub(crate) async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let id = rand::random();
    match serve(id, shared.clone(), request).await {
        Ok(response) => response,
        Err(rejection) => {
            shared.meters.record_rejected(rejection.code);
            reply::error_response(id, rejection.code, rejection.retry_after, rejection.may_have_run)
        }
    }
}

async fn serve(
    id: u64,
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Rejection> {
    let started = Instant::now();
    let arrived = shared.clock.now();
    let (parts, body) = request.into_parts();
    let document = shared.feed.document.load_full();
    if !shared.is_ready() {
        return Err(codes::ENTRY_NOT_READY.into());
    }
    let has_key = parts.headers.contains_key(KEY_HEADER);
    let request = read_request(id, parts, body, &document).await;
    let request =
        request.map_err(|code| Rejection { code, retry_after: None, may_have_run: has_key })?;
    let deadline = arrived + request.time_limit.saturating_sub(ANSWER_MARGIN);
    let permit = shared.gate.admit(&request, deadline).await;
    let may_have_run = request.kind == CallKind::Keyed;
    let permit = permit.map_err(|refused| {
        refused.log(&format!("{id:016x}"), &request.caller.workspace);
        Rejection { code: refused.code, retry_after: Some(refused.retry_after), may_have_run }
    })?;
    shared.retry_budgets.lock().earn(&request.caller.workspace);
    let attempts = Attempts::new(request.kind, deadline);
    let upstream = Name::new();
    let mut active =
        ActiveRequest { shared, request, started, attempts, attempt_count: 0, upstream };
    let result = active.run().await;
    match result {
        Ok((AttemptReply::Complete(complete), ticket)) => {
            Ok(active.finish_complete(complete, ticket))
        }
        Ok((AttemptReply::Streamed(streamed), ticket)) => {
            Ok(active.finish_streamed(*streamed, ticket, permit))
        }
        Err(rejection) => {
            active.log_end(rejection.code);
            Err(rejection)
        }
    }
}

async fn read_request(
    id: u64,
    parts: Parts,
    body: Incoming,
    document: &Document,
) -> Result<CheckedRequest, Code> {
    let caller = authenticate(&parts, document)?;
    if is_keys_path(parts.uri.path()) {
        return keys_request(id, caller, parts, body, document).await;
    }
    check_request(id, caller, parts, body, document).await
}

impl ActiveRequest {
    /// Makes attempts until one obtains a reply or no further one is allowed.
    async fn run(&mut self) -> Result<(AttemptReply, Option<Ticket>), Rejection> {
        if self.request.kind == CallKind::Keyed {
            return self.run_keyed().await.map(|reply| (reply, None));
        }
        let mut excluded: Vec<Name> = Vec::new();
        let mut last_code = None;
        loop {
            let left = self.attempts.start(self.shared.clock.now())?;
            let routed = self.shared.router.choose(&self.request, left, &excluded);
            let routed = routed.map_err(|refusal| match last_code {
                // The failure of an earlier attempt takes precedence over the lack of another
                // upstream: that attempt may have run.
                Some(code) => self.rejection(code, refusal.retry_after),
                None => self.rejection(refusal.code, refusal.retry_after),
            })?;
            self.attempt_count += 1;
            self.upstream = routed.decision.name.clone();
            match self.attempt(routed, left, &excluded).await {
                Ok((reply, ticket)) => return Ok((reply, Some(ticket))),
                Err(failure) => {
                    last_code = Some(self.decide_retry(failure)?);
                    excluded.push(self.upstream.clone());
                }
            }
        }
    }

    /// Calls the agent that issued the key, and retries if it is unreachable.
    async fn run_keyed(&mut self) -> Result<AttemptReply, Rejection> {
        let document = self.shared.feed.document.load_full();
        let secrets = &self.shared.settings.process.secrets;
        let issuer = IssuingAgent::find(&self.request, secrets, &document)?;
        self.upstream = issuer.upstream.clone();
        let target = Target { upstream: &issuer.upstream, agent: issuer.agent };
        loop {
            let left = self.attempts.start(self.shared.clock.now())?;
            let deadline = Instant::now() + left;
            self.attempt_count += 1;
            match attempt(&self.request, target, &self.shared.links, left, deadline).await {
                Ok(reply) => return Ok(reply),
                Err(failure) => self.decide_retry(failure)?,
            };
            sleep(KEYED_RETRY_INTERVAL).await;
        }
    }

    fn rejection(&self, code: Code, retry_after: Duration) -> Rejection {
        Rejection {
            code: self.attempts.final_code(code),
            retry_after: Some(retry_after),
            may_have_run: false,
        }
    }

    async fn attempt(
        &self,
        routed: RoutedAttempt,
        left: Duration,
        excluded: &[Name],
    ) -> Result<(AttemptReply, Ticket), Failure> {
        let target = Target { upstream: &routed.decision.name, agent: routed.decision.agent };
        let deadline = Instant::now() + left;
        let ticket = TicketGuard::new(self.shared.clone(), routed.ticket);
        let attempted = tokio::select! {
            reply = attempt(&self.request, target, &self.shared.links, left, deadline) => reply,
            () = self.wait_overdue(&routed.overdue, excluded) => {
                Err(Failure::Lost(codes::UPSTREAM_OVERDUE))
            }
        };
        match attempted {
            Ok(reply) => {
                let ticket = ticket.into_ticket();
                self.shared.router.record_start(&ticket);
                Ok((reply, ticket))
            }
            Err(failure) => {
                ticket.settle(attempt_end(failure));
                Err(failure)
            }
        }
    }

    /// Completes when the attempt is overdue, another upstream can take the request and a retry has
    /// been taken from the budget. Never completes if an overdue attempt may not be retried.
    async fn wait_overdue(&self, overdue: &CancellationToken, excluded: &[Name]) {
        overdue.cancelled().await;
        let excluded = [excluded, std::slice::from_ref(&self.upstream)].concat();
        let may_retry = self.attempts.may_retry(self.shared.clock.now())
            && self.shared.router.has_alternative(&self.request.service, &excluded)
            && self.shared.retry_budgets.lock().try_take(&self.request.caller.workspace);
        if !may_retry {
            std::future::pending::<()>().await;
        }
    }

    /// Decides what follows a failed attempt: its code to retry, or the rejection.
    fn decide_retry(&mut self, failure: Failure) -> Result<Code, Rejection> {
        let now = self.shared.clock.now();
        let workspace = &self.request.caller.workspace;
        // `wait_overdue` has already taken the retry from the budget.
        let is_paid = failure == Failure::Lost(codes::UPSTREAM_OVERDUE);
        let budget = || {
            let granted = is_paid || self.shared.retry_budgets.lock().try_take(workspace);
            if !granted {
                log_retry_denied(&format!("{:016x}", self.request.id), workspace);
            }
            granted
        };
        let next = self.attempts.on_failure(failure, now, budget);
        let (code, written) = match failure {
            Failure::Unsent(code) => (code, false),
            Failure::Refused(code) | Failure::Lost(code) => (code, true),
        };
        tracing::info!(
            event = events::ATTEMPT_FAILED,
            request = format_args!("{:016x}", self.request.id),
            upstream = %self.upstream,
            %code,
            written,
            next = ?next,
            "attempt failed"
        );
        match next {
            NextStep::Retry(_) => Ok(code),
            NextStep::Answer(code) => Err(code.into()),
        }
    }

    fn finish_complete(self, complete: CompleteReply, ticket: Option<Ticket>) -> Response<Body> {
        self.settle(ticket, status_end(complete.head.status));
        self.log_end(complete.code);
        reply::complete_response(self.request.id, complete.head, complete.body, complete.code)
    }

    fn finish_streamed(
        self,
        streamed: StreamedReply,
        ticket: Option<Ticket>,
        permit: Permit,
    ) -> Response<Body> {
        let (sender, body) = Channel::new(QUEUED_PIECES);
        let response =
            reply::streaming_response(self.request.id, streamed.head.clone(), body.boxed());
        let deadline = self.started + self.request.time_limit.saturating_sub(ANSWER_MARGIN);
        let status = streamed.head.status;
        let streams = self.shared.streams.clone();
        if self.request.prompt.is_some() && is_event_stream(&streamed.head) {
            let (shared, request) = (self.shared.clone(), self.request.clone());
            let upstream = self.upstream.clone();
            let model_stream =
                ModelStream::open(shared, request, deadline, upstream, ticket, sender);
            streams.spawn(async move {
                let code = model_stream.run(streamed).await;
                self.log_end(code);
                drop(permit);
            });
            return response;
        }
        streams.spawn(async move {
            let code = relay_reply(self.request.id, streamed, sender, deadline).await;
            let end = match (outcome(code), code) {
                (Outcome::Completed, _) => status_end(status),
                (_, codes::CALLER_GONE) => AttemptOutcome::Cancelled,
                _ => AttemptOutcome::Failed,
            };
            self.settle(ticket, end);
            self.log_end(code);
            drop(permit);
        });
        response
    }

    /// Reports the end of a routed attempt to the router. A keyed call is not routed and has no
    /// ticket.
    fn settle(&self, ticket: Option<Ticket>, end: AttemptOutcome) {
        if let Some(ticket) = ticket {
            self.shared.router.record_end(ticket, end);
        }
    }

    fn log_end(&self, code: Code) {
        let took = self.started.elapsed();
        self.shared.meters.record_ended(&self.request.service, code, took);
        tracing::info!(
            event = events::REQUEST_ENDED,
            request = format_args!("{:016x}", self.request.id),
            workspace = %self.request.caller.workspace,
            service = %self.request.service,
            upstream = %self.upstream,
            outcome = outcome(code).as_str(),
            %code,
            attempts = self.attempt_count,
            ms = took.as_millis() as u64,
            "request ended"
        );
    }
}

/// Holds a ticket and settles it as cancelled if the request is dropped.
pub(crate) struct TicketGuard {
    shared: Arc<Shared>,
    ticket: Option<Ticket>,
}

impl TicketGuard {
    pub(crate) fn new(shared: Arc<Shared>, ticket: Ticket) -> Self {
        Self { shared, ticket: Some(ticket) }
    }

    pub(crate) fn settle(mut self, end: AttemptOutcome) {
        if let Some(ticket) = self.ticket.take() {
            self.shared.router.record_end(ticket, end);
        }
    }

    fn into_ticket(mut self) -> Ticket {
        // The ticket is taken here or in `settle` only, and both consume the guard.
        self.ticket.take().expect("a guard holds its ticket until it is consumed")
    }
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.shared.router.record_end(ticket, AttemptOutcome::Cancelled);
        }
    }
}

/// How routing counts a failed attempt.
fn attempt_end(failure: Failure) -> AttemptOutcome {
    match failure {
        Failure::Refused(code) if outcome(code) == Outcome::NotRun => AttemptOutcome::Refused,
        Failure::Refused(_) | Failure::Lost(_) | Failure::Unsent(_) => AttemptOutcome::Failed,
    }
}

/// How routing counts a complete reply: a status from 500 is a failure of the upstream, a
/// lower one is not.
fn status_end(status: u16) -> AttemptOutcome {
    if status >= 500 {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Completed { cached_tokens: None }
    }
}
