//! DRAIN: after a watch was cut, a replica whose entry is removed stays in use for too long.

use crate::fleet::{Entry, Record, Replica, Scratch, book_request, config, free_ports, signed};
use crate::net::{Wire, answer};
use crate::store::Store;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// `drainMs`.
const DRAIN: Duration = Duration::from_millis(2000);
/// How long the replica serves after its entry is removed: `drainMs` and a little longer.
const SERVES: Duration = Duration::from_millis(2250);
/// From the cut of the watch to the removal.
const REMOVED_AFTER: Duration = Duration::from_millis(100);
const CLIENTS: u64 = 6;

/// What became of the replica that leaves.
#[derive(Default)]
struct Leaving {
    removed: Option<Instant>,
    late: Vec<String>,
    /// Bookings that ran there and were not answered when it ended.
    running: Vec<String>,
}

pub fn run(record: &Record, trouble: bool) -> io::Result<usize> {
    let (store, scratch) = (Store::default(), Scratch::open()?);
    store.put("op/config", &config(7, &["key-one"]));
    let leaving: Arc<Mutex<Leaving>> = Arc::default();
    let mut replicas = Vec::new();
    for number in 0..3 {
        let (record, leaving) = (record.clone(), leaving.clone());
        let id = format!("i-{number:08x}");
        let own = id.clone();
        let replica = Replica::open(&id, "ledger", 6, move |head, wire| {
            let id = head.get("x-request-id").unwrap_or("").to_owned();
            let since =
                leaving.lock().unwrap().removed.filter(|_| number == 0).map(|at| at.elapsed());
            let text = since
                .map_or(String::new(), |s| format!(", {:.3} s after its removal", s.as_secs_f64()));
            record.note(format!("replica {own}: runs {id}{text}"));
            if number == 0 {
                let mut leaving = leaving.lock().unwrap();
                leaving.running.push(id.clone());
                if since.is_some_and(|since| since > DRAIN) {
                    leaving.late.push(id.clone());
                }
            }
            std::thread::sleep(Duration::from_millis(100));
            wire.send(&answer("200 OK", &signed(head), &[b'x'; 800]))?;
            leaving.lock().unwrap().running.retain(|r| *r != id);
            Ok(())
        })?;
        replica.register(&store);
        replicas.push(replica);
    }
    let peers = free_ports(1)?;
    let entry = Entry::spawn("front-1", &store.open()?, &peers[0], &peers[0], &scratch)?;
    entry.await_ready()?;
    let end = Instant::now() + Duration::from_millis(9000);
    let clients = (0..CLIENTS).map(|client| {
        let (record, address) = (record.clone(), entry.address.clone());
        std::thread::spawn(move || book(&record, &address, client, end))
    });
    let clients: Vec<_> = clients.collect();
    std::thread::sleep(Duration::from_millis(4000));
    if trouble {
        store.cut_config_watches();
        record.note("the store cuts the watch of the configuration that waits");
    }
    std::thread::sleep(REMOVED_AFTER);
    store.remove("servers/i-00000000");
    leaving.lock().unwrap().removed = Some(Instant::now());
    record.note("the entry of i-00000000 is removed: it leaves without draining first");
    std::thread::sleep(SERVES);
    let lost = leaving.lock().unwrap().running.clone();
    replicas[0].server.end();
    record.note(format!("i-00000000 ends; it was at work on {lost:?}"));
    for client in clients {
        let _ = client.join();
    }
    let late = std::mem::take(&mut leaving.lock().unwrap().late);
    late.iter().for_each(|id| record.note(format!("BROKEN: {id} reached i-00000000 too late")));
    Ok(late.len())
}

/// Books again and again, each time on a new connection, until `end`.
fn book(record: &Record, address: &str, client: u64, end: Instant) {
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let id = format!("{:016x}", 0xd000_0000 + client * 0x10000 + number);
        let answer = Wire::connect(address, Duration::from_secs(1)).and_then(|mut wire| {
            wire.limit(Duration::from_millis(2500))?;
            wire.send(book_request(&id, "key-one").as_bytes())?;
            let head = wire.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            wire.body(&head)?;
            Ok(head.status())
        });
        match answer {
            Ok(status) => record.note(format!("client {id}: status {status}")),
            Err(error) => record.note(format!("client {id}: no answer: {error}")),
        }
        std::thread::sleep(Duration::from_millis(40));
    }
}
