//! Polls the upstream's load report.

use super::client::UpstreamClient;
use super::constants::{LOAD_INTERVAL, LOAD_TIMEOUT};
use super::events;
use crate::base::name::Name;
use crate::membership::{LoadReport, LoadedModel};
use http_body_util::{BodyExt, Limited};
use hyper::Method;
use serde::Deserialize;
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval, timeout};

/// Largest load report, in bytes.
const REPORT_BYTES_MAX: usize = 64 << 10;

/// Load report in the JSON form of the engine; the keys are its field names.
#[derive(Deserialize)]
struct EngineLoad {
    sequence: u64,
    age_ms: u64,
    queued: u32,
    running: u32,
    slots: u32,
    waiting_tokens: u32,
    kv_permille: u16,
    step_us: u64,
    #[serde(default)]
    loaded: Vec<EngineModel>,
}

#[derive(Deserialize)]
struct EngineModel {
    model: String,
    version: u32,
    #[serde(default)]
    adapters: Vec<String>,
}

impl From<EngineLoad> for LoadReport {
    fn from(load: EngineLoad) -> Self {
        Self {
            sequence: load.sequence,
            age: Duration::from_millis(load.age_ms),
            queued: load.queued,
            running: load.running,
            slots: load.slots,
            waiting_tokens: load.waiting_tokens,
            kv_permille: load.kv_permille,
            step: Duration::from_micros(load.step_us),
            loaded: load.loaded.into_iter().map(LoadedModel::from).collect(),
        }
    }
}

impl From<EngineModel> for LoadedModel {
    fn from(model: EngineModel) -> Self {
        Self {
            model: model.model.into(),
            version: model.version,
            adapters: model.adapters.into_iter().map(Name::from).collect(),
        }
    }
}

/// Polls load reports until dropped, and passes each to `on_report`.
pub(crate) async fn poll_load(
    upstream: Name,
    client: UpstreamClient,
    on_report: impl Fn(LoadReport),
) {
    let mut ticks = interval(LOAD_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut was_readable = true;
    loop {
        ticks.tick().await;
        let report = timeout(LOAD_TIMEOUT, read_load(&client)).await.ok().flatten();
        if was_readable && report.is_none() {
            tracing::warn!(event = events::LOAD_UNREADABLE, %upstream, "cannot read the load report");
        }
        was_readable = report.is_some();
        if let Some(report) = report {
            on_report(report);
        }
    }
}

async fn read_load(client: &UpstreamClient) -> Option<LoadReport> {
    let request = client.empty_request(Method::GET, "/v1/load").ok()?;
    let response = client.send(request).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let body = Limited::new(response.into_body(), REPORT_BYTES_MAX).collect().await.ok()?;
    let load: EngineLoad = serde_json::from_slice(&body.to_bytes()).ok()?;
    Some(load.into())
}
