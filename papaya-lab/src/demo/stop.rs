//! A planned stop, performed while load goes on.

use super::fleet;
use super::processes::Host;
use crate::platform::Platform;
use papayaproxy::Name;
use papayaproxy::constants::LEAVE_LIMIT;
use papayaproxy::fleet::Document;
use std::io;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval at which the upstream's calls are counted.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which calls in progress count as stuck.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);

/// How a planned stop went.
#[derive(Clone, Debug)]
pub struct StopReport {
    /// The upstream that left.
    pub upstream: Name,
    /// Calls in progress when its leave was published.
    pub active: u64,
    /// Time from the publication to the last call that it was given.
    pub last_call: Duration,
    /// Time from the publication until it had no call left.
    pub drained: Option<Duration>,
    /// Calls that it was given after the limit.
    pub late: u64,
}

/// Publishes that `names` leave, waits until they are drained, and stops them and their agents.
pub(crate) async fn perform(
    platform: &Platform,
    document: &Document,
    hosts: &mut [Host],
    names: &[Name],
) -> io::Result<Vec<StopReport>> {
    let next = fleet::leave(document, names);
    platform.publish(fleet::text(&next)?);
    let published = Instant::now();
    let leaving = hosts.iter_mut().filter(|h| names.contains(&h.name));
    let watched = leaving.map(|host| watch(host, published));
    Ok(futures_util::future::join_all(watched).await)
}

async fn watch(host: &mut Host, published: Instant) -> StopReport {
    let mut report = StopReport {
        upstream: host.name.clone(),
        active: host.stand.active(),
        last_call: Duration::ZERO,
        drained: None,
        late: 0,
    };
    let mut taken = host.stand.taken();
    loop {
        sleep(WATCH_INTERVAL).await;
        let (elapsed, now) = (published.elapsed(), host.stand.taken());
        if now > taken {
            report.last_call = elapsed;
            report.late += if elapsed > LEAVE_LIMIT { now - taken } else { 0 };
        }
        if now > taken || host.stand.active() > 0 {
            report.drained = None;
        } else {
            report.drained.get_or_insert(elapsed);
        }
        taken = now;
        let quiet = elapsed > LEAVE_LIMIT && report.drained.is_some();
        if quiet || elapsed > DRAIN_LIMIT {
            break;
        }
    }
    // The stop's end: the agent lets its calls finish, then the host is switched off.
    if let Some(agent) = host.agent.take() {
        agent.stop().await;
    }
    host.stand.stop();
    report
}
