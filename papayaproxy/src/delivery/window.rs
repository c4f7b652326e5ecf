//! Counts the keys issued in a sliding time window, with memory per bucket and
//! workspace instead of per key.

use super::constants::WINDOW_BUCKET;
use crate::base::name::Name;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;

#[derive(Debug)]
struct Bucket {
    start: Duration,
    counts: IndexMap<Name, usize>,
}

/// Number of keys issued within the last `span`, by workspace, in buckets of [`WINDOW_BUCKET`].
#[derive(Debug)]
pub(crate) struct IssueWindow {
    span: Duration,
    buckets: VecDeque<Bucket>,
    /// Keys in the window by workspace; a workspace without keys has no entry.
    workspaces: IndexMap<Name, usize>,
    total: usize,
}

impl IssueWindow {
    pub(crate) fn new(span: Duration) -> Self {
        Self { span, buckets: VecDeque::new(), workspaces: IndexMap::new(), total: 0 }
    }

    /// Keys in the window, of all workspaces.
    pub(crate) fn total(&self) -> usize {
        self.total
    }

    /// Keys of one workspace in the window.
    pub(crate) fn workspace_total(&self, workspace: &Name) -> usize {
        self.workspaces.get(workspace).copied().unwrap_or(0)
    }

    /// Adds `count` keys issued to `workspace` at `now`.
    pub(crate) fn add(&mut self, workspace: &Name, count: usize, now: Duration) {
        self.total += count;
        *self.workspaces.entry(workspace.clone()).or_default() += count;
        let is_open = self.buckets.back().is_some_and(|b| now < b.start + WINDOW_BUCKET);
        if !is_open {
            self.buckets.push_back(Bucket { start: now, counts: IndexMap::new() });
        }
        if let Some(bucket) = self.buckets.back_mut() {
            *bucket.counts.entry(workspace.clone()).or_default() += count;
        }
    }

    /// Drops the buckets whose keys have all left the window.
    pub(crate) fn expire(&mut self, now: Duration) {
        let is_expired = |b: &mut Bucket| b.start + WINDOW_BUCKET + self.span <= now;
        while let Some(bucket) = self.buckets.pop_front_if(is_expired) {
            for (workspace, count) in bucket.counts {
                self.total -= count;
                let left = self.workspace_total(&workspace) - count;
                if left == 0 {
                    self.workspaces.swap_remove(&workspace);
                } else {
                    self.workspaces.insert(workspace, left);
                }
            }
        }
    }
}
