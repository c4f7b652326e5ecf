//! Retry budgets, so that retries never add more than a fixed part to the load.

use super::constants::{RETRY_RATIO, RETRY_SAVED, RETRY_SAVED_ALL, RETRY_START};
use crate::base::name::Name;
use indexmap::IndexMap;

/// The retry budgets of all workspaces at one process.
///
/// Each first attempt earns its workspace, and all together, a tenth of a retry.
#[derive(Debug)]
pub struct RetryBudget {
    all: f64,
    workspaces: IndexMap<Name, f64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { all: RETRY_START, workspaces: IndexMap::new() }
    }
}

impl RetryBudget {
    /// Notes a first attempt of a workspace.
    pub fn earn(&mut self, workspace: &Name) {
        self.all = (self.all + RETRY_RATIO).min(RETRY_SAVED_ALL);
        if let Some(saved) = self.workspaces.get_mut(workspace) {
            *saved = (*saved + RETRY_RATIO).min(RETRY_SAVED);
        } else {
            self.workspaces.insert(workspace.clone(), 1.0 + RETRY_RATIO);
        }
    }

    /// Takes one retry from the budget of a workspace; false if it is spent.
    pub fn try_take(&mut self, workspace: &Name) -> bool {
        let Some(saved) = self.workspaces.get_mut(workspace) else { return false };
        if *saved < 1.0 || self.all < 1.0 {
            return false;
        }
        *saved -= 1.0;
        self.all -= 1.0;
        true
    }

    /// Forgets workspaces that `keep` does not name, after a change of the document.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.workspaces.retain(|name, _| keep(name));
    }
}
