//! Forwards a model's answer event by event, and resumes or continues it after a break.

use super::attempt::{AttemptReply, StreamedReply, Target, attempt, is_event_stream};
use super::codes;
use super::constants::PIECE_GAP_LIMIT;
use super::process::Shared;
use super::pump::{BodySender, end_body};
use super::request::CheckedRequest;
use super::serve::TicketGuard;
use crate::agent::codes as agent_codes;
use crate::base::code::{Code, Outcome, outcome};
use crate::base::name::Name;
use crate::delivery::Failure;
use crate::fleet::Kind;
use crate::membership::LoadedModel;
use crate::routing::{AttemptOutcome, Ticket};
use crate::streams::{
    BreakCause, EventAction, EventSplitter, ModelRef, Progress, Recovery, RecoveryPlan, Replica,
    codes as stream_codes, read_event,
};
use crate::wire::{Call, Reply, ReplyEnd, ReplyHead};
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Header of an engine's reply with the id of its stream.
const STREAM_HEADER: &str = "engine-stream";

/// Fields of a request whose caller already has the start of the answer.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Prior {
    prior: String,
    prior_tokens: u64,
}

/// Why forwarding a reply stopped.
enum Interruption {
    /// The caller disconnected.
    CallerGone,
    /// The reply broke off, with the code of the failure.
    Broken(BreakCause, Code),
}

/// Upstream that currently produces the answer.
struct Source {
    upstream: Name,
    agent: SocketAddr,
    /// Id of the stream at its engine; without one the stream cannot be resumed.
    stream_id: Option<String>,
    ticket: Option<TicketGuard>,
}

/// A streamed answer, across all replicas that produce parts of it.
pub(crate) struct ModelStream {
    shared: Arc<Shared>,
    request: CheckedRequest,
    deadline: Instant,
    source: Source,
    excluded: Vec<Name>,
    progress: Progress,
    resumes: Recovery,
    body: BodySender,
}

impl ModelStream {
    /// Creates the stream of an answer that begins at `upstream`.
    pub(crate) fn open(
        shared: Arc<Shared>,
        request: CheckedRequest,
        deadline: Instant,
        upstream: Name,
        ticket: Option<Ticket>,
        body: BodySender,
    ) -> Self {
        let document = shared.feed.document.load_full();
        let agent = document.upstreams.get(&upstream).map(|u| u.agent);
        let agent = agent.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)));
        let service = document.services.get(&request.service);
        let idempotent = service.is_some_and(|s| s.idempotent);
        let model = match service.map(|s| &s.kind) {
            Some(Kind::Model(model)) => model.clone(),
            _ => Name::new(),
        };
        let resumes = Recovery::new(model_ref(&request, model), idempotent, upstream.clone());
        let ticket = ticket.map(|t| TicketGuard::new(shared.clone(), t));
        let source = Source { upstream, agent, stream_id: None, ticket };
        let prior: Prior = serde_json::from_slice(&request.body).unwrap_or_default();
        let progress = Progress::from_prior(&prior.prior, prior.prior_tokens);
        Self { shared, request, deadline, source, excluded: Vec::new(), progress, resumes, body }
    }

    /// Forwards the answer until it is complete or has failed, and returns the final code.
    pub(crate) async fn run(mut self, first: StreamedReply) -> Code {
        let relayed = tokio::time::timeout_at(self.deadline, self.relay(first)).await;
        let code = relayed.unwrap_or(codes::REPLY_LATE);
        let end = match (outcome(code), code) {
            (Outcome::Completed, _) => AttemptOutcome::Completed { cached_tokens: None },
            (_, codes::CALLER_GONE) => AttemptOutcome::Cancelled,
            _ => AttemptOutcome::Failed,
        };
        self.settle(end);
        end_body(self.request.id, code, true, self.body).await;
        code
    }

    async fn relay(&mut self, first: StreamedReply) -> Code {
        let mut reply = Ok(first);
        loop {
            let interruption = match reply {
                Ok(reply) => match self.relay_reply(reply).await {
                    Ok(code) => return code,
                    Err(interruption) => interruption,
                },
                Err(interruption) => interruption,
            };
            let (cause, code) = match interruption {
                Interruption::CallerGone => return codes::CALLER_GONE,
                Interruption::Broken(cause, code) => (cause, code),
            };
            reply = match self.plan(cause) {
                RecoveryPlan::Resume { from } => self.resume(from).await,
                RecoveryPlan::Continue { .. } => self.continue_elsewhere().await,
                RecoveryPlan::Fail(reason) => {
                    let id = self.request.id;
                    tracing::debug!(request = id, %code, %reason, "stream ended after a break");
                    return reason;
                }
            };
        }
    }

    /// Forwards the events of one reply until it ends.
    async fn relay_reply(&mut self, reply: StreamedReply) -> Result<Code, Interruption> {
        let StreamedReply { head, buffered, mut call, mut assembler } = reply;
        self.source.stream_id = stream_id(&head);
        let mut splitter = EventSplitter::default();
        splitter.push(&buffered);
        loop {
            self.forward_events(&mut splitter).await?;
            match self.next_part(&mut call).await? {
                Reply::Piece { sequence, data } => {
                    if assembler.accept_piece(call.tag(), sequence, &data).map_err(broken)? {
                        splitter.push(&data);
                    }
                    call.consume(data.len());
                }
                Reply::End(end) => {
                    if assembler.accept_end(call.tag(), &end).map_err(broken)? {
                        return self.final_code(&end);
                    }
                }
                Reply::Failure(failure) => {
                    return Err(Interruption::Broken(break_cause(failure.code), failure.code));
                }
                Reply::Head(_) => return Err(broken(codes::REPLY_CORRUPT)),
            }
        }
    }

    /// Waits for the next part of the reply. A stalled stream is abandoned if another replica can
    /// take over and the workspace has a retry left.
    async fn next_part(&self, call: &mut Call) -> Result<Reply, Interruption> {
        loop {
            match timeout(PIECE_GAP_LIMIT, call.next()).await {
                Ok(reply) => return reply.map_err(|_| broken(crate::wire::codes::LINK_CLOSED)),
                Err(_) if self.claim_retry() => {
                    return Err(Interruption::Broken(BreakCause::Gone, codes::UPSTREAM_OVERDUE));
                }
                Err(_) => {}
            }
        }
    }

    fn claim_retry(&self) -> bool {
        let excluded = [&self.excluded[..], std::slice::from_ref(&self.source.upstream)].concat();
        self.shared.router.has_alternative(&self.request.service, &excluded)
            && self.shared.retry_budgets.lock().try_take(&self.request.caller.workspace)
    }

    async fn forward_events(&mut self, splitter: &mut EventSplitter) -> Result<(), Interruption> {
        while let Some(raw) = splitter.next_event().map_err(broken)? {
            let event = read_event(&raw).map_err(broken)?;
            match self.progress.accept(&event).map_err(broken)? {
                EventAction::Drop => {}
                EventAction::Forward | EventAction::Complete => {
                    self.body.send_data(raw).await.map_err(|_| Interruption::CallerGone)?;
                }
            }
        }
        Ok(())
    }

    /// Final code of a complete reply. Fails if the answer in it is incomplete: the engine broke off.
    fn final_code(&self, end: &ReplyEnd) -> Result<Code, Interruption> {
        if self.progress.is_complete() {
            Ok(end.code)
        } else {
            Err(broken(stream_codes::END_MISSING))
        }
    }

    fn plan(&mut self, cause: BreakCause) -> RecoveryPlan {
        let left = self.time_left();
        let Self { shared, request, source, excluded, progress, resumes, .. } = self;
        // A stream without an id cannot be resumed.
        let cause = if source.stream_id.is_none() && cause == BreakCause::Lost {
            BreakCause::Gone
        } else {
            cause
        };
        resumes.plan(cause, progress, left, || {
            excluded.push(source.upstream.clone());
            let Ok(routed) = shared.router.choose(request, left, excluded) else {
                return Vec::new();
            };
            let ticket = TicketGuard::new(shared.clone(), routed.ticket);
            if let Some(ticket) = source.ticket.replace(ticket) {
                ticket.settle(AttemptOutcome::Failed);
            }
            source.upstream = routed.decision.name.clone();
            source.agent = routed.decision.agent;
            let loaded = loaded_models(shared, request, &source.upstream);
            vec![Replica { upstream: source.upstream.clone(), is_open: true, loaded }]
        })
    }

    /// Requests the stream from the same engine, starting at piece `from`.
    async fn resume(&mut self, from: u64) -> Result<StreamedReply, Interruption> {
        let stream = self.source.stream_id.clone().unwrap_or_default();
        let request = CheckedRequest {
            method: "GET".to_owned(),
            path: format!("/v1/streams/{stream}?from={from}"),
            body: bytes::Bytes::new(),
            ..self.request.clone()
        };
        self.reopen(&request).await
    }

    /// Requests the rest of the answer from another replica, after what the caller has.
    async fn continue_elsewhere(&mut self) -> Result<StreamedReply, Interruption> {
        self.source.stream_id = None;
        let body = self.continued_body().map_err(|c| Interruption::Broken(BreakCause::Gone, c))?;
        let request = CheckedRequest { body: body.into(), ..self.request.clone() };
        self.reopen(&request).await
    }

    fn continued_body(&self) -> Result<Vec<u8>, Code> {
        let malformed = |_| codes::COMPLETION_MALFORMED;
        let mut fields: serde_json::Map<String, serde_json::Value> =
            serde_json::from_slice(&self.request.body).map_err(malformed)?;
        fields.insert("prior".to_owned(), self.progress.prior()?.into());
        fields.insert("prior_tokens".to_owned(), self.progress.pieces().into());
        serde_json::to_vec(&fields).map_err(malformed)
    }

    async fn reopen(&mut self, request: &CheckedRequest) -> Result<StreamedReply, Interruption> {
        let (left, links) = (self.time_left(), &self.shared.links);
        let gone = |code| Interruption::Broken(BreakCause::Gone, code);
        let target = Target { upstream: &self.source.upstream, agent: self.source.agent };
        match attempt(request, target, links, left, self.deadline).await {
            Ok(AttemptReply::Streamed(streamed))
                if streamed.head.status == 200 && is_event_stream(&streamed.head) =>
            {
                Ok(*streamed)
            }
            Ok(_) => Err(gone(stream_codes::END_MISSING)),
            Err(Failure::Lost(code)) => Err(broken(code)),
            Err(Failure::Unsent(code) | Failure::Refused(code)) => Err(gone(code)),
        }
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn settle(&mut self, end: AttemptOutcome) {
        if let Some(ticket) = self.source.ticket.take() {
            ticket.settle(end);
        }
    }
}

fn broken(code: Code) -> Interruption {
    Interruption::Broken(BreakCause::Lost, code)
}

/// Kind of break for a failure code of the agent.
fn break_cause(code: Code) -> BreakCause {
    match code {
        stream_codes::STREAM_MOVED => BreakCause::Moved,
        agent_codes::UPSTREAM_REFUSED => BreakCause::Gone,
        _ => BreakCause::Lost,
    }
}

fn stream_id(head: &ReplyHead) -> Option<String> {
    let header = head.headers.iter().find(|h| h.name == STREAM_HEADER)?;
    let id = std::str::from_utf8(&header.value).ok()?;
    // The id becomes part of a path.
    id.bytes().all(|b| b.is_ascii_alphanumeric()).then(|| id.to_owned())
}

fn model_ref(request: &CheckedRequest, model: Name) -> ModelRef {
    let prompt = request.prompt.as_ref();
    let version = prompt.map_or(0, |p| p.version);
    ModelRef { model, version, adapter: prompt.and_then(|p| p.adapter.clone()) }
}

/// Models that `upstream` has loaded. Before its first report this is the request's model by the
/// fleet document; an engine without that model refuses the continuation.
fn loaded_models(shared: &Shared, request: &CheckedRequest, upstream: &Name) -> Vec<LoadedModel> {
    let view = shared.feed.view.load();
    let report = view.upstreams.get(upstream).and_then(|u| u.report.as_ref());
    if let Some(report) = report {
        return report.loaded.clone();
    }
    let document = shared.feed.document.load();
    let model = match document.services.get(&request.service).map(|s| &s.kind) {
        Some(Kind::Model(model)) => model.clone(),
        _ => return Vec::new(),
    };
    let model = model_ref(request, model);
    let adapters = model.adapter.into_iter().collect();
    vec![LoadedModel { model: model.model, version: model.version, adapters }]
}
