//! Which parts of prompts are not sent, by crashes and survived answers.
//!
//! A crash is held against the parts of each answer that had just begun. A part that is sound is
//! cleared by any answer on it that goes on, at this entry or another. What remains and was in
//! several crashes, one after the other, is blocked.

use super::constants::{
    CRASH_TTL, CRASHES_MAX, CRASHES_TO_BLOCK, NEWS_SURVIVALS_MAX, NEWS_TIME, PARTS_MAX, SAME_CRASH,
    SURVIVAL_TTL, SURVIVALS_MAX,
};
use super::events;
use super::news::{CrashNews, PartNews};
use crate::base::name::Name;
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Stands for a part of a prompt for one service.
pub(crate) type PartKey = u64;

/// Keys of the parts that `parts` may share with other prompts for `service`: all but the last. A
/// part may crash the engine of one service and not that of another.
pub(crate) fn shared_keys(service: &str, parts: &[Name]) -> Vec<PartKey> {
    let shared = &parts[..parts.len().saturating_sub(1)];
    let kept = &shared[shared.len().saturating_sub(PARTS_MAX)..];
    kept.iter()
        .map(|part| xxhash_rust::xxh3::xxh3_64(format!("{service}/{part}").as_bytes()))
        .collect()
}

/// Keys as they are written to the log.
pub(crate) fn key_list(parts: &[PartKey]) -> String {
    parts.iter().map(|part| format!("{part:016x}")).collect::<Vec<_>>().join(",")
}

/// An upstream that crashed as it began to answer a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Crash {
    /// Digest of the upstream's id.
    pub(crate) upstream: u32,
    /// Shared parts of the request's prompt, in order.
    pub(crate) parts: Vec<PartKey>,
    /// When the request was sent.
    pub(crate) sent_at: Duration,
    /// When the answer broke off.
    pub(crate) ended_at: Duration,
}

/// A fact, and until when it is repeated to the other entries.
#[derive(Clone, Debug)]
struct Told<T> {
    fact: T,
    until: Duration,
}

/// Crashes, survivals, and the parts that are blocked for them.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    /// By time of the crash.
    crashes: Vec<Told<Crash>>,
    /// Last survived answer on each part of `crashes`, at this entry or another.
    cleared: IndexMap<PartKey, Told<Duration>>,
    /// Last survived answer on each part that this entry sent lately, in two generations.
    survivals: [IndexMap<PartKey, Duration>; 2],
    blocked: IndexSet<PartKey>,
}

impl Quarantine {
    /// The first of `parts` that is blocked.
    pub(crate) fn blocked_part(&self, parts: &[PartKey]) -> Option<PartKey> {
        parts.iter().find(|part| self.blocked.contains(*part)).copied()
    }

    /// Whether a crash would be held against any of `parts`.
    pub(crate) fn is_suspect(&self, parts: &[PartKey], now: Duration) -> bool {
        parts.iter().any(|part| self.survived_at(*part).is_none_or(|at| at + SURVIVAL_TTL < now))
    }

    /// Records that an answer on `parts` has gone on.
    pub(crate) fn record_survival(&mut self, parts: &[PartKey], now: Duration) {
        if self.survivals[0].len() + parts.len() > SURVIVALS_MAX {
            self.survivals.swap(0, 1);
            self.survivals[0].clear();
        }
        let last_crash = self.crashes.last().map(|c| c.fact.ended_at);
        let mut changes = false;
        for part in parts {
            self.survivals[0].insert(*part, now);
            let cleared_at = self.cleared.get(part).map(|c| c.fact);
            changes |= cleared_at < last_crash && self.is_accused(*part);
        }
        if changes {
            self.clear_survived(now);
        }
    }

    /// Records a crash that this entry has noticed.
    pub(crate) fn record_crash(&mut self, crash: Crash, now: Duration) {
        self.add_crash(crash, now + NEWS_TIME);
        self.clear_survived(now);
    }

    /// Applies what a peer tells.
    pub(crate) fn observe(&mut self, news: &PartNews, now: Duration) {
        let at = |age_ms| now.saturating_sub(Duration::from_millis(age_ms));
        for crash in &news.crashes {
            let mut parts = crash.parts.clone();
            parts.truncate(PARTS_MAX);
            let (sent_at, ended_at) = (at(crash.sent_ms), at(crash.ended_ms));
            let crash = Crash { upstream: crash.upstream, parts, sent_at, ended_at };
            self.add_crash(crash, Duration::ZERO);
        }
        for (part, age_ms) in &news.survived {
            let known = self.cleared.get(part).map(|c| c.fact);
            if self.is_accused(*part) && known.is_none_or(|known| known < at(*age_ms)) {
                self.cleared.insert(*part, Told { fact: at(*age_ms), until: Duration::ZERO });
            }
        }
        self.clear_survived(now);
    }

    /// What the other entries should know: recent news of this entry, or `all` that it knows.
    pub(crate) fn news(&self, all: bool, now: Duration) -> PartNews {
        let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        let crashes = self.crashes.iter().filter(|c| all || now < c.until).map(|c| CrashNews {
            upstream: c.fact.upstream,
            parts: c.fact.parts.clone(),
            sent_ms: age_ms(c.fact.sent_at),
            ended_ms: age_ms(c.fact.ended_at),
        });
        let survived = self.cleared.iter().filter(|(_, c)| all || now < c.until);
        let survived = survived.map(|(part, c)| (*part, age_ms(c.fact))).take(NEWS_SURVIVALS_MAX);
        PartNews { crashes: crashes.collect(), survived: survived.collect() }
    }

    /// Forgets crashes that are too old.
    pub(crate) fn expire(&mut self, now: Duration) {
        let count = self.crashes.len();
        self.crashes.retain(|c| now < c.fact.ended_at + CRASH_TTL);
        if self.crashes.len() < count {
            self.clear_survived(now);
        }
    }

    fn is_accused(&self, part: PartKey) -> bool {
        self.crashes.iter().any(|c| c.fact.parts.contains(&part))
    }

    fn survived_at(&self, part: PartKey) -> Option<Duration> {
        let own = self.survivals.iter().filter_map(|g| g.get(&part)).max().copied();
        own.max(self.cleared.get(&part).map(|c| c.fact))
    }

    /// Adds a crash, unless it is known.
    fn add_crash(&mut self, crash: Crash, until: Duration) {
        let is_same = |known: &Crash| {
            known.upstream == crash.upstream
                && known.parts == crash.parts
                && known.ended_at.abs_diff(crash.ended_at) < SAME_CRASH
        };
        if self.crashes.iter().any(|c| is_same(&c.fact)) {
            return;
        }
        tracing::info!(
            event = events::CRASH_RECORDED,
            upstream = format!("{:08x}", crash.upstream),
            by_peer = until.is_zero(),
            parts = key_list(&crash.parts),
            sent_ms = crash.sent_at.as_millis() as u64,
            ended_ms = crash.ended_at.as_millis() as u64,
            "crash recorded"
        );
        let index = self.crashes.partition_point(|c| c.fact.ended_at <= crash.ended_at);
        self.crashes.insert(index, Told { fact: crash, until });
        if self.crashes.len() > CRASHES_MAX {
            self.crashes.remove(0);
        }
    }

    /// Clears the accused parts on which answers of this entry have gone on, and updates the blocked
    /// parts.
    fn clear_survived(&mut self, now: Duration) {
        let accused: IndexSet<PartKey> =
            self.crashes.iter().flat_map(|c| c.fact.parts.iter().copied()).collect();
        self.cleared.retain(|part, _| accused.contains(part));
        for part in accused {
            let own = self.survivals.iter().filter_map(|g| g.get(&part)).max().copied();
            let known = self.cleared.get(&part).map(|c| c.fact);
            if let Some(at) = own.filter(|at| known.is_none_or(|known| known < *at)) {
                self.cleared.insert(part, Told { fact: at, until: now + NEWS_TIME });
            }
        }
        self.update_blocked();
    }

    fn update_blocked(&mut self) {
        let mut blocked = IndexSet::new();
        for crash in &self.crashes {
            // Later parts are shared by fewer requests: where several qualify, blocking the last
            // one stops the least.
            let crashes_of = |part: &&PartKey| self.crashes_of(**part) >= CRASHES_TO_BLOCK;
            blocked.extend(crash.fact.parts.iter().rev().find(crashes_of));
        }
        for part in blocked.difference(&self.blocked) {
            tracing::warn!(
                event = events::PART_BLOCKED,
                part = key_list(&[*part]),
                crashes = self.crashes_of(*part),
                "part of a prompt blocked"
            );
        }
        for part in self.blocked.difference(&blocked) {
            let (event, part) = (events::PART_RELEASED, key_list(&[*part]));
            tracing::warn!(event, part, "part of a prompt released");
        }
        self.blocked = blocked;
    }

    /// Crashes held against a part. Those of requests that were sent before the one counted last are
    /// left out: what crashes many upstreams at once also ends sound answers at each of them.
    fn crashes_of(&self, part: PartKey) -> u32 {
        let cleared = self.cleared.get(&part).map(|c| c.fact + SURVIVAL_TTL);
        let mut count = 0;
        let mut last_end = Duration::ZERO;
        for crash in self.crashes.iter().map(|c| &c.fact) {
            let is_held = crash.parts.contains(&part)
                && cleared.is_none_or(|until| until < crash.ended_at)
                && crash.sent_at >= last_end;
            if is_held {
                (count, last_end) = (count + 1, crash.ended_at);
            }
        }
        count
    }
}
