//! ORDER: a replica spoils one byte of an answer, and events that arrived whole before it are lost.

use crate::fleet::{
    Entry, Record, Replica, Scratch, chunk, config, event, free_ports, read_stream, stream_head,
    stream_request,
};
use crate::net::{Head, Wire};
use crate::store::Store;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Events of a whole answer.
const EVENTS: u64 = 28;
/// Events that a replica has ready at a time, and so sends in one chunk.
const TOGETHER: u64 = 4;
/// One answer in so many is spoiled.
const SPOILED_EVERY: u64 = 50;
/// The chunk of a spoiled answer that has the wrong byte: events 5 to 8.
const SPOILED_FROM: u64 = 5;
const CLIENTS: u64 = 6;
/// Streams of one client.
const REQUESTS: u64 = 120;

pub fn run(record: &Record, trouble: bool) -> io::Result<usize> {
    let (store, scratch) = (Store::default(), Scratch::open()?);
    store.put("op/config", &config(7, &["key-one"]));
    // The first replica spoils a fiftieth of its answers; the other one is sound.
    let spoils = [trouble, false];
    for (number, spoils) in spoils.into_iter().enumerate() {
        let (record, answers) = (record.clone(), Arc::new(AtomicU64::new(0)));
        let id = format!("i-{number:08x}");
        let own = id.clone();
        let replica = Replica::open(&id, "assistant", 12, move |head, wire| {
            let count = answers.fetch_add(1, Ordering::Relaxed);
            let spoiled = spoils && count % SPOILED_EVERY == SPOILED_EVERY / 2;
            serve_stream(&record, &own, head, wire, spoiled)
        })?;
        replica.register(&store);
    }
    let peers = free_ports(1)?;
    let entry = Entry::spawn("front-1", &store.open()?, &peers[0], &peers[0], &scratch)?;
    entry.await_ready()?;
    let clients = (0..CLIENTS).map(|client| {
        let (record, address) = (record.clone(), entry.address.clone());
        std::thread::spawn(move || ask(&record, &address, client))
    });
    let clients: Vec<_> = clients.collect();
    let broken = clients.into_iter().map(|c| c.join().unwrap_or(0)).sum();
    record.note(format!("{} streams were asked for", CLIENTS * REQUESTS));
    Ok(broken)
}

/// Asks for one stream after the other; returns how many were wrong.
fn ask(record: &Record, address: &str, client: u64) -> usize {
    let (mut broken, mut wire) = (0, None);
    for number in 0..REQUESTS {
        let id = format!("{:016x}", 0xa0000 + client * 0x1000 + number);
        let open = wire.take().map_or_else(|| Wire::connect(address, Duration::from_secs(1)), Ok);
        let seen = open.and_then(|mut open| {
            Ok((read_stream(&mut open, &stream_request(&id, "key-one", 140))?, open))
        });
        let (seen, open) = match seen {
            Ok(seen) => seen,
            Err(error) => {
                record.note(format!("client {id}: no answer: {error}"));
                continue;
            }
        };
        let in_order = seen.ids.iter().copied().eq(1..=seen.ids.len() as u64);
        let is_short = seen.is_complete && seen.ids.len() as u64 != EVENTS;
        if seen.status == 200 && (!in_order || is_short) {
            broken += 1;
            record.note(format!(
                "client {id}: BROKEN: events {:?}, answer ended as complete: {}",
                seen.ids, seen.is_complete
            ));
        } else if seen.status == 200 && seen.is_complete {
            record.note(format!("client {id}: whole"));
        } else {
            record.note(format!("client {id}: status {}, {} events", seen.status, seen.ids.len()));
        }
        if seen.is_complete && !seen.closes {
            wire = Some(open);
        }
    }
    broken
}

fn serve_stream(
    record: &Record,
    replica: &str,
    head: &Head,
    wire: &mut Wire,
    spoiled: bool,
) -> io::Result<()> {
    let id = head.get("x-request-id").unwrap_or("").to_owned();
    let after: Option<u64> = head.get("last-event-id").and_then(|e| e.parse().ok());
    if after.is_some() {
        record.note(format!("replica {replica}: runs {id}, Last-Event-Id {after:?}"));
    }
    wire.send(&stream_head(head))?;
    let mut next = after.unwrap_or(0) + 1;
    while next <= EVENTS {
        let last = (next + TOGETHER - 1).min(EVENTS);
        let mut text: String = (next..=last).map(event).collect();
        if spoiled && next == SPOILED_FROM {
            // One digit of the last event's id arrives as another one.
            text = text.replace("id: 8\n", "id: 9\n");
            record.note(format!(
                "replica {replica}: spoils a byte of {id}: sends events 5, 6, 7 and '9'"
            ));
        }
        wire.send(&chunk(&text))?;
        next = last + 1;
    }
    wire.send(b"0\r\n\r\n")
}
