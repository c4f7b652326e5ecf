//! What clients of a soak share: the entries in rotation, the record, and when to stop.

use super::constants::{MISSES_MAX, POLL, TICK};
use super::entry::Entry;
use super::fleet::Fleet;
use super::record::{Act, Record};
use super::wire::Wire;
use rand::RngExt;
use rand::rngs::StdRng;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

/// Lateness of a timer that is counted.
const LATE: Duration = Duration::from_millis(50);

/// The running parts.
pub(super) struct World {
    pub(super) seed: u64,
    pub(super) record: Arc<Record>,
    pub(super) fleet: Arc<Fleet>,
    pub(super) entries: Vec<Entry>,
    /// No more requests are sent.
    pub(super) stopped: CancellationToken,
}

impl World {
    /// Chooses an entry as the platform does: one in rotation, or any if fewer than half are.
    pub(super) fn choose(&self, rng: &mut StdRng, avoided: Option<usize>) -> usize {
        let ready: Vec<_> =
            self.entries.iter().filter(|e| e.in_rotation.load(Ordering::SeqCst)).collect();
        let all: Vec<_> = self.entries.iter().collect();
        let chosen = if ready.len() * 2 < all.len() { all } else { ready };
        let others: Vec<_> = chosen.iter().filter(|e| Some(e.number) != avoided).collect();
        if others.is_empty() {
            chosen[0].number
        } else {
            others[rng.random_range(0..others.len())].number
        }
    }

    /// Asks an entry for its readiness once a second, until the task is dropped.
    pub(super) async fn poll(self: Arc<Self>, number: usize) {
        let entry = &self.entries[number];
        let mut misses = 0;
        loop {
            let asked = Instant::now();
            let is_ready = matches!(timeout(POLL, ask(entry.ready)).await, Ok(Ok(200)));
            misses = if is_ready { 0 } else { misses + 1 };
            let was_ready = entry.in_rotation.load(Ordering::SeqCst);
            if is_ready != was_ready && (is_ready || misses >= MISSES_MAX) {
                entry.in_rotation.store(is_ready, Ordering::SeqCst);
                self.record.act(if is_ready { Act::Ready(number) } else { Act::Unready(number) });
            }
            if let Err(error) = entry.look() {
                self.record.act(Act::Replica(format!("entry-{number} can't be started: {error}")));
            }
            sleep_until(asked + POLL).await;
        }
    }
}

async fn ask(address: SocketAddr) -> io::Result<u16> {
    let mut wire = Wire::connect(address).await?;
    wire.send(b"GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n").await?;
    Ok(wire.head().await?.status())
}

/// Measures how late timers of this process fire, until the task is dropped.
pub(super) async fn measure_lag(record: Arc<Record>) {
    loop {
        let due = Instant::now() + TICK;
        sleep(TICK).await;
        let late = due.elapsed();
        let mut seen = record.seen();
        seen.ticks += 1;
        seen.lags += u64::from(late > LATE);
        seen.lag_max = seen.lag_max.max(late);
    }
}
