//! The parts of the experiment.

use super::cluster::{Cluster, LOOK_PAUSE};
use super::cost::{Cost, print_times};
use crate::platform::PlatformSwitches;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time between two load reports of an agent.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Longest wait for one round of load reports.
const REPORT_LIMIT: Duration = Duration::from_secs(5);

/// Rounds of load reports that are measured.
const REPORT_ROUNDS: u32 = 30;

/// Every how many replacements the document changes too.
const CHANGE_EVERY: u64 = 5;

/// Waits until every process may serve.
pub(crate) async fn start(cluster: &Cluster, started: Instant) {
    for node in cluster.nodes() {
        node.ready().await;
    }
    println!("start: every process is ready after {:.1?}", started.elapsed());
}

/// Passes `time` while agents report their load.
async fn pass(cluster: &Cluster, time: Duration, sequence: &Arc<AtomicU64>) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        cluster.report(sequence.fetch_add(1, Ordering::Relaxed));
        sleep(REPORT_INTERVAL).await;
    }
}

/// Measures control while the document does not change.
pub(crate) async fn idle(cluster: &Cluster, sequence: &Arc<AtomicU64>) {
    let before = Cost::read(cluster);
    pass(cluster, cluster.plan.idle, sequence).await;
    Cost::read(cluster).print_since(&before, cluster.plan.processes(), "idle");
}

/// Measures the time until every entry has the load reports of its zone, and of all zones.
pub(crate) async fn reports(cluster: &Cluster, sequence: &Arc<AtomicU64>) {
    let (mut near, mut far) = (Vec::new(), Vec::new());
    for _ in 0..REPORT_ROUNDS {
        let current = sequence.fetch_add(1, Ordering::Relaxed);
        let started = Instant::now();
        cluster.report(current);
        let late = |started: Instant| started.elapsed() > REPORT_LIMIT;
        while !cluster.has_reports(current, true) && !late(started) {
            sleep(LOOK_PAUSE).await;
        }
        if late(started) {
            println!("reports: missing {:?}", cluster.missing_reports(current));
        }
        near.push(started.elapsed());
        while !cluster.has_reports(current, false) && !late(started) {
            sleep(LOOK_PAUSE).await;
        }
        far.push(started.elapsed());
    }
    println!("reports: a round is given up after {REPORT_LIMIT:?}");
    print_times("reports: time until every entry has those of its zone", near);
    print_times("reports: time until every entry has those of all zones", far);
}

/// Publishes changes and measures the time until the last process has each.
pub(crate) async fn changes(cluster: &mut Cluster, sequence: &Arc<AtomicU64>, what: &str) {
    let before = Cost::read(cluster);
    let calls = cluster.platform_calls();
    let mut times = Vec::new();
    let mut missed = 0;
    for _ in 0..cluster.plan.changes {
        cluster.publish();
        let generation = cluster.document.generation;
        match cluster.agree(None, generation).await {
            Some(time) => times.push(time),
            None => missed += 1,
        }
        pass(cluster, cluster.plan.spacing, sequence).await;
    }
    let made = cluster.platform_calls() - calls;
    print_times(&format!("{what}: time until the last process has a change"), times);
    println!(
        "{what}: not everywhere within the limit: {missed}; platform calls for each change: {:.1}",
        made as f64 / cluster.plan.changes as f64
    );
    Cost::read(cluster).print_since(&before, cluster.plan.processes(), what);
}

/// What is wrong with the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// It closes every connection.
    Down,
    /// It serves a document that is older than the one in force.
    Stale,
}

/// The platform is down or serves stale content; then it is back with a change.
pub(crate) async fn outage(
    cluster: &mut Cluster,
    sequence: &Arc<AtomicU64>,
    fault: Fault,
) -> io::Result<()> {
    let what = if fault == Fault::Down { "down" } else { "stale" };
    let generation = cluster.document.generation;
    let down = fault == Fault::Down;
    cluster.platform.switch(PlatformSwitches { down, ..PlatformSwitches::default() });
    if fault == Fault::Stale {
        cluster.publish_previous();
    }
    let before = Cost::read(cluster);
    pass(cluster, cluster.plan.outage / 2, sequence).await;
    let entry = cluster.entries()[0];
    cluster.kill(entry);
    let replaced = Instant::now();
    cluster.start(entry).await?;
    if let Some(node) = cluster.node(entry) {
        node.ready().await;
        let found = node.feed().document.load().generation;
        println!(
            "{what}: an entry replaced meanwhile is ready after {:.1?} with generation {found} of {generation}",
            replaced.elapsed()
        );
    }
    pass(cluster, cluster.plan.outage / 2, sequence).await;
    let lowest = cluster.lowest(None);
    println!("{what}: lowest generation in force {lowest} of {generation}");
    Cost::read(cluster).print_since(&before, cluster.plan.processes(), what);
    cluster.publish();
    cluster.platform.switch(PlatformSwitches::default());
    let generation = cluster.document.generation;
    let time = cluster.agree(None, generation).await;
    println!("{what}: a change is everywhere after the platform is back: {time:.1?}");
    Ok(())
}

/// One zone is cut off from the others and the platform, then healed.
pub(crate) async fn cut(cluster: &mut Cluster, sequence: &Arc<AtomicU64>) {
    let zone = cluster.plan.zones - 1;
    let before = cluster.document.generation;
    cluster.cuts.cut(zone);
    let mut times = Vec::new();
    for _ in 0..cluster.plan.changes.min(10) {
        cluster.publish();
        let generation = cluster.document.generation;
        for other in 0..zone {
            times.extend(cluster.agree(Some(other), generation).await);
        }
        pass(cluster, cluster.plan.spacing, sequence).await;
    }
    print_times("cut: time until the last process of another zone has a change", times);
    let held = cluster.lowest(Some(zone));
    let age = cluster.nodes().map(|n| (n.feed().age)()).max().unwrap_or_default();
    println!("cut: the zone cut off holds generation {held} of {before}, known age {age:.1?}");
    cluster.cuts.heal();
    let generation = cluster.document.generation;
    let time = cluster.agree(Some(zone), generation).await;
    println!("cut: after the cut is healed the zone has the highest generation in {time:.1?}");
}

/// Replaces entries while the document changes now and then.
pub(crate) async fn replacements(
    cluster: &mut Cluster,
    sequence: &Arc<AtomicU64>,
) -> io::Result<()> {
    let entries = cluster.entries();
    let mut times = Vec::new();
    let mut older = 0;
    for number in 0..cluster.plan.replacements {
        let at = entries[(number as usize * 7) % entries.len()];
        cluster.kill(at);
        if number % CHANGE_EVERY == 0 {
            cluster.publish();
            let generation = cluster.document.generation;
            let _ = cluster.agree(None, generation).await;
        }
        let has = cluster.highest(cluster.zone(at));
        let started = Instant::now();
        cluster.start(at).await?;
        if let Some(node) = cluster.node(at) {
            node.ready().await;
            older += u64::from(node.feed().document.load().generation < has);
        }
        times.push(started.elapsed());
        cluster.report(sequence.fetch_add(1, Ordering::Relaxed));
    }
    print_times("replacements: time until the new entry is ready", times);
    println!("replacements: ready with an older generation than its zone has: {older}");
    Ok(())
}
