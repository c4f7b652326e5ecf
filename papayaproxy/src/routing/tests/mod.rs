//! Tests of routing.

mod cache;
mod choice;
mod random;

use super::candidates::{Candidates, Presence};
use super::decision::Decision;
use super::request::{ModelKey, Moment, Request};
use super::router::Router;
use super::settings::Settings;
use crate::base::name::{Incarnation, Name};
use crate::fleet::{Document, Fencing, Group, Kind, Leave, Role, Service, Upstream, Zone};
use crate::membership::{LoadReport, LoadedModel};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

const ENGINES: usize = 6;

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn moment(seconds: f64) -> Moment {
    let now = secs(seconds);
    Moment { now, wall: SystemTime::UNIX_EPOCH + now }
}

fn upstream(index: usize, service: &str) -> Upstream {
    Upstream {
        zone: format!("zone-{}", index % 3).into(),
        agent: SocketAddr::from(([127, 0, 0, 1], 9000 + index as u16)),
        services: vec![service.into()],
        role: Role::Mixed,
        open: true,
        leaves: None,
        fencing: Fencing::Checked,
    }
}

/// Six engines and three upstreams of a plain service, in three zones of two regions.
fn document() -> Document {
    let mut document = Document { generation: 1, ..Document::default() };
    for (zone, region) in [("zone-0", "east"), ("zone-1", "east"), ("zone-2", "west")] {
        document.zones.insert(zone.into(), Zone { region: region.into() });
    }
    let deadline = secs(10.0);
    let model = Service { kind: Kind::Model("pear".into()), idempotent: true, deadline };
    let plain = Service { kind: Kind::Plain, idempotent: true, deadline };
    document.services.insert("assistant".into(), model);
    document.services.insert("ledger".into(), plain);
    for index in 0..ENGINES {
        document.upstreams.insert(name_of(index), upstream(index, "assistant"));
    }
    for index in ENGINES..ENGINES + 3 {
        document.upstreams.insert(name_of(index), upstream(index, "ledger"));
    }
    document
}

fn name_of(index: usize) -> Name {
    format!("upstream-{index}").into()
}

fn set_leaving(document: &mut Document, index: usize) {
    let from = SystemTime::UNIX_EPOCH;
    let leave = Leave { from, until: from + secs(1e6) };
    document.upstreams[index].leaves = Some(leave);
}

fn add_group(document: &mut Document, ranks: &[usize]) {
    let group = Group {
        model: "pear".into(),
        ranks: ranks.iter().map(|&i| name_of(i)).collect(),
        layers: 1,
        experts: 8,
        slots: 4,
        skew_weight: 1.0,
        move_weight: 1.0,
    };
    document.groups.insert("group-0".into(), group);
}

fn report() -> LoadReport {
    let loaded = LoadedModel { model: "pear".into(), version: 1, adapters: vec!["ripe".into()] };
    let step = Duration::from_millis(20);
    LoadReport { slots: 32, step, loaded: vec![loaded], ..LoadReport::default() }
}

fn candidates(document: &Document, incarnation: u64) -> Arc<Candidates> {
    let presence = |_: &Name| Presence { live: true, incarnation: Some(Incarnation(incarnation)) };
    Arc::new(Candidates::prepare(document, &"zone-0".into(), presence))
}

/// A router with the inputs of its requests.
struct Fixture {
    router: Router,
    rng: StdRng,
    service: Name,
    workspace: Name,
}

impl Fixture {
    fn new(document: &Document) -> Self {
        let mut router = Router::new(Settings::default());
        router.set_candidates(candidates(document, 1), Duration::ZERO);
        (0..ENGINES as u32 + 3).for_each(|i| router.apply_report(i, &report(), Duration::ZERO));
        let rng = StdRng::seed_from_u64(7);
        Self { router, rng, service: "assistant".into(), workspace: "cellar".into() }
    }

    fn request(&self) -> Request<'_> {
        Request {
            service: &self.service,
            model: Some(ModelKey::new("pear", 1, None)),
            role: Role::Mixed,
            workspace: &self.workspace,
            prefix: &[],
            prompt_tokens: 500,
            output_tokens: 100,
            time_left: secs(20.0),
            excluded: &[],
        }
    }

    /// Chooses an upstream for the default request as modified by `change`.
    fn choose(
        &mut self,
        at: Moment,
        change: impl FnOnce(&mut Request<'_>),
    ) -> Result<Decision, super::Refusal> {
        let (service, workspace) = (self.service.clone(), self.workspace.clone());
        let mut request =
            Request { service: &service, workspace: &workspace, ..self.request().detached() };
        change(&mut request);
        self.router.choose(&request, at, &mut self.rng)
    }
}

impl Request<'_> {
    /// Copies the scalar fields; the borrowed fields are empty, for the caller to set.
    fn detached<'a>(&self) -> Request<'a> {
        static NAME: Name = arcstr::literal!("");
        Request {
            service: &NAME,
            workspace: &NAME,
            prefix: &[],
            excluded: &[],
            model: self.model,
            role: self.role,
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            time_left: self.time_left,
        }
    }
}
