//! Retry budgets, which limit retries to a fixed fraction of the first attempts.

use super::constants::{INITIAL_RETRIES, RETRY_RATIO, TOTAL_RETRIES_MAX, WORKSPACE_RETRIES_MAX};
use crate::base::name::Name;
use indexmap::IndexMap;

/// The retry budgets of all workspaces at one process.
///
/// Each first attempt adds [`RETRY_RATIO`] to the budget of its workspace and to the total.
#[derive(Debug)]
pub struct RetryBudget {
    total: f64,
    workspaces: IndexMap<Name, f64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { total: INITIAL_RETRIES, workspaces: IndexMap::new() }
    }
}

impl RetryBudget {
    /// Records a first attempt of a workspace.
    pub fn earn(&mut self, workspace: &Name) {
        self.total = (self.total + RETRY_RATIO).min(TOTAL_RETRIES_MAX);
        if let Some(balance) = self.workspaces.get_mut(workspace) {
            *balance = (*balance + RETRY_RATIO).min(WORKSPACE_RETRIES_MAX);
        } else {
            self.workspaces.insert(workspace.clone(), 1.0 + RETRY_RATIO);
        }
    }

    /// Takes one retry from the budget of a workspace; `false` if that or the total is spent.
    pub fn try_take(&mut self, workspace: &Name) -> bool {
        let Some(balance) = self.workspaces.get_mut(workspace) else { return false };
        if *balance < 1.0 || self.total < 1.0 {
            return false;
        }
        *balance -= 1.0;
        self.total -= 1.0;
        true
    }

    /// Removes workspaces for which `keep` is false, after a change of the configuration document.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.workspaces.retain(|name, _| keep(name));
    }
}
