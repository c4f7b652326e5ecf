//! Decodes the operator's configuration from its JSON form.

use crate::base::name::Name;
use crate::catalog::{
    ClientLimits, Config, ConfigParts, EngineFigures, ExpertFigures, Route, RouteKind, Service,
    WarmUp, Workspace,
};
use indexmap::IndexMap;
use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;

#[derive(Deserialize)]
struct WireConfig {
    version: u64,
    #[serde(default)]
    routes: Vec<WireRoute>,
    #[serde(default)]
    services: Vec<WireService>,
    limits: Option<WireLimits>,
    tenants: Option<Vec<WireTenant>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireRoute {
    #[serde(default)]
    name: String,
    host: String,
    path_prefix: String,
    /// Which requests may be retried; it does not say where the route leads.
    #[serde(default)]
    route_type: String,
    timeout_ms: Option<f64>,
    target_latency_ms: Option<f64>,
    gap_target_ms: Option<f64>,
    priority: Option<u8>,
    service: Option<String>,
    /// Weighted services of the route. If there are any, `service` is ignored.
    #[serde(default)]
    backends: Vec<WireShare>,
    max_attempts: Option<u32>,
    /// Whether requests are accepted without a key.
    #[serde(default)]
    public: bool,
    #[serde(default)]
    stream_resume: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireShare {
    service: String,
    #[serde(default)]
    backend_weight: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireService {
    name: String,
    max_conns: Option<u32>,
    /// Time for which a replica is cold after its start, in seconds.
    warmup_s: Option<f64>,
    /// Requests a second that a cold replica takes; 0 if it is not limited.
    cold_per_s: Option<f64>,
    /// Performance figures of the model engine, not its name.
    engine_name: Option<WireEngine>,
}

#[derive(Deserialize)]
struct WireEngine {
    #[serde(default)]
    slots: u32,
    /// Tokens that fit into the memory of a replica.
    #[serde(default, rename = "kvTokens")]
    kv_tokens: u64,
    /// Token steps per pass.
    #[serde(default)]
    stride: u32,
    #[serde(default)]
    step_ms: f64,
    #[serde(default)]
    per_seq_ms: f64,
    #[serde(default)]
    context_per_k: f64,
    #[serde(default)]
    read_per_s: f64,
    #[serde(default)]
    chunk: u32,
    #[serde(default)]
    form_ms: f64,
    usual: Option<WireUsual>,
    #[serde(default)]
    sets: u16,
    /// Experts per set.
    #[serde(default)]
    experts: u16,
    #[serde(default)]
    placements: u16,
    #[serde(default, rename = "spareSlots")]
    spare_slots: u16,
    /// Size of one expert of one set.
    #[serde(default, rename = "expertMb")]
    expert_mb: f64,
    /// Bandwidth for copies between ranks.
    #[serde(default, rename = "linkMbps")]
    link_mbps: f64,
}

#[derive(Deserialize)]
struct WireUsual {
    #[serde(default)]
    prompt: f64,
    #[serde(default)]
    answer: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireLimits {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<f64>,
    idle_timeout_ms: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireTenant {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u8>,
}

/// Decodes a configuration.
///
/// # Errors
/// The JSON is malformed, or a required field is missing or invalid.
pub(crate) fn parse(bytes: &[u8]) -> Result<Config, serde_json::Error> {
    let wire: WireConfig = serde_json::from_slice(bytes)?;
    let has_tenants = wire.tenants.is_some();
    let mut workspaces = IndexMap::new();
    for tenant in wire.tenants.into_iter().flatten() {
        let workspace = Arc::new(Workspace { name: tenant.name.into(), priority: tenant.priority });
        for key in tenant.api_keys {
            workspaces.insert(key.into(), workspace.clone());
        }
    }
    Ok(Config::new(ConfigParts {
        version: wire.version,
        routes: wire.routes.into_iter().map(decode_route).collect(),
        services: wire.services.into_iter().map(decode_service).collect(),
        workspaces: has_tenants.then_some(workspaces),
        limits: wire.limits.map_or_else(ClientLimits::default, decode_limits),
    }))
}

fn decode_route(wire: WireRoute) -> (Name, Route) {
    let kind = match wire.route_type.as_str() {
        "safe" => RouteKind::Safe,
        "streaming" => RouteKind::Stream { resumable: wire.stream_resume },
        // Requests of an unknown type are never retried after they may have run.
        _ => RouteKind::Unsafe,
    };
    let mut services: Vec<(Name, u32)> =
        wire.backends.into_iter().map(|s| (s.service.into(), s.backend_weight)).collect();
    if services.is_empty() {
        services.extend(wire.service.map(|s| (s.into(), 1)));
    }
    let route = Route {
        name: wire.name.into(),
        prefix: wire.path_prefix.into(),
        kind,
        timeout: wire.timeout_ms.and_then(duration_from_ms),
        latency_target: wire.target_latency_ms.and_then(duration_from_ms),
        gap_target: wire.gap_target_ms.and_then(duration_from_ms),
        priority: wire.priority.unwrap_or_default(),
        max_attempts: wire.max_attempts.unwrap_or(1).max(1),
        public: wire.public,
        services,
    };
    (wire.host.to_ascii_lowercase().into(), route)
}

fn decode_service(wire: WireService) -> (Name, Service) {
    let engine = wire.engine_name.map(|e| EngineFigures {
        slots: e.slots,
        kv_tokens: e.kv_tokens,
        stride: e.stride.max(1),
        step_ms: e.step_ms,
        sequence_ms: e.per_seq_ms,
        context_ms: e.context_per_k,
        prefill_rate: e.read_per_s,
        chunk: e.chunk,
        form_ms: e.form_ms,
        mean_prompt: e.usual.as_ref().map_or(0.0, |u| u.prompt),
        mean_answer: e.usual.as_ref().map_or(0.0, |u| u.answer),
        experts: Some(decode_experts(&e)).filter(ExpertFigures::is_valid),
    });
    let warm_up = decode_warm_up(wire.warmup_s, wire.cold_per_s);
    (wire.name.into(), Service { connections: wire.max_conns, warm_up, engine })
}

fn decode_warm_up(seconds: Option<f64>, per_second: Option<f64>) -> Option<WarmUp> {
    let time = duration_from_ms(seconds? * 1000.0)?;
    let per_second = per_second.filter(|rate| rate.is_finite() && *rate > 0.0)?;
    Some(WarmUp { time, per_second })
}

fn decode_experts(wire: &WireEngine) -> ExpertFigures {
    // 8 bits a byte, and 1,000,000 microseconds a second.
    let copy_us = wire.expert_mb * 8.0 / wire.link_mbps.max(1.0) * 1_000_000.0;
    ExpertFigures {
        sets: wire.sets,
        experts: wire.experts,
        rank_slots: wire.placements,
        spare_slots: wire.spare_slots,
        // A conversion from a float saturates.
        copy_us: copy_us as u32,
        rank_requests: wire.slots,
    }
}

fn decode_limits(wire: WireLimits) -> ClientLimits {
    let default = ClientLimits::default();
    ClientLimits {
        header_bytes: wire.max_header_bytes.unwrap_or(default.header_bytes),
        body_bytes: wire.max_body_bytes.unwrap_or(default.body_bytes),
        header_timeout: wire
            .header_timeout_ms
            .and_then(duration_from_ms)
            .unwrap_or(default.header_timeout),
        idle_timeout: wire
            .idle_timeout_ms
            .and_then(duration_from_ms)
            .unwrap_or(default.idle_timeout),
    }
}

fn duration_from_ms(value: f64) -> Option<Duration> {
    Duration::try_from_secs_f64(value / 1000.0).ok().filter(|d| !d.is_zero())
}
