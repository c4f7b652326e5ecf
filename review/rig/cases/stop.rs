//! LOST: a stopping entry takes a stream that it can't finish, and cuts it as it exits.

use crate::fleet::{
    Entry, Record, Replica, Scratch, chunk, config, event, free_ports, read_stream, stream_head,
    stream_request,
};
use crate::net::Wire;
use crate::store::Store;
use std::io;
use std::time::{Duration, Instant};

/// Events of a usual answer, and of a long one; the site's sheet has 28 on average and 69 at most.
const USUAL: u64 = 28;
const LONG: u64 = 69;
/// Pause between two events.
const PAUSE: Duration = Duration::from_millis(70);
/// Tokens of an event.
const EVENT_TOKENS: u64 = 5;
/// When the long answers are asked for, after the SIGTERM. Later than the 3 s up to which the rule
/// excuses an answer that is still being made in the last sixth of the grace period.
const ASKED_AFTER: Duration = Duration::from_millis(3300);
const CLIENTS: u64 = 4;

pub fn run(record: &Record, trouble: bool) -> io::Result<usize> {
    let (store, scratch) = (Store::default(), Scratch::open()?);
    store.put("op/config", &config(7, &["key-one"]));
    for number in 0..2 {
        let record = record.clone();
        let id = format!("i-{number:08x}");
        let own = id.clone();
        let replica = Replica::open(&id, "assistant", 12, move |head, wire| {
            let id = head.get("x-request-id").unwrap_or("").to_owned();
            let usage = head.get("x-token-usage").and_then(|t| t.split_once(','));
            let tokens: u64 = usage.and_then(|(_, t)| t.parse().ok()).unwrap_or(0);
            record.note(format!("replica {own}: runs {id}, {} events", tokens / EVENT_TOKENS));
            wire.send(&stream_head(head))?;
            for number in 1..=tokens / EVENT_TOKENS {
                if let Err(error) = wire.send(&chunk(&event(number))) {
                    record.note(format!("replica {own}: {id} cut before event {number}: {error}"));
                    return Err(error);
                }
                std::thread::sleep(PAUSE);
            }
            record.note(format!("replica {own}: {id} whole"));
            wire.send(b"0\r\n\r\n")
        })?;
        replica.register(&store);
    }
    let peers = free_ports(1)?;
    let mut entry = Entry::spawn("front-1", &store.open()?, &peers[0], &peers[0], &scratch)?;
    entry.await_ready()?;
    // The core has to be stable for `stableWindowMs`.
    std::thread::sleep(Duration::from_millis(3200));
    let clients = (0..CLIENTS).map(|client| {
        let (record, address) = (record.clone(), entry.address.clone());
        std::thread::spawn(move || -> io::Result<Wire> {
            // A usual answer, and the connection stays open for the next one.
            let id = format!("{:016x}", 0xb000 + client);
            let mut wire = Wire::connect(&address, Duration::from_secs(1))?;
            let request = stream_request(&id, "key-one", USUAL * EVENT_TOKENS);
            let seen = read_stream(&mut wire, &request)?;
            record.note(format!(
                "client {id}: {} events, complete: {}",
                seen.ids.len(),
                seen.is_complete
            ));
            Ok(wire)
        })
    });
    let clients: Vec<_> = clients.collect();
    let wires = clients.into_iter().map(|c| c.join().map_err(|_| io::Error::other("client"))?);
    let wires: Vec<Wire> = wires.collect::<io::Result<_>>()?;
    let stopped = Instant::now();
    if trouble {
        entry.process.signal("-TERM");
        record.note("SIGTERM to front-1");
    }
    std::thread::sleep(ASKED_AFTER);
    let clients = (0..).zip(wires).map(|(client, mut wire)| {
        let record = record.clone();
        std::thread::spawn(move || {
            let id = format!("{:016x}", 0xb100 + client);
            let request = stream_request(&id, "key-one", LONG * EVENT_TOKENS);
            record.note(format!("client {id}: asks, {:.3} s after the SIGTERM", stopped.elapsed().as_secs_f64()));
            match read_stream(&mut wire, &request) {
                Ok(seen) if seen.status != 200 => {
                    record.note(format!("client {id}: status {}", seen.status));
                    0
                }
                Ok(seen) if seen.is_complete && seen.ids.len() as u64 == LONG => {
                    record.note(format!("client {id}: whole"));
                    0
                }
                Ok(seen) => {
                    let (count, after) = (seen.ids.len(), stopped.elapsed().as_secs_f64());
                    record.note(format!("client {id}: BROKEN: cut after {count} of {LONG} events, {after:.3} s after the SIGTERM"));
                    1
                }
                // Closed before it was read, so not taken.
                Err(error) => {
                    record.note(format!("client {id}: not answered: {error}"));
                    0
                }
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    let broken = clients.into_iter().map(|c| c.join().unwrap_or(0)).sum();
    std::thread::sleep(Duration::from_millis(300));
    record.note(format!("front-1 has ended: {}", entry.process.has_ended()));
    Ok(broken)
}
