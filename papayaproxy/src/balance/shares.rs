//! Fair shares of workspaces: when requests are refused, those of workspaces above an equal share are
//! refused first.

use super::constants::SHARE_DECAY;
use crate::base::name::Name;
use indexmap::IndexMap;
use std::time::Duration;

/// Recent requests of each workspace at this entry, exponentially decayed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    recent: IndexMap<Name, f64>,
    at: Duration,
}

impl Shares {
    /// Counts a request of a workspace.
    pub(crate) fn record(&mut self, workspace: &Name, now: Duration) {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let factor = (-age / SHARE_DECAY.as_secs_f64()).exp();
        self.at = now;
        self.recent.retain(|_, count| {
            *count *= factor;
            *count > 0.01
        });
        *self.recent.entry(workspace.clone()).or_default() += 1.0;
    }

    /// Part of a workspace's requests that is admitted if `fraction` of all requests is: requests up
    /// to an equal share go first, and what that leaves is divided evenly (max-min fairness). The
    /// request that asks must not be counted yet.
    pub(crate) fn fraction(&self, workspace: &Name, fraction: f64) -> f64 {
        let total: f64 = self.recent.values().sum();
        if self.recent.len() < 2 {
            return fraction;
        }
        // An entry sees few requests of each workspace. Each count is taken together with the mean, so
        // that only workspaces far above the others stand out from chance.
        let mean = total / self.recent.len() as f64;
        let own = mean + self.recent.get(workspace).copied().unwrap_or_default();
        let mut counts: Vec<f64> = self.recent.values().map(|count| count + mean).collect();
        counts.sort_by(f64::total_cmp);
        let room = counts.iter().sum::<f64>() * fraction;
        (equal_share(&counts, room) / own).min(1.0)
    }
}

/// The largest share up to which each of the ascending `counts` is served whole, if `room` is served in
/// all.
fn equal_share(counts: &[f64], mut room: f64) -> f64 {
    for (index, count) in counts.iter().enumerate() {
        let share = room / (counts.len() - index) as f64;
        if *count >= share {
            return share;
        }
        room -= count;
    }
    f64::INFINITY
}
