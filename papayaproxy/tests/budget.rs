//! The retry budget with real processes: entries that are killed and start again, before replicas
//! that fail in turns. Arrivals are counted at the replicas, in each sliding window.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use rstest::rstest;
use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use support::{Entries, Place, await_ready, free_places, header, open_store, serve, start};

const WINDOW: Duration = Duration::from_secs(2);
const RATIO: f64 = 0.2;
const SLACK: f64 = 80.0;
const ENTRIES: usize = 8;
const REPLICAS: usize = 24;
/// Requests a second at one entry.
const RATE: u32 = 8;

const CONFIG: &str = r#"{"version": 7, "routes": [{"name": "safe", "host": "h.example",
      "pathPrefix": "/", "routeType": "safe", "service": "plain", "maxAttempts": 3,
      "timeoutMs": 2000, "targetLatencyMs": 150}], "services": [{"name": "plain"}]}"#;

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
    let replicas =
        (0..REPLICAS).map(|_| ("plain", open_replica(record.clone(), failure))).collect();
    let store = open_store(CONFIG.to_owned(), replicas);
    let (places, folder) = (free_places(2 + failure as u8, ENTRIES), tempfile::tempdir().unwrap());
    let seeds: Vec<_> = places.iter().take(3).map(|p| p.ports[2]).collect();
    for place in &places {
        std::fs::write(folder.path().join(&place.name), settings(place, &seeds, store)).unwrap();
    }
    let start_all = || Entries(places.iter().map(|p| start(p, folder.path())).collect());
    let fail = |is_failing| record.is_failing.store(is_failing, Ordering::SeqCst);
    let (is_over, pause) = (Arc::new(AtomicBool::new(false)), Duration::from_millis(500));
    let mut entries = start_all();
    await_ready(&places, &mut entries, folder.path());
    thread::sleep(WINDOW);
    places.iter().for_each(|p| send_requests(p, record.clone(), is_over.clone()));
    for _ in 0..2 {
        thread::sleep(WINDOW);
        fail(true);
        thread::sleep(pause);
        drop(entries);
        entries = start_all();
        await_ready(&places, &mut entries, folder.path());
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
