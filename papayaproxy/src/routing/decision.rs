//! Result of a choice: the upstream, the reason and the scored candidates, or a refusal.

use super::candidates::Candidates;
use super::constants::SCORED_MAX;
use super::{codes, events};
use crate::base::code::Code;
use crate::base::name::Name;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Why an upstream was scored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Its cache is expected to hold a prefix of the prompt.
    Cached,
    /// It is one of the homes of the prompt's prefix.
    Home,
    /// It was sampled at random from the zone of this entry.
    Drawn,
    /// It was sampled at random from the other zones.
    Spilled,
    /// It has the best score in a scan of the service's live upstreams.
    Scanned,
    /// It is not live, and no live upstream is eligible.
    Silent,
}

impl Reason {
    /// Name in log lines.
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

/// A candidate with its score.
#[derive(Clone, Copy, Debug)]
pub struct ScoredCandidate {
    /// Index of the upstream in the candidates.
    pub upstream: u32,
    /// Why the candidate was scored.
    pub reason: Reason,
    /// Score in seconds; the lowest is chosen.
    pub score: f32,
    /// Predicted time to the first token, or to the answer of a plain service, in seconds.
    pub first_token: f32,
    /// Prompt tokens that the upstream's cache is expected to hold.
    pub cached_tokens: u32,
}

/// The scored candidates of one decision, at most [`SCORED_MAX`].
#[derive(Clone, Copy, Debug)]
pub struct ScoredList {
    items: [Option<ScoredCandidate>; SCORED_MAX],
    len: usize,
}

impl ScoredList {
    pub(crate) fn new() -> Self {
        Self { items: [None; SCORED_MAX], len: 0 }
    }

    pub(crate) fn push(&mut self, item: ScoredCandidate) {
        if self.len < SCORED_MAX {
            self.items[self.len] = Some(item);
            self.len += 1;
        }
    }

    pub(crate) fn contains(&self, upstream: u32) -> bool {
        self.iter().any(|s| s.upstream == upstream)
    }

    /// The candidates in the order in which they were scored.
    pub fn iter(&self) -> impl Iterator<Item = &ScoredCandidate> {
        self.items[..self.len].iter().flatten()
    }

    pub(crate) fn best(&self) -> Option<&ScoredCandidate> {
        self.iter().min_by(|a, b| a.score.total_cmp(&b.score))
    }
}

/// A chosen upstream.
#[derive(Clone, Debug)]
pub struct Decision {
    /// Index of the upstream in the candidates.
    pub upstream: u32,
    /// Name of the upstream.
    pub name: Name,
    /// Address of the upstream's agent.
    pub agent: SocketAddr,
    /// Why the upstream was scored.
    pub reason: Reason,
    /// Predicted time to the first token, or to the answer of a plain service.
    pub first_token: Duration,
    /// Prompt tokens that the upstream's cache is expected to hold.
    pub cached_tokens: u32,
    /// All scored candidates.
    pub scored: ScoredList,
}

/// Formats the scored candidates as `name=score_ms/cached_tokens`, separated by spaces.
struct ScoredDisplay<'a>(&'a ScoredList, &'a Candidates);

impl fmt::Display for ScoredDisplay<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, scored) in self.0.iter().enumerate() {
            let separator = if i == 0 { "" } else { " " };
            let name = &self.1.upstreams[scored.upstream as usize].name;
            write!(f, "{separator}{name}={:.0}/{}", scored.score * 1e3, scored.cached_tokens)?;
        }
        Ok(())
    }
}

impl Decision {
    /// Logs the decision.
    pub fn log(&self, request: &str, candidates: &Candidates) {
        let score_ms = self.scored.best().map_or(0.0, |s| f64::from(s.score) * 1e3);
        tracing::info!(
            event = events::ROUTE_CHOSEN,
            request,
            upstream = %self.name,
            reason = self.reason.as_str(),
            score_ms,
            candidates = %ScoredDisplay(&self.scored, candidates),
            "upstream chosen"
        );
    }

    /// Scored candidates as text: at most [`SCORED_MAX`] of `name=score_ms/cached_tokens`.
    pub fn explain(&self, candidates: &Candidates) -> String {
        ScoredDisplay(&self.scored, candidates).to_string()
    }
}

/// A request for which no upstream was chosen; it has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("{code}: no upstream, retry after {retry_after:?}"))]
pub struct Refusal {
    /// The result code.
    pub code: Code,
    /// Delay after which a retry may succeed.
    pub retry_after: Duration,
}

impl Refusal {
    pub(crate) fn unknown_service() -> Self {
        Self { code: codes::SERVICE_UNKNOWN, retry_after: Duration::ZERO }
    }

    /// Logs the refusal.
    pub fn log(&self, request: &str) {
        let retry_ms = self.retry_after.as_millis() as u64;
        tracing::info!(
            event = events::ROUTE_REFUSED,
            request,
            code = %self.code,
            retry_ms,
            "no upstream chosen"
        );
    }
}
