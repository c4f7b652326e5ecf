//! Fake store, replicas and clients. They write raw bytes, so that they can also send invalid
//! responses.

use crate::balance::Arrivals;
use crate::gateway::{Gateway, GatewaySettings, TABLES};
use crate::settings::Reader;
use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{JoinSet, LocalSet};

/// A step that a fake server takes after reading a request.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    Send(String),
    /// Sends the text again and again, with a pause, until the connection closes.
    Repeat(String, Duration),
    Wait(Duration),
    Close,
    /// Ends the server: closes all connections, and refuses new ones for the given time.
    Crash(Duration),
}

/// A request as the fake server received it.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    /// Request line and headers.
    pub(crate) head: String,
    pub(crate) body: String,
}

impl ReceivedRequest {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|l| l.split_once(':'));
        lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim()).next()
    }
}

/// A fake server that records the requests it reads.
#[derive(Clone)]
pub(crate) struct FakeServer {
    pub(crate) address: SocketAddr,
    pub(crate) received: Rc<RefCell<Vec<ReceivedRequest>>>,
    /// Number of [`Action::Crash`] so far.
    pub(crate) crashes: Rc<Cell<u32>>,
}

impl FakeServer {
    /// Starts a server that answers each request as `script` says.
    pub(crate) async fn bind(script: impl Fn(&ReceivedRequest) -> Vec<Action> + 'static) -> Self {
        let mut listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self::at(listener.local_addr().unwrap());
        let (running, script) = (server.clone(), Rc::new(script));
        tokio::task::spawn_local(async move {
            loop {
                let down_for = {
                    let listener = listener;
                    running.run(&listener, &script).await
                };
                tokio::time::sleep(down_for).await;
                listener = TcpListener::bind(running.address).await.unwrap();
            }
        });
        server
    }

    /// A server that nothing answers for.
    pub(crate) fn at(address: SocketAddr) -> Self {
        Self { address, received: Rc::default(), crashes: Rc::default() }
    }

    /// Serves connections until the server crashes. Returns how long it stays down.
    async fn run(
        &self,
        listener: &TcpListener,
        script: &Rc<impl Fn(&ReceivedRequest) -> Vec<Action> + 'static>,
    ) -> Duration {
        let (crash, mut crashed) = mpsc::unbounded_channel();
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let (stream, _) = accepted.unwrap();
                    let (received, script) = (self.received.clone(), script.clone());
                    connections.spawn_local(serve_connection(
                        stream,
                        received,
                        script,
                        crash.clone(),
                    ));
                }
                Some(down_for) = crashed.recv() => {
                    self.crashes.set(self.crashes.get() + 1);
                    return down_for;
                }
            }
        }
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    received: Rc<RefCell<Vec<ReceivedRequest>>>,
    script: Rc<impl Fn(&ReceivedRequest) -> Vec<Action>>,
    crash: mpsc::UnboundedSender<Duration>,
) {
    while let Some(request) = read_request(&mut stream).await {
        received.borrow_mut().push(request.clone());
        for action in script(&request) {
            match action {
                Action::Send(text) => {
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
                Action::Repeat(text, pause) => {
                    while stream.write_all(text.as_bytes()).await.is_ok() {
                        tokio::time::sleep(pause).await;
                    }
                    return;
                }
                Action::Wait(time) => tokio::time::sleep(time).await,
                Action::Close => return,
                Action::Crash(down_for) => {
                    crash.send(down_for).unwrap();
                    return std::future::pending().await;
                }
            }
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    let mut request =
        ReceivedRequest { head: String::from_utf8(bytes).unwrap(), body: String::new() };
    let length: usize = request.header("content-length").map_or(0, |l| l.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    request.body = String::from_utf8(body).unwrap();
    Some(request)
}

/// A complete response of a replica to `request`.
pub(crate) fn reply(request: &ReceivedRequest, status: &str, body: &str) -> String {
    let id = request.header("x-request-id").unwrap_or_default();
    format!(
        "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Server-Stamp: stamp\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A refusal in which a replica states that it did not run the request.
pub(crate) const NOT_EXECUTED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

const CONFIG: &str = r#"{"version": 7, "routes": [
  {"name": "safe", "host": "h.example", "pathPrefix": "/safe/", "routeType": "safe", "service": "plain",
   "maxAttempts": 2, "timeoutMs": 2000, "targetLatencyMs": 150},
  {"name": "once", "host": "h.example", "pathPrefix": "/once/", "routeType": "unsafe", "service": "plain",
   "maxAttempts": 1, "timeoutMs": 2000, "targetLatencyMs": 150},
  {"name": "stream", "host": "h.example", "pathPrefix": "/stream/", "routeType": "streaming", "service": "plain",
   "maxAttempts": 2, "timeoutMs": 5000, "targetLatencyMs": 400, "gapTargetMs": 120, "streamResume": true}],
 "services": [{"name": "plain"}],
 "tenants": [{"name": "w1", "apiKeys": ["k1"]}]}"#;

/// A store that serves `config` and lists `replicas`.
async fn fake_store(replicas: Vec<SocketAddr>, config: String) -> FakeServer {
    FakeServer::bind(move |request| {
        let target = request.head.split(' ').nth(1).unwrap_or_default();
        let item = |key: &str, value: &str| {
            let value = BASE64_STANDARD.encode(value);
            format!(r#"{{"key":"{key}","value":"{value}","revision":3,"created":3,"atRev":5}}"#)
        };
        let (wait, body) = if target.starts_with("/kv-key") {
            (0, item("op/config", &config))
        } else if target.starts_with("/kv-range?pathPrefix=op/") {
            let items = item("op/config", &config) + "," + &item("op/evacuate/a", "{}");
            (0, format!(r#"{{"items":[{items}],"hasMore":false,"atRev":5}}"#))
        } else if target.starts_with("/kv-range") {
            let entry = |(i, address): (usize, &SocketAddr)| {
                let value = format!(
                    r#"{{"service":"plain","address":"{address}","zone":"a","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1}}"#
                );
                item(&format!("servers/i-{i}"), &value)
            };
            let items: Vec<String> = replicas.iter().enumerate().map(entry).collect();
            (0, format!(r#"{{"items":[{}],"hasMore":false,"atRev":5}}"#, items.join(",")))
        } else {
            (200, r#"{"events":[],"atRev":5}"#.to_owned())
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        vec![Action::Wait(Duration::from_millis(wait)), Action::Send(head + &body)]
    })
    .await
}

/// A gateway in front of fake replicas.
pub(crate) struct TestGateway {
    gateway: Gateway,
    _store: FakeServer,
}

impl TestGateway {
    /// Opens a gateway with `replicas` as upstreams, and waits until it is ready.
    pub(crate) async fn open(replicas: &[&FakeServer]) -> Self {
        Self::open_peers(replicas, "127.0.0.1:0", "").await
    }

    /// The same, with an address for its peers and the addresses of the first of them.
    pub(crate) async fn open_peers(replicas: &[&FakeServer], peers: &str, seeds: &str) -> Self {
        Self::open_text(replicas, peers, seeds, "").await
    }

    /// The same as [`TestGateway::open`], with another slack of the retry budget.
    pub(crate) async fn open_budget(replicas: &[&FakeServer], slack: &str) -> Self {
        let more = format!("slack = {slack}\n");
        Self::open_text(replicas, "127.0.0.1:0", "", &more).await
    }

    /// The same as [`TestGateway::open`], on a host with `megabytes` of memory.
    pub(crate) async fn open_memory(replicas: &[&FakeServer], megabytes: u32) -> Self {
        let more = format!("[host]\nmemory = {megabytes}\n");
        Self::open_text(replicas, "127.0.0.1:0", "", &more).await
    }

    /// Seats taken at replicas.
    pub(crate) fn seats_taken(&self) -> u32 {
        let loads = self.gateway.shared.seats.with_balancer(|b| b.loads());
        loads.iter().map(|load| u32::from(load.running)).sum()
    }

    /// Bytes held for clients.
    pub(crate) fn held(&self) -> usize {
        self.gateway.shared.clients.held()
    }

    /// The same as [`TestGateway::open`] in front of engines with the figures `engine`, and with a
    /// grace period.
    pub(crate) async fn open_engine(replicas: &[&FakeServer], engine: &str, grace: &str) -> Self {
        let service = format!(r#"{{"name": "plain", "engineName": {engine}}}"#);
        let config = CONFIG.replace(r#"{"name": "plain"}"#, &service);
        Self::open_settings(replicas, "127.0.0.1:0", "", "", config, grace).await
    }

    /// The same as [`TestGateway::open`] with evacuations, of which the store has one of the zone `a`.
    pub(crate) async fn open_evacuated(replicas: &[&FakeServer]) -> Self {
        let bounds = "1s\nevacuate = 5s";
        Self::open_settings(replicas, "127.0.0.1:0", "", "", CONFIG.to_owned(), bounds).await
    }

    async fn open_text(replicas: &[&FakeServer], peers: &str, seeds: &str, budget: &str) -> Self {
        Self::open_settings(replicas, peers, seeds, budget, CONFIG.to_owned(), "1s").await
    }

    async fn open_settings(
        replicas: &[&FakeServer],
        peers: &str,
        seeds: &str,
        budget: &str,
        config: String,
        grace: &str,
    ) -> Self {
        let server = fake_store(replicas.iter().map(|r| r.address).collect(), config).await;
        let text = format!(
            "[process]\nname = entry-1\nzone = a\n[gateway]\naddress = 127.0.0.1:0\n\
             ready = 127.0.0.1:0\npeers = {peers}\nseeds = {seeds}\n[ops]\naddress = 127.0.0.1:0\n\
             [store]\naddress = {}\n[bounds]\ngrace = {grace}\n[budget]\nwindow = 1ms\nfirst_run = true\n{budget}",
            server.address
        );
        let settings = Reader::from_text("test", &text, TABLES).check(GatewaySettings::read);
        let opened =
            Self { gateway: Gateway::open(settings.unwrap()).await.unwrap(), _store: server };
        while !opened.gateway.is_ready() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        opened
    }

    /// Sends a request with a valid key and id, and reads until the connection closes.
    pub(crate) async fn call(&self, method: &str, path: &str, more: &str) -> String {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nX-Key: k1\r\n\
             X-Request-Deadline-Ms: 4000\r\nConnection: close\r\n{more}\r\n"
        );
        self.send(&request).await
    }

    /// Retries whose attempts may still arrive.
    pub(crate) fn outstanding_retries(&self) -> usize {
        let shared = &self.gateway.shared;
        let (now, mut arrivals) = (shared.clock.now(), Arrivals::default());
        shared.seats.with_balancer(|b| {
            let decision = b.try_retry("plain", &mut arrivals, now).unwrap();
            arrivals.finish();
            b.settle_retries("plain", &mut arrivals);
            decision.outstanding - usize::from(decision.is_granted)
        })
    }

    pub(crate) async fn stop(self) {
        self.gateway.stop().await;
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.gateway.address()
    }

    /// Sends raw bytes, and reads until the connection closes.
    pub(crate) async fn send(&self, request: &str) -> String {
        send_to(self.address(), request).await
    }
}

/// Sends raw bytes to `address`, and reads until the connection closes.
pub(crate) async fn send_to(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    // A reset after the last byte also ends the response.
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8(bytes).unwrap()
}

/// Runs `body` on a single thread, as the daemon does.
pub(crate) fn on_one_thread(body: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, body);
}
