//! Planned stops of one engine and one ledger at a time, under steady load with long streams.

use super::rig::{Layout, Rig, credential};
use crate::load::{ModelTarget, PlainTarget, Plan, run_plan};
use serde::Serialize;
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// One of three ledgers and one of four engines leaves.
const LAYOUT: Layout =
    Layout { plains: 3, ledgers: 3, engines: 4, move_after: Duration::from_millis(1500) };

/// How long the runs of a leaving upstream are watched; the limit is 3 s.
const WATCHED: Duration = Duration::from_secs(4);

/// Wait between two looks at the counts.
const LOOK: Duration = Duration::from_millis(5);

/// Time in which two agents are replaced, so that the load lasts as long as the stops.
const RENEWED: Duration = Duration::from_millis(3500);

/// Time for which an upstream that is back takes work before the next leaves.
const BACK: Duration = Duration::from_secs(1);

/// Pieces of a long answer; at 4 ms and more a piece it outlasts `move_after`.
const PIECES: u32 = 800;

/// Calls a second; one in a hundred is a stream.
const RATE: f64 = 200.0;
const MODEL_SHARE: f64 = 0.02;

/// What the stops of one run showed.
#[derive(Debug, Default, Serialize)]
pub(crate) struct StopReport {
    /// Seconds from publishing to the last new work of the leaving engine, by stop.
    pub(crate) engine_seconds: Vec<f64>,
    /// The same of the leaving ledger.
    pub(crate) ledger_seconds: Vec<f64>,
    /// Seconds from asking the two agents to stop to others being ready in their place.
    pub(crate) renew_seconds: Vec<f64>,
    /// Streams that another engine went on with.
    pub(crate) continued: u64,
    /// Calls sent.
    pub(crate) sent: u64,
    /// Calls by what came of them.
    pub(crate) outcomes: BTreeMap<String, u64>,
    /// Calls by result code.
    pub(crate) codes: BTreeMap<String, u64>,
}

impl StopReport {
    /// Whether nothing was cut and no work came later than `limit`.
    pub(crate) fn holds(&self, limit: Duration) -> bool {
        let all = self.outcomes.get("completed") == Some(&self.sent);
        let mut seconds = self.engine_seconds.iter().chain(&self.ledger_seconds);
        all && seconds.all(|s| *s <= limit.as_secs_f64())
    }
}

/// Makes `stops` planned stops one after the other.
pub(crate) async fn run_stops(stops: usize, seed: u64) -> io::Result<StopReport> {
    let mut rig = Rig::open(LAYOUT).await?;
    let duration = (WATCHED + BACK + RENEWED + BACK) * stops as u32;
    let plan = plan(&rig, duration, seed);
    let load = tokio::spawn(async move { run_plan(&plan, |_| {}).await });
    let mut report = StopReport::default();
    sleep(BACK).await;
    for stop in 0..stops {
        let (ledger, engine) = (stop % LAYOUT.ledgers, stop % LAYOUT.engines);
        rig.publish(&[ledger, LAYOUT.ledgers + engine]);
        let last = watch(&rig, ledger, engine).await;
        report.ledger_seconds.push(last.ledger.as_secs_f64());
        report.engine_seconds.push(last.engine.as_secs_f64());
        rig.publish(&[]);
        sleep(BACK).await;
        // Their agents are replaced too, without a word in the document.
        let since = Instant::now();
        rig.renew_agents(ledger, LAYOUT.ledgers + engine).await?;
        report.renew_seconds.push(since.elapsed().as_secs_f64());
        sleep(BACK).await;
    }
    let load = load.await.map_err(io::Error::other)?;
    report.continued = rig.engines.iter().map(|e| e.counts().continued).sum();
    report.sent = load.sent;
    report.outcomes = load.outcomes.into_iter().collect();
    report.codes = load.codes.into_iter().collect();
    Ok(report)
}

/// When new work came last.
struct Last {
    ledger: Duration,
    engine: Duration,
}

async fn watch(rig: &Rig, ledger: usize, engine: usize) -> Last {
    let published = Instant::now();
    let mut last = Last { ledger: Duration::ZERO, engine: Duration::ZERO };
    let counts = || {
        let ledger = rig.plains[ledger].counts().total.started;
        (ledger, rig.engines[engine].counts().taken)
    };
    let mut before = counts();
    while published.elapsed() < WATCHED {
        sleep(LOOK).await;
        let now = counts();
        if now.0 > before.0 {
            last.ledger = published.elapsed();
        }
        if now.1 > before.1 {
            last.engine = published.elapsed();
        }
        before = now;
    }
    last
}

fn plan(rig: &Rig, duration: Duration, seed: u64) -> Plan {
    let model = ModelTarget {
        service: "assistant".to_owned(),
        model: "pear".to_owned(),
        version: 1,
        tokens: PIECES,
        prompt: 200,
        prefixes: 4,
    };
    Plan {
        entries: rig.entries(),
        workspaces: vec![credential()],
        rate: RATE,
        duration,
        model: Some(model),
        plain: Some(PlainTarget { service: "ledger".to_owned(), keyed: false }),
        model_share: MODEL_SHARE,
        deadline: Duration::from_secs(20),
        in_flight: 2000,
        seed,
        label: format!("stops-{seed}"),
    }
}
