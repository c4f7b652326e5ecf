//! Requests to cold upstreams: the limit of the whole fleet, and what ends or begins it.

use super::patterns::{address, balancer, granted, group_status, id, request};
use crate::balance::constants::{ENTRY_HOLD, SEND_SPAN};
use crate::balance::desk::Balancer;
use crate::balance::{SeatDecision, WarmUpRule};
use crate::catalog::{Config, ConfigParts, Directory, WarmUp};
use crate::peers::EntryIds;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::time::Duration;

const WARM_UP: WarmUp = WarmUp { time: Duration::from_secs(3), per_second: 26.0 };
/// 44 requests a second with [`WARM_UP`].
const RULE: WarmUpRule = WarmUpRule { ratio: 1.5, slack: 5.0 };
/// Start of an entry, and a time at which it is no longer starting.
const STARTED: Duration = Duration::from_secs(10);
const NOW: Duration = Duration::from_secs(20);
const SECOND: Duration = Duration::from_secs(1);

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// An entry that started at `started` and has found no upstream yet; the directory names one.
fn entry(rule: WarmUpRule, warm_up: WarmUp, started: Duration) -> (Balancer, Directory, Config) {
    let (template, all, config) = balancer(&["a"]);
    let (zone, circuit) = (template.zone, template.circuit);
    let mut directory = Directory::default();
    directory.put(&id(0), all.ready().next().unwrap().1.clone(), 1);
    let mut services = config.services.clone();
    services[0].warm_up = Some(warm_up);
    let (routes, workspaces, limits) = (Vec::new(), None, config.limits);
    let parts = ConfigParts { version: 1, routes, services, workspaces, limits };
    let new = Balancer::new(zone, template.budget_rule, circuit, rule, started);
    (new, directory, Config::new(parts))
}

/// An entry that has known the fleet of `entries` and a warm upstream for long.
fn settled(rule: WarmUpRule, entries: usize) -> (Balancer, Directory, Config) {
    let (mut entry, directory, config) = entry(rule, WARM_UP, STARTED);
    entry.install(&config, &directory, STARTED);
    entry.share_budgets(Some(entries));
    entry.observe_entries(EntryIds { own: 0, heard: (1..entries as u64).collect() });
    (entry, directory, config)
}

/// The directory once upstream 0 has written at `revision` that it is cold for `cold`.
fn put_cold(directory: &mut Directory, cold: Duration, revision: u64) -> bool {
    let mut record = directory.ready().next().unwrap().1.clone();
    record.cold = cold;
    directory.put(&id(0), record, revision)
}

/// Sends to upstream 0 as soon as the entry may, until `end`; returns the times.
fn send_all(entry: &mut Balancer, mut now: Duration, end: Duration) -> Vec<Duration> {
    let mut sent = Vec::new();
    while now < end {
        let upstream = &mut entry.upstreams[0];
        let at = upstream.limited_until(now);
        if at <= now {
            upstream.record_start(true, now);
            sent.push(now);
        }
        now = at.max(now + if upstream.is_cold(now) { ms(1) } else { ms(150) });
    }
    sent
}

fn most_in(sent: &[Duration], span: Duration) -> usize {
    let count = |(i, from): (usize, &Duration)| sent.partition_point(|at| *at < *from + span) - i;
    sent.iter().enumerate().map(count).max().unwrap_or_default()
}

/// What happens to a fleet while upstream 0 is cold. Zones are the ids modulo 3.
#[derive(Clone, Debug)]
struct Play {
    entries: u64,
    per_second: f64,
    rule: WarmUpRule,
    /// Entries that start for the first time during the play, in this many groups; none with a cut.
    joining: u64,
    /// Whether each zone is cut from the others, so that restarted entries hear only their own.
    is_cut: bool,
    /// Entries that are killed during the play.
    restarts: u64,
    seed: u64,
}

fn plays() -> impl Strategy<Value = Play> {
    let limits = (1.0..60.0f64, 0.2..3.0f64, 0.0..10.0f64);
    let troubles = (0..40u64, any::<bool>(), 0..20u64, any::<u64>());
    (1..100u64, limits, troubles).prop_map(|(entries, limits, troubles)| {
        let (per_second, ratio, slack) = limits;
        let (joining, is_cut, restarts, seed) = troubles;
        let joining = if is_cut { 0 } else { joining.min(entries - 1) };
        let rule = WarmUpRule { ratio, slack };
        Play { entries, per_second, rule, joining, is_cut, restarts, seed }
    })
}

/// Plays the runs of all entries one after the other: they do not see each other's requests. Returns
/// the requests that were sent while the sender counted the upstream as cold.
fn play(p: &Play) -> Vec<Duration> {
    let mut rng = SmallRng::seed_from_u64(p.seed);
    let mut random = |below: u64| ms(rng.random_range(0..=below));
    let end = NOW + ms(8000);
    // The record is written twice with the same contents, the second time while it is cold or later.
    let cold_at = [NOW + random(1000), NOW + ms(1001) + random(5000)];
    let warm_up = WarmUp { per_second: p.per_second, ..WARM_UP };
    let waves = [(); 3].map(|()| NOW + random(4000));
    let first_start = |id: u64| if id < p.joining { waves[id as usize % 3] } else { STARTED };
    let (template, directory, config) = entry(p.rule, warm_up, STARTED);
    let mut sent = Vec::new();
    for own in 0..p.entries {
        let killed_at = NOW + random(6000);
        let mut runs = vec![(first_start(own), end)];
        if own % 20 < p.restarts && killed_at > runs[0].0 {
            runs = vec![(runs[0].0, killed_at), (killed_at + random(2000), end)];
        }
        for (run, (started, stop)) in runs.into_iter().enumerate() {
            let (zone, budget, circuit) =
                (template.zone.clone(), template.budget_rule, template.circuit);
            let mut entry = Balancer::new(zone, budget, circuit, p.rule, started);
            // When it hears of the others, and when it reads the records.
            let hear_delay = random((ENTRY_HOLD - SEND_SPAN).as_millis() as u64);
            let read_delay = random(2500);
            let mut events = vec![started, started + hear_delay];
            events.extend(waves.map(|at| at.max(started) + hear_delay));
            events.extend(cold_at.map(|at| at.max(started) + read_delay));
            events.extend([stop]);
            events.sort();
            // Entries may have seen others before that are gone.
            let gone = if p.seed.is_multiple_of(3) { own % 4 } else { 0 };
            for (at, next) in events.iter().zip(&events[1..]).filter(|(at, _)| **at < stop) {
                let is_heard = |id: &u64| {
                    let is_in_reach = run == 0 || id % 3 == own % 3 && *id < p.entries;
                    *id != own && (is_in_reach || !p.is_cut) && first_start(*id) + hear_delay <= *at
                };
                if *at >= started + hear_delay {
                    let heard: Vec<u64> = (0..p.entries + gone).filter(is_heard).collect();
                    let known = heard.len() + 1;
                    entry.observe_entries(EntryIds { own, heard });
                    entry.share_budgets(Some(if p.is_cut { p.entries as usize } else { known }));
                }
                let mut read = directory.clone();
                for (index, _) in
                    cold_at.iter().enumerate().filter(|(_, c)| **c + read_delay <= *at)
                {
                    put_cold(&mut read, WARM_UP.time, 2 + index as u64);
                }
                entry.install(&config, &read, *at);
                let times = send_all(&mut entry, *at + random(30), (*next).min(stop));
                // `send_all` leaves the limit as it is, so that each time can be judged after it.
                sent.extend(times.into_iter().filter(|at| entry.upstreams[0].is_cold(*at)));
            }
        }
    }
    sent.sort_unstable();
    sent
}

proptest! {
    /// A cold replica crashes if all entries together send it more than the bound in some second.
    #[test]
    fn offer_cold_fleet_bound_kept(p in plays()) {
        let bound = p.per_second * p.rule.ratio + p.rule.slack;
        let most = most_in(&play(&p), SECOND);
        prop_assert!(most <= bound as usize, "{most} requests in a second, allowed {bound:.2}");
    }
}

/// Entries must not share by averages: each keeps its part in every second, and spreads it so that the
/// fleet sends about what the service states. A limit that is hardly used refuses callers for nothing.
#[rstest]
#[case::one(1)]
#[case::few(8)]
#[case::quiz_night(29)]
#[case::more_than_bound(67)]
fn offer_cold_share_kept_and_used(#[case] entries: u64) {
    let mut total = 0;
    for own in 0..entries {
        let (mut entry, mut directory, config) = settled(RULE, entries as usize);
        let heard = (0..entries).filter(|id| *id != own).collect();
        entry.observe_entries(EntryIds { own, heard });
        put_cold(&mut directory, SECOND * 60, 2);
        entry.install(&config, &directory, NOW);
        let sent = send_all(&mut entry, NOW, NOW + SECOND * 60);
        assert!(most_in(&sent, SECOND) <= (44 / entries as usize).max(1));
        total += sent.len();
    }
    let rate = total as f64 / 60.0;
    assert!((22.0..=26.5).contains(&rate), "{rate} requests a second, the service states 26");
}

/// A host fails: the entry that starts anew does not know what its run before sent, so it waits. A link
/// fails: an entry that cannot know the others does not send. Both go on once the replica is warm.
#[test]
fn offer_cold_entry_started_waits() {
    let (mut entry, mut directory, config) = entry(RULE, WARM_UP, NOW);
    put_cold(&mut directory, WARM_UP.time, 2);
    entry.install(&config, &directory, NOW);
    assert_eq!(entry.upstreams[0].limited_until(NOW), NOW + WARM_UP.time);
    entry.share_budgets(Some(1));
    let first = entry.upstreams[0].limited_until(NOW);
    assert!((NOW + ENTRY_HOLD..NOW + ENTRY_HOLD + ms(100)).contains(&first), "{first:?}");
}

/// Entries behind a cut that have heard a part of the fleet must not each count themselves in.
#[test]
fn offer_cold_unheard_counted() {
    let (mut entry, mut directory, config) = settled(RULE, 67);
    entry.observe_entries(EntryIds { own: 0, heard: (1..22).collect() });
    put_cold(&mut directory, WARM_UP.time, 2);
    entry.install(&config, &directory, NOW);
    assert_eq!(entry.upstreams[0].limited_until(NOW), NOW + WARM_UP.time);
}

/// What entries take for cold, and when: a replica that is found at the start of the entry has run for
/// long; one that appears later has just started; a late copy of a record proves nothing.
#[test]
fn install_cold_by_record_or_first_sight() {
    let (mut entry, mut directory, config) = settled(RULE, 1);
    let is_cold = |entry: &Balancer, at| entry.cold_upstreams(at) == 1;
    assert!(!is_cold(&entry, STARTED), "found at the start");
    entry.install(&config, &Directory::default(), NOW);
    entry.install(&config, &directory, NOW);
    assert!(is_cold(&entry, NOW + ms(2999)) && !is_cold(&entry, NOW + ms(3000)), "appears");
    // Written before, read half a second later; then one that is later for certain.
    put_cold(&mut directory, Duration::ZERO, 2);
    entry.install(&config, &directory, NOW + ms(500));
    assert!(is_cold(&entry, NOW + ms(2999)), "late record");
    put_cold(&mut directory, Duration::ZERO, 3);
    entry.install(&config, &directory, NOW + ms(1000));
    assert!(!is_cold(&entry, NOW + ms(1000)), "later record");
    // The store repeats a record after an outage; that does not begin the time anew.
    assert!(put_cold(&mut directory, SECOND, 4));
    entry.install(&config, &directory, NOW + SECOND * 2);
    entry.install(&config, &directory, NOW + ms(2500));
    assert!(!is_cold(&entry, NOW + SECOND * 3));
    assert!(put_cold(&mut directory, SECOND, 5), "cold once more, in the same words");
    entry.install(&config, &directory, NOW + SECOND * 3);
    assert!(is_cold(&entry, NOW + ms(3999)));
}

/// Replicas are cold after their group has formed again and after their zone is in use again. A group
/// that is seen to run for the first time is no reason.
#[test]
fn observe_group_formed_again_cold() {
    let (mut entry, ..) = settled(RULE, 1);
    entry.observe_group(&group_status(true, 0..1), NOW);
    assert_eq!(entry.cold_upstreams(NOW), 0);
    entry.observe_group(&group_status(false, 0..1), NOW);
    entry.observe_group(&group_status(true, 0..1), NOW + SECOND);
    assert_eq!(entry.cold_upstreams(NOW + ms(3999)), 1);
    assert_eq!(entry.cold_upstreams(NOW + SECOND * 4), 0);
    entry.upstreams[0].start_warm_up(NOW + SECOND * 5, WARM_UP.time);
    assert_eq!(entry.cold_upstreams(NOW + SECOND * 7), 1);
    assert_eq!(entry.upstreams[0].address, address(0));
}

/// A request that only cold upstreams could take is refused at once with the reason, or waits if its
/// turn comes in time. Without the setting nothing changes.
#[test]
fn offer_all_cold_waits_or_refused() {
    let offer = |rule, entries| {
        let (mut entry, mut directory, config) = settled(rule, entries);
        put_cold(&mut directory, WARM_UP.time, 2);
        entry.install(&config, &directory, NOW);
        entry.upstreams[0].record_start(true, NOW);
        let first = entry.offer(request(1, NOW), NOW);
        let later = entry.advance(NOW + ms(150)).pop().map(|(_, decision)| decision);
        (first, later.and_then(granted))
    };
    let (first, later) = offer(RULE, 2);
    assert!(matches!(first, SeatDecision::Wait) && later.is_some(), "{first:?}");
    let (SeatDecision::Refuse(refusal), _) = offer(RULE, 67) else { panic!("not refused") };
    assert_eq!(refusal.reason, "warming up");
    assert!(granted(offer(WarmUpRule { ratio: 0.0, slack: 5.0 }, 67).0).is_some());
}
