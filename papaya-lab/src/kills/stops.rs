//! Planned stops of one engine and one ledger at a time, under steady load with long streams.

use super::rig::{Layout, Rig, credential, stream_call};
use crate::load::{ModelTarget, PlainTarget, Plan, run_plan};
use serde::Serialize;
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// One of three ledgers and one of four engines leaves.
const LAYOUT: Layout = Layout {
    plains: 3,
    ledgers: 3,
    engines: 4,
    move_after: Duration::from_millis(1500),
    patience: Duration::from_millis(500),
};

/// How long the runs of a leaving upstream are watched; the limit is 3 s.
const WATCHED: Duration = Duration::from_secs(4);

/// Wait between two looks at the counts.
const LOOK: Duration = Duration::from_millis(5);

/// Time in which two agents are replaced, so that the load lasts as long as the stops.
const RENEWED: Duration = Duration::from_millis(3500);

/// Time for which an upstream that is back takes work before the next leaves.
const BACK: Duration = Duration::from_secs(1);

/// Time in which an entry is replaced, its streams in progress included.
const ENTRY_RENEWED: Duration = Duration::from_secs(9);

/// Streams in progress at an entry that is asked to stop.
const ENTRY_STREAMS: usize = 5;

/// Their deadline.
const STREAM_DEADLINE: Duration = Duration::from_secs(15);

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
    /// Seconds from asking an entry to stop to another being ready in its place.
    pub(crate) entry_seconds: Vec<f64>,
    /// Streams in progress at an entry that was asked to stop, by what came of them.
    pub(crate) entry_streams: BTreeMap<String, u64>,
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
        let whole = self.entry_streams.keys().all(|name| name == "completed");
        all && whole && seconds.all(|s| *s <= limit.as_secs_f64())
    }
}

/// Makes `stops` planned stops one after the other.
pub(crate) async fn run_stops(stops: usize, seed: u64) -> io::Result<StopReport> {
    let mut rig = Rig::open(LAYOUT).await?;
    let duration = (WATCHED + BACK + RENEWED + ENTRY_RENEWED) * stops as u32;
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
        let since = Instant::now();
        stop_entry(&mut rig, stop, &mut report).await?;
        report.entry_seconds.push(since.elapsed().as_secs_f64());
    }
    let load = load.await.map_err(io::Error::other)?;
    report.continued = rig.engines.iter().map(|e| e.counts().continued).sum();
    report.sent = load.sent;
    report.outcomes = load.outcomes.into_iter().collect();
    report.codes = load.codes.into_iter().collect();
    Ok(report)
}

/// Stops the second entry, which the load does not use, with streams in progress on it.
async fn stop_entry(rig: &mut Rig, stop: usize, report: &mut StopReport) -> io::Result<()> {
    let mut streams = JoinSet::new();
    for i in 0..ENTRY_STREAMS {
        let client = rig.caller(1).client().clone();
        let call = stream_call(format!("stop {stop} stream {i}"), PIECES, STREAM_DEADLINE);
        streams.spawn(async move { call.run(&client, Instant::now()).await });
    }
    sleep(BACK / 4).await;
    rig.renew_entry(1).await?;
    while let Some(sample) = streams.join_next().await {
        let verdict = sample.map_err(io::Error::other)?.verdict;
        *report.entry_streams.entry(verdict.as_str().to_owned()).or_default() += 1;
    }
    Ok(())
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
        entries: rig.entries()[..1].to_vec(),
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
