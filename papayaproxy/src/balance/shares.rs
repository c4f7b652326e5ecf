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
    /// to an equal share all are, and what that leaves is divided evenly (max-min fairness).
    pub(crate) fn fraction(&self, workspace: &Name, fraction: f64) -> f64 {
        let Some(own) = self.recent.get(workspace) else { return fraction };
        let mut counts: Vec<f64> = self.recent.values().copied().collect();
        counts.sort_by(f64::total_cmp);
        let mut room = counts.iter().sum::<f64>() * fraction;
        let mut left = counts.len();
        for count in counts {
            let share = room / left as f64;
            if count >= share {
                // Every workspace from here on is above the equal share.
                return (share / own).min(1.0);
            }
            room -= count;
            left -= 1;
        }
        1.0
    }
}
