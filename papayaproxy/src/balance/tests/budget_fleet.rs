//! The retry budget over a whole fleet, in virtual time: entries that restart, are cut from each
//! other, or start without knowing the others.

use crate::balance::Arrivals;
use crate::balance::budget::{Budget, BudgetRule};
use crate::base::name::{Incarnation, Name};
use crate::peers::message::Heartbeat;
use crate::peers::table::Table;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(100);
const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
/// Time from the start of the fleet until its clients begin.
const CLIENTS_AFTER: Duration = Duration::from_secs(10);

/// What happens to a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    /// Nothing but failing attempts.
    None,
    /// Entries are killed one after the other, and start again within seconds.
    Series,
    /// All entries are killed at the same moment, every few seconds.
    Herd,
    /// A zone is cut off for a while; its entries are killed meanwhile.
    Cut,
    /// Each zone is cut from the others while all entries start.
    StartCut,
    /// Three of ten datagrams are lost, and entries are killed one after the other.
    Lossy,
}

impl Trouble {
    const ALL: [Self; 6] =
        [Self::None, Self::Series, Self::Herd, Self::Cut, Self::StartCut, Self::Lossy];
}

/// The size of a fleet, and what its service gets.
#[derive(Clone, Copy, Debug)]
struct Site {
    entries: usize,
    zones: usize,
    slack: f64,
    /// Requests a second, at all entries together.
    rate: f64,
}

struct Entry {
    zone: usize,
    /// Start of the process; a later time while it is down.
    started: Duration,
    run: u64,
    sequence: u64,
    next_heartbeat: Duration,
    table: Table,
    budget: Budget,
}

/// What a service got.
#[derive(Default)]
struct Seen {
    requests: Vec<Duration>,
    repeats: Vec<Duration>,
}

impl Seen {
    /// The largest part of what the rule allows that was used in any window.
    fn worst(&self, slack: f64) -> f64 {
        let count = |times: &[Duration], from: Duration, to: Duration| {
            times.partition_point(|t| *t <= to) - times.partition_point(|t| *t <= from)
        };
        let share = |end: &Duration| {
            let requests = |back: f64| {
                let to = end.saturating_sub(WINDOW.mul_f64(back));
                count(&self.requests, to.saturating_sub(WINDOW), to)
            };
            let most = requests(0.0).max(requests(0.5)).max(requests(1.0));
            let repeats = count(&self.repeats, end.saturating_sub(WINDOW), *end);
            repeats as f64 / (RATIO * most as f64 + slack)
        };
        self.repeats.iter().map(share).fold(0.0, f64::max)
    }
}

struct Fleet {
    site: Site,
    trouble: Trouble,
    rng: SmallRng,
    entries: Vec<Entry>,
    seeds: Vec<SocketAddr>,
    /// Zones that are cut off, and until when.
    cut: (Vec<usize>, Duration),
    next_kill: Duration,
    /// Whether attempts fail, and until when that stays so.
    failing: (bool, Duration),
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8], 7000))
}

impl Fleet {
    fn new(site: Site, trouble: Trouble, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        // One seed a zone, at most three, and one of them may be of a host that is gone.
        let mut seeds: Vec<_> =
            (0..3).map(|zone| address(zone + site.zones * rng.random_range(0..2))).collect();
        if trouble == Trouble::Series && rng.random_bool(0.5) {
            seeds[0] = address(200);
        }
        let mut fleet = Self {
            site,
            trouble,
            rng,
            entries: Vec::new(),
            seeds,
            cut: (Vec::new(), Duration::ZERO),
            next_kill: Duration::from_secs(18),
            failing: (false, Duration::from_secs(17)),
        };
        if trouble == Trouble::StartCut {
            fleet.cut = ((0..site.zones).collect(), Duration::from_secs(35));
        }
        for index in 0..site.entries {
            let started = Duration::from_millis(fleet.rng.random_range(0..500));
            let entry = fleet.start(index, 0, started);
            fleet.entries.push(entry);
        }
        fleet
    }

    fn start(&self, index: usize, run: u64, started: Duration) -> Entry {
        let rule =
            BudgetRule { ratio: RATIO, slack: self.site.slack, window: WINDOW, is_first: false };
        Entry {
            zone: index % self.site.zones,
            started,
            run,
            sequence: 0,
            next_heartbeat: started,
            table: Table::new(address(index), self.seeds.clone()),
            budget: Budget::new(rule),
        }
    }

    fn kill(&mut self, index: usize, now: Duration) {
        let down = Duration::from_millis(self.rng.random_range(200..2000));
        let run = self.entries[index].run + 1;
        self.entries[index] = self.start(index, run, now + down);
    }

    fn disturb(&mut self, now: Duration) {
        if now < self.next_kill || self.trouble == Trouble::None {
            return;
        }
        let count = self.entries.len();
        let pause = match self.trouble {
            Trouble::Series | Trouble::Lossy => {
                for _ in 0..count.div_ceil(10) {
                    let index = self.rng.random_range(0..count);
                    self.kill(index, now);
                }
                self.rng.random_range(200..1200)
            }
            Trouble::Herd => {
                (0..count).for_each(|index| self.kill(index, now));
                self.rng.random_range(3_000..12_000)
            }
            Trouble::Cut | Trouble::StartCut => {
                if now >= self.cut.1 {
                    let zone = self.rng.random_range(0..self.site.zones);
                    let time = Duration::from_secs(self.rng.random_range(12..25));
                    self.cut = (vec![zone], now + time);
                }
                // Some entries of each zone go on, except while all start.
                let cut = self.cut.0.clone();
                let of_zone: Vec<_> =
                    (0..count).filter(|i| cut.contains(&self.entries[*i].zone)).collect();
                let killed = self.rng.random_range(0..of_zone.len());
                for index in of_zone.into_iter().take(killed) {
                    self.kill(index, now);
                }
                self.rng.random_range(6_000..15_000)
            }
            Trouble::None => unreachable!(),
        };
        self.next_kill = now + Duration::from_millis(pause);
    }

    fn arrives(&mut self, from: usize, to: usize, now: Duration) -> bool {
        let (from, to) = (&self.entries[from], &self.entries[to]);
        let is_cut = |zone: &usize| now < self.cut.1 && self.cut.0.contains(zone);
        let is_lost = self.trouble == Trouble::Lossy && self.rng.random_bool(0.3);
        to.started <= now
            && !is_lost
            && (from.zone == to.zone || !(is_cut(&from.zone) || is_cut(&to.zone)))
    }

    /// Delivers a heartbeat to those peers of `from` that can be reached.
    fn send(
        &mut self,
        from: usize,
        to: Vec<SocketAddr>,
        with_peers: bool,
        tells: bool,
        now: Duration,
    ) {
        let entry = &mut self.entries[from];
        entry.sequence += 1;
        let sequence = entry.sequence;
        let peers = entry.table.known_peers(sequence as usize);
        let heartbeat = Heartbeat {
            zone: Name::from(format!("z{}", entry.zone)),
            incarnation: Incarnation(entry.run),
            sequence,
            version: 1,
            known_peers: if with_peers { peers } else { Vec::new() },
            loads: Vec::new(),
            demand: Vec::new(),
        };
        for to in to {
            let SocketAddr::V4(v4) = to else { continue };
            let index = usize::from(v4.ip().octets()[3]);
            if index >= self.entries.len() || !self.arrives(from, index, now) {
                continue;
            }
            let sender = &mut self.entries[from];
            let told = sender.table.size(now - sender.started);
            let table = &mut self.entries[index].table;
            if let Some(entries) = told.sharing.filter(|_| tells) {
                table.record_told(entries as u16);
            }
            let was_live = table.is_live(address(from), heartbeat.incarnation);
            table.record_heartbeat(address(from), heartbeat.clone(), now);
            let mut new = table.take_new_addresses();
            if !was_live {
                new.push(address(from));
                self.send(index, new, true, true, now);
            }
        }
    }

    fn heartbeats(&mut self, now: Duration) {
        for index in 0..self.entries.len() {
            let entry = &mut self.entries[index];
            if entry.started > now || entry.next_heartbeat > now {
                continue;
            }
            entry.table.expire(now);
            entry.table.take_new_addresses();
            entry.next_heartbeat = now + entry.table.heartbeat_interval();
            let (to, with_peers) = (entry.table.addresses(), entry.sequence.is_multiple_of(5));
            self.send(index, to, with_peers, false, now);
        }
    }

    /// Requests arrive, and as many attempts fail as may be repeated.
    fn serve(&mut self, now: Duration, seen: &mut Seen) {
        if now >= self.failing.1 {
            let (lowest, highest) = if self.failing.0 { (1_000, 8_000) } else { (300, 3_000) };
            let time = Duration::from_millis(self.rng.random_range(lowest..highest));
            self.failing = (!self.failing.0, now + time);
        }
        let chance = self.site.rate / self.entries.len() as f64 * STEP.as_secs_f64();
        for entry in &mut self.entries {
            if entry.started > now {
                continue;
            }
            let mut left = chance;
            while left > 0.0 && self.rng.random_bool(left.min(1.0)) {
                entry.budget.count_request(Duration::ZERO, now - entry.started);
                seen.requests.push(now);
                left -= 1.0;
            }
            let entries = entry.table.size(now - entry.started).sharing;
            let now_here = now - entry.started;
            while self.failing.0 && take_arriving(&mut entry.budget, entries, now_here) {
                seen.repeats.push(now);
            }
        }
    }
}

/// Takes a retry whose attempts arrive at once.
fn take_arriving(budget: &mut Budget, entries: Option<usize>, now: Duration) -> bool {
    let mut arrivals = Arrivals::default();
    let is_granted = budget.try_take(&mut arrivals, entries, now).is_granted;
    for _ in 0..2 {
        arrivals.record_sent();
        arrivals.record_settled(now);
    }
    budget.settle(&mut arrivals);
    is_granted
}

/// Plays `time` and returns what the service got.
fn play(site: Site, trouble: Trouble, seed: u64, time: Duration) -> Seen {
    let mut fleet = Fleet::new(site, trouble, seed);
    let mut seen = Seen::default();
    let mut now = Duration::ZERO;
    while now < time {
        now += STEP;
        fleet.disturb(now);
        fleet.heartbeats(now);
        if now > CLIENTS_AFTER {
            fleet.serve(now, &mut seen);
        }
    }
    seen
}

const SMALL: Site = Site { entries: 8, zones: 3, slack: 92.0, rate: 9.4 };
const BUSY: Site = Site { entries: 8, zones: 3, slack: 92.0, rate: 74.5 };
const GROWN: Site = Site { entries: 30, zones: 3, slack: 188.0, rate: 31.4 };
const TIME: Duration = Duration::from_secs(50);

/// A process that starts again forgets what it has used. Together, the runs of all entries must stay
/// within the rule in each window, whenever they are killed.
#[rstest]
#[case::one_after_the_other(SMALL, Trouble::Series, 6)]
#[case::all_at_once(SMALL, Trouble::Herd, 6)]
#[case::messages_lost(SMALL, Trouble::Lossy, 6)]
#[case::busy_one_after_the_other(BUSY, Trouble::Series, 6)]
#[case::busy_all_at_once(BUSY, Trouble::Herd, 6)]
#[case::grown_all_at_once(GROWN, Trouble::Herd, 2)]
fn budget_restarts_within_rule(#[case] site: Site, #[case] trouble: Trouble, #[case] seeds: u64) {
    for seed in 0..seeds {
        let worst = play(site, trouble, seed, TIME).worst(site.slack);
        assert!(worst <= 1.0, "seed {seed}: {worst:.2} of what the rule allows");
    }
}

/// Entries that can't hear all others take too large parts of the slack. Together, they must stay
/// within the rule while zones are cut off, also if their entries start meanwhile.
#[rstest]
#[case::zone(SMALL, Trouble::Cut, 4)]
#[case::all_start(SMALL, Trouble::StartCut, 4)]
#[case::grown_zone(GROWN, Trouble::Cut, 3)]
#[case::grown_all_start(GROWN, Trouble::StartCut, 1)]
fn budget_cuts_within_rule(#[case] site: Site, #[case] trouble: Trouble, #[case] seeds: u64) {
    for seed in 0..seeds {
        let worst = play(site, trouble, seed, TIME).worst(site.slack);
        assert!(worst <= 1.0, "seed {seed}: {worst:.2} of what the rule allows");
    }
}

/// Caution must not cost callers without any restart: most of what the rule allows is used.
#[rstest]
#[case::small(SMALL)]
#[case::busy(BUSY)]
#[case::grown(GROWN)]
fn budget_no_restart_used(#[case] site: Site) {
    let worst = play(site, Trouble::None, 1, TIME).worst(site.slack);
    assert!((0.7..=0.8).contains(&worst), "{worst:.2} of what the rule allows");
}

/// Prints the repeats a window and the worst windows of all troubles.
#[test]
#[ignore = "prints a table for a commit message"]
fn print_table() {
    for (site, seeds) in [(SMALL, 10), (BUSY, 10), (GROWN, 5)] {
        for trouble in Trouble::ALL {
            let seen: Vec<_> = (0..seeds).map(|seed| play(site, trouble, seed, TIME)).collect();
            let worst = seen.iter().map(|s| s.worst(site.slack));
            let over = worst.clone().filter(|w| *w > 1.0).count();
            let worst = worst.fold(0.0, f64::max);
            let repeats: usize = seen.iter().map(|s| s.repeats.len()).sum();
            let windows = (TIME - CLIENTS_AFTER).as_secs_f64() / WINDOW.as_secs_f64();
            let mean = repeats as f64 / seeds as f64 / windows;
            let (entries, rate) = (site.entries, site.rate);
            println!(
                "{entries:2} entries, {rate:4} requests/s, {trouble:?}: {mean:.0} repeats a window, \
                 over the rule {over} of {seeds}, worst {worst:.2}"
            );
        }
    }
}
