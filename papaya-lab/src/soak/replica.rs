//! Stand-in for a replica: slots, a queue and the faults that replicas have.

use super::constants::{
    CONNECTIONS_MAX, EVENT_TOKENS, PLAIN_BYTES, PLAIN_SLOTS, QUEUE_MAX, STREAM_SLOTS, ZONES,
};
use super::link::Link;
use super::platform::{EXPECTED_REPLICA, NOT_EXECUTED, SIGNATURE};
use super::record::{Act, Arrival, Fate, Kind, Record, Service};
use super::wire::{Body, Head, Wire, chunk, response};
use serde_json::json;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

/// How a replica behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Manner {
    #[default]
    Fine,
    /// Fails most requests with 500.
    Fails,
    /// Refuses most requests as not run.
    Refuses,
    /// Stands still, in the middle of bodies too.
    Stalls,
    /// Cuts what has begun and refuses the rest.
    Broken,
    /// Runs most requests and closes the connection without a response.
    Loses,
    /// Breaks most bodies off, streams within an event.
    Cuts,
    /// Reads requests and doesn't begin to respond.
    Hangs,
}

/// Of ten requests, those that a fault with a share meets.
const FAULTY_OF_TEN: u64 = 6;

/// Pause between events, and the time before the first; a plain call takes as long.
const EVENT_PAUSE: Duration = Duration::from_millis(60);

/// Response of a replica that doesn't run the request.
const UNAVAILABLE: &str = "503 Service Unavailable";

/// One incarnation of a replica.
pub(super) struct Replica {
    pub(super) id: String,
    pub(super) service: Service,
    pub(super) address: SocketAddr,
    /// Links of the entries to this replica, by their numbers; none if entries reach it directly.
    pub(super) links: Vec<Link>,
    /// Place in a group of ranks.
    pub(super) rank: usize,
    pub(super) manner: watch::Sender<Manner>,
    pub(super) is_leaving: AtomicBool,
    ended: CancellationToken,
    record: Arc<Record>,
    slots: Semaphore,
    waiting: AtomicUsize,
    running: AtomicUsize,
    connections: AtomicUsize,
}

/// The body of a plain response to the request `id`.
pub(super) fn plain_body(id: &str) -> Vec<u8> {
    id.bytes().chain(*b" ").cycle().take(PLAIN_BYTES).collect()
}

/// The data of an event.
pub(super) fn event_data(id: &str, number: u64, total: u64) -> String {
    format!("{id} {number} of {total}")
}

/// Ends the count of something.
struct Counted<'a>(&'a AtomicUsize);

impl<'a> Counted<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// How the work on a request ends early.
enum Cut {
    /// The connection to the caller ended.
    Caller,
    /// The replica breaks off.
    Own,
}

impl From<io::Error> for Cut {
    fn from(_: io::Error) -> Self {
        Self::Caller
    }
}

impl Replica {
    pub(super) async fn open(
        id: String,
        service: Service,
        rank: usize,
        links: usize,
        record: Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let (address, ended) = (listener.local_addr()?, CancellationToken::new());
        let mut opened = Vec::new();
        for _ in 0..links {
            opened.push(Link::open(address, ended.clone()).await?);
        }
        let slots = if service == Service::Assistant { STREAM_SLOTS } else { PLAIN_SLOTS };
        let replica = Arc::new(Self {
            id,
            service,
            address,
            links: opened,
            rank,
            manner: watch::Sender::new(Manner::Fine),
            is_leaving: AtomicBool::new(false),
            ended,
            record,
            slots: Semaphore::new(slots),
            waiting: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
        });
        let own = replica.clone();
        tokio::spawn(async move {
            let ended = own.ended.clone();
            let accept = async {
                while let Ok((stream, _)) = listener.accept().await {
                    let own = own.clone();
                    if own.connections.load(Ordering::SeqCst) >= CONNECTIONS_MAX {
                        continue;
                    }
                    tokio::spawn(async move {
                        let _counted = Counted::new(&own.connections);
                        let Ok(wire) = Wire::new(stream) else { return };
                        // The caller's end of the connection needs no report.
                        tokio::select! {
                            _ = own.serve(wire) => {}
                            () = own.ended.cancelled() => {}
                        }
                    });
                }
            };
            tokio::select! {
                () = accept => {}
                () = ended.cancelled() => {}
            }
        });
        Ok(replica)
    }

    /// Ends the replica and all its connections.
    pub(super) fn end(&self) {
        self.record.act(Act::Replica(format!("{} ends", self.id)));
        let now = self.record.now();
        let mut seen = self.record.seen();
        for arrival in seen.arrivals.iter_mut().filter(|a| a.replica == self.id) {
            if arrival.fate == Fate::Running {
                (arrival.fate, arrival.ended) = (Fate::Crashed, Some(now));
            }
        }
        drop(seen);
        self.ended.cancel();
    }

    /// Availability zone, as a number.
    pub(super) fn zone(&self) -> usize {
        if self.links.is_empty() { 0 } else { self.rank % ZONES.len() }
    }

    /// The entry in the store, as the entry process `machine` reads it.
    pub(super) fn entry(&self, state: &str, machine: usize) -> String {
        let address = self.links.get(machine).map_or(self.address, |l| l.address);
        let slots = if self.service == Service::Assistant { STREAM_SLOTS } else { PLAIN_SLOTS };
        let mut entry = json!({
            "service": self.service.name(), "address": address,
            "zone": format!("zone-{}", ZONES[self.zone()]),
            "version": "v1", "slots": slots, "state": state, "coldRemainingMs": 0, "sequence": 1,
            "born": 1_780_000_000_000_u64,
        });
        if self.service == Service::Assistant {
            entry["stage"] = "both".into();
            entry["models"] = json!([{"name": "m", "version": 1, "adapters": []}]);
        }
        entry.to_string()
    }

    fn load(&self) -> String {
        let (running, waiting) = (&self.running, &self.waiting);
        let slots = if self.service == Service::Assistant { STREAM_SLOTS } else { PLAIN_SLOTS };
        format!("{},{},{slots}", running.load(Ordering::SeqCst), waiting.load(Ordering::SeqCst))
    }

    async fn serve(&self, mut wire: Wire) -> io::Result<()> {
        loop {
            let head = wire.head().await?;
            Body::of_request(&head)?.rest(&mut wire).await?;
            let headers =
                format!("X-Replica-Id: {}\r\nX-Replica-Load: {}\r\n", self.id, self.load());
            let path = head.target().split('?').next().unwrap_or("");
            if path == "/health" {
                let is_leaving = self.is_leaving.load(Ordering::SeqCst);
                let status = if is_leaving { UNAVAILABLE } else { "200 OK" };
                wire.send(&response(status, &headers, b"")).await?;
            } else if path == "/report" {
                let running = self.running.load(Ordering::SeqCst);
                let waiting = self.waiting.load(Ordering::SeqCst);
                let report = json!({
                    "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                    "busy": false, "sequence": 0, "waiting": waiting, "running": running,
                    "kvUsed": running * 1000, "kvTotal": 310_000, "handles": 0,
                    "born": 1_780_000_000_000_u64,
                });
                wire.send(&response("200 OK", &headers, report.to_string().as_bytes())).await?;
            } else {
                let fate = self.request(&head, &mut wire).await?;
                if !matches!(fate, Fate::Answered(_) | Fate::Refused(1..)) {
                    return Ok(());
                }
            }
        }
    }

    async fn request(&self, head: &Head, wire: &mut Wire) -> io::Result<Fate> {
        let id = head.get("x-request-id").unwrap_or("").to_owned();
        let limit = head.get("x-request-deadline-ms").and_then(|d| d.parse().ok());
        let number = self.record.arrive(Arrival {
            id: id.clone(),
            replica: self.id.clone(),
            service: self.service,
            at: self.record.now(),
            ended: None,
            limit: limit.map(Duration::from_millis),
            tenant: head.get("x-tenant").map(str::to_owned),
            fate: Fate::Running,
        });
        if head.get("x-key").is_some() {
            self.record.breach("UNASKED", None, &id, format!("{} was passed the key", self.id));
        }
        let end = Instant::now() + Duration::from_millis(limit.unwrap_or(8000));
        let fate = match head.get(EXPECTED_REPLICA) {
            Some(expected) if expected != self.id => {
                self.refuse(wire, &id, "421 Misdirected Request").await
            }
            _ => self.admit(head, wire, &id, number, end).await,
        };
        let fate = fate.unwrap_or_else(|cut| match cut {
            Cut::Caller => Fate::Dropped,
            Cut::Own => Fate::BrokeOff,
        });
        self.record.end_arrival(number, fate);
        Ok(fate)
    }

    async fn refuse(&self, wire: &mut Wire, id: &str, status: &str) -> Result<Fate, Cut> {
        let headers = format!(
            "X-Request-Id: {id}\r\n{NOT_EXECUTED}: 1\r\nX-Replica-Id: {}\r\nX-Replica-Load: {}\r\n",
            self.id,
            self.load()
        );
        wire.send(&response(status, &headers, b"")).await?;
        Ok(Fate::Refused(status[..3].parse().unwrap_or(0)))
    }

    async fn admit(
        &self,
        head: &Head,
        wire: &mut Wire,
        id: &str,
        number: usize,
        end: Instant,
    ) -> Result<Fate, Cut> {
        let manner = *self.manner.borrow();
        let is_met = xxh3_64(format!("{id}{}", self.id).as_bytes()) % 10 < FAULTY_OF_TEN;
        if manner == Manner::Broken || (manner == Manner::Refuses && is_met) {
            return self.refuse(wire, id, UNAVAILABLE).await;
        }
        let permit = match self.slots.try_acquire() {
            Ok(permit) => permit,
            Err(_) if self.waiting.load(Ordering::SeqCst) >= QUEUE_MAX => {
                return self.refuse(wire, id, UNAVAILABLE).await;
            }
            Err(_) => {
                let _waiting = Counted::new(&self.waiting);
                let permit = tokio::select! {
                    permit = timeout_at(end, self.slots.acquire()) => permit,
                    () = wire.closed() => return Ok(Fate::Refused(0)),
                };
                let Ok(Ok(permit)) = permit else {
                    return self.refuse(wire, id, UNAVAILABLE).await;
                };
                permit
            }
        };
        let _running = Counted::new(&self.running);
        let stamp = |status: u16| {
            format!(
                "X-Request-Id: {id}\r\n{SIGNATURE}: {}.{number}.{status}.{id}\r\nX-Replica-Id: {}\r\nX-Replica-Load: {}\r\n",
                self.id,
                self.id,
                self.load()
            )
        };
        self.pause(wire, EVENT_PAUSE).await?;
        if manner == Manner::Hangs {
            self.stand(wire, Manner::Hangs).await?;
        }
        if manner == Manner::Loses && is_met {
            return Err(Cut::Own);
        }
        let (status, line) = match manner {
            Manner::Fails if is_met => (500, "500 Internal Server Error"),
            _ if Instant::now() >= end => (504, "504 Gateway Timeout"),
            _ => (200, "200 OK"),
        };
        let is_cut = manner == Manner::Cuts && is_met;
        if status != 200 {
            wire.send(&response(line, &stamp(status), b"failed")).await?;
        } else if self.service == Service::Ledger {
            let whole = response(line, &stamp(200), &plain_body(id));
            let half = whole.len() - PLAIN_BYTES / 2;
            wire.send(&whole[..half]).await?;
            self.stand(wire, Manner::Stalls).await?;
            if is_cut {
                return Err(Cut::Own);
            }
            wire.send(&whole[half..]).await?;
        } else {
            self.stand(wire, Manner::Stalls).await?;
            self.stream(head, wire, &stamp(200), is_cut, end).await?;
        }
        drop(permit);
        Ok(Fate::Answered(status))
    }

    async fn stream(
        &self,
        head: &Head,
        wire: &mut Wire,
        stamp: &str,
        is_cut: bool,
        end: Instant,
    ) -> Result<(), Cut> {
        let id = head.get("x-request-id").unwrap_or("");
        let tokens = head.get("x-token-usage").and_then(|t| t.split_once(','));
        let total = tokens.and_then(|(_, t)| t.parse::<u64>().ok()).unwrap_or(0) / EVENT_TOKENS;
        let first = head.get("last-event-id").and_then(|e| e.parse().ok()).unwrap_or(0) + 1;
        let start = format!(
            "HTTP/1.1 200 OK\r\n{stamp}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        wire.send(start.as_bytes()).await?;
        for number in first..=total {
            let event = format!("id: {number}\ndata: {}\n\n", event_data(id, number, total));
            if is_cut && number == first + 2 {
                wire.send(&chunk(&event[..event.len() / 2])).await?;
                return Err(Cut::Own);
            }
            wire.send(&chunk(&event)).await?;
            self.pause(wire, EVENT_PAUSE).await?;
            self.stand(wire, Manner::Stalls).await?;
            if *self.manner.borrow() == Manner::Broken || Instant::now() >= end {
                return Err(Cut::Own);
            }
        }
        Ok(wire.send(b"0\r\n\r\n").await?)
    }

    async fn pause(&self, wire: &mut Wire, pause: Duration) -> Result<(), Cut> {
        tokio::select! {
            () = sleep(pause) => Ok(()),
            () = wire.closed() => Err(Cut::Caller),
        }
    }

    /// Waits while the replica behaves as `manner`.
    async fn stand(&self, wire: &mut Wire, manner: Manner) -> Result<(), Cut> {
        let mut news = self.manner.subscribe();
        tokio::select! {
            _ = news.wait_for(|m| *m != manner) => Ok(()),
            () = wire.closed() => Err(Cut::Caller),
        }
    }
}

/// The service that serves `kind`, by its path.
pub(super) fn path(kind: Kind) -> &'static str {
    match kind {
        Kind::Stream => "/stream/ask",
        Kind::Book => "/book/place",
        Kind::Look => "/look/place",
    }
}
