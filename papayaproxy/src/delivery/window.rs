//! Counts the keys issued in a time window without memory for each key.

use super::constants::WINDOW_GRAIN;
use std::collections::VecDeque;
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Duration,
    count: usize,
}

/// Number of keys issued within the last `span`, counted in buckets of one grain.
#[derive(Debug)]
pub(crate) struct IssueWindow {
    span: Duration,
    buckets: VecDeque<Bucket>,
    total: usize,
}

impl IssueWindow {
    /// An empty window of length `span`.
    pub(crate) fn new(span: Duration) -> Self {
        Self { span, buckets: VecDeque::new(), total: 0 }
    }

    /// Keys counted in the window.
    pub(crate) fn total(&self) -> usize {
        self.total
    }

    /// Counts `count` keys issued at `now`.
    pub(crate) fn add(&mut self, count: usize, now: Duration) {
        self.total += count;
        match self.buckets.back_mut() {
            Some(b) if now < b.start + WINDOW_GRAIN => b.count += count,
            _ => self.buckets.push_back(Bucket { start: now, count }),
        }
    }

    /// Drops the buckets whose last key has left the window.
    pub(crate) fn expire(&mut self, now: Duration) {
        while let Some(first) = self.buckets.front() {
            if now < first.start + WINDOW_GRAIN + self.span {
                return;
            }
            self.total -= first.count;
            self.buckets.pop_front();
        }
    }
}
