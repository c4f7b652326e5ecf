//! Plan of faults by a seed.

use super::constants::ZONES;
use super::link::LinkManner;
use super::record::Service;
use super::replica::Manner;
use super::store;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Names of all faults.
pub(super) const NAMES: [&str; 19] = [
    "term", "roll", "kill", "series", "herd", "cold", "freeze", "hup", "store", "config",
    "release", "crash", "group", "fail", "refuse", "stall", "lose", "cut", "hang",
];

/// Names of all faults of links.
pub(super) const LINK_NAMES: [&str; 7] =
    ["delay", "requests", "answers", "hold", "drop", "reset", "trickle"];

/// Changes the seed for the faults of links, so that the other faults of a seed stay as they are.
const LINK_SEED: u64 = 0x6c69_6e6b;

/// Time without faults at the start, so that the entries are in touch.
const FIRST: Duration = Duration::from_secs(5);

/// Time without new faults at the end.
const LAST: Duration = Duration::from_secs(10);

/// Longest pause between two faults.
const PAUSE_MAX_MS: u64 = 3500;

/// A fault.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Fault {
    /// SIGTERM to one entry.
    Term(usize),
    /// SIGTERM to entries in a row, with a pause.
    Roll(Vec<usize>, Duration),
    Kill(usize),
    /// SIGKILL to entries in a row, with a pause.
    Series(Vec<usize>, Duration),
    /// SIGKILL to all entries.
    Herd,
    /// SIGKILL to all entries but the seeds, which are frozen, while most replicas refuse.
    Cold(Service, Duration),
    Freeze(usize, Duration),
    Reload(usize),
    /// The store treats one machine, or all, in a manner.
    Store(Option<usize>, store::Manner, Duration),
    CutWatches,
    Forget,
    Config,
    /// Replicas leave one after the other; whether they say so.
    Release(Service, usize, bool),
    /// Replicas crash, and others come after a time.
    Crash(Service, usize, Duration),
    /// Ranks of a group stand still and then break off.
    Group(Duration),
    /// A share of a service's replicas behave in a manner.
    Upset(Service, f64, Manner, Duration),
}

/// The faults named in `names`, with their times since the start of the load.
pub(super) fn plan(
    seed: u64,
    time: Duration,
    entries: usize,
    names: &[String],
) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at = FIRST;
    while !names.is_empty() && at + LAST < time {
        if let Some(name) = names.choose(&mut rng) {
            faults.push((at, draw(&mut rng, name, entries)));
        }
        at += Duration::from_millis(rng.random_range(200..PAUSE_MAX_MS));
    }
    faults
}

/// Which links a fault meets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Scope {
    /// All of one entry.
    Entry(usize),
    /// Those between one availability zone and the others.
    Zone(usize),
    /// Those of all entries to a share of a service's replicas.
    Share(Service, f64),
}

/// A fault of links.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LinkFault {
    pub(super) scope: Scope,
    pub(super) manner: LinkManner,
    pub(super) time: Duration,
}

/// The faults of links named in `names`, with their times since the start of the load.
pub(super) fn plan_links(
    seed: u64,
    time: Duration,
    entries: usize,
    names: &[String],
) -> Vec<(Duration, LinkFault)> {
    let mut rng = StdRng::seed_from_u64(seed ^ LINK_SEED);
    let mut faults = Vec::new();
    let mut at = FIRST;
    while !names.is_empty() && at + LAST < time {
        if let Some(name) = names.choose(&mut rng) {
            faults.push((at, draw_link(&mut rng, name, entries)));
        }
        at += Duration::from_millis(rng.random_range(200..PAUSE_MAX_MS));
    }
    faults
}

fn draw_link(rng: &mut StdRng, name: &str, entries: usize) -> LinkFault {
    let manner = match name {
        "delay" => LinkManner::Delays(Duration::from_millis(rng.random_range(20..700))),
        "requests" => LinkManner::HoldsRequests,
        "answers" => LinkManner::HoldsAnswers,
        "hold" => LinkManner::Holds,
        "drop" => LinkManner::Drops,
        "reset" => LinkManner::Resets,
        _ => LinkManner::Trickles,
    };
    let scope = match rng.random_range(0..4) {
        0 => Scope::Entry(rng.random_range(0..entries)),
        1 => Scope::Zone(rng.random_range(0..ZONES.len())),
        2 => Scope::Share(Service::Assistant, rng.random_range(0.2..0.9)),
        _ => Scope::Share(Service::Ledger, rng.random_range(0.2..0.9)),
    };
    let time = Duration::from_millis(rng.random_range(1000..9000));
    LinkFault { scope, manner, time }
}

fn draw(rng: &mut StdRng, name: &str, entries: usize) -> Fault {
    let one = rng.random_range(0..entries);
    let row = |rng: &mut StdRng, max: usize| -> Vec<usize> {
        let count = rng.random_range(2..=max.max(2)).min(entries);
        (0..count).map(|n| (one + n) % entries).collect()
    };
    let ms =
        |rng: &mut StdRng, min: u64, max: u64| Duration::from_millis(rng.random_range(min..max));
    let service = if rng.random_bool(0.5) { Service::Assistant } else { Service::Ledger };
    let mut upset = |manner: Manner| {
        Fault::Upset(service, rng.random_range(0.2..0.8), manner, ms(rng, 2000, 15_000))
    };
    match name {
        "fail" => return upset(Manner::Fails),
        "refuse" => return upset(Manner::Refuses),
        "lose" => return upset(Manner::Loses),
        "cut" => return upset(Manner::Cuts),
        "stall" => {
            let share = rng.random_range(0.1..0.5);
            return Fault::Upset(service, share, Manner::Stalls, ms(rng, 500, 4000));
        }
        "hang" => {
            let share = rng.random_range(0.1..0.5);
            return Fault::Upset(service, share, Manner::Hangs, ms(rng, 500, 8000));
        }
        _ => {}
    }
    match name {
        "term" => Fault::Term(one),
        "roll" => Fault::Roll(row(rng, entries / 3), ms(rng, 200, 2500)),
        "kill" => Fault::Kill(one),
        "series" => {
            // The same few entries again and again, as a process that crashes does.
            let few = row(rng, 3);
            let count = rng.random_range(4..10);
            let row = few.iter().cycle().take(count).copied().collect();
            Fault::Series(row, ms(rng, 400, 2000))
        }
        "herd" => Fault::Herd,
        "cold" => Fault::Cold(service, ms(rng, 4000, 9000)),
        "freeze" => Fault::Freeze(one, ms(rng, 300, 4000)),
        "hup" => Fault::Reload(one),
        "config" => Fault::Config,
        "release" => Fault::Release(service, rng.random_range(1..4), rng.random_bool(0.6)),
        "crash" => Fault::Crash(service, rng.random_range(1..3), ms(rng, 1000, 6000)),
        "group" => Fault::Group(ms(rng, 1000, 5000)),
        _ => {
            let time = ms(rng, 500, 6000);
            match rng.random_range(0..6) {
                0 => Fault::Store(None, store::Manner::Down, time),
                1 => Fault::Store(None, store::Manner::Slow, time),
                2 => Fault::Store(Some(one), store::Manner::Refuses, time),
                3 => Fault::Store(None, store::Manner::Refuses, time),
                4 => Fault::CutWatches,
                _ => Fault::Forget,
            }
        }
    }
}
