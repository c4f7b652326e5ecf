//! The retry budget with real processes: entries that are killed and start again, before replicas
//! that fail in turns. Arrivals are counted at the replicas, in each sliding window.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use rstest::rstest;
use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(2);
const RATIO: f64 = 0.2;
const SLACK: f64 = 80.0;
const ENTRIES: usize = 8;
const REPLICAS: usize = 24;
/// Requests a second at one entry.
const RATE: u32 = 8;
/// Time after which an entry that is not ready never will be; a test must not wait for ever.
const READY_MAX: Duration = Duration::from_secs(60);

/// How a failing replica treats a request that it has read.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// Says that it does not run it.
    Reject,
    /// Closes the connection.
    Close,
    /// Runs it and answers that it failed.
    Fail,
}

/// What replicas and clients saw.
#[derive(Clone)]
struct Record {
    is_failing: Arc<AtomicBool>,
    arrivals: Arc<Mutex<Vec<(Instant, String)>>>,
    sent: Arc<Mutex<Vec<Instant>>>,
}

impl Record {
    /// Largest part of what the rule allows that was used in any window, and its repeats.
    fn worst(&self) -> (f64, usize) {
        let (mut arrivals, mut sent) =
            (self.arrivals.lock().unwrap().clone(), self.sent.lock().unwrap().clone());
        arrivals.sort();
        sent.sort();
        let mut seen = HashSet::new();
        let repeats: Vec<_> =
            arrivals.into_iter().filter(|(_, id)| !seen.insert(id.clone())).collect();
        let count = |from: Instant, to: Instant| {
            sent.partition_point(|t| *t <= to) - sent.partition_point(|t| *t <= from)
        };
        let share = |(index, (end, _)): (usize, &(Instant, String))| {
            let most = [0.0, 0.5, 1.0].map(|back| {
                let to = *end - WINDOW.mul_f64(back);
                count(to - WINDOW, to)
            });
            let allowed = RATIO * most.into_iter().max().unwrap_or(0) as f64 + SLACK;
            let first = repeats.partition_point(|(t, _)| *t <= *end - WINDOW);
            let used = index + 1 - first;
            (used as f64 / allowed, used)
        };
        repeats.iter().enumerate().map(share).fold((0.0, 0), |a, b| if b.0 > a.0 { b } else { a })
    }
}

/// Serves connections, request by request, until `handle` returns `false`.
fn serve(handle: impl Fn(&str, &mut TcpStream) -> bool + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), handle) = (stream, handle.clone()) else { continue };
            thread::spawn(move || {
                while read_head(&mut stream).is_some_and(|head| handle(&head, &mut stream)) {}
            });
        }
    });
    address
}

fn read_head(stream: &mut TcpStream) -> Option<String> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let lines = head.lines().filter_map(|l| l.split_once(':'));
    lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim()).next().unwrap_or("")
}

fn open_replica(record: Record, failure: Failure) -> SocketAddr {
    serve(move |head, stream| {
        let id = header(head, "x-request-id").to_owned();
        record.arrivals.lock().unwrap().push((Instant::now(), id.clone()));
        let signed = format!("X-Request-Id: {id}\r\nX-Server-Stamp: s\r\n");
        let answer = match (record.is_failing.load(Ordering::SeqCst), failure) {
            (false, _) => format!("HTTP/1.1 200 OK\r\n{signed}Content-Length: 2\r\n\r\nok"),
            (true, Failure::Reject) => {
                "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
            }
            (true, Failure::Close) => return false,
            (true, Failure::Fail) => {
                format!("HTTP/1.1 500 Broken\r\n{signed}Content-Length: 0\r\n\r\n")
            }
        };
        stream.write_all(answer.as_bytes()).is_ok()
    })
}

fn open_store(replicas: Vec<SocketAddr>) -> SocketAddr {
    const CONFIG: &str = r#"{"version": 7, "routes": [{"name": "safe", "host": "h.example",
      "pathPrefix": "/", "routeType": "safe", "service": "plain", "maxAttempts": 3,
      "timeoutMs": 2000, "targetLatencyMs": 150}], "services": [{"name": "plain"}]}"#;
    serve(move |head, stream| {
        let item = |key: &str, value: &str| {
            let value = BASE64_STANDARD.encode(value);
            format!(r#"{{"key":"{key}","value":"{value}","revision":3,"created":3,"atRev":5}}"#)
        };
        let target = head.split(' ').nth(1).unwrap_or_default();
        let body = if target.starts_with("/kv-key") {
            item("op/config", CONFIG)
        } else if target.starts_with("/kv-range") {
            let entry = |(i, address): (usize, &SocketAddr)| {
                let value = format!(
                    r#"{{"service":"plain","address":"{address}","zone":"a","version":"v1","slots":60,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1}}"#
                );
                item(&format!("servers/i-{i}"), &value)
            };
            let items: Vec<String> = replicas.iter().enumerate().map(entry).collect();
            format!(r#"{{"items":[{}],"hasMore":false,"atRev":5}}"#, items.join(","))
        } else {
            thread::sleep(Duration::from_millis(200));
            r#"{"events":[],"atRev":5}"#.to_owned()
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).is_ok()
    })
}

/// Addresses of one entry that nobody listens at; they stay the same over its runs. They are on a
/// loopback address that no connection has as its source, else its port could be in use by one while
/// the entry starts again.
struct Place {
    name: String,
    ports: Vec<SocketAddr>,
}

fn free_places(failure: Failure) -> Vec<Place> {
    let host = Ipv4Addr::new(127, 0, 2 + failure as u8, 1);
    let bind = |_| TcpListener::bind((host, 0)).unwrap();
    let listeners: Vec<_> = (0..ENTRIES * 4).map(bind).collect();
    let ports: Vec<_> = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
    let place = |(i, p): (usize, &[SocketAddr])| Place { name: format!("e-{i}"), ports: p.into() };
    ports.chunks(4).enumerate().map(place).collect()
}

fn settings(place: &Place, seeds: &[SocketAddr], store: SocketAddr) -> String {
    let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
    let [address, ready, peers, ops] = place.ports[..] else { panic!("four ports") };
    format!(
        "[process]\nname = {}\nzone = a\n[gateway]\naddress = {address}\nready = {ready}\n\
         peers = {peers}\nseeds = {}\n[ops]\naddress = {ops}\n[store]\naddress = {store}\n\
         [bounds]\ngrace = 1s\n[budget]\nratio = {RATIO}\nslack = {SLACK}\nwindow = {}ms\n",
        place.name,
        seeds.join(","),
        WINDOW.as_millis(),
    )
}

fn start(place: &Place, folder: &Path) -> Child {
    let file = folder.join(&place.name);
    let mut command = Command::new(env!("CARGO_BIN_EXE_papaya-entry"));
    command.arg("--direct").arg("--settings").arg(file);
    command.stdin(Stdio::null()).stdout(Stdio::null()).spawn().unwrap()
}

fn is_ready(place: &Place) -> bool {
    let Ok(mut stream) = TcpStream::connect(place.ports[1]) else { return false };
    let _ = stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
    read_head(&mut stream).is_some_and(|head| head.starts_with("HTTP/1.1 200"))
}

fn await_ready(places: &[Place], entries: &mut Entries) {
    let began = Instant::now();
    while let Some(place) = places.iter().find(|p| !is_ready(p)) {
        let ended = entries.0.iter_mut().find_map(|e| e.try_wait().unwrap());
        assert_eq!(ended, None, "an entry has ended, and {} is not ready", place.name);
        assert!(began.elapsed() < READY_MAX, "{} does not become ready", place.name);
        thread::sleep(Duration::from_millis(20));
    }
}

/// Running entries; killed when dropped, also if the test fails.
struct Entries(Vec<Child>);

impl Drop for Entries {
    fn drop(&mut self) {
        for entry in &mut self.0 {
            entry.kill().unwrap();
            entry.wait().unwrap();
        }
    }
}

/// Sends requests to one entry at an even rate, until `is_over`.
fn send_requests(place: &Place, record: Record, is_over: Arc<AtomicBool>) {
    let (address, name) = (place.ports[0], place.name.clone());
    thread::spawn(move || {
        for number in 0.. {
            if is_over.load(Ordering::SeqCst) {
                return;
            }
            let request = format!(
                "GET /x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {name}-{number}\r\n\
                 X-Request-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n"
            );
            record.sent.lock().unwrap().push(Instant::now());
            thread::spawn(move || {
                let Ok(mut stream) = TcpStream::connect(address) else { return };
                let _ = stream.write_all(request.as_bytes());
                let _ = stream.read_to_end(&mut Vec::new());
            });
            thread::sleep(Duration::from_secs(1) / RATE);
        }
    });
}

/// All entries are killed while attempts fail, and start again while that goes on. What they use
/// before and after must stay within the rule together.
#[rstest]
#[case::rejected(Failure::Reject)]
#[case::closed(Failure::Close)]
#[case::failed(Failure::Fail)]
fn budget_kills_within_rule(#[case] failure: Failure) {
    let record =
        Record { is_failing: Arc::default(), arrivals: Arc::default(), sent: Arc::default() };
    let replicas = (0..REPLICAS).map(|_| open_replica(record.clone(), failure)).collect();
    let store = open_store(replicas);
    let (places, folder) = (free_places(failure), tempfile::tempdir().unwrap());
    let seeds: Vec<_> = places.iter().take(3).map(|p| p.ports[2]).collect();
    for place in &places {
        std::fs::write(folder.path().join(&place.name), settings(place, &seeds, store)).unwrap();
    }
    let start_all = || Entries(places.iter().map(|p| start(p, folder.path())).collect());
    let fail = |is_failing| record.is_failing.store(is_failing, Ordering::SeqCst);
    let (is_over, pause) = (Arc::new(AtomicBool::new(false)), Duration::from_millis(500));
    let mut entries = start_all();
    await_ready(&places, &mut entries);
    thread::sleep(WINDOW);
    places.iter().for_each(|p| send_requests(p, record.clone(), is_over.clone()));
    for _ in 0..2 {
        thread::sleep(WINDOW);
        fail(true);
        thread::sleep(pause);
        drop(entries);
        entries = start_all();
        await_ready(&places, &mut entries);
        thread::sleep(pause * 3);
        fail(false);
    }
    is_over.store(true, Ordering::SeqCst);
    drop(entries);
    let (worst, repeats) = record.worst();
    println!("{failure:?}: {worst:.2} of what the rule allows, {repeats} repeats");
    assert!(repeats > 20, "{repeats} repeats show nothing");
    assert!(worst <= 1.0, "{worst:.2} of what the rule allows, {repeats} repeats");
}
