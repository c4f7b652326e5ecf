//! Entries that send requests with a deadly part among sound ones, in random order, to upstreams
//! that crash on it. Messages between entries are lost and delayed, entries restart, and upstreams
//! crash for other reasons at random.

use crate::base::name::Incarnation;
use crate::quarantine::{Crash, PartKey, PartNews, Quarantine};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Part of the usual number of cases that is played, since each takes tenths of a second.
const CASE_DIVISOR: u32 = 10;
const DEADLY: PartKey = 1 << 32;
const TICK: Duration = Duration::from_millis(10);
/// Time between two messages of an entry to each other one.
const NEWS_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two messages of an entry to one of the others with all that it knows.
const ALL_NEWS_INTERVAL: Duration = Duration::from_millis(750);
/// Time to the crash, and from it until the upstream is checked.
const ANSWER_DELAY: Duration = Duration::from_millis(60);
/// Time from the fifth crash, and from its start, after which an entry must have stopped sending.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
const LENGTH: Duration = Duration::from_secs(16);

#[derive(Clone, Copy, Debug)]
struct Fleet {
    entries: usize,
    upstreams: u32,
    /// How long an upstream is down after a crash.
    down: Duration,
    /// Sound requests per tick and entry, and deadly ones.
    sound_rate: f64,
    deadly_rate: f64,
    /// First parts that sound requests and deadly ones share.
    subjects: u64,
    message_loss: f64,
    /// Restarts of single entries, and crashes of single upstreams without a reason, per second.
    restarts: f64,
    crashes: f64,
}

fn fleets() -> impl Strategy<Value = (Fleet, u64)> {
    let sizes = (2usize..24, 2u32..40, 100u64..6000);
    let rates = (0.02f64..0.5, 0.001f64..0.05, 1u64..60, 0.0f64..0.3);
    let faults = (0.0f64..0.5, 0.0f64..0.5);
    (sizes, rates, faults, any::<u64>()).prop_map(|(sizes, rates, faults, seed)| {
        let fleet = Fleet {
            entries: sizes.0,
            upstreams: sizes.1,
            down: Duration::from_millis(sizes.2),
            sound_rate: rates.0,
            deadly_rate: rates.1,
            subjects: rates.2,
            message_loss: rates.3,
            restarts: faults.0,
            crashes: faults.1,
        };
        (fleet, seed)
    })
}

/// A crash that `entry` noticed: when its request was sent, and when the answer broke off.
fn crash(
    entry: usize,
    upstream: u32,
    parts: Vec<PartKey>,
    (sent_at, ended_at): (Duration, Duration),
) -> Crash {
    Crash { upstream, entry: Incarnation(entry as u64), parts, sent_at, ended_at }
}

/// Plays the fleet. Returns the deadly requests sent later than [`STABLE_WINDOW`] after the fifth
/// crash, and whether a sound part was blocked.
fn play(fleet: Fleet, seed: u64) -> (u32, bool) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut entries: Vec<Quarantine> = (0..fleet.entries).map(|_| Quarantine::default()).collect();
    let mut started_at = vec![Duration::ZERO; fleet.entries];
    let mut down_until = vec![Duration::ZERO; fleet.upstreams as usize];
    // Answers by the time of their end: entry, upstream, parts, and when they were sent.
    let mut answers: Vec<(Duration, usize, u32, Vec<PartKey>, Duration)> = Vec::new();
    let mut messages: Vec<(Duration, usize, PartNews)> = Vec::new();
    let (mut crashes, mut fifth_at, mut late, mut blocked_sound) = (0, None, 0, false);
    let mut now = Duration::from_secs(1);
    while now < LENGTH {
        let (due, rest): (Vec<_>, Vec<_>) = answers.into_iter().partition(|a| a.0 <= now);
        answers = rest;
        for (_, entry, upstream, parts, sent_at) in due {
            let is_up = down_until[upstream as usize] <= sent_at;
            if is_up && parts.contains(&DEADLY) {
                down_until[upstream as usize] = now + fleet.down;
                crashes += 1;
                if crashes == 5 {
                    fifth_at = Some(now);
                }
                let crash = crash(entry, upstream, parts, (sent_at, now));
                entries[entry].record_crash(crash, now);
            } else if is_up && down_until[upstream as usize] <= now {
                entries[entry].record_survival(&parts, now);
            }
        }
        let (due, rest): (Vec<_>, Vec<_>) = messages.into_iter().partition(|m| m.0 <= now);
        messages = rest;
        for (_, to, news) in due {
            entries[to].observe(&news, now);
        }
        if rng.random_bool(fleet.crashes * TICK.as_secs_f64()) {
            let upstream = rng.random_range(0..fleet.upstreams);
            down_until[upstream as usize] = now + fleet.down;
            let (ended, rest): (Vec<_>, Vec<_>) =
                answers.into_iter().partition(|a| a.2 == upstream && a.4 < now);
            answers = rest;
            for (_, entry, _, parts, sent_at) in ended {
                let crash = crash(entry, upstream, parts, (sent_at, now));
                entries[entry].record_crash(crash, now);
            }
        }
        if rng.random_bool(fleet.restarts * TICK.as_secs_f64()) {
            // The requests of the entry end with it. The other entries greet the new process.
            let started = rng.random_range(0..fleet.entries);
            answers.retain(|a| a.1 != started);
            entries[started] = Quarantine::default();
            started_at[started] = now;
            for from in (0..fleet.entries).filter(|from| *from != started) {
                if !rng.random_bool(fleet.message_loss) {
                    messages.push((now + TICK, started, entries[from].news(true, now)));
                }
            }
        }
        for (entry, quarantine) in entries.iter().enumerate() {
            for is_deadly in [false, true] {
                let rate = if is_deadly { fleet.deadly_rate } else { fleet.sound_rate };
                if !rng.random_bool(rate) {
                    continue;
                }
                let subject = rng.random_range(0..fleet.subjects);
                let parts = if is_deadly { vec![subject, DEADLY] } else { vec![subject] };
                blocked_sound |= !is_deadly && quarantine.blocked_part(&parts).is_some();
                let upstream = rng.random_range(0..fleet.upstreams);
                if quarantine.blocked_part(&parts).is_some() || down_until[upstream as usize] > now
                {
                    continue;
                }
                let is_in_touch = now > started_at[entry] + STABLE_WINDOW;
                if is_deadly && is_in_touch && fifth_at.is_some_and(|at| now > at + STABLE_WINDOW) {
                    late += 1;
                }
                answers.push((now + ANSWER_DELAY, entry, upstream, parts, now));
            }
            let since_start = (now + TICK * entry as u32).as_millis();
            let is_due = since_start.is_multiple_of(NEWS_INTERVAL.as_millis());
            let news = quarantine.news(false, now);
            let is_due_all = since_start.is_multiple_of(ALL_NEWS_INTERVAL.as_millis());
            if is_due_all && !rng.random_bool(fleet.message_loss) {
                let to = rng.random_range(0..fleet.entries);
                messages.push((now + TICK, to, quarantine.news(true, now)));
            }
            for to in (0..fleet.entries).filter(|to| is_due && *to != entry && !news.is_empty()) {
                if !rng.random_bool(fleet.message_loss) {
                    let delay = Duration::from_millis(rng.random_range(1..60));
                    messages.push((now + delay, to, news.clone()));
                }
            }
        }
        now += TICK;
    }
    (late, blocked_sound)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: ProptestConfig::default().cases.div_ceil(CASE_DIVISOR),
        ..ProptestConfig::default()
    })]

    /// Guards against requests of one kind that crash upstream after upstream, and against refusing
    /// sound requests that share their other parts.
    #[test]
    fn quarantine_random_fleet_contained((fleet, seed) in fleets()) {
        let (late, blocked_sound) = play(fleet, seed);
        prop_assert!(late <= 3, "{late} requests later than the bound: {fleet:?}");
        prop_assert!(!blocked_sound, "a sound part was blocked: {fleet:?}");
    }
}
