//! RECOVER: seats of clients that leave are never given back, until the entry refuses everything.

use crate::fleet::{Entry, Record, Replica, Scratch, book_request, config, free_ports, signed};
use crate::net::{Wire, answer};
use crate::store::Store;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Bookings a second; the replicas take 600: 3 with 6 slots, and 30 ms each.
const RATE: u64 = 560;
const REPLICAS: u32 = 3;
const WORK: Duration = Duration::from_millis(30);
/// Usual traffic before the first freeze.
const CALM: Duration = Duration::from_millis(4000);
/// How long the entry stands still, and how long it then runs.
const FROZEN: Duration = Duration::from_millis(700);
const AWAKE: Duration = Duration::from_millis(500);
const FREEZES: u32 = 60;
/// `recoverS`.
const RECOVER: Duration = Duration::from_secs(12);
/// How long the requests after it are counted.
const COUNTED: Duration = Duration::from_secs(6);
/// Share of the clients that leave, and within which time: half the objective of 200 ms.
const LEAVING_PERCENT: u64 = 30;
const LEAVING_MS: u64 = 100;
const DEADLINE: Duration = Duration::from_millis(2500);

/// When a request was sent, and its status; 0 without an answer.
type Seen = Arc<Mutex<Vec<(Instant, u16)>>>;

pub fn run(record: &Record, trouble: bool) -> io::Result<usize> {
    let (store, scratch) = (Store::default(), Scratch::open()?);
    // The objective of bookings on kellerbund-ost-grown.
    let config =
        config(7, &["key-one"]).replace("\"targetLatencyMs\":150", "\"targetLatencyMs\":200");
    store.put("op/config", &config);
    for number in 0..REPLICAS {
        let replica = Replica::open(&format!("i-{number:08x}"), "ledger", 6, |head, wire| {
            std::thread::sleep(WORK);
            wire.send(&answer("200 OK", &signed(head), &[b'x'; 800]))
        })?;
        replica.register(&store);
    }
    let peers = free_ports(1)?;
    let entry = Entry::spawn("front-1", &store.open()?, &peers[0], &peers[0], &scratch)?;
    entry.await_ready()?;
    let seen = Seen::default();
    let start = Instant::now();
    let troubled = start + CALM..start + CALM + (FROZEN + AWAKE) * FREEZES;
    let (back, end) = (troubled.end, troubled.end + RECOVER + COUNTED);
    let traffic = {
        let (seen, address, troubled) = (seen.clone(), entry.address.clone(), troubled.clone());
        std::thread::spawn(move || {
            for number in 0.. {
                let at = start + Duration::from_micros(1_000_000 / RATE) * number;
                if at >= end {
                    break;
                }
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
                let leaves = trouble && troubled.contains(&at);
                let (seen, address) = (seen.clone(), address.clone());
                std::thread::spawn(move || book(&seen, &address, number, leaves));
            }
            std::thread::sleep(DEADLINE + Duration::from_millis(500));
        })
    };
    std::thread::sleep(CALM);
    for _ in 0..FREEZES {
        if trouble {
            entry.process.signal("-STOP");
        }
        std::thread::sleep(FROZEN);
        if trouble {
            entry.process.signal("-CONT");
        }
        std::thread::sleep(AWAKE);
    }
    record.note("the disruptions are over; usual traffic goes on");
    traffic.join().map_err(|_| io::Error::other("the clients failed"))?;
    let seen = seen.lock().unwrap();
    let count = |what: &str, from: Instant, to: Instant| {
        let sent = seen.iter().filter(|(at, _)| (from..to).contains(at));
        let statuses: Vec<u16> = sent.map(|(_, status)| *status).collect();
        let of = |status| statuses.iter().filter(|s| **s == status).count();
        record.note(format!(
            "{what}: {} bookings sent, 200: {}, 503: {}, 502: {}, 504: {}, no answer awaited: {}",
            statuses.len(),
            of(200),
            of(503),
            of(502),
            of(504),
            of(0)
        ));
        of(200) as f64 / statuses.len().max(1) as f64
    };
    let mut from = troubled.start;
    while from < end {
        let to = (from + Duration::from_secs(10)).min(end);
        count(&format!("from {:.0} s on", (from - start).as_secs_f64()), from, to);
        from = to;
    }
    let before = count("before the first freeze", start, troubled.start);
    let after = count("later than recoverS after the last wake", back + RECOVER, end);
    record
        .note(format!("served before {before:.3}, after {after:.3}; ready: {}", entry.is_ready()));
    Ok(usize::from(before >= 0.25 && after < 0.25))
}

/// Sends one booking on a new connection. One client in [`LEAVING_PERCENT`] leaves early.
fn book(seen: &Seen, address: &str, number: u32, leaves: bool) {
    let hash = u64::from(number).wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1) >> 33;
    let patience = match leaves && hash % 100 < LEAVING_PERCENT {
        true => Duration::from_millis(5 + (hash / 100) % (LEAVING_MS - 5)),
        false => DEADLINE,
    };
    let sent = Instant::now();
    let status = Wire::connect(address, Duration::from_secs(1)).and_then(|mut wire| {
        wire.limit(patience)?;
        wire.send(book_request(&format!("{number:016x}"), "key-one").as_bytes())?;
        Ok(wire.head()?.map_or(0, |head| head.status()))
    });
    seen.lock().unwrap().push((sent, status.unwrap_or(0)));
}
