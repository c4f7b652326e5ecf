//! Passes a model's answer on event by event, and takes it up again where it breaks off.

use super::attempt::{Brought, OpenReply, Target, attempt, is_event_stream};
use super::codes;
use super::constants::PIECE_GAP_LIMIT;
use super::process::Shared;
use super::pump::{BodySender, finish};
use super::request::Ask;
use super::serve::TicketGuard;
use crate::agent::codes as agent;
use crate::base::code::{Code, Outcome, outcome};
use crate::base::name::Name;
use crate::delivery::Failure;
use crate::fleet::Kind;
use crate::membership::LoadedModel;
use crate::routing::{AttemptOutcome, Ticket};
use crate::streams::{
    BreakCause, EventAction, EventSplitter, ModelRef, Progress, Recovery, RecoveryPlan, Replica,
    codes as streams, read_event,
};
use crate::wire::{Call, Reply, ReplyEnd, ReplyHead};
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Header of an engine's reply that names its stream.
const STREAM_HEADER: &str = "engine-stream";

/// What a caller may have of the answer already.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Prior {
    prior: String,
    prior_tokens: u64,
}

/// Why an answer is not followed any further.
enum Stop {
    /// The caller went away.
    Caller,
    /// The answer broke off.
    Broken(BreakCause, Code),
}

/// Where an answer comes from at present.
struct Source {
    upstream: Name,
    agent: SocketAddr,
    /// Number of the stream at its engine.
    stream: Option<String>,
    ticket: Option<TicketGuard>,
}

/// An answer on its way to the caller, over all engines that work on it.
pub(crate) struct Streaming {
    shared: Arc<Shared>,
    ask: Ask,
    deadline: Instant,
    source: Source,
    excluded: Vec<Name>,
    progress: Progress,
    resumes: Recovery,
    body: BodySender,
}

impl Streaming {
    /// An answer that begins at `upstream`.
    pub(crate) fn open(
        shared: Arc<Shared>,
        ask: Ask,
        deadline: Instant,
        upstream: Name,
        ticket: Option<Ticket>,
        body: BodySender,
    ) -> Self {
        let document = shared.feed.document.load_full();
        let agent = document.upstreams.get(&upstream).map(|u| u.agent);
        let agent = agent.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)));
        let service = document.services.get(&ask.service);
        let idempotent = service.is_some_and(|s| s.idempotent);
        let model = match service.map(|s| &s.kind) {
            Some(Kind::Model(model)) => model.clone(),
            _ => Name::new(),
        };
        let resumes = Recovery::new(model_ref(&ask, model), idempotent, upstream.clone());
        let ticket = ticket.map(|t| TicketGuard::new(shared.clone(), t));
        let source = Source { upstream, agent, stream: None, ticket };
        let prior: Prior = serde_json::from_slice(&ask.body).unwrap_or_default();
        let progress = Progress::from_prior(&prior.prior, prior.prior_tokens);
        Self { shared, ask, deadline, source, excluded: Vec::new(), progress, resumes, body }
    }

    /// Passes the answer on until it is whole or cannot go on; gives the final code.
    pub(crate) async fn run(mut self, first: OpenReply) -> Code {
        let followed = tokio::time::timeout_at(self.deadline, self.follow(first)).await;
        let code = followed.unwrap_or(codes::REPLY_LATE);
        let end = match (outcome(code), code) {
            (Outcome::Completed, _) => AttemptOutcome::Completed { cached_tokens: None },
            (_, codes::CALLER_GONE) => AttemptOutcome::Cancelled,
            _ => AttemptOutcome::Failed,
        };
        self.settle(end);
        finish(self.ask.id, code, true, self.body).await;
        code
    }

    async fn follow(&mut self, first: OpenReply) -> Code {
        let mut open = Ok(first);
        loop {
            let stop = match open {
                Ok(reply) => match self.pass(reply).await {
                    Ok(code) => return code,
                    Err(stop) => stop,
                },
                Err(stop) => stop,
            };
            let (cause, code) = match stop {
                Stop::Caller => return codes::CALLER_GONE,
                Stop::Broken(cause, code) => (cause, code),
            };
            open = match self.plan(cause) {
                RecoveryPlan::Resume { from } => self.resume(from).await,
                RecoveryPlan::Continue { .. } => self.go_on().await,
                RecoveryPlan::Fail(reason) => {
                    let id = self.ask.id;
                    tracing::debug!(request = id, %code, %reason, "the break that ended a stream");
                    return reason;
                }
            };
        }
    }

    /// Passes events on until the reply ends.
    async fn pass(&mut self, reply: OpenReply) -> Result<Code, Stop> {
        let OpenReply { head, begun, mut call, mut assembler } = reply;
        self.source.stream = stream_of(&head);
        let mut splitter = EventSplitter::default();
        splitter.push(&begun);
        loop {
            self.pass_events(&mut splitter).await?;
            match self.next(&mut call).await? {
                Reply::Piece { sequence, data } => {
                    if assembler.accept_piece(call.tag(), sequence, &data).map_err(lost)? {
                        splitter.push(&data);
                    }
                    call.consume(data.len());
                }
                Reply::End(end) => {
                    if assembler.accept_end(call.tag(), &end).map_err(lost)? {
                        return self.end(&end);
                    }
                }
                Reply::Failure(failure) => {
                    return Err(Stop::Broken(cause(failure.code), failure.code));
                }
                Reply::Head(_) => return Err(lost(codes::REPLY_CORRUPT)),
            }
        }
    }

    /// Waits for the next part of the reply. A stream that stands still is given up if another
    /// replica can take it and the workspace has a retry left.
    async fn next(&self, call: &mut Call) -> Result<Reply, Stop> {
        loop {
            match timeout(PIECE_GAP_LIMIT, call.next()).await {
                Ok(reply) => return reply.map_err(|_| lost(crate::wire::codes::LINK_CLOSED)),
                Err(_) if self.may_move() => {
                    return Err(Stop::Broken(BreakCause::Gone, codes::UPSTREAM_OVERDUE));
                }
                Err(_) => {}
            }
        }
    }

    fn may_move(&self) -> bool {
        let excluded = [&self.excluded[..], std::slice::from_ref(&self.source.upstream)].concat();
        self.shared.routes.has_other(&self.ask.service, &excluded)
            && self.shared.retries.lock().try_take(&self.ask.caller.workspace)
    }

    async fn pass_events(&mut self, splitter: &mut EventSplitter) -> Result<(), Stop> {
        while let Some(raw) = splitter.next_event().map_err(lost)? {
            let event = read_event(&raw).map_err(lost)?;
            match self.progress.accept(&event).map_err(lost)? {
                EventAction::Drop => {}
                EventAction::Forward | EventAction::Complete => {
                    self.body.send_data(raw).await.map_err(|_| Stop::Caller)?;
                }
            }
        }
        Ok(())
    }

    /// A reply may be whole while the answer is not: then its engine broke off.
    fn end(&self, end: &ReplyEnd) -> Result<Code, Stop> {
        if self.progress.is_complete() { Ok(end.code) } else { Err(lost(streams::END_MISSING)) }
    }

    fn plan(&mut self, cause: BreakCause) -> RecoveryPlan {
        let left = self.left();
        let Self { shared, ask, source, excluded, progress, resumes, .. } = self;
        // A stream without a number cannot be asked for again.
        let cause = if source.stream.is_none() && cause == BreakCause::Lost {
            BreakCause::Gone
        } else {
            cause
        };
        resumes.plan(cause, progress, left, || {
            excluded.push(source.upstream.clone());
            let Ok(routed) = shared.routes.choose(ask, left, excluded) else {
                return Vec::new();
            };
            let ticket = TicketGuard::new(shared.clone(), routed.ticket);
            if let Some(ticket) = source.ticket.replace(ticket) {
                ticket.settle(AttemptOutcome::Failed);
            }
            source.upstream = routed.decision.name.clone();
            source.agent = routed.decision.agent;
            let loaded = loaded(shared, ask, &source.upstream);
            vec![Replica { upstream: source.upstream.clone(), is_open: true, loaded }]
        })
    }

    /// Asks the same engine for the stream from piece `from`.
    async fn resume(&mut self, from: u64) -> Result<OpenReply, Stop> {
        let stream = self.source.stream.clone().unwrap_or_default();
        let ask = Ask {
            method: "GET".to_owned(),
            path: format!("/v1/streams/{stream}?from={from}"),
            body: bytes::Bytes::new(),
            ..self.ask.clone()
        };
        self.reopen(&ask).await
    }

    /// Lets another replica go on after what the caller has.
    async fn go_on(&mut self) -> Result<OpenReply, Stop> {
        self.source.stream = None;
        let body = self.continued_body().map_err(|c| Stop::Broken(BreakCause::Gone, c))?;
        let ask = Ask { body: body.into(), ..self.ask.clone() };
        self.reopen(&ask).await
    }

    fn continued_body(&self) -> Result<Vec<u8>, Code> {
        let malformed = |_| codes::COMPLETION_MALFORMED;
        let mut fields: serde_json::Map<String, serde_json::Value> =
            serde_json::from_slice(&self.ask.body).map_err(malformed)?;
        fields.insert("prior".to_owned(), self.progress.prior()?.into());
        fields.insert("prior_tokens".to_owned(), self.progress.pieces().into());
        serde_json::to_vec(&fields).map_err(malformed)
    }

    async fn reopen(&mut self, ask: &Ask) -> Result<OpenReply, Stop> {
        let (left, links) = (self.left(), &self.shared.links);
        let gone = |code| Stop::Broken(BreakCause::Gone, code);
        let target = Target { upstream: &self.source.upstream, agent: self.source.agent };
        match attempt(ask, target, links, left, self.deadline).await {
            Ok(Brought::Open(open)) if open.head.status == 200 && is_event_stream(&open.head) => {
                Ok(*open)
            }
            Ok(_) => Err(gone(streams::END_MISSING)),
            Err(Failure::Lost(code)) => Err(lost(code)),
            Err(Failure::Unsent(code) | Failure::Refused(code)) => Err(gone(code)),
        }
    }

    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn settle(&mut self, end: AttemptOutcome) {
        if let Some(ticket) = self.source.ticket.take() {
            ticket.settle(end);
        }
    }
}

fn lost(code: Code) -> Stop {
    Stop::Broken(BreakCause::Lost, code)
}

/// What a failure that the agent told says of the stream.
fn cause(code: Code) -> BreakCause {
    match code {
        streams::STREAM_MOVED => BreakCause::Moved,
        agent::UPSTREAM_REFUSED => BreakCause::Gone,
        _ => BreakCause::Lost,
    }
}

fn stream_of(head: &ReplyHead) -> Option<String> {
    let header = head.headers.iter().find(|h| h.name == STREAM_HEADER)?;
    let id = std::str::from_utf8(&header.value).ok()?;
    // It becomes part of a path.
    id.bytes().all(|b| b.is_ascii_alphanumeric()).then(|| id.to_owned())
}

fn model_ref(ask: &Ask, model: Name) -> ModelRef {
    let prompt = ask.prompt.as_ref();
    let version = prompt.map_or(0, |p| p.version);
    ModelRef { model, version, adapter: prompt.and_then(|p| p.adapter.clone()) }
}

/// What `upstream` has loaded. Before its first report it is taken to have what the document says,
/// since an engine without the model refuses the continuation.
fn loaded(shared: &Shared, ask: &Ask, upstream: &Name) -> Vec<LoadedModel> {
    let view = shared.feed.view.load();
    let report = view.upstreams.get(upstream).and_then(|u| u.report.as_ref());
    if let Some(report) = report {
        return report.loaded.clone();
    }
    let document = shared.feed.document.load();
    let model = match document.services.get(&ask.service).map(|s| &s.kind) {
        Some(Kind::Model(model)) => model.clone(),
        _ => return Vec::new(),
    };
    let model = model_ref(ask, model);
    let adapters = model.adapter.into_iter().collect();
    vec![LoadedModel { model: model.model, version: model.version, adapters }]
}
