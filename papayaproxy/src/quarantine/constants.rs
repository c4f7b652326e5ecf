//! Limits and times of the quarantine.

use std::time::Duration;

/// Crashed upstreams after which a part is no longer sent for a while, whenever their requests were
/// sent.
pub(crate) const CRASHES_TOGETHER: usize = 3;
/// Time for which [`CRASHES_TOGETHER`] block a part.
pub(crate) const TOGETHER_TTL: Duration = Duration::from_secs(60);
/// Events after which an answer has shown that its parts crash nothing; the first ones may come
/// from one pass of the engine.
pub(crate) const SURVIVED_EVENTS: u64 = 3;
/// Time for which a survived answer vouches for its parts; afterwards an engine may have changed.
pub(crate) const SURVIVAL_TTL: Duration = Duration::from_secs(60);
/// Time for which a crash is held against the parts of its prompts.
pub(crate) const CRASH_TTL: Duration = Duration::from_secs(3600);
/// Crashes that are kept; the oldest that block nothing are dropped first.
pub(crate) const CRASHES_MAX: usize = 128;
/// Parts that are kept of one prompt. Later parts are shared by fewer requests, so the last ones are
/// kept.
pub(crate) const PARTS_MAX: usize = 8;
/// Survivals that are kept in each of two generations.
pub(crate) const SURVIVALS_MAX: usize = 4096;
/// Difference up to which the times of crashes of one upstream, as two entries noticed them, count
/// as one crash.
pub(crate) const SAME_CRASH: Duration = Duration::from_millis(1000);
/// Time for which heartbeats repeat news to the other entries, since datagrams may be lost.
pub(crate) const NEWS_TIME: Duration = Duration::from_millis(2000);
/// Longest usual delay of a message between entries. Up to it, times that two entries tell may
/// appear in the wrong order.
pub(crate) const NEWS_DELAY_MAX: Duration = Duration::from_millis(100);
/// Keys of parts and upstreams in one message, so that it fits one datagram.
pub(crate) const NEWS_KEYS_MAX: usize = 400;

/// Attempts at a request that end with their upstreams, without a complete answer to it anywhere, after
/// which it is no longer sent.
pub(crate) const BROKEN_MIN: usize = 3;
/// Upstreams at which these attempts were, at least: one of them alone may be at fault itself.
pub(crate) const BROKEN_UPSTREAMS_MIN: usize = 2;
/// Time from the last such attempt for which the request is not sent.
pub(crate) const REQUEST_TTL: Duration = Duration::from_secs(600);
/// Time for which a complete answer vouches for later requests of the same content.
pub(crate) const ANSWERED_TTL: Duration = Duration::from_secs(60);
/// Requests whose complete answers are remembered, in each of two generations.
pub(crate) const ANSWERED_MAX: usize = 1024;
/// Requests with broken attempts that are kept.
pub(crate) const SUSPECTS_MAX: usize = 512;
/// Broken attempts that are kept of one request; the first ones.
pub(crate) const BROKEN_MAX: usize = 8;
/// Broken attempts and answered requests in one message to all entries: a group of upstreams that stalls
/// ends many requests at once, at each entry.
pub(crate) const REQUEST_NEWS_MAX: usize = 16;
/// The same in a message to a single entry, so that it fits one datagram.
pub(crate) const REQUEST_ALL_MAX: usize = 96;
