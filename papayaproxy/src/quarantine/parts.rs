//! Which parts of prompts are not sent, by crashes and survived answers.
//!
//! A crash is held against the parts of each answer that had just begun. A part that is sound is
//! cleared by any answer on it that goes on, at this entry or another. What remains and explains
//! several crashes is blocked.

use super::constants::{
    CRASH_TTL, CRASHES_MAX, CRASHES_TOGETHER, NEWS_DELAY_MAX, NEWS_KEYS_MAX, NEWS_TIME, PARTS_MAX,
    SAME_CRASH, SURVIVAL_TTL, SURVIVALS_MAX, TOGETHER_TTL,
};
use super::events;
use super::news::PartNews;
use crate::base::name::{Incarnation, Name};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
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

/// `now` on a clock that starts [`CRASH_TTL`] earlier, so that crashes from before the start of the
/// process keep their order.
pub(super) fn extended(now: Duration) -> Duration {
    now + CRASH_TTL
}

/// An upstream that crashed as it began to answer a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Crash {
    /// Digest of the upstream's id.
    pub(crate) upstream: u32,
    /// Run of the entry that noticed it.
    pub(crate) entry: Incarnation,
    /// Shared parts of the request's prompt, in order.
    pub(crate) parts: Vec<PartKey>,
    /// When the request was sent, on the clock of that entry.
    pub(crate) sent_at: Duration,
    /// When the answer broke off, on the same clock.
    pub(crate) ended_at: Duration,
}

/// A crash, and what only this entry knows of it.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) crash: Crash,
    /// When the answer broke off, on the [`extended`] clock of this entry; off by the delay of the
    /// message if another entry noticed it.
    pub(super) ended_at: Duration,
    /// Until when it is repeated to the other entries.
    pub(super) news_until: Duration,
}

/// The last survived answer on a part.
#[derive(Clone, Copy, Debug)]
struct Survival {
    at: Duration,
    /// Until when it is repeated to the other entries.
    news_until: Duration,
}

/// Crashes, survivals, and the parts that are blocked for them.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    /// By `ended_at`.
    crashes: Vec<Record>,
    /// Last survived answer on each part of `crashes`, at this entry or another.
    cleared: IndexMap<PartKey, Survival>,
    /// Last survived answer on each part that this entry sent lately, in two generations.
    survivals: [IndexMap<PartKey, Duration>; 2],
    blocked: IndexSet<PartKey>,
    /// When a crash becomes too old, or a part that is blocked for a while may be released.
    review_at: Duration,
}

impl Quarantine {
    /// The first of `parts` that is blocked.
    pub(crate) fn blocked_part(&self, parts: &[PartKey]) -> Option<PartKey> {
        parts.iter().find(|part| self.blocked.contains(*part)).copied()
    }

    /// Whether a crash would be held against any of `parts`.
    pub(crate) fn is_suspect(&self, parts: &[PartKey], now: Duration) -> bool {
        let now = extended(now);
        parts.iter().any(|part| self.survived_at(*part).is_none_or(|at| at + SURVIVAL_TTL < now))
    }

    /// Records that an answer on `parts` has gone on.
    pub(crate) fn record_survival(&mut self, parts: &[PartKey], now: Duration) {
        let now = extended(now);
        if self.survivals[0].len() + parts.len() > SURVIVALS_MAX {
            self.survivals.swap(0, 1);
            self.survivals[0].clear();
        }
        let last_crash = self.crashes.last().map(|c| c.ended_at);
        let mut changes = false;
        for part in parts {
            self.survivals[0].insert(*part, now);
            let cleared_at = self.cleared.get(part).map(|c| c.at);
            changes |= cleared_at < last_crash && self.is_accused(*part);
        }
        if changes {
            self.clear_survived(now);
        }
    }

    /// Records a crash that this entry has noticed.
    pub(crate) fn record_crash(&mut self, crash: Crash, now: Duration) {
        let ended_at = extended(crash.ended_at);
        let now = extended(now);
        self.add_crash(Record { crash, ended_at, news_until: now + NEWS_TIME });
        self.clear_survived(now);
    }

    /// Applies what a peer tells.
    pub(crate) fn observe(&mut self, news: &PartNews, now: Duration) {
        let now = extended(now);
        let at = |age_ms| now.saturating_sub(Duration::from_millis(age_ms));
        for (crash, age_ms) in &news.crashes {
            let mut crash = crash.clone();
            crash.parts.truncate(PARTS_MAX);
            let (ended_at, news_until) = (at(*age_ms), Duration::ZERO);
            self.add_crash(Record { crash, ended_at, news_until });
        }
        for (part, age_ms) in &news.survived {
            let known = self.cleared.get(part).map(|c| c.at);
            if self.is_accused(*part) && known < Some(at(*age_ms)) {
                let survival = Survival { at: at(*age_ms), news_until: Duration::ZERO };
                self.cleared.insert(*part, survival);
            }
        }
        self.clear_survived(now);
    }

    /// What the other entries should know: recent news of this entry, or `all` that it knows. What
    /// does not fit one datagram is left out, first of all crashes that block nothing.
    pub(crate) fn news(&self, all: bool, now: Duration) -> PartNews {
        let now = extended(now);
        let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        let mut news = PartNews::default();
        let mut keys = 0;
        let mut crashes: Vec<_> =
            self.crashes.iter().filter(|c| all || now < c.news_until).collect();
        let is_blocked = |record: &Record| self.blocked_part(&record.crash.parts).is_some();
        crashes.sort_by_key(|c| (!is_blocked(c), Reverse(c.ended_at)));
        for record in crashes {
            keys += record.crash.parts.len() + 1;
            if keys > NEWS_KEYS_MAX {
                break;
            }
            news.crashes.push((record.crash.clone(), age_ms(record.ended_at)));
        }
        let survived = self.cleared.iter().filter(|(_, c)| all || now < c.news_until);
        let survived = survived.map(|(part, c)| (*part, age_ms(c.at)));
        news.survived = survived.take(NEWS_KEYS_MAX.saturating_sub(keys)).collect();
        news
    }

    /// Forgets crashes that are too old, and releases what is blocked for a while only.
    pub(crate) fn expire(&mut self, now: Duration) {
        let now = extended(now);
        if self.crashes.is_empty() || now < self.review_at {
            return;
        }
        self.crashes.retain(|c| now < c.ended_at + CRASH_TTL);
        self.clear_survived(now);
    }

    fn is_accused(&self, part: PartKey) -> bool {
        self.crashes.iter().any(|c| c.crash.parts.contains(&part))
    }

    /// Last survived answer on a part at this entry.
    fn own_survival(&self, part: PartKey) -> Option<Duration> {
        self.survivals.iter().filter_map(|g| g.get(&part)).max().copied()
    }

    fn survived_at(&self, part: PartKey) -> Option<Duration> {
        self.own_survival(part).max(self.cleared.get(&part).map(|c| c.at))
    }

    /// Adds a crash, unless it is known.
    fn add_crash(&mut self, record: Record) {
        if self.crashes.iter().any(|known| known.crash == record.crash) {
            return;
        }
        let crash = &record.crash;
        tracing::info!(
            event = events::CRASH_RECORDED,
            upstream = format!("{:08x}", crash.upstream),
            entry = %crash.entry,
            parts = key_list(&crash.parts),
            took_ms = crash.ended_at.saturating_sub(crash.sent_at).as_millis() as u64,
            "crash recorded"
        );
        let index = self.crashes.partition_point(|c| c.ended_at <= record.ended_at);
        self.crashes.insert(index, record);
        if self.crashes.len() > CRASHES_MAX {
            let is_spare = |c: &Record| self.blocked_part(&c.crash.parts).is_none();
            let oldest = self.crashes.iter().position(is_spare).unwrap_or_default();
            self.crashes.remove(oldest);
        }
    }

    /// Clears the accused parts on which answers of this entry have gone on, and updates the blocked
    /// parts.
    fn clear_survived(&mut self, now: Duration) {
        let accused: IndexSet<PartKey> =
            self.crashes.iter().flat_map(|c| c.crash.parts.iter().copied()).collect();
        self.cleared.retain(|part, _| accused.contains(part));
        for part in accused {
            let known = self.cleared.get(&part).map(|c| c.at);
            if let Some(at) = self.own_survival(part).filter(|at| known < Some(*at)) {
                self.cleared.insert(part, Survival { at, news_until: now + NEWS_TIME });
            }
        }
        self.update_blocked(now);
    }

    /// Finds the parts that explain the most crashes, one after the other. What a crash also ended is
    /// not blamed for it once a blocked part explains it.
    fn update_blocked(&mut self, now: Duration) {
        let mut unexplained: Vec<&Record> = self.crashes.iter().collect();
        let mut blocked = IndexMap::new();
        self.review_at = unexplained.first().map_or(now, |c| c.ended_at + CRASH_TTL);
        loop {
            let mut best: Option<(PartKey, Blame<'_>)> = None;
            // Later parts are shared by fewer requests, so the last of equal ones is blocked.
            let accused: IndexSet<PartKey> =
                unexplained.iter().flat_map(|c| c.crash.parts.iter().rev().copied()).collect();
            for part in accused {
                let blame = self.blame(part, &unexplained);
                let most = best.as_ref().map_or(0, |(_, best)| best.upstreams.len());
                if blame.is_enough(now) && blame.upstreams.len() > most {
                    best = Some((part, blame));
                }
            }
            let Some((part, blame)) = best else { break };
            if !blame.in_turn {
                self.review_at = self.review_at.min(blame.last_end + TOGETHER_TTL);
            }
            blocked.insert(part, blame.upstreams.len());
            unexplained.retain(|crash| !blame.upstreams.iter().any(|b| b.is_same_end(crash)));
        }
        for (part, crashes) in blocked.iter().filter(|(p, _)| !self.blocked.contains(*p)) {
            let (event, part) = (events::PART_BLOCKED, key_list(&[*part]));
            tracing::warn!(event, part, crashes, "part of a prompt blocked");
        }
        for part in self.blocked.iter().filter(|p| !blocked.contains_key(*p)) {
            let (event, part) = (events::PART_RELEASED, key_list(&[*part]));
            tracing::warn!(event, part, "part of a prompt released");
        }
        self.blocked = blocked.into_keys().collect();
    }

    /// What `crashes` hold against `part`.
    fn blame<'a>(&self, part: PartKey, crashes: &[&'a Record]) -> Blame<'a> {
        let cleared = self.cleared.get(&part).map(|c| c.at + SURVIVAL_TTL);
        let mut blame = Blame { upstreams: Vec::new(), in_turn: false, last_end: Duration::ZERO };
        let mut held: Vec<&Record> = Vec::new();
        for record in crashes {
            let is_cleared = cleared.is_some_and(|until| until >= record.ended_at);
            if is_cleared || !record.crash.parts.contains(&part) {
                continue;
            }
            if !blame.upstreams.iter().any(|b| b.is_same_end(record)) {
                blame.upstreams.push(record);
            }
            blame.in_turn |=
                held.iter().any(|h| record.is_sent_after(h) || h.is_sent_after(record));
            blame.last_end = blame.last_end.max(record.ended_at);
            held.push(record);
        }
        blame
    }
}

/// The crashes held against one part.
struct Blame<'a> {
    /// One crash of each upstream.
    upstreams: Vec<&'a Record>,
    /// Whether one request was sent after the crash of another.
    in_turn: bool,
    /// Time of the last crash.
    last_end: Duration,
}

impl Blame<'_> {
    /// Whether the part is to be blocked. What crashes many upstreams at once also ends sound
    /// answers at each of them, so that crashes at one time block for a while only.
    fn is_enough(&self, now: Duration) -> bool {
        let is_recent = now < self.last_end + TOGETHER_TTL;
        self.in_turn || (self.upstreams.len() >= CRASHES_TOGETHER && is_recent)
    }
}

impl Record {
    /// Whether the request was sent after the crash of `other`.
    pub(super) fn is_sent_after(&self, other: &Self) -> bool {
        let is_after = if self.crash.entry == other.crash.entry {
            self.crash.sent_at >= other.crash.ended_at
        } else {
            let took = self.crash.ended_at.saturating_sub(self.crash.sent_at);
            self.ended_at >= took.saturating_add(other.ended_at + NEWS_DELAY_MAX)
        };
        is_after && !self.is_same_end(other)
    }

    /// Whether both are one end of one upstream, noticed by two requests.
    pub(super) fn is_same_end(&self, other: &Self) -> bool {
        self.crash.upstream == other.crash.upstream
            && self.ended_at.abs_diff(other.ended_at) < SAME_CRASH
    }
}
