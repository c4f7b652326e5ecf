//! One request: checked, admitted, routed, attempted and answered.

use super::attempt::{Brought, OpenReply, Target, WholeReply, attempt, is_event_stream};
use super::codes;
use super::constants::{ANSWER_MARGIN, BODY_PIECES, KEYED_RETRY_PAUSE};
use super::events;
use super::gate::Pass;
use super::keyed::Home;
use super::keys_api::{is_keys_path, keys_request};
use super::process::Shared;
use super::pump::pump;
use super::reply;
use super::request::{Ask, KEY_HEADER, authenticate, check};
use super::route::Routed;
use super::stream::Streaming;
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

/// Why a request gets no reply of an upstream.
pub(crate) struct Rejection {
    code: Code,
    retry: Option<Duration>,
    /// The same key may have run by another entry, so that `not-run` must not be told.
    doubtful: bool,
}

impl From<Code> for Rejection {
    fn from(code: Code) -> Self {
        Self { code, retry: None, doubtful: false }
    }
}

/// A request in progress.
struct Progress {
    shared: Arc<Shared>,
    ask: Ask,
    started: Instant,
    attempts: Attempts,
    made: u32,
    upstream: Name,
}

/// Answers a caller's request.
pub(crate) async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let id = rand::random();
    match serve(id, shared.clone(), request).await {
        Ok(response) => response,
        Err(rejection) => {
            shared.meters.rejected(rejection.code);
            reply::error(id, rejection.code, rejection.retry, rejection.doubtful)
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
    let shows_key = parts.headers.contains_key(KEY_HEADER);
    let ask = prepare(id, parts, body, &document).await;
    let ask = ask.map_err(|code| Rejection { code, retry: None, doubtful: shows_key })?;
    let deadline = arrived + ask.limit.saturating_sub(ANSWER_MARGIN);
    let pass = shared.gate.enter(&ask, deadline).await;
    let doubtful = ask.kind == CallKind::Keyed;
    let pass = pass.map_err(|refused| {
        refused.log(&format!("{id:016x}"), &ask.caller.workspace);
        Rejection { code: refused.code, retry: Some(refused.retry_after), doubtful }
    })?;
    shared.retries.lock().earn(&ask.caller.workspace);
    let attempts = Attempts::new(ask.kind, deadline);
    let upstream = Name::new();
    let mut progress = Progress { shared, ask, started, attempts, made: 0, upstream };
    let result = progress.run().await;
    match result {
        Ok((Brought::Whole(whole), ticket)) => Ok(progress.finish_whole(whole, ticket)),
        Ok((Brought::Open(open), ticket)) => Ok(progress.finish_open(*open, ticket, pass)),
        Err(rejection) => {
            progress.log_end(rejection.code);
            Err(rejection)
        }
    }
}

async fn prepare(id: u64, parts: Parts, body: Incoming, document: &Document) -> Result<Ask, Code> {
    let caller = authenticate(&parts, document)?;
    if is_keys_path(parts.uri.path()) {
        return keys_request(id, caller, parts, body, document).await;
    }
    check(id, caller, parts, body, document).await
}

impl Progress {
    /// Makes attempts until one brings a reply or nothing more may be tried.
    async fn run(&mut self) -> Result<(Brought, Option<Ticket>), Rejection> {
        if self.ask.kind == CallKind::Keyed {
            return self.run_keyed().await.map(|brought| (brought, None));
        }
        let mut excluded: Vec<Name> = Vec::new();
        let mut last = None;
        loop {
            let left = self.attempts.start(self.shared.clock.now())?;
            let routed = self.shared.routes.choose(&self.ask, left, &excluded);
            let routed = routed.map_err(|refusal| match last {
                // What an earlier attempt left behind weighs more than the want of another upstream.
                Some(code) => self.rejection(code, refusal.retry_after),
                None => self.rejection(refusal.code, refusal.retry_after),
            })?;
            self.made += 1;
            self.upstream = routed.decision.name.clone();
            match self.attempt(routed, left, &excluded).await {
                Ok((brought, ticket)) => return Ok((brought, Some(ticket))),
                Err(failure) => {
                    last = Some(self.decide(failure)?);
                    excluded.push(self.upstream.clone());
                }
            }
        }
    }

    /// Asks the one agent that issued the key, and again if it went out of reach.
    async fn run_keyed(&mut self) -> Result<Brought, Rejection> {
        let document = self.shared.feed.document.load_full();
        let secrets = &self.shared.settings.process.secrets;
        let home = Home::find(&self.ask, secrets, &document)?;
        self.upstream = home.upstream.clone();
        let target = Target { upstream: &home.upstream, agent: home.agent };
        loop {
            let left = self.attempts.start(self.shared.clock.now())?;
            let deadline = Instant::now() + left;
            self.made += 1;
            match attempt(&self.ask, target, &self.shared.links, left, deadline).await {
                Ok(brought) => return Ok(brought),
                Err(failure) => self.decide(failure)?,
            };
            sleep(KEYED_RETRY_PAUSE).await;
        }
    }

    fn rejection(&self, code: Code, retry: Duration) -> Rejection {
        Rejection { code: self.attempts.final_code(code), retry: Some(retry), doubtful: false }
    }

    async fn attempt(
        &self,
        routed: Routed,
        left: Duration,
        excluded: &[Name],
    ) -> Result<(Brought, Ticket), Failure> {
        let target = Target { upstream: &routed.decision.name, agent: routed.decision.agent };
        let deadline = Instant::now() + left;
        let ticket = TicketGuard::new(self.shared.clone(), routed.ticket);
        let attempted = tokio::select! {
            brought = attempt(&self.ask, target, &self.shared.links, left, deadline) => brought,
            () = self.give_up(&routed.overdue, excluded) => {
                Err(Failure::Lost(codes::UPSTREAM_OVERDUE))
            }
        };
        match attempted {
            Ok(brought) => {
                let ticket = ticket.keep();
                self.shared.routes.started(&ticket);
                Ok((brought, ticket))
            }
            Err(failure) => {
                ticket.settle(end_of(failure));
                Err(failure)
            }
        }
    }

    /// Waits until the attempt is overdue and can be made elsewhere; for ever if it cannot.
    async fn give_up(&self, overdue: &CancellationToken, excluded: &[Name]) {
        overdue.cancelled().await;
        let excluded = [excluded, std::slice::from_ref(&self.upstream)].concat();
        let movable = self.attempts.may_retry(self.shared.clock.now())
            && self.shared.routes.has_other(&self.ask.service, &excluded)
            && self.shared.retries.lock().try_take(&self.ask.caller.workspace);
        if !movable {
            std::future::pending::<()>().await;
        }
    }

    /// Decides what follows a failed attempt: `Ok` to retry.
    fn decide(&mut self, failure: Failure) -> Result<Code, Rejection> {
        let now = self.shared.clock.now();
        let workspace = &self.ask.caller.workspace;
        // An attempt that was given up as overdue has taken its retry already.
        let paid = failure == Failure::Lost(codes::UPSTREAM_OVERDUE);
        let budget = || {
            let granted = paid || self.shared.retries.lock().try_take(workspace);
            if !granted {
                log_retry_denied(&format!("{:016x}", self.ask.id), workspace);
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
            request = format_args!("{:016x}", self.ask.id),
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

    fn finish_whole(self, whole: WholeReply, ticket: Option<Ticket>) -> Response<Body> {
        self.settle(ticket, end_of_status(whole.head.status));
        self.log_end(whole.code);
        reply::whole(self.ask.id, whole.head, whole.body, whole.code)
    }

    fn finish_open(self, open: OpenReply, ticket: Option<Ticket>, pass: Pass) -> Response<Body> {
        let (sender, body) = Channel::new(BODY_PIECES);
        let response = reply::streamed(self.ask.id, open.head.clone(), body.boxed());
        let deadline = self.started + self.ask.limit.saturating_sub(ANSWER_MARGIN);
        let status = open.head.status;
        let work = self.shared.work.clone();
        if self.ask.prompt.is_some() && is_event_stream(&open.head) {
            let (shared, ask) = (self.shared.clone(), self.ask.clone());
            let upstream = self.upstream.clone();
            let streaming = Streaming::open(shared, ask, deadline, upstream, ticket, sender);
            work.spawn(async move {
                let code = streaming.run(open).await;
                self.log_end(code);
                drop(pass);
            });
            return response;
        }
        work.spawn(async move {
            let code = pump(self.ask.id, open, sender, deadline).await;
            let end = match (outcome(code), code) {
                (Outcome::Completed, _) => end_of_status(status),
                (_, codes::CALLER_GONE) => AttemptOutcome::Cancelled,
                _ => AttemptOutcome::Failed,
            };
            self.settle(ticket, end);
            self.log_end(code);
            drop(pass);
        });
        response
    }

    /// Tells routing how a routed attempt ended; a call under a key was not routed.
    fn settle(&self, ticket: Option<Ticket>, end: AttemptOutcome) {
        if let Some(ticket) = ticket {
            self.shared.routes.finished(ticket, end);
        }
    }

    fn log_end(&self, code: Code) {
        let took = self.started.elapsed();
        self.shared.meters.ended(&self.ask.service, code, took);
        tracing::info!(
            event = events::REQUEST_ENDED,
            request = format_args!("{:016x}", self.ask.id),
            workspace = %self.ask.caller.workspace,
            service = %self.ask.service,
            upstream = %self.upstream,
            outcome = outcome(code).as_str(),
            %code,
            attempts = self.made,
            ms = took.as_millis() as u64,
            "request ended"
        );
    }
}

/// Settles a ticket as cancelled if its request is dropped.
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
            self.shared.routes.finished(ticket, end);
        }
    }

    fn keep(mut self) -> Ticket {
        // The ticket is taken here or in `settle` only, and both consume the guard.
        self.ticket.take().expect("a guard holds its ticket until it is consumed")
    }
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.shared.routes.finished(ticket, AttemptOutcome::Cancelled);
        }
    }
}

/// What a failed attempt says of its upstream.
fn end_of(failure: Failure) -> AttemptOutcome {
    match failure {
        Failure::Refused(code) if outcome(code) == Outcome::NotRun => AttemptOutcome::Refused,
        Failure::Refused(_) | Failure::Lost(_) | Failure::Unsent(_) => AttemptOutcome::Failed,
    }
}

/// A server error is counted against the upstream; a caller's error is not.
fn end_of_status(status: u16) -> AttemptOutcome {
    if status >= 500 {
        AttemptOutcome::Failed
    } else {
        AttemptOutcome::Completed { cached_tokens: None }
    }
}
