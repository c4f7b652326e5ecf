//! Clients: they keep connections open, retry once as told and check each response.

use super::constants::{CONNECT_LIMIT, EVENT_TOKENS, PATIENCE, PLAIN_DEADLINE, STREAM_DEADLINE};
use super::fleet::{HOST, STEADY_KEY};
use super::platform::{PROMPT_PARTS, SIGNATURE};
use super::record::{End, Kind, Request};
use super::replica::{event_data, path, plain_body};
use super::wire::{Body, Head, Wire};
use super::world::World;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use xxhash_rust::xxh3::xxh3_64;

/// Events of a stream, at least and at most.
const EVENTS_MIN: u64 = 4;
const EVENTS_MAX: u64 = 60;

/// Requests of each client a second, with the usual lengths of responses.
pub(super) const RATE: f64 = 0.5;

/// Mean wait of a client between two requests.
const THINK: f64 = 1.0;

/// Statuses that say that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What a client asks for.
#[derive(Clone)]
struct Ask {
    kind: Kind,
    key: String,
    events: u64,
    /// Last event that the client has.
    after: u64,
    leave: Option<Duration>,
}

/// What it got.
struct Got {
    end: End,
    status: Option<u16>,
    events: u64,
    retry_after: Duration,
    keeps: bool,
}

/// One client.
pub(super) struct Client {
    world: Arc<World>,
    rng: StdRng,
    number: u64,
    count: u64,
    wire: Option<(usize, Wire)>,
}

impl Client {
    pub(super) fn new(world: Arc<World>, number: u64) -> Self {
        let rng = StdRng::seed_from_u64(world.seed ^ (number << 20));
        Self { world, rng, number, count: 0, wire: None }
    }

    /// Sends requests until the soak stops, and waits for the last answer.
    pub(super) async fn run(mut self) {
        let stopped = self.world.stopped.clone();
        loop {
            let wait = Duration::from_secs_f64(-THINK * (1.0 - self.rng.random::<f64>()).ln());
            tokio::select! {
                () = sleep(wait) => {}
                () = stopped.cancelled() => return,
                () = closed(&mut self.wire) => {
                    self.wire = None;
                    continue;
                }
            }
            let ask = self.plan();
            self.ask(ask).await;
        }
    }

    /// Sends one request on a new connection.
    pub(super) async fn run_once(mut self) {
        let ask = self.plan();
        self.ask(ask).await;
    }

    fn plan(&mut self) -> Ask {
        let kind = match self.rng.random_range(0..10) {
            0..=5 => Kind::Stream,
            6..=8 => Kind::Book,
            _ => Kind::Look,
        };
        let key = match self.rng.random_range(0..20) {
            0 => self.world.fleet.removed_key().unwrap_or(STEADY_KEY.to_owned()),
            1..=5 => self.world.fleet.new_key(),
            _ => STEADY_KEY.to_owned(),
        };
        let leaves = self.rng.random_range(0..30) == 0;
        let leave = Duration::from_millis(self.rng.random_range(20..1500));
        // Most streams are short, as the square of a uniform value is.
        let share = self.rng.random::<f64>().powi(2);
        let events = EVENTS_MIN + ((EVENTS_MAX - EVENTS_MIN) as f64 * share) as u64;
        Ask { kind, key, events, after: 0, leave: leaves.then_some(leave) }
    }

    async fn ask(&mut self, mut ask: Ask) {
        let Some((entry, got)) = self.attempt(&ask, None).await else { return };
        let is_promise = got.status.is_some_and(|s| PROMISES.contains(&s));
        let is_failure = got.status.is_none_or(|s| s >= 500) || got.end != End::Answered;
        let may_repeat = match ask.kind {
            Kind::Book => is_promise && got.end == End::Answered,
            Kind::Look => is_promise || is_failure,
            Kind::Stream => is_promise || is_failure,
        };
        if !may_repeat || got.end == End::Left || self.world.stopped.is_cancelled() {
            return;
        }
        sleep(got.retry_after).await;
        ask.after = got.events;
        self.wire = None;
        self.attempt(&ask, Some(entry)).await;
    }

    /// Connects if there is no connection, and sends one request.
    async fn attempt(&mut self, ask: &Ask, avoided: Option<usize>) -> Option<(usize, Got)> {
        let kept = self.wire.take();
        let is_kept = kept.is_some();
        let (entry, mut wire) = match kept {
            Some(kept) => kept,
            None => {
                let entry = self.world.choose(&mut self.rng, avoided);
                let front = self.world.entries[entry].front;
                match timeout(CONNECT_LIMIT, Wire::connect(front)).await {
                    Ok(Ok(wire)) => (entry, wire),
                    _ => return None,
                }
            }
        };
        self.count += 1;
        let name = format!("{}/{}/{}", self.world.seed, self.number, self.count);
        let id = format!("{:016x}", xxh3_64(name.as_bytes()));
        let deadline = if ask.kind == Kind::Stream { STREAM_DEADLINE } else { PLAIN_DEADLINE };
        let request = Request {
            kind: ask.kind,
            entry,
            key: ask.key.clone(),
            sent: self.world.record.now(),
            deadline,
            is_kept,
            ended: Duration::ZERO,
            end: End::Open,
            status: None,
            events: 0,
        };
        self.world.record.seen().requests.insert(id.clone(), request);
        let sent = Instant::now();
        let leave = ask.leave.map_or(deadline, |l| l.min(deadline));
        let mut got = Got {
            end: End::Left,
            status: None,
            events: ask.after,
            retry_after: Duration::ZERO,
            keeps: false,
        };
        if !wire.input.buffer().is_empty() {
            let seen = "bytes on a connection with no request waiting".to_owned();
            self.world.record.breach("MIXED", Some(entry), &id, seen);
        }
        let reader = Reader { world: &self.world, entry, id: &id, ask, sent };
        let talked = timeout_at(sent + leave, reader.talk(&mut wire, &mut got)).await;
        got.end = match talked {
            Ok(Ok(true)) => End::Answered,
            Ok(Ok(false)) | Err(_) => End::Left,
            Ok(Err(error)) if error.kind() == io::ErrorKind::UnexpectedEof => End::Closed,
            Ok(Err(_)) => End::Reset,
        };
        let now = self.world.record.now();
        if let Some(request) = self.world.record.seen().requests.get_mut(&id) {
            (request.ended, request.end, request.status) = (now, got.end, got.status);
            request.events = got.events - ask.after;
        }
        if got.end == End::Answered && got.keeps {
            self.wire = Some((entry, wire));
        }
        Some((entry, got))
    }
}

async fn closed(wire: &mut Option<(usize, Wire)>) {
    match wire {
        Some((_, wire)) => wire.closed().await,
        None => std::future::pending().await,
    }
}

/// Reads and checks one response.
struct Reader<'a> {
    world: &'a World,
    entry: usize,
    id: &'a str,
    ask: &'a Ask,
    sent: Instant,
}

impl Reader<'_> {
    fn breach(&self, rule: &'static str, seen: String) {
        self.world.record.breach(rule, Some(self.entry), self.id, seen);
    }

    fn request(&self) -> String {
        let (id, ask) = (self.id, self.ask);
        let deadline = if ask.kind == Kind::Stream { STREAM_DEADLINE } else { PLAIN_DEADLINE };
        let method = if ask.kind == Kind::Look { "GET" } else { "POST" };
        let mut head = format!(
            "{method} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Key: {}\r\nX-Request-Deadline-Ms: {}\r\n",
            path(ask.kind),
            ask.key,
            deadline.as_millis(),
        );
        if ask.kind == Kind::Stream {
            let tokens = ask.events * EVENT_TOKENS;
            head += &format!(
                "X-Model: m\r\nX-Token-Usage: 834,{tokens}\r\n{PROMPT_PARTS}: 5c1e07a2:40,{id}:794\r\n"
            );
            if ask.after > 0 {
                head += &format!("Last-Event-Id: {}\r\n", ask.after);
            }
        }
        let body = if ask.kind == Kind::Look { "" } else { "ripe?" };
        if !body.is_empty() {
            head += &format!("Content-Length: {}\r\n", body.len());
        }
        format!("{head}\r\n{body}")
    }

    /// Returns whether the response is complete; `false` if the client left.
    async fn talk(&self, wire: &mut Wire, got: &mut Got) -> io::Result<bool> {
        wire.send(self.request().as_bytes()).await?;
        let sent = self.world.record.now();
        if let Some(request) = self.world.record.seen().requests.get_mut(self.id) {
            request.sent = sent;
        }
        let is_stream = self.ask.kind == Kind::Stream;
        let patience = if is_stream { PATIENCE } else { STREAM_DEADLINE };
        let Ok(head) = timeout(patience, wire.head()).await else { return Ok(false) };
        let head = head?;
        let status = head.status();
        if !head.start.starts_with("HTTP/1.1 ") || status < 100 {
            self.breach("MIXED", format!("no response in the protocol: {:?}", head.start));
            return Ok(false);
        }
        got.status = Some(status);
        got.keeps = !head.closes();
        self.check_head(&head);
        let left = STREAM_DEADLINE.saturating_sub(self.sent.elapsed()).as_secs_f64();
        let retry = head.get("retry-after").and_then(|r| r.parse::<f64>().ok()).unwrap_or(0.0);
        got.retry_after = Duration::from_secs_f64(retry.clamp(0.0, left / 3.0));
        let mut body = Body::of_response(&head)?;
        if status == 200 && is_stream {
            return self.stream(wire, &mut body, got, patience).await;
        }
        let body = body.rest(wire).await?;
        if status == 200 && body != plain_body(self.id) {
            self.breach(
                "MIXED",
                format!("a body of {} bytes that isn't the replica's", body.len()),
            );
        }
        Ok(true)
    }

    fn check_head(&self, head: &Head) {
        let status = head.status();
        if head.get("x-request-id").is_some_and(|i| i != self.id) {
            self.breach("MIXED", format!("a response with another id: {head:?}"));
        }
        let Some(stamp) = head.get(SIGNATURE) else {
            if status < 300 {
                self.breach("MIXED", format!("status {status} without a stamp"));
            }
            return;
        };
        let fields: Vec<_> = stamp.split('.').collect();
        if fields.len() != 4 || fields[3] != self.id || fields[2] != status.to_string() {
            self.breach("MIXED", format!("status {status} with the stamp {stamp}"));
        }
    }

    async fn stream(
        &self,
        wire: &mut Wire,
        body: &mut Body,
        got: &mut Got,
        patience: Duration,
    ) -> io::Result<bool> {
        let mut text = String::new();
        loop {
            let Ok(piece) = timeout(patience, body.next(wire)).await else { return Ok(false) };
            let Some(piece) = piece? else { break };
            text.push_str(&String::from_utf8_lossy(&piece));
            while let Some(end) = text.find("\n\n") {
                let event: String = text.drain(..end + 2).collect();
                self.check_event(event.trim_end(), got);
            }
        }
        if !text.is_empty() {
            self.breach("ORDER", format!("ended as complete within an event: {text:?}"));
        } else if got.events < self.ask.events {
            let seen = format!("ended as complete after {} of {}", got.events, self.ask.events);
            self.breach("ORDER", seen);
        }
        Ok(true)
    }

    fn check_event(&self, event: &str, got: &mut Got) {
        let mut lines = event.lines();
        let number = lines.next().and_then(|l| l.strip_prefix("id: ")).and_then(|i| i.parse().ok());
        let data = lines.next().and_then(|l| l.strip_prefix("data: "));
        let (Some(number), Some(data)) = (number, data) else {
            self.breach("MIXED", format!("in a stream: {event:?}"));
            return;
        };
        if data != event_data(self.id, number, self.ask.events) || lines.next().is_some() {
            self.breach("MIXED", format!("an event that isn't of this request: {event:?}"));
        }
        if number != got.events + 1 {
            self.breach("ORDER", format!("event {number} after {}", got.events));
        }
        got.events = number;
    }
}
