//! Counts the keys issued in a time window without memory for each key.

use super::constants::WINDOW_GRAIN;
use crate::base::name::Name;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;

#[derive(Debug)]
struct Bucket {
    start: Duration,
    counts: IndexMap<Name, usize>,
}

/// Number of keys issued within the last `span`, counted by workspace in buckets of one grain.
#[derive(Debug)]
pub(crate) struct IssueWindow {
    span: Duration,
    buckets: VecDeque<Bucket>,
    workspaces: IndexMap<Name, usize>,
    total: usize,
}

impl IssueWindow {
    /// An empty window of length `span`.
    pub(crate) fn new(span: Duration) -> Self {
        Self { span, buckets: VecDeque::new(), workspaces: IndexMap::new(), total: 0 }
    }

    /// Keys counted in the window.
    pub(crate) fn total(&self) -> usize {
        self.total
    }

    /// Keys of one workspace counted in the window.
    pub(crate) fn of(&self, workspace: &Name) -> usize {
        self.workspaces.get(workspace).copied().unwrap_or(0)
    }

    /// Counts `count` keys issued to `workspace` at `now`.
    pub(crate) fn add(&mut self, workspace: &Name, count: usize, now: Duration) {
        self.total += count;
        *self.workspaces.entry(workspace.clone()).or_default() += count;
        let open = self.buckets.back().is_some_and(|b| now < b.start + WINDOW_GRAIN);
        if !open {
            self.buckets.push_back(Bucket { start: now, counts: IndexMap::new() });
        }
        if let Some(bucket) = self.buckets.back_mut() {
            *bucket.counts.entry(workspace.clone()).or_default() += count;
        }
    }

    /// Drops the buckets whose last key has left the window.
    pub(crate) fn expire(&mut self, now: Duration) {
        let over = |b: &mut Bucket| b.start + WINDOW_GRAIN + self.span <= now;
        while let Some(bucket) = self.buckets.pop_front_if(over) {
            for (workspace, count) in bucket.counts {
                self.total -= count;
                let left = self.of(&workspace) - count;
                if left == 0 {
                    self.workspaces.swap_remove(&workspace);
                } else {
                    self.workspaces.insert(workspace, left);
                }
            }
        }
    }
}
