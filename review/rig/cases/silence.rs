//! LOST: a stopping entry leaves a replica that pauses, finds no other seat, and cuts the stream.

use crate::fleet::{
    Entry, Record, Replica, Scratch, chunk, config, event, free_ports, read_stream, signed,
    stream_head, stream_request,
};
use crate::net::{Wire, answer};
use crate::store::Store;
use std::io;
use std::time::{Duration, Instant};

const EVENTS: u64 = 28;
/// Usual pause between two events.
const PAUSE: Duration = Duration::from_millis(70);
/// After how many events the request is preempted, and when it goes on. Clients stay for a gap of
/// up to 2 s.
const PREEMPTED_AFTER: u64 = 10;
const PREEMPTED: Duration = Duration::from_millis(1600);
const CLIENTS: u64 = 4;

pub fn run(record: &Record, trouble: bool) -> io::Result<usize> {
    let (store, scratch) = (Store::default(), Scratch::open()?);
    store.put("op/config", &config(7, &["key-one"]));
    let log = record.clone();
    let sound = Replica::open("i-00000000", "assistant", 12, move |head, wire| {
        let id = head.get("x-request-id").unwrap_or("").to_owned();
        log.note(format!("replica i-00000000: runs {id}"));
        wire.send(&stream_head(head))?;
        for number in 1..=EVENTS {
            if let Err(error) = wire.send(&chunk(&event(number))) {
                log.note(format!("replica i-00000000: {id} cut before event {number}: {error}"));
                return Err(error);
            }
            let is_preempted = trouble && number == PREEMPTED_AFTER;
            std::thread::sleep(if is_preempted { PREEMPTED } else { PAUSE });
        }
        log.note(format!("replica i-00000000: {id} whole"));
        wire.send(b"0\r\n\r\n")
    })?;
    sound.register(&store);
    // The other replica is full with the work of others, and says so.
    let log = record.clone();
    let full = Replica::open("i-00000001", "assistant", 12, move |head, wire| {
        let id = head.get("x-request-id").unwrap_or("");
        log.note(format!("replica i-00000001: is full, does not run {id}"));
        let headers = format!("{}X-Not-Executed: 1\r\n", signed(head));
        wire.send(&answer("503 Service Unavailable", &headers, b""))
    })?;
    full.register(&store);
    let peers = free_ports(1)?;
    let entry = Entry::spawn("front-1", &store.open()?, &peers[0], &peers[0], &scratch)?;
    entry.await_ready()?;
    // The core has to be stable for `stableWindowMs`.
    std::thread::sleep(Duration::from_millis(3200));
    let clients = (0..CLIENTS).map(|client| {
        let (record, address) = (record.clone(), entry.address.clone());
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(20 * client));
            let id = format!("{:016x}", 0xe000 + client);
            let started = Instant::now();
            let seen = Wire::connect(&address, Duration::from_secs(1))
                .and_then(|mut wire| read_stream(&mut wire, &stream_request(&id, "key-one", 140)));
            let took = started.elapsed().as_secs_f64();
            match seen {
                Ok(seen) if seen.status == 200 && seen.ids.len() as u64 == EVENTS => {
                    record.note(format!("client {id}: whole after {took:.3} s"));
                    0
                }
                Ok(seen) if seen.status == 200 => {
                    let count = seen.ids.len();
                    record.note(format!(
                        "client {id}: BROKEN: cut after {count} of {EVENTS} events, {took:.3} s"
                    ));
                    1
                }
                Ok(seen) => {
                    record.note(format!("client {id}: status {}", seen.status));
                    0
                }
                Err(error) => {
                    record.note(format!("client {id}: not answered: {error}"));
                    0
                }
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    std::thread::sleep(Duration::from_millis(400));
    if trouble {
        entry.process.signal("-TERM");
        record.note("SIGTERM to front-1");
    }
    Ok(clients.into_iter().map(|c| c.join().unwrap_or(0)).sum())
}
