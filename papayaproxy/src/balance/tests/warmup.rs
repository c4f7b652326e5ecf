//! Requests to cold upstreams: the limit of the whole fleet, and what ends or begins it.

use super::patterns::{balancer, granted, group_status, id, request};
use crate::balance::desk::Balancer;
use crate::balance::{SeatDecision, WarmUpRule};
use crate::catalog::tests::at;
use crate::catalog::{Config, Directory, Revision, WarmUp};
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
/// Longest time in milliseconds after which entries hear of one that starts.
const HEAR_DELAY_MS: u64 = 900;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// An entry that started at `started` and has found no upstream yet; the directory names one.
fn entry(rule: WarmUpRule, warm_up: WarmUp, started: Duration) -> (Balancer, Directory, Config) {
    let (t, all, mut config) = balancer(&["a"]);
    let mut directory = Directory::default();
    directory.put(&id(0), all.ready().next().unwrap().1.clone(), at(1));
    config.services[0].warm_up = Some(warm_up);
    (Balancer::new(t.zone, t.budget_rule, t.circuit, rule, started), directory, config)
}

/// An entry that has known the fleet of `entries` and a warm upstream for long.
fn settled(rule: WarmUpRule, own: u64, entries: u64) -> (Balancer, Directory, Config) {
    let (mut entry, directory, config) = entry(rule, WARM_UP, STARTED);
    entry.install(&config, &directory, STARTED);
    entry.share_budgets(Some(entries as usize));
    let heard = (0..entries).filter(|id| *id != own).collect();
    entry.observe_entries(EntryIds { own, heard });
    (entry, directory, config)
}

/// Writes at `revision` that the upstream is cold for `cold`. Returns whether the directory changed.
fn put_cold(directory: &mut Directory, cold: Duration, revision: u64) -> bool {
    let mut record = directory.ready().next().unwrap().1.clone();
    record.cold = cold;
    directory.put(&id(0), record, at(revision))
}

/// Sends to the upstream as soon as the entry may, until `end`; returns the times at which it was cold.
fn send_all(entry: &mut Balancer, mut now: Duration, end: Duration) -> Vec<Duration> {
    let (mut sent, upstream) = (Vec::new(), &mut entry.upstreams[0]);
    while now < end {
        let (at, is_cold) = (upstream.limited_until(now), upstream.is_cold(now));
        if at <= now {
            upstream.record_start(true, now);
            sent.extend(is_cold.then_some(now));
        }
        now = at.max(now + if is_cold { ms(1) } else { ms(150) });
    }
    sent
}

fn most_in_second(sent: &[Duration]) -> usize {
    let count = |(i, at): (usize, &Duration)| sent.partition_point(|s| *s < *at + SECOND) - i;
    sent.iter().enumerate().map(count).max().unwrap_or_default()
}

/// Plays the runs of all entries one after the other, since they do not see each other's requests.
/// The first `joining` entries start meanwhile. With a cut, entries that are killed hear only those of
/// their zone (the id modulo 3) in their next run. Returns the requests to the cold upstream.
fn play(
    entries: u64,
    (rule, warm_up): (WarmUpRule, WarmUp),
    (joining, is_cut, restarts): (u64, bool, u64),
    seed: u64,
) -> Vec<Duration> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut random = |below: u64| ms(rng.random_range(0..=below));
    let end = NOW + ms(8000);
    // The record is written twice with the same contents, the second time while it is cold or later.
    let cold_at = [NOW + random(1000), NOW + ms(1001) + random(5000)];
    let waves = [(); 3].map(|()| NOW + random(4000));
    let first_start = |id: u64| if id < joining { waves[id as usize % 3] } else { STARTED };
    let (t, directory, config) = entry(rule, warm_up, STARTED);
    let mut sent = Vec::new();
    for own in 0..entries {
        let killed_at = NOW + random(6000);
        let mut runs = vec![(first_start(own), end)];
        if own % 20 < restarts && killed_at > runs[0].0 {
            runs = vec![(runs[0].0, killed_at), (killed_at + random(2000), end)];
        }
        // Entries that it saw before and that are gone.
        let gone = if seed.is_multiple_of(3) { own % 4 } else { 0 };
        for (run, (started, stop)) in runs.into_iter().enumerate() {
            let mut entry = Balancer::new(t.zone.clone(), t.budget_rule, t.circuit, rule, started);
            let (hear_delay, read_delay) = (random(HEAR_DELAY_MS), random(2500));
            let mut events = vec![started, started + hear_delay, stop];
            events.extend(waves.map(|at| at.max(started) + hear_delay));
            events.extend(cold_at.map(|at| at.max(started) + read_delay));
            events.sort();
            for (at, next) in events.iter().zip(&events[1..]).filter(|(at, _)| **at < stop) {
                if *at >= started + hear_delay {
                    let is_in_reach = |id: u64| run == 0 || id % 3 == own % 3 && id < entries;
                    let is_heard = |id: &u64| {
                        let is_known = first_start(*id) + hear_delay <= *at;
                        *id != own && is_known && (!is_cut || is_in_reach(*id))
                    };
                    let heard: Vec<u64> = (0..entries + gone).filter(is_heard).collect();
                    let known = if is_cut { entries as usize } else { heard.len() + 1 };
                    entry.observe_entries(EntryIds { own, heard });
                    entry.share_budgets(Some(known));
                }
                let mut read = directory.clone();
                for (at, revision) in
                    cold_at.iter().zip(2..).filter(|(c, _)| **c + read_delay <= *at)
                {
                    assert!(put_cold(&mut read, WARM_UP.time, revision), "{at:?}");
                }
                entry.install(&config, &read, *at);
                sent.extend(send_all(&mut entry, *at + random(30), (*next).min(stop)));
            }
        }
    }
    sent.sort_unstable();
    sent
}

proptest! {
    /// A cold replica crashes if all entries together send it more than the bound in some second.
    #[test]
    fn offer_cold_fleet_bound_kept(
        entries in 1..100u64,
        (per_second, ratio, slack) in (1.0..60.0f64, 0.2..3.0f64, 0.0..10.0f64),
        (joining, is_cut, restarts) in (0..40u64, any::<bool>(), 0..20u64),
        seed in any::<u64>(),
    ) {
        let limit = (WarmUpRule { ratio, slack }, WarmUp { per_second, ..WARM_UP });
        // Assumed: entries that start for the first time are heard of by all.
        let joining = if is_cut { 0 } else { joining.min(entries - 1) };
        let most = most_in_second(&play(entries, limit, (joining, is_cut, restarts), seed));
        let bound = per_second * ratio + slack;
        prop_assert!(most <= bound as usize, "{most} requests in a second, allowed {bound:.2}");
    }
}

/// Each entry must keep its part in every second, and the fleet must send about what the service
/// states: a limit that is hardly used refuses callers for nothing.
#[rstest]
fn offer_cold_share_kept_and_used(#[values(1, 8, 29, 67)] entries: u64) {
    let mut total = 0;
    for own in 0..entries {
        let (mut entry, mut directory, config) = settled(RULE, own, entries);
        put_cold(&mut directory, SECOND * 60, 2);
        entry.install(&config, &directory, NOW);
        let sent = send_all(&mut entry, NOW, NOW + SECOND * 60);
        assert!(most_in_second(&sent) <= (44 / entries as usize).max(1));
        total += sent.len();
    }
    let rate = total as f64 / 60.0;
    assert!((22.0..=26.5).contains(&rate), "{rate} requests a second, the service states 26");
}

/// An entry that starts anew does not know what its run before sent, and one that cannot know the
/// others, or has heard a part of too many, must not count itself in.
#[test]
fn offer_cold_fleet_unknown_waits() {
    let (mut started, mut directory, config) = entry(RULE, WARM_UP, NOW);
    put_cold(&mut directory, WARM_UP.time, 2);
    started.install(&config, &directory, NOW);
    assert_eq!(started.upstreams[0].limited_until(NOW), NOW + WARM_UP.time);
    started.share_budgets(Some(1));
    let first = started.upstreams[0].limited_until(NOW);
    // The others hear of it, and what they sent by the former number is a second old.
    let hold = NOW + ms(HEAR_DELAY_MS) + SECOND;
    assert!((hold..hold + ms(200)).contains(&first), "{first:?}");
    let (mut cut, ..) = settled(RULE, 0, 67);
    cut.observe_entries(EntryIds { own: 0, heard: (1..22).collect() });
    cut.install(&config, &directory, NOW);
    assert_eq!(cut.upstreams[0].limited_until(NOW), NOW + WARM_UP.time);
}

/// A replica found at the start of the entry has run for long, one that appears later has just started.
/// A late copy of a record proves nothing, and one that the store repeats begins no time anew.
#[test]
fn install_cold_by_record_or_first_sight() {
    let (mut entry, mut directory, config) = settled(RULE, 0, 1);
    let is_cold = |entry: &Balancer, after| entry.cold_upstreams(NOW + ms(after)) == 1;
    assert_eq!(entry.cold_upstreams(STARTED), 0, "found at the start");
    entry.install(&config, &Directory::default(), NOW);
    entry.install(&config, &directory, NOW);
    assert!(is_cold(&entry, 2999) && !is_cold(&entry, 3000), "appears");
    put_cold(&mut directory, Duration::ZERO, 2);
    entry.install(&config, &directory, NOW + ms(500));
    assert!(is_cold(&entry, 2999), "may have been written before");
    put_cold(&mut directory, ms(1), 3);
    entry.install(&config, &directory, NOW + ms(1000));
    assert!(!is_cold(&entry, 1001), "written later");
    put_cold(&mut directory, SECOND, 4);
    entry.install(&config, &directory, NOW + ms(2000));
    entry.install(&config, &directory, NOW + ms(2500));
    assert!(is_cold(&entry, 2999) && !is_cold(&entry, 3000), "repeated");
    let digest = directory.digest();
    assert!(put_cold(&mut directory, SECOND, 5), "cold once more, in the same words");
    assert_ne!(directory.digest(), digest, "entries that rely on a reader must notice");
    entry.install(&config, &directory, NOW + ms(3000));
    assert!(is_cold(&entry, 3999));
}

/// A store that comes back from a copy lists each record under a later revision. Replicas that have been
/// warm for long must not all be cold at once.
#[test]
fn install_store_restored_warm_stays_warm() {
    let (mut entry, mut directory, config) = settled(RULE, 0, 1);
    put_cold(&mut directory, SECOND, 2);
    entry.install(&config, &directory, NOW);
    let record = directory.ready().next().unwrap().1.clone();
    directory.put(&id(0), record, Revision { era: 1, number: 2 });
    entry.install(&config, &directory, NOW + SECOND * 2);
    assert_eq!(entry.cold_upstreams(NOW + SECOND * 2), 0);
}

/// Replicas are cold after their group has formed again, and after their zone is in use again.
#[test]
fn observe_group_formed_again_cold() {
    let (mut entry, ..) = settled(RULE, 0, 1);
    let is_cold = |entry: &Balancer, after| entry.cold_upstreams(NOW + ms(after)) == 1;
    entry.observe_group(&group_status(true, 0..1), NOW);
    assert!(!is_cold(&entry, 0), "seen for the first time");
    entry.observe_group(&group_status(false, 0..1), NOW);
    entry.observe_group(&group_status(true, 0..1), NOW + SECOND);
    assert!(is_cold(&entry, 3999) && !is_cold(&entry, 4000));
    let zone = entry.upstreams[0].zone.clone();
    entry.observe_evacuations(&[zone].into(), NOW + SECOND * 4);
    assert!(!is_cold(&entry, 4500), "gets nothing");
    entry.observe_evacuations(&[].into(), NOW + SECOND * 5);
    assert!(is_cold(&entry, 7999) && !is_cold(&entry, 8000));
}

/// A request that only cold upstreams could take is refused at once with the reason, or waits if its
/// turn comes in time. Without the setting nothing changes.
#[test]
fn offer_all_cold_waits_or_refused() {
    let offer = |rule, entries| {
        let (mut entry, mut directory, config) = settled(rule, 0, entries);
        put_cold(&mut directory, WARM_UP.time, 2);
        entry.install(&config, &directory, NOW);
        entry.upstreams[0].record_start(true, NOW);
        let first = entry.offer(request(1, NOW), NOW);
        (first, entry.advance(NOW + ms(150)).pop().and_then(|(_, later)| granted(later)))
    };
    assert!(matches!(offer(RULE, 2), (SeatDecision::Wait, Some(_))));
    let (SeatDecision::Refuse(refusal), _) = offer(RULE, 67) else { panic!("not refused") };
    assert_eq!(refusal.reason, "warming up");
    assert!(granted(offer(WarmUpRule { ratio: 0.0, slack: 5.0 }, 67).0).is_some());
}
