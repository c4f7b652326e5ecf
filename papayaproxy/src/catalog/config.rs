//! The operator's configuration: routes, services, workspaces and client limits.

use crate::base::name::Name;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Whether a request that may have run can be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// Not idempotent: runs at most once per client request.
    Unsafe,
    /// An event stream; continues on another replica only if it is resumable.
    Stream {
        /// Whether replicas can resume after the last event that the caller received.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be retried.
    pub(crate) fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Whether the response is an event stream.
    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Routing of the requests for one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Route {
    pub(crate) name: Name,
    /// Path prefix; begins and ends with a slash.
    pub(crate) prefix: Name,
    pub(crate) kind: RouteKind,
    /// Limit of a request's total time; `None` if the route sets none.
    pub(crate) timeout: Option<Duration>,
    /// Target for the time to the response, or to the first event; `None` if the route sets none.
    pub(crate) latency_target: Option<Duration>,
    /// Target for the gap between two events of a stream; `None` if the route sets none.
    pub(crate) gap_target: Option<Duration>,
    /// 0 is the highest.
    pub(crate) priority: u8,
    /// Limit of the attempts of one client request that may have run; at least 1.
    pub(crate) max_attempts: u32,
    /// Whether requests need no API key.
    pub(crate) public: bool,
    /// Services with their traffic weights.
    pub(crate) services: Vec<(Name, u32)>,
}

impl Route {
    /// The service for a request, by weight; `None` without services. `draw` is a uniform random
    /// number.
    pub(crate) fn service(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self.services.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut offset = draw % total.max(1);
        for (name, weight) in &self.services {
            match offset.checked_sub(u64::from(*weight)) {
                Some(rest) => offset = rest,
                None => return Some(name),
            }
        }
        self.services.first().map(|(name, _)| name)
    }
}

/// Published performance figures of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EngineFigures {
    /// Largest batch, in requests.
    pub(crate) slots: u32,
    /// Capacity of a replica's KV cache, in tokens.
    pub(crate) kv_tokens: u64,
    /// Decode steps of one pass.
    pub(crate) stride: u32,
    /// Base duration of a step, in milliseconds.
    pub(crate) step_ms: f64,
    /// Duration that each running request adds to a step, in milliseconds.
    pub(crate) sequence_ms: f64,
    /// Duration that every 1,000 context tokens add to a step, in milliseconds.
    pub(crate) context_ms: f64,
    /// Prompt tokens processed per second.
    pub(crate) prefill_rate: f64,
    /// Most prompt tokens processed in one step.
    pub(crate) chunk: u32,
    /// Time from the return of a group's last rank until the group opens, in milliseconds.
    pub(crate) form_ms: f64,
    /// Mean prompt length, in tokens.
    pub(crate) mean_prompt: f64,
    /// Mean output length, in tokens.
    pub(crate) mean_answer: f64,
    /// Dimensions of the expert maps; `None` for an engine without experts.
    pub(crate) experts: Option<ExpertFigures>,
}

/// Dimensions of a lock-step group's expert maps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ExpertFigures {
    /// Number of layer sets; the layers of a set share one expert placement.
    pub(crate) sets: u16,
    /// Experts per set.
    pub(crate) experts: u16,
    /// Experts of a set that one rank can hold.
    pub(crate) rank_slots: u16,
    /// Experts of a set that one rank can copy at a time.
    pub(crate) spare_slots: u16,
    /// Time in which a rank copies one expert, in microseconds.
    pub(crate) copy_us: u32,
    /// Requests that one rank runs at a time.
    pub(crate) rank_requests: u32,
}

impl ExpertFigures {
    /// Time in which a rank copies one expert.
    pub(crate) fn copy_time(&self) -> Duration {
        Duration::from_micros(self.copy_us.into())
    }

    /// Whether maps of these sizes can be planned: every count is above 0.
    pub(crate) fn is_valid(&self) -> bool {
        self.sets > 0 && self.experts > 0 && self.rank_slots > 0 && self.rank_requests > 0
    }
}

/// A service that routes refer to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Service {
    /// Most connections that one replica accepts from all callers together; `None` if unlimited.
    pub(crate) connections: Option<u32>,
    /// `None` if its replicas take full load from their start on.
    pub(crate) warm_up: Option<WarmUp>,
    /// `None` for a service without a model engine.
    pub(crate) engine: Option<EngineFigures>,
}

/// Load that the replicas of a service take while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct WarmUp {
    /// Time for which a replica is cold after its start.
    pub(crate) time: Duration,
    /// Requests a second that a cold replica takes; above 0.
    pub(crate) per_second: f64,
}

/// A workspace, looked up by any of its API keys.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Workspace {
    pub(crate) name: Name,
    /// Overrides the route's priority; 0 is the highest.
    pub(crate) priority: Option<u8>,
}

/// Limits on client connections and requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ClientLimits {
    /// Largest request head.
    pub(crate) header_bytes: usize,
    /// Largest request body.
    pub(crate) body_bytes: usize,
    /// Time in which a request's head must arrive.
    pub(crate) header_timeout: Duration,
    /// Time for which a connection may be idle.
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

/// The parsed parts of a configuration.
#[derive(Clone, Debug)]
pub(crate) struct ConfigParts {
    pub(crate) version: u64,
    /// Routes, each with its host.
    pub(crate) routes: Vec<(Name, Route)>,
    /// Services by name.
    pub(crate) services: IndexMap<Name, Service>,
    /// Workspaces by API key; `None` if no route needs a key.
    pub(crate) workspaces: Option<IndexMap<Name, Arc<Workspace>>>,
    pub(crate) limits: ClientLimits,
}

/// A configuration indexed for look-ups.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    /// A configuration is never replaced by one with a lower version.
    pub(crate) version: u64,
    pub(crate) limits: ClientLimits,
    /// Services by name.
    pub(crate) services: IndexMap<Name, Service>,
    hosts: IndexMap<Name, IndexMap<Name, Arc<Route>>>,
    /// Services that get requests of more than one priority.
    ranked: IndexSet<Name>,
    workspaces: Option<IndexMap<Name, Arc<Workspace>>>,
}

/// The result of looking up an API key.
#[derive(Clone, Debug)]
pub(crate) enum KeyOwner {
    /// The configuration has no workspaces, so requests need no key.
    NotRequired,
    /// The workspace that owns the key.
    Known(Arc<Workspace>),
    /// No workspace owns the key.
    Unknown,
}

impl Config {
    /// Indexes routes by host and path prefix.
    pub(crate) fn new(parts: ConfigParts) -> Self {
        let mut hosts: IndexMap<Name, IndexMap<Name, Arc<Route>>> = IndexMap::new();
        let mut priorities: IndexMap<Name, IndexSet<u8>> = IndexMap::new();
        for (host, route) in parts.routes {
            for (service, _) in &route.services {
                priorities.entry(service.clone()).or_default().insert(route.priority);
            }
            hosts.entry(host).or_default().insert(route.prefix.clone(), Arc::new(route));
        }
        let all = parts.workspaces.iter().flat_map(IndexMap::values);
        let of_workspaces: IndexSet<Option<u8>> = all.map(|w| w.priority).collect();
        let is_ranked = |of_routes: &IndexSet<u8>| of_routes.len() > 1 || of_workspaces.len() > 1;
        priorities.retain(|_, of_routes| is_ranked(of_routes));
        let ranked = priorities.into_keys().collect();
        Self {
            version: parts.version,
            limits: parts.limits,
            services: parts.services,
            hosts,
            ranked,
            workspaces: parts.workspaces,
        }
    }

    /// The route of `host` with the longest prefix of `path`.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        // Prefixes end with a slash, so only prefixes that end at a slash of the path can match.
        let ends = path.rmatch_indices('/').map(|(index, _)| index + 1);
        ends.into_iter().find_map(|end| routes.get(&path[..end]))
    }

    /// Whether requests to `service` have different priorities.
    pub(crate) fn is_ranked(&self, service: &str) -> bool {
        self.ranked.contains(service)
    }

    /// Looks up the workspace that owns `key`.
    pub(crate) fn key_owner(&self, key: &str) -> KeyOwner {
        match &self.workspaces {
            None => KeyOwner::NotRequired,
            Some(all) => all.get(key).map_or(KeyOwner::Unknown, |w| KeyOwner::Known(w.clone())),
        }
    }

    /// Whether requests on routes that are not public need an API key.
    pub(crate) fn needs_keys(&self) -> bool {
        self.workspaces.is_some()
    }

    /// Routes of all hosts.
    pub(crate) fn route_count(&self) -> usize {
        self.hosts.values().map(IndexMap::len).sum()
    }
}
