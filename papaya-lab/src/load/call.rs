//! One call and what came of it.

use super::event_stream::{EventReader, StreamEvent};
use super::plan::Credential;
use crate::engine::{Ask, Checker, Piece};
use crate::http::client::{Client, ClientError, Reply};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, TE};
use hyper::{HeaderMap, Method, Request};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;

/// How long a caller waits beyond its deadline before it counts the call as cut.
const PATIENCE: Duration = Duration::from_secs(2);

/// The kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A streamed completion.
    Model,
    /// A call of a plain service.
    Plain,
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It completed, and the whole answer was verified.
    Completed,
    /// It was stated not to have run.
    NotRun,
    /// It was stated that it may have run.
    Unknown,
    /// Its answer is not what its outcome states.
    Wrong(String),
    /// It got no stated outcome at all.
    Cut(String),
}

impl Verdict {
    /// Its name in reports.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Wrong(_) => "wrong",
            Self::Cut(_) => "cut",
        }
    }

    /// What was wrong, for an answer that is no stated outcome.
    pub fn fault(&self) -> Option<&str> {
        match self {
            Self::Wrong(fault) | Self::Cut(fault) => Some(fault),
            _ => None,
        }
    }

    fn stated(outcome: Option<&str>) -> Self {
        match outcome {
            Some("completed") => Self::Completed,
            Some("not-run") => Self::NotRun,
            Some("unknown") => Self::Unknown,
            Some(other) => Self::Wrong(format!("outcome '{other}' at the end")),
            None => Self::Wrong("no outcome".to_owned()),
        }
    }
}

/// What was measured of a call.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Its kind.
    pub kind: CallKind,
    /// What came of it.
    pub verdict: Verdict,
    /// Its reference, by which a plain stand-in counts how often it ran.
    pub reference: String,
    /// The result code that it stated.
    pub code: Option<String>,
    /// Time to the first byte of the answer.
    pub first: Option<Duration>,
    /// Times between pieces of a streamed answer.
    pub gaps: Vec<Duration>,
    /// Time to the end of the answer.
    pub total: Duration,
}

/// A call that is to be made.
pub(crate) struct Call {
    pub(crate) kind: CallKind,
    pub(crate) service: String,
    pub(crate) credential: Credential,
    pub(crate) deadline: Duration,
    pub(crate) keyed: bool,
    pub(crate) reference: String,
    /// What the answer must follow from, for a model.
    pub(crate) ask: Ask,
    /// The body, for a plain service.
    pub(crate) body: Bytes,
}

/// Data of the event that ends an event stream in an error.
#[derive(Deserialize)]
struct StreamError {
    code: String,
    outcome: String,
}

#[derive(Serialize)]
struct AskBody<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
}

#[derive(Serialize)]
struct KeyRequest<'a> {
    service: &'a str,
    count: u32,
}

/// Where a call stands while its answer comes in.
struct Progress {
    due: Instant,
    first: Option<Duration>,
    gaps: Vec<Duration>,
    last: Option<Instant>,
    code: Option<String>,
}

impl Call {
    /// Makes the call. Times count from `due`, when it should have been sent.
    pub(crate) async fn run(&self, client: &Client, due: Instant) -> Sample {
        let mut progress = Progress { due, first: None, gaps: Vec::new(), last: None, code: None };
        let limit = self.deadline + PATIENCE;
        let answered = tokio::time::timeout(limit, self.attempt(client, &mut progress)).await;
        let verdict = match answered {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(error)) => Verdict::Cut(error.to_string()),
            Err(_) => Verdict::Cut(format!("no end of the answer after {limit:?}")),
        };
        let Progress { first, gaps, code, .. } = progress;
        let reference = self.reference.clone();
        Sample { kind: self.kind, verdict, reference, code, first, gaps, total: due.elapsed() }
    }

    async fn attempt(
        &self,
        client: &Client,
        progress: &mut Progress,
    ) -> Result<Verdict, ClientError> {
        let key = if self.keyed { self.issue_key(client).await? } else { Ok(None) };
        let key = match key {
            Ok(key) => key,
            Err(verdict) => return Ok(verdict),
        };
        let reply = client.send(self.request(key.as_deref())).await?;
        progress.code = reply.header("papaya-code").map(str::to_owned);
        let streams = reply.header("papaya-outcome") == Some("streaming");
        match (self.kind, streams) {
            (CallKind::Model, true) => self.read_stream(reply, progress).await,
            _ => self.read_whole(reply, progress).await,
        }
    }

    /// Asks for a key; the verdict of the whole call where none is issued.
    async fn issue_key(
        &self,
        client: &Client,
    ) -> Result<Result<Option<String>, Verdict>, ClientError> {
        let asked = KeyRequest { service: &self.service, count: 1 };
        let body = Bytes::from(serde_json::to_vec(&asked).unwrap_or_default());
        let reply = client.send(self.request_to("/v1/keys", body, None)).await?;
        let stated = Verdict::stated(reply.header("papaya-outcome"));
        let whole = reply.collect().await?;
        let issued: Option<serde_json::Value> = serde_json::from_slice(&whole).ok();
        let key = issued.as_ref().and_then(|v| v["keys"][0].as_str());
        Ok(match key {
            Some(key) => Ok(Some(key.to_owned())),
            None if stated == Verdict::Completed => {
                Err(Verdict::Wrong("no key in a completed answer".to_owned()))
            }
            None => Err(stated),
        })
    }

    fn request(&self, key: Option<&str>) -> Request<Full<Bytes>> {
        match self.kind {
            CallKind::Plain => {
                let path = format!("/v1/services/{}/call", self.service);
                self.request_to(&path, self.body.clone(), key)
            }
            CallKind::Model => {
                let path = format!("/v1/services/{}/v1/completions", self.service);
                let Ask { model, prompt, max_tokens, .. } = &self.ask;
                let ask = AskBody { model, prompt, max_tokens: *max_tokens };
                let body = serde_json::to_vec(&ask).unwrap_or_default();
                self.request_to(&path, body.into(), key)
            }
        }
    }

    fn request_to(&self, path: &str, body: Bytes, key: Option<&str>) -> Request<Full<Bytes>> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header("host", "papaya")
            .header(CONTENT_TYPE, "application/json")
            // Without it no trailers are sent.
            .header(TE, "trailers")
            .header("papaya-workspace", &self.credential.workspace)
            .header(AUTHORIZATION, format!("Bearer {}", self.credential.token))
            .header("papaya-deadline", format!("{}ms", self.deadline.as_millis()));
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        request.body(Full::new(body)).expect("names of services and workspaces fit a request")
    }

    async fn read_whole(
        &self,
        reply: Reply,
        progress: &mut Progress,
    ) -> Result<Verdict, ClientError> {
        let stated = Verdict::stated(reply.header("papaya-outcome"));
        let streamed = reply.header("papaya-outcome") == Some("streaming");
        let status = reply.status();
        if streamed {
            return self.read_trailed(reply, progress).await;
        }
        progress.arrive(0);
        let body = reply.collect().await?;
        Ok(self.judge_whole(stated, status, &body))
    }

    /// Reads a whole body whose outcome stands in its trailers.
    async fn read_trailed(
        &self,
        mut reply: Reply,
        progress: &mut Progress,
    ) -> Result<Verdict, ClientError> {
        let status = reply.status();
        let mut body = Vec::new();
        let mut stated = Verdict::stated(None);
        while let Some(frame) = reply.frame().await {
            match frame?.into_data() {
                Ok(data) => {
                    progress.arrive(0);
                    body.extend_from_slice(&data);
                }
                Err(frame) => stated = progress.take_trailers(frame.trailers_ref()),
            }
        }
        reply.finish();
        Ok(self.judge_whole(stated, status, &body))
    }

    fn judge_whole(&self, stated: Verdict, status: u16, body: &[u8]) -> Verdict {
        let right = self.kind == CallKind::Plain && status == 200 && body == self.body;
        match stated {
            Verdict::Completed if !right => {
                Verdict::Wrong(format!("status {status} with {} bytes as completed", body.len()))
            }
            stated => stated,
        }
    }

    async fn read_stream(
        &self,
        mut reply: Reply,
        progress: &mut Progress,
    ) -> Result<Verdict, ClientError> {
        let mut reader = EventReader::default();
        let mut checker = Checker::new(&self.ask);
        let mut stated = None;
        let mut done = false;
        while let Some(frame) = reply.frame().await {
            let data = match frame?.into_data() {
                Ok(data) => data,
                Err(frame) => {
                    let verdict = progress.take_trailers(frame.trailers_ref());
                    stated.get_or_insert(verdict);
                    continue;
                }
            };
            let events = reader.take(&data);
            progress.arrive(events.len());
            for event in events {
                match take_event(&event, &mut checker) {
                    Ok(Taken::Piece) => {}
                    Ok(Taken::Done) => done = true,
                    Ok(Taken::Failed(error)) => {
                        progress.code = Some(error.code);
                        stated = Some(Verdict::stated(Some(&error.outcome)));
                    }
                    Err(fault) => return Ok(Verdict::Wrong(fault)),
                }
            }
        }
        reply.finish();
        let stated = stated.unwrap_or_else(|| Verdict::stated(None));
        if stated != Verdict::Completed {
            return Ok(stated);
        }
        let whole = checker.finish().map_err(|fault| fault.to_string());
        Ok(match whole {
            Err(fault) => Verdict::Wrong(fault),
            Ok(()) if !done || reader.is_partial() => Verdict::Wrong("no end".to_owned()),
            Ok(()) => Verdict::Completed,
        })
    }
}

enum Taken {
    Piece,
    Done,
    Failed(StreamError),
}

fn take_event(event: &StreamEvent, checker: &mut Checker) -> Result<Taken, String> {
    if event.name == "error" {
        let error = serde_json::from_str(&event.data);
        return error.map(Taken::Failed).map_err(|e| format!("error event: {e}"));
    }
    if event.data == "[DONE]" {
        return Ok(Taken::Done);
    }
    let piece: Piece = serde_json::from_str(&event.data).map_err(|e| format!("piece: {e}"))?;
    checker.take(&piece).map_err(|fault| fault.to_string())?;
    Ok(Taken::Piece)
}

impl Progress {
    /// Notes that `pieces` pieces have arrived at once.
    fn arrive(&mut self, pieces: usize) {
        let now = Instant::now();
        self.first.get_or_insert(now.saturating_duration_since(self.due));
        let later = pieces.saturating_sub(usize::from(self.last.is_none()));
        if pieces > 0 {
            let gap = self.last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
            self.gaps.extend((0..later).map(|i| if i == 0 { gap } else { Duration::ZERO }));
            self.last = Some(now);
        }
    }

    fn take_trailers(&mut self, trailers: Option<&HeaderMap>) -> Verdict {
        let text = |name: &str| trailers?.get(name)?.to_str().ok();
        if let Some(code) = text("papaya-code") {
            self.code = Some(code.to_owned());
        }
        Verdict::stated(text("papaya-outcome"))
    }
}
