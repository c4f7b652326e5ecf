//! What a choice returns: the upstream, the reason and the candidates that were scored.

use super::candidates::Candidates;
use super::constants::SCORED_MAX;
use super::{codes, events};
use crate::base::code::Code;
use crate::base::name::Name;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Why the chosen upstream was among the candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It is believed to hold a prefix of the prompt.
    Cached,
    /// It is the home of the prompt's prefix.
    Home,
    /// It was drawn at random in the own zone.
    Drawn,
    /// It was drawn at random in another zone.
    Spilled,
    /// It was found by a scan of the whole pool.
    Scanned,
    /// Nothing is heard of it, and no other upstream can take the request.
    Silent,
}

impl Reason {
    /// The reason as it stands in a log line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Cached => "cached",
            Self::Home => "home",
            Self::Drawn => "drawn",
            Self::Spilled => "spilled",
            Self::Scanned => "scanned",
            Self::Silent => "silent",
        }
    }
}

/// One candidate with its score.
#[derive(Clone, Copy, Debug)]
pub struct Scored {
    /// Index of the upstream in the candidates.
    pub upstream: u32,
    /// Why it was scored.
    pub reason: Reason,
    /// The score in seconds; the lowest is chosen.
    pub score: f32,
    /// Predicted time to the first token or the answer, in seconds.
    pub first: f32,
    /// Tokens of the prompt that its cache is expected to hold.
    pub cached: u32,
}

/// The scored candidates of one decision, at most [`SCORED_MAX`].
#[derive(Clone, Copy, Debug)]
pub struct ScoredList {
    items: [Option<Scored>; SCORED_MAX],
    len: usize,
}

impl ScoredList {
    pub(crate) fn new() -> Self {
        Self { items: [None; SCORED_MAX], len: 0 }
    }

    pub(crate) fn push(&mut self, item: Scored) {
        if self.len < SCORED_MAX {
            self.items[self.len] = Some(item);
            self.len += 1;
        }
    }

    pub(crate) fn has(&self, upstream: u32) -> bool {
        self.iter().any(|s| s.upstream == upstream)
    }

    /// The candidates in the order in which they were scored.
    pub fn iter(&self) -> impl Iterator<Item = &Scored> {
        self.items[..self.len].iter().flatten()
    }

    pub(crate) fn best(&self) -> Option<&Scored> {
        self.iter().min_by(|a, b| a.score.total_cmp(&b.score))
    }
}

/// A chosen upstream.
#[derive(Clone, Debug)]
pub struct Decision {
    /// Index of the upstream in the candidates.
    pub upstream: u32,
    /// Its name.
    pub name: Name,
    /// Address of its agent.
    pub agent: SocketAddr,
    /// Why it was chosen.
    pub reason: Reason,
    /// Predicted time to the first token or the answer.
    pub first: Duration,
    /// Tokens of the prompt that its cache is expected to hold.
    pub cached: u32,
    /// Every candidate that was scored.
    pub scored: ScoredList,
}

/// Names the scored candidates in a bounded text.
struct Listed<'a>(&'a ScoredList, &'a Candidates);

impl fmt::Display for Listed<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, scored) in self.0.iter().enumerate() {
            let gap = if i == 0 { "" } else { " " };
            let name = &self.1.upstreams[scored.upstream as usize].name;
            write!(f, "{gap}{name}={:.0}/{}", scored.score * 1e3, scored.cached)?;
        }
        Ok(())
    }
}

impl Decision {
    /// Writes the log line of the decision.
    pub fn log(&self, request: &str, candidates: &Candidates) {
        let score = self.scored.best().map_or(0.0, |s| f64::from(s.score) * 1e3);
        tracing::info!(
            event = events::ROUTE_CHOSEN,
            request,
            upstream = %self.name,
            reason = self.reason.as_str(),
            score_ms = score,
            candidates = %Listed(&self.scored, candidates),
            "upstream chosen"
        );
    }

    /// The scored candidates as text, at most [`SCORED_MAX`] of `name=score_ms/cached_tokens`.
    pub fn explain(&self, candidates: &Candidates) -> String {
        Listed(&self.scored, candidates).to_string()
    }
}

/// A request that no upstream is given. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("{code}: no upstream, retry after {retry_after:?}"))]
pub struct Refusal {
    /// The result code.
    pub code: Code,
    /// When a retry may succeed.
    pub retry_after: Duration,
}

impl Refusal {
    pub(crate) fn unknown_service() -> Self {
        Self { code: codes::SERVICE_UNKNOWN, retry_after: Duration::ZERO }
    }

    /// Writes the log line of the refusal.
    pub fn log(&self, request: &str) {
        let retry = self.retry_after.as_millis() as u64;
        tracing::info!(
            event = events::ROUTE_REFUSED,
            request,
            code = %self.code,
            retry_ms = retry,
            "request refused"
        );
    }
}
