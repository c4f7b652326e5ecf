//! Keys at an agent: memory and time of each.

use super::line::Line;
use super::process::{child_kib, held_kib, median};
use papayaproxy::delivery::{Claim, KeySettings, KeyTable, RunOutcome, StoredReply};
use papayaproxy::{Digest, Incarnation, Name};
use std::sync::Arc;
use std::time::Duration;

/// Keys that one agent keeps: 20 calls a second for the ten minutes of their retention.
const KEYS: usize = 12_000;

/// Keys of one request for keys.
const BATCH: u32 = 32;

/// Bytes of the reply that is kept for each key.
const REPLY_BYTES: usize = 200;

/// Runs of each timing.
const RUNS: usize = 5;

/// Lines of the key state.
pub(crate) fn measure() -> Vec<Line> {
    let sizes = [2000, 4000, 8000, 16_000];
    vec![
        Line::measure("keys, KiB of memory", "keys", &sizes, KEYS, |n| child_kib("keys", n)),
        Line::measure("keys, ms for issue, start and end of all", "keys", &sizes, KEYS, |n| {
            median(RUNS, || drop(filled(n))).as_secs_f64() * 1e3
        }),
    ]
}

/// Memory of a key state with so many finished keys, in KiB.
pub(crate) fn held(count: usize) -> f64 {
    held_kib(|| filled(count))
}

/// A key state with `count` finished keys.
fn filled(count: usize) -> KeyTable {
    let settings = KeySettings {
        keys_max: usize::MAX / 2,
        workspace_max: usize::MAX / 2,
        ..KeySettings::default()
    };
    let mut core = KeyTable::new(Name::from("ledger-1"), Incarnation(1), settings);
    let (workspace, service) = (Name::from("workspace-1"), Name::from("ledger"));
    let mut left = count;
    while left > 0 {
        let batch = left.min(BATCH as usize);
        left -= batch;
        let now = Duration::from_millis((count - left) as u64);
        let issued = core.issue(batch as u32, &workspace, &service, now);
        for key in issued.unwrap_or_default() {
            let request = Digest::of(&left.to_le_bytes());
            let deadline = now + Duration::from_secs(2);
            let claim =
                Claim { workspace: workspace.clone(), service: service.clone(), request, deadline };
            core.begin(&key, &claim, now);
            let body = vec![0; REPLY_BYTES].into();
            let reply = StoredReply { status: 200, headers: Vec::new(), body };
            core.finish(&key, RunOutcome::Completed(Arc::new(reply)), now);
        }
    }
    core
}
