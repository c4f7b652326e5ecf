//! Entries as separate processes, replicas as stand-ins, and the record of what was seen.

use crate::net::{Head, Server, Wire, answer};
use crate::store::Store;
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const HOST: &str = "fleet.example";

/// Time since the start of the script, and the lines of `record.txt`.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn start() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn note(&self, text: impl Into<String>) {
        let now = self.now();
        self.lines.lock().unwrap().push((now, text.into()));
    }

    pub fn write(&self, file: &str) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort();
        let mut out = File::create(file)?;
        lines.iter().try_for_each(|(at, text)| writeln!(out, "{:9.3} {text}", at.as_secs_f64()))
    }
}

/// A directory for settings and logs; removed at the end.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn open() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("papaya-review-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// A process of the project.
pub struct Process {
    child: Child,
}

impl Process {
    fn spawn(words: &[&str], settings: &str, scratch: &Scratch, name: &str) -> io::Result<Self> {
        let file = scratch.0.join(format!("{name}.ini"));
        fs::write(&file, settings)?;
        let log = File::create(scratch.0.join(format!("{name}.log")))?;
        let child = Command::new(words[0])
            .args(&words[1..])
            .env("PAPAYAPROXY_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        if let Some(list) = std::env::var_os("REVIEW_PIDS") {
            let mut list = File::options().append(true).create(true).open(list)?;
            writeln!(list, "{}", child.id())?;
        }
        Ok(Self { child })
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([name, &self.child.id().to_string()]).status();
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|s| s.is_some())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A running entry, started as in the deploy file.
pub struct Entry {
    pub process: Process,
    pub address: String,
    ready: String,
}

/// Addresses that nobody listens at.
pub fn free_ports(count: usize) -> io::Result<Vec<String>> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<_, _>>()?;
    listeners.iter().map(|l| Ok(l.local_addr()?.to_string())).collect()
}

impl Entry {
    /// `peers` is the address for the other entries, `seeds` those of the first ones.
    pub fn spawn(
        name: &str,
        store: &str,
        peers: &str,
        seeds: &str,
        scratch: &Scratch,
    ) -> io::Result<Self> {
        let ports = free_ports(3)?;
        // As `deploy/entry.ini` is rendered, with the bounds of kellerbund-ost.
        let settings = format!(
            "[process]\nname = {name}\nzone = keller-nord\n\n\
             [gateway]\naddress = {}\nready = {}\npeers = {peers}\nseeds = {seeds}\n\n\
             [ops]\naddress = {}\n\n[store]\naddress = {store}\n\n\
             [bounds]\nrevoke = 5000ms\ngrace = 8s\ndrain = 2000ms\nevent_delay = 120ms\n\n\
             [budget]\nratio = 0.2\nslack = 92\nwindow = 10s\n\n\
             [log]\nformat = json\nfilter = info\n",
            ports[0], ports[1], ports[2]
        );
        let words = ["target/release/papaya-entry", "--direct"];
        let process = Process::spawn(&words, &settings, scratch, name)?;
        Ok(Self { process, address: ports[0].clone(), ready: ports[1].clone() })
    }

    /// Whether the entry tells the load balancer that it is ready.
    pub fn is_ready(&self) -> bool {
        let status = Wire::connect(&self.ready, Duration::from_secs(1)).and_then(|mut wire| {
            wire.limit(Duration::from_secs(1))?;
            wire.send(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            Ok(wire.head()?.map_or(0, |h| h.status()))
        });
        matches!(status, Ok(200))
    }

    /// Waits until the entry is ready.
    pub fn await_ready(&self) -> io::Result<()> {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if self.is_ready() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("the entry does not become ready"))
    }
}

/// A replica of a service.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    service: String,
    slots: u32,
    pub server: Server,
}

impl Replica {
    /// Opens a replica whose connections `handle` serves, request by request.
    pub fn open(
        id: &str,
        service: &str,
        slots: u32,
        handle: impl Fn(&Head, &mut Wire) -> io::Result<()> + Clone + Send + 'static,
    ) -> io::Result<Self> {
        let own = id.to_owned();
        let server = Server::open(move |mut wire| {
            while let Some(head) = wire.head()? {
                let _ = wire.body(&head)?;
                if head.get("x-expect-instance").is_some_and(|e| e != own) {
                    let id = head.get("x-request-id").unwrap_or("");
                    let headers = format!("X-Request-Id: {id}\r\nX-Replica-Id: {own}\r\n");
                    wire.send(&answer("421 Misdirected Request", &headers, b""))?;
                    continue;
                }
                handle(&head, &mut wire)?;
            }
            Ok(())
        })?;
        Ok(Self { id: id.into(), service: service.into(), slots, server })
    }

    pub fn register(&self, store: &Store) {
        let Self { id, service, slots, server } = self;
        let address = server.address();
        store.put(
            &format!("servers/{id}"),
            &format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"keller-nord\",\
                 \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\
                 \"sequence\":1,\"born\":1780000000000}}"
            ),
        );
    }
}

/// Headers of a replica's own answer to the request with `head`.
pub fn signed(head: &Head) -> String {
    let id = head.get("x-request-id").unwrap_or("");
    format!("X-Request-Id: {id}\r\nX-Server-Stamp: 3e1b.07.{id}\r\n")
}

/// One event of a stream.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id:02} {}\n\n", "x".repeat(40))
}

pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// Begins the answer of a stream, in chunks.
pub fn stream_head(head: &Head) -> Vec<u8> {
    let signed = signed(head);
    format!(
        "HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    .into_bytes()
}

/// The configuration: a stream route to `assistant`, and an unsafe one to `ledger`.
pub fn config(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|k| format!("\"{k}\"")).collect();
    let keys = keys.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-stream\",\"host\":\"{HOST}\",\"pathPrefix\":\"/stream/\",\"routeType\":\"streaming\",\
         \"timeoutMs\":8000,\"targetLatencyMs\":400,\"priority\":1,\"service\":\"assistant\",\"maxAttempts\":2,\
         \"public\":false,\"sessionAffinity\":true,\"streamResume\":true,\"gapTargetMs\":120}},\
         {{\"name\":\"r-book\",\"host\":\"{HOST}\",\"pathPrefix\":\"/book/\",\"routeType\":\"unsafe\",\
         \"timeoutMs\":1200,\"targetLatencyMs\":150,\"priority\":2,\"service\":\"ledger\",\"maxAttempts\":1,\
         \"public\":false}}],\
         \"services\":[\
         {{\"name\":\"assistant\",\"healthPath\":\"/health\",\"maxConns\":418,\"protocol\":\"h1\",\"tlsMode\":false,\
         \"engineName\":{{\"slots\":12,\"kvTokens\":372000,\"kvBytes\":96256,\"linkMbps\":92000.0,\"stride\":5,\
         \"models\":[{{\"name\":\"m\"}}],\"step_ms\":5.85,\"per_seq_ms\":0.355,\"context_per_k\":0.036,\
         \"read_per_s\":61200.0,\"pairs_per_m\":0.325,\"chunk\":512,\"report_lag_ms\":200.0,\
         \"usual\":{{\"prompt\":835,\"answer\":139}}}}}},\
         {{\"name\":\"ledger\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tlsMode\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"growers\",\"apiKeys\":[{keys}],\"priority\":1}}]}}"
    )
}

/// A request of a stream; `tokens` is the most that the answer may have.
pub fn stream_request(id: &str, key: &str, tokens: u64) -> String {
    let body = "ripe?";
    format!(
        "POST /stream/ask HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Usage: 834,{tokens}\r\nX-Prompt-Prefix: 5c1e07a2:40,{id}:794\r\n\
         X-Request-Deadline-Ms: 8000\r\nX-Key: {key}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A booking, which may run once at most.
pub fn book_request(id: &str, key: &str) -> String {
    let body = "shelf 12";
    format!(
        "POST /book/place HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Request-Deadline-Ms: 2500\r\nX-Key: {key}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// What a client saw of a stream: the ids of its events, and whether the answer ended properly.
pub struct StreamSeen {
    pub status: u16,
    pub ids: Vec<u64>,
    pub is_complete: bool,
    pub closes: bool,
}

/// Sends a stream's request on `wire` and reads the answer. A pause of over two seconds ends it.
pub fn read_stream(wire: &mut Wire, request: &str) -> io::Result<StreamSeen> {
    wire.limit(Duration::from_secs(2))?;
    wire.send(request.as_bytes())?;
    let head = wire.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let closes = head.get("connection").is_some_and(|c| c.contains("close"));
    let mut seen =
        StreamSeen { status: head.status(), ids: Vec::new(), is_complete: false, closes };
    if seen.status != 200 || head.get("transfer-encoding").is_none() {
        seen.is_complete = wire.body(&head).is_ok();
        return Ok(seen);
    }
    let mut text = String::new();
    loop {
        match wire.chunk() {
            Ok(data) if data.is_empty() => seen.is_complete = true,
            Ok(data) => {
                text.push_str(&String::from_utf8_lossy(&data));
                continue;
            }
            Err(_) => {}
        }
        break;
    }
    let ids = text.lines().filter_map(|l| l.strip_prefix("id: "));
    seen.ids = ids.filter_map(|id| id.parse().ok()).collect();
    Ok(seen)
}
