//! Time of one decision with 16, 100 and 600 candidates, and memory of the limits per workspace.

#![allow(missing_docs, reason = "criterion_group! generates undocumented functions")]

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use papayaproxy::Name;
use papayaproxy::fleet::{Document, Fencing, Kind, Role, Service, Upstream, Zone};
use papayaproxy::limits::{Admission, AdmissionDecision, Offer, RetryBudget};
use papayaproxy::membership::{LoadReport, LoadedModel};
use papayaproxy::routing::{
    AttemptOutcome, Candidates, ModelKey, Moment, Presence, Request, Router, Settings,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// Blocks of the prompt.
const BLOCKS: u64 = 40;

fn document(count: usize) -> Document {
    let mut document = Document { generation: 1, ..Document::default() };
    for zone in 0..6 {
        let region = if zone < 3 { "east" } else { "west" };
        document.zones.insert(format!("zone-{zone}").into(), Zone { region: region.into() });
    }
    let kind = Kind::Model("pear".into());
    let service = Service { kind, idempotent: true, deadline: Duration::from_secs(10) };
    document.services.insert("assistant".into(), service);
    for index in 0..count {
        let upstream = Upstream {
            zone: format!("zone-{}", index % 6).into(),
            agent: SocketAddr::from(([127, 0, 0, 1], 9000 + index as u16)),
            services: vec!["assistant".into()],
            role: Role::Mixed,
            open: true,
            leaves: None,
            fencing: Fencing::Checked,
        };
        document.upstreams.insert(format!("upstream-{index}").into(), upstream);
    }
    document
}

fn router(count: usize) -> Router {
    let mut router = Router::new(Settings::default());
    let presence = |_: &Name| Presence { live: true, incarnation: None };
    let candidates = Candidates::prepare(&document(count), &"zone-0".into(), presence);
    router.set_candidates(Arc::new(candidates), Duration::ZERO);
    router.set_live_entries(9);
    let loaded = LoadedModel { model: "pear".into(), version: 1, adapters: vec!["ripe".into()] };
    for index in 0..count {
        let report = LoadReport {
            running: index as u32 % 30,
            slots: 32,
            step: Duration::from_millis(20),
            loaded: vec![loaded.clone()],
            ..LoadReport::default()
        };
        router.apply_report(index as u32, &report, Duration::ZERO);
    }
    router
}

fn bench_decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    let (service, workspace) = (Name::from("assistant"), Name::from("cellar"));
    for count in [16, 100, 600] {
        for blocks in [0, BLOCKS] {
            let mut router = router(count);
            let mut rng = SmallRng::seed_from_u64(1);
            let prefix: Vec<u64> = (1..=blocks).map(|i| i.wrapping_mul(0x9e37_79b9_7f4a)).collect();
            let request = Request {
                service: &service,
                model: Some(ModelKey::new("pear", 1, None)),
                role: Role::Mixed,
                workspace: &workspace,
                prefix: &prefix,
                prompt_tokens: 2600,
                output_tokens: 100,
                time_left: Duration::from_secs(10),
                excluded: &[],
            };
            let at = Moment { now: Duration::from_secs(1), wall: SystemTime::UNIX_EPOCH };
            for _ in 0..20 {
                let chosen =
                    router.choose(&request, at, &mut rng).expect("the upstreams have free slots");
                let ticket = router.record_sent(&chosen, &request, at.now);
                router.record_end(
                    ticket,
                    AttemptOutcome::Completed { cached_tokens: None },
                    at.now,
                );
            }
            let name = BenchmarkId::new(format!("{blocks} blocks"), count);
            group.bench_function(name, |b| {
                b.iter(|| black_box(router.choose(black_box(&request), at, &mut rng)));
            });
        }
    }
    group.finish();
}

/// Active workspaces of the largest fleet that is planned for.
const WORKSPACES: u64 = 13_000;

/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4096;

/// Resident memory of this process, in bytes.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn measure_memory(_: &mut Criterion) {
    let before = resident();
    let mut gate = Admission::new(20_000);
    let mut retries = RetryBudget::default();
    for id in 0..WORKSPACES {
        let workspace = Name::from(format!("workspace-{id}"));
        retries.earn(&workspace);
        let offer = Offer {
            id,
            workspace,
            share: 1,
            priority: 5,
            deadline: Duration::from_secs(10),
            min_runtime: Duration::ZERO,
            cost: 1000,
        };
        assert_eq!(gate.offer(offer, Duration::ZERO), AdmissionDecision::Admit);
    }
    let bytes = resident() - before;
    println!(
        "limits with {WORKSPACES} workspaces active: {} resident bytes each",
        bytes / WORKSPACES
    );
    black_box((&gate, &retries));
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(50).measurement_time(Duration::from_secs(2));
    targets = measure_memory, bench_decision
}
criterion_main!(benches);
