//! The operator's configuration: routes, services, workspaces and limits.

use crate::base::name::Name;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RouteKind {
    /// May run more than once.
    Safe,
    /// Runs at most once for each attempt of a client.
    Unsafe,
    /// An event stream; may go on at another replica only where it is resumable.
    Stream {
        /// Whether replicas go on after the last event that the caller has.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run may be sent again.
    pub(crate) fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Whether the answer is an event stream.
    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Where requests of a host below a path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Route {
    /// The route's name.
    pub(crate) name: Name,
    /// Path prefix, with a slash at both ends.
    pub(crate) prefix: Name,
    /// What may be repeated.
    pub(crate) kind: RouteKind,
    /// Longest time that a request is kept waiting.
    pub(crate) timeout: Option<Duration>,
    /// Time in which an answer, or the first event, is on time.
    pub(crate) latency_target: Option<Duration>,
    /// Longest pause between events that is on time.
    pub(crate) gap_target: Option<Duration>,
    /// Rank; 0 is first.
    pub(crate) priority: u8,
    /// Most replicas that one attempt of a client may run on.
    pub(crate) max_attempts: u32,
    /// Whether no key is needed.
    pub(crate) public: bool,
    /// Services with their weights.
    pub(crate) services: Vec<(Name, u32)>,
}

impl Route {
    /// The service for a request; `draw` is uniform over the weights' range.
    pub(crate) fn service(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self.services.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut at = draw % total.max(1);
        for (name, weight) in &self.services {
            match at.checked_sub(u64::from(*weight)) {
                Some(rest) => at = rest,
                None => return Some(name),
            }
        }
        self.services.first().map(|(name, _)| name)
    }
}

/// Published figures of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EngineFigures {
    /// Requests in one batch.
    pub(crate) slots: u32,
    /// Tokens that fit a replica's memory.
    pub(crate) kv_tokens: u64,
    /// Token steps of a pass.
    pub(crate) stride: u32,
    /// Milliseconds of a step without requests.
    pub(crate) step_ms: f64,
    /// Milliseconds that each running request adds to a step.
    pub(crate) sequence_ms: f64,
    /// Milliseconds that each 1,000 tokens of context add to a step.
    pub(crate) context_ms: f64,
    /// Prompt tokens read in a second.
    pub(crate) prefill_rate: f64,
    /// Prompt tokens read in one step at most.
    pub(crate) chunk: u32,
    /// Milliseconds until a group opens once all its ranks are back.
    pub(crate) form_ms: f64,
    /// Mean tokens of a prompt.
    pub(crate) mean_prompt: f64,
    /// Mean tokens of an answer.
    pub(crate) mean_answer: f64,
    /// Sizes of its expert maps; `None` where it has none.
    pub(crate) experts: Option<ExpertFigures>,
}

/// Sizes of the expert maps of a lock-step group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ExpertFigures {
    /// Sets of layers that share a layout.
    pub(crate) sets: u16,
    /// Experts of a set.
    pub(crate) experts: u16,
    /// Experts of a set that one rank may hold.
    pub(crate) rank_slots: u16,
    /// Experts of a set that one rank may copy at a time.
    pub(crate) spare_slots: u16,
}

/// A service that routes lead to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Service {
    /// Most connections that one replica takes from all callers together.
    pub(crate) connections: Option<u32>,
    /// Figures of its engine; `None` for a plain service.
    pub(crate) engine: Option<EngineFigures>,
}

/// A workspace, as its keys name it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Workspace {
    /// The workspace's name.
    pub(crate) name: Name,
    /// Rank that goes before the route's; 0 is first.
    pub(crate) priority: Option<u8>,
}

/// What a client may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ClientLimits {
    /// Bytes of a request's head.
    pub(crate) header_bytes: usize,
    /// Bytes of a request's body.
    pub(crate) body_bytes: usize,
    /// Time for a request's head.
    pub(crate) header_timeout: Duration,
    /// Time that a connection may be idle.
    pub(crate) idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            header_bytes: super::constants::HEADER_BYTES,
            body_bytes: super::constants::BODY_BYTES,
            header_timeout: super::constants::HEADER_TIMEOUT,
            idle_timeout: super::constants::IDLE_TIMEOUT,
        }
    }
}

/// What a configuration is made of.
#[derive(Clone, Debug)]
pub(crate) struct ConfigParts {
    /// Its version.
    pub(crate) version: u64,
    /// Routes by host.
    pub(crate) routes: Vec<(Name, Route)>,
    /// Services by name.
    pub(crate) services: IndexMap<Name, Service>,
    /// Workspaces by key; `None` where no route needs a key.
    pub(crate) workspaces: Option<IndexMap<Name, Arc<Workspace>>>,
    /// Limits of what clients may send.
    pub(crate) limits: ClientLimits,
}

/// A configuration, ready for look-ups.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    /// Its version; a lower one never replaces it.
    pub(crate) version: u64,
    /// Limits of what clients may send.
    pub(crate) limits: ClientLimits,
    /// Services by name.
    pub(crate) services: IndexMap<Name, Service>,
    hosts: IndexMap<Name, IndexMap<Name, Arc<Route>>>,
    workspaces: Option<IndexMap<Name, Arc<Workspace>>>,
}

/// What a key stands for.
#[derive(Clone, Debug)]
pub(crate) enum KeyOwner {
    /// The configuration names no workspaces.
    NotRequired,
    /// The workspace that holds the key.
    Known(Arc<Workspace>),
    /// No workspace holds the key.
    Unknown,
}

impl Config {
    /// Arranges the parts for look-ups.
    pub(crate) fn new(parts: ConfigParts) -> Self {
        let mut hosts: IndexMap<Name, IndexMap<Name, Arc<Route>>> = IndexMap::new();
        for (host, route) in parts.routes {
            hosts.entry(host).or_default().insert(route.prefix.clone(), Arc::new(route));
        }
        Self {
            version: parts.version,
            limits: parts.limits,
            services: parts.services,
            hosts,
            workspaces: parts.workspaces,
        }
    }

    /// The route with the longest prefix of `path` among those of `host`.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        // Prefixes end with a slash, so only the path's own slashes can end one.
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.into_iter().find_map(|end| routes.get(&path[..end]))
    }

    /// The workspace that holds `key`.
    pub(crate) fn key_owner(&self, key: &str) -> KeyOwner {
        match &self.workspaces {
            None => KeyOwner::NotRequired,
            Some(all) => all.get(key).map_or(KeyOwner::Unknown, |w| KeyOwner::Known(w.clone())),
        }
    }

    /// Whether requests need a key, but for those on public routes.
    pub(crate) fn needs_keys(&self) -> bool {
        self.workspaces.is_some()
    }

    /// Number of routes.
    pub(crate) fn route_count(&self) -> usize {
        self.hosts.values().map(IndexMap::len).sum()
    }
}
