//! Which requests are not sent, since they crash the upstreams that run them.
//!
//! What a crash looks like differs: the answer may break off anywhere, and the port may go on to accept
//! connections. So an attempt that ends with its connection counts against its request whatever else is
//! seen, and a complete answer, from any upstream, clears it.

use super::constants::{
    ANSWERED_MAX, ANSWERED_TTL, BROKEN_MAX, BROKEN_MIN, BROKEN_UPSTREAMS_MIN, NEWS_TIME,
    REQUEST_ALL_MAX, REQUEST_NEWS_MAX, REQUEST_TTL, SUSPECTS_MAX,
};
use super::events;
use super::news::PartNews;
use super::parts::{Crash, Record, extended, key_list};
use indexmap::{IndexMap, IndexSet};
use std::cmp::Reverse;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Stands for all requests with the same service, method, target, workspace and body.
pub(crate) type RequestKey = u64;

/// The key of a request.
pub(crate) fn request_key(
    service: &str,
    method: &str,
    target: &str,
    workspace: &str,
    body: &[u8],
) -> RequestKey {
    let mut hasher = Xxh3::new();
    for field in [service.as_bytes(), method.as_bytes(), target.as_bytes(), workspace.as_bytes()] {
        // With its length, so that no two lists of fields are the same bytes.
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher.update(body);
    hasher.digest()
}

/// A request with broken attempts and without a complete answer.
#[derive(Debug, Default)]
struct Suspect {
    /// The attempts, by their ends.
    broken: Vec<Record>,
    is_blocked: bool,
}

/// An answer that cleared a suspect.
#[derive(Clone, Copy, Debug)]
struct Clearance {
    at: Duration,
    /// Until when it is repeated to the other entries.
    news_until: Duration,
}

/// Requests with broken attempts, and those that are blocked for them.
#[derive(Debug, Default)]
pub(crate) struct RequestQuarantine {
    suspects: IndexMap<RequestKey, Suspect>,
    cleared: IndexMap<RequestKey, Clearance>,
    /// Last complete answer to each request that this entry sent lately, in two generations.
    answered: [IndexMap<RequestKey, Duration>; 2],
}

impl RequestQuarantine {
    /// Whether the request is not to be sent.
    pub(crate) fn is_blocked(&self, key: RequestKey, now: Duration) -> bool {
        let suspect = self.suspects.get(&key).filter(|s| s.is_blocked);
        suspect.is_some_and(|s| !s.is_over(extended(now)))
    }

    /// Records a complete answer to a request.
    pub(crate) fn record_answer(&mut self, key: RequestKey, now: Duration) {
        let now = extended(now);
        if self.answered[0].len() >= ANSWERED_MAX {
            self.answered.swap(0, 1);
            self.answered[0].clear();
        }
        self.answered[0].insert(key, now);
        if self.suspects.contains_key(&key) {
            self.clear(key, now, now);
        }
    }

    /// Records an attempt of this entry that ended with its upstream; `broken.parts` is the request's key
    /// alone. Returns whether it blocks the request, of which the other entries should know at once.
    pub(crate) fn record_broken(&mut self, broken: Crash, now: Duration) -> bool {
        let (ended_at, now) = (extended(broken.ended_at), extended(now));
        let Some(key) = broken.parts.first().copied() else { return false };
        if self.is_vouched(key, ended_at) {
            return false;
        }
        self.add(key, Record { crash: broken, ended_at, news_until: now + NEWS_TIME })
    }

    /// Applies what a peer tells.
    pub(crate) fn observe(&mut self, news: &PartNews, now: Duration) {
        let now = extended(now);
        let at = |age_ms| now.saturating_sub(Duration::from_millis(age_ms));
        for (key, age_ms) in &news.survived {
            if self.suspects.contains_key(key) {
                self.clear(*key, at(*age_ms), Duration::ZERO);
            }
        }
        for (broken, age_ms) in &news.crashes {
            let [key] = broken.parts[..] else { continue };
            let ended_at = at(*age_ms);
            if self.is_vouched(key, ended_at) {
                let clearance = Clearance { at: now, news_until: now + NEWS_TIME };
                self.cleared.entry(key).or_insert(clearance);
            } else {
                let news_until = Duration::ZERO;
                self.add(key, Record { crash: broken.clone(), ended_at, news_until });
            }
        }
    }

    /// What the other entries should know: recent news of this entry, and with `all` what blocks requests.
    /// What does not fit one datagram is left out, first of all attempts that block nothing.
    pub(crate) fn news(&self, all: bool, now: Duration) -> PartNews {
        let now = extended(now);
        let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        let most = if all { REQUEST_ALL_MAX } else { REQUEST_NEWS_MAX };
        let is_told = |s: &Suspect, b: &Record| (all && s.is_blocked) || now < b.news_until;
        let has_news = |s: &&Suspect| s.broken.iter().any(|b| is_told(s, b));
        let mut suspects: Vec<&Suspect> = self.suspects.values().filter(has_news).collect();
        let ended_at = |s: &Suspect| s.broken.last().map(|b| b.ended_at);
        suspects.sort_by_key(|s| (!s.is_blocked, Reverse(s.broken.len()), Reverse(ended_at(s))));
        let broken = suspects.iter().flat_map(|s| s.broken.iter().filter(|b| is_told(s, b)));
        let crashes: Vec<_> =
            broken.map(|b| (b.crash.clone(), age_ms(b.ended_at))).take(most).collect();
        let cleared = self.cleared.iter().filter(|(_, c)| all || now < c.news_until);
        let cleared = cleared.map(|(key, c)| (*key, age_ms(c.at)));
        let survived = cleared.take(most - crashes.len()).collect();
        PartNews { crashes, survived }
    }

    /// Forgets what is too old.
    pub(crate) fn expire(&mut self, now: Duration) {
        let now = extended(now);
        self.suspects.retain(|_, suspect| !suspect.is_over(now));
        self.cleared.retain(|_, c| now < c.at + ANSWERED_TTL);
    }

    /// Whether a complete answer shows that the request had crashed nothing at `ended_at`.
    fn is_vouched(&self, key: RequestKey, ended_at: Duration) -> bool {
        let answered = self.answered.iter().filter_map(|generation| generation.get(&key));
        let cleared = self.cleared.get(&key).map(|c| &c.at);
        answered.chain(cleared).max().is_some_and(|at| *at + ANSWERED_TTL >= ended_at)
    }

    fn clear(&mut self, key: RequestKey, at: Duration, told_from: Duration) {
        if self.suspects.shift_remove(&key).is_some_and(|s| s.is_blocked) {
            let (event, content) = (events::REQUEST_RELEASED, key_list(&[key]));
            tracing::warn!(event, content, "request is sent again");
        }
        let news_until = if told_from.is_zero() { told_from } else { told_from + NEWS_TIME };
        self.cleared.insert(key, Clearance { at, news_until });
    }

    /// Adds a broken attempt, unless it is known. Returns whether it blocks the request.
    fn add(&mut self, key: RequestKey, record: Record) -> bool {
        if self.suspects.len() >= SUSPECTS_MAX && !self.suspects.contains_key(&key) {
            let oldest = self.suspects.values().position(|s| !s.is_blocked).unwrap_or_default();
            self.suspects.shift_remove_index(oldest);
        }
        let suspect = self.suspects.entry(key).or_default();
        let is_known = suspect.broken.iter().any(|b| b.crash == record.crash);
        if is_known || suspect.broken.len() >= BROKEN_MAX {
            return false;
        }
        let index = suspect.broken.partition_point(|b| b.ended_at <= record.ended_at);
        suspect.broken.insert(index, record);
        let is_new = !suspect.is_blocked && suspect.has_crashed_enough();
        if is_new {
            suspect.is_blocked = true;
            let (event, content) = (events::REQUEST_BLOCKED, key_list(&[key]));
            let attempts = suspect.broken.len();
            tracing::warn!(event, content, attempts, "request blocked");
        }
        is_new
    }
}

impl Suspect {
    fn is_over(&self, now: Duration) -> bool {
        self.broken.last().is_none_or(|last| now >= last.ended_at + REQUEST_TTL)
    }

    /// Whether the request is to be blocked. Attempts that ended at one time may have had one cause beside
    /// the request, so that one must have been sent after the end of another.
    fn has_crashed_enough(&self) -> bool {
        let mut ends: Vec<&Record> = Vec::new();
        for broken in &self.broken {
            if !ends.iter().any(|end| end.is_same_end(broken)) {
                ends.push(broken);
            }
        }
        let upstreams: IndexSet<u32> = ends.iter().map(|end| end.crash.upstream).collect();
        let in_turn = ends.iter().any(|late| ends.iter().any(|early| late.is_sent_after(early)));
        ends.len() >= BROKEN_MIN && upstreams.len() >= BROKEN_UPSTREAMS_MIN && in_turn
    }
}
