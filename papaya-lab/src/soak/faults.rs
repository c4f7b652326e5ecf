//! Carries out the plan of faults.

use super::constants::ZONES;
use super::entry::SEEDS_MAX;
use super::plan::{Fault, LinkFault, Scope};
use super::record::{Act, Service};
use super::replica::{Manner, Replica};
use super::store;
use super::world::World;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// Time for which the ranks of a broken group stand still before they break off.
const STALL: Duration = Duration::from_millis(1500);

/// Ranks in a group.
const GROUP_RANKS: usize = 32;

/// Places between the first replicas of two faults in a row.
const TURN: usize = 7;

/// Pause between two replicas of a release.
const RELEASE_PAUSE: Duration = Duration::from_millis(500);

/// Starts each fault at its time and waits for all.
pub(super) async fn run(world: Arc<World>, plan: Vec<(Duration, Fault)>) -> io::Result<()> {
    let start = Instant::now();
    let mut running = JoinSet::new();
    for (turn, (at, fault)) in plan.into_iter().enumerate() {
        sleep_until(start + at).await;
        running.spawn(carry_out(world.clone(), fault, turn));
    }
    while let Some(done) = running.join_next().await {
        done.map_err(io::Error::other)??;
    }
    Ok(())
}

/// Starts each fault of links at its time and waits for all.
pub(super) async fn run_links(
    world: Arc<World>,
    plan: Vec<(Duration, LinkFault)>,
) -> io::Result<()> {
    let start = Instant::now();
    let mut running = JoinSet::new();
    for (turn, (at, fault)) in plan.into_iter().enumerate() {
        sleep_until(start + at).await;
        let world = world.clone();
        running.spawn(async move {
            harm(&world, fault, turn).await;
            Ok(())
        });
    }
    join(running).await
}

async fn harm(world: &World, fault: LinkFault, turn: usize) {
    let LinkFault { scope, manner, time } = fault;
    let zone = |entry: usize| entry % ZONES.len();
    let chosen: Vec<_> = match scope {
        Scope::Share(service, share) => {
            let replicas = world.fleet.replicas(service);
            let count = (share * replicas.len() as f64).ceil() as usize;
            choose(replicas, count, turn).iter().map(|r| r.id.clone()).collect()
        }
        Scope::Entry(_) | Scope::Zone(_) => Vec::new(),
    };
    let meets = |entry: usize, replica: &Replica| match scope {
        Scope::Entry(one) => entry == one,
        Scope::Zone(one) => (zone(entry) == one) != (replica.zone() == one),
        Scope::Share(..) => chosen.contains(&replica.id),
    };
    let pairs = world.fleet.links(meets);
    let harmed = pairs.iter().map(|(entry, replica)| (*entry, replica.id.clone())).collect();
    let what = format!("{manner:?} for {time:?} at {scope:?}");
    world.record.act(Act::LinkFault(turn, harmed, what));
    world.fleet.harm_links(&pairs, manner, time).await;
    world.record.act(Act::LinkFine(turn));
}

async fn carry_out(world: Arc<World>, fault: Fault, turn: usize) -> io::Result<()> {
    let fleet = &world.fleet;
    let some = |replicas, count| choose(replicas, count, turn);
    match fault {
        Fault::Term(entry) => world.entries[entry].terminate().await,
        Fault::Roll(row, pause) => each(&world, &row, pause, true).await,
        Fault::Series(row, pause) => each(&world, &row, pause, false).await,
        Fault::Kill(entry) => world.entries[entry].kill().await,
        Fault::Herd => {
            let all: Vec<_> = (0..world.entries.len()).collect();
            each(&world, &all, Duration::ZERO, false).await
        }
        Fault::Cold(service, time) => {
            let (mut running, all) = (JoinSet::new(), world.entries.len());
            for entry in 0..all {
                let world = world.clone();
                running.spawn(async move {
                    let is_seed = entry < SEEDS_MAX && all > SEEDS_MAX;
                    let entry = &world.entries[entry];
                    if is_seed { entry.freeze(time).await } else { entry.kill().await }
                });
            }
            let all = fleet.replicas(service);
            let count = all.len() * 4 / 5;
            fleet.upset(&some(all, count), Manner::Refuses, time).await;
            join(running).await
        }
        Fault::Freeze(entry, time) => world.entries[entry].freeze(time).await,
        Fault::Reload(entry) => world.entries[entry].reload().await,
        Fault::Store(machine, manner, time) => {
            let who = machine.map_or("all".to_owned(), |m| format!("entry-{m}"));
            world.record.act(Act::StoreFault(format!("{manner:?} to {who} for {time:?}")));
            fleet.store.treat(machine, manner);
            sleep(time).await;
            fleet.store.treat(machine, store::Manner::Fine);
            world.record.act(Act::StoreFine);
            Ok(())
        }
        Fault::CutWatches => {
            world.record.act(Act::StoreFault("cuts watches".to_owned()));
            fleet.store.cut_watches();
            world.record.act(Act::StoreFine);
            Ok(())
        }
        Fault::Forget => {
            world.record.act(Act::StoreFault("forgets".to_owned()));
            fleet.store.forget();
            world.record.act(Act::StoreFine);
            Ok(())
        }
        Fault::Config => {
            fleet.publish();
            Ok(())
        }
        Fault::Release(service, count, is_told) => {
            let mut running = JoinSet::new();
            for replica in some(fleet.replicas(service), count) {
                let fleet = fleet.clone();
                running.spawn(async move { fleet.release(&replica, is_told).await });
                sleep(RELEASE_PAUSE).await;
            }
            join(running).await
        }
        Fault::Crash(service, count, away) => {
            let mut running = JoinSet::new();
            for replica in some(fleet.replicas(service), count) {
                let fleet = fleet.clone();
                running.spawn(async move { fleet.crash(&replica, away).await });
            }
            join(running).await
        }
        Fault::Group(time) => {
            let all = fleet.replicas(Service::Assistant);
            let ranks = some(all.clone(), GROUP_RANKS.min(all.len().div_ceil(2)));
            fleet.upset(&ranks, Manner::Stalls, STALL).await;
            fleet.upset(&ranks, Manner::Broken, time).await;
            Ok(())
        }
        Fault::Upset(service, share, manner, time) => {
            let all = fleet.replicas(service);
            let count = (share * all.len() as f64).ceil() as usize;
            fleet.upset(&some(all, count), manner, time).await;
            Ok(())
        }
    }
}

/// `count` replicas in a row, from a place that differs from turn to turn.
fn choose(mut replicas: Vec<Arc<Replica>>, count: usize, turn: usize) -> Vec<Arc<Replica>> {
    let first = turn * TURN % replicas.len().max(1);
    replicas.rotate_left(first);
    replicas.truncate(count);
    replicas
}

async fn join(mut running: JoinSet<io::Result<()>>) -> io::Result<()> {
    while let Some(done) = running.join_next().await {
        done.map_err(io::Error::other)??;
    }
    Ok(())
}

/// Stops or kills entries in a row. A stop isn't waited for before the next.
async fn each(world: &Arc<World>, row: &[usize], pause: Duration, stops: bool) -> io::Result<()> {
    let mut running = JoinSet::new();
    for entry in row.iter().copied() {
        let world = world.clone();
        running.spawn(async move {
            let entry = &world.entries[entry];
            if stops { entry.terminate().await } else { entry.kill().await }
        });
        sleep(pause).await;
    }
    join(running).await
}
