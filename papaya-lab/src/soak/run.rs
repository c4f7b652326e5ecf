//! One soak from its start to its end.

use super::client::{Client, RATE};
use super::constants::{READY_LIMIT, SETTLE};
use super::entry::{Bounds, Entry, Places};
use super::faults;
use super::fleet::Fleet;
use super::plan::{plan, plan_links};
use super::record::{Record, Seen};
use super::report::{Report, check};
use super::store::Store;
use super::world::{World, measure_lag};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

/// What a soak is made of.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) seed: u64,
    pub(super) time: Duration,
    pub(super) entries: usize,
    pub(super) replicas: usize,
    pub(super) ledgers: usize,
    /// Requests a second.
    pub(super) load: u64,
    pub(super) faults: Vec<String>,
    /// Faults of links between entries and replicas; there are no links if there are none.
    pub(super) links: Vec<String>,
    pub(super) bounds: Bounds,
    pub(super) places: Places,
}

/// Runs a soak and checks what was seen.
pub(super) async fn run(settings: &Plan) -> io::Result<Report> {
    let record = Arc::new(Record::new());
    let store = Store::new(settings.entries);
    let counts = [settings.replicas, settings.ledgers];
    let links = if settings.links.is_empty() { 0 } else { settings.entries };
    let drain = settings.bounds.drain;
    let fleet = Fleet::open(record.clone(), store.clone(), drain, links, counts).await?;
    let mut entries = Vec::new();
    for number in 0..settings.entries {
        let address = store.open(number).await?;
        let (bounds, places) = (settings.bounds, &settings.places);
        let all = settings.entries;
        entries.push(Entry::spawn(number, all, address, bounds, places, record.clone())?);
    }
    let stopped = CancellationToken::new();
    let seed = settings.seed;
    let world = Arc::new(World { seed, record: record.clone(), fleet, entries, stopped });
    // These are ended on every way out.
    let mut helpers = JoinSet::new();
    helpers.spawn(measure_lag(record.clone()));
    (0..settings.entries).for_each(|n| drop(helpers.spawn(world.clone().poll(n))));
    let result = drive(settings, &world).await;
    // First, else one of them takes an entry that is ended here for one that has ended by itself.
    helpers.shutdown().await;
    for entry in &world.entries {
        entry.end().await?;
    }
    result?;
    let seen = record.seen().clone();
    write_record(settings, &seen)?;
    Ok(check(&seen, settings.entries, settings.bounds))
}

async fn drive(settings: &Plan, world: &Arc<World>) -> io::Result<()> {
    let all_ready = async {
        while !world.entries.iter().all(|e| e.in_rotation.load(Ordering::SeqCst)) {
            sleep(Duration::from_millis(50)).await;
        }
    };
    if timeout(READY_LIMIT, all_ready).await.is_err() {
        return Err(io::Error::other("not all entries became ready"));
    }
    let names = &settings.faults;
    let planned = plan(settings.seed, settings.time, settings.entries, names);
    let end = Instant::now() + settings.time;
    let mut clients = JoinSet::new();
    // Half of the load comes from clients that wait for each answer.
    let closed = (settings.load as f64 / 2.0 / RATE).ceil() as u64;
    (0..closed).for_each(|n| drop(clients.spawn(Client::new(world.clone(), n).run())));
    let mut running = JoinSet::new();
    running.spawn(faults::run(world.clone(), planned));
    let harms = plan_links(settings.seed, settings.time, settings.entries, &settings.links);
    running.spawn(faults::run_links(world.clone(), harms));
    let mut rng = StdRng::seed_from_u64(settings.seed ^ 1);
    let mut number = closed;
    while Instant::now() < end {
        let share: f64 = rng.random();
        let rate = (settings.load as f64 / 2.0).max(0.1);
        sleep(Duration::from_secs_f64(-(1.0 - share).ln() / rate)).await;
        clients.spawn(Client::new(world.clone(), number).run_once());
        number += 1;
        while clients.try_join_next().is_some() {}
        while let Some(done) = running.try_join_next() {
            done.map_err(io::Error::other)??;
        }
    }
    while let Some(done) = running.join_next().await {
        done.map_err(io::Error::other)??;
    }
    world.stopped.cancel();
    let ended = async { while clients.join_next().await.is_some() {} };
    timeout(SETTLE, ended).await.map_err(|_| io::Error::other("clients don't end"))
}

/// Writes all that was seen beside the logs.
fn write_record(settings: &Plan, seen: &Seen) -> io::Result<()> {
    let mut text = String::new();
    for (at, act) in &seen.acts {
        let _ = writeln!(text, "{:9.3} {act:?}", at.as_secs_f64());
    }
    for (id, request) in &seen.requests {
        let _ = writeln!(text, "{:9.3} request {id} {request:?}", request.sent.as_secs_f64());
    }
    for arrival in &seen.arrivals {
        let _ = writeln!(text, "{:9.3} arrival {arrival:?}", arrival.at.as_secs_f64());
    }
    let mut lines: Vec<_> = text.lines().collect();
    lines.sort();
    fs::write(settings.places.scratch.join("record.txt"), lines.join("\n") + "\n")
}
