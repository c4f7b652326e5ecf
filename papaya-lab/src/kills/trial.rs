//! One kill: a call, a process killed at one of its steps, and all that was told afterwards.

use super::caller::{Caller, Told};
use super::daemon::Signal;
use super::report::{Report, Step};
use super::rig::{LOOK, Layout, Process, Rig, stream_call};
use super::rules::check_rules;
use crate::load::Verdict;
use crate::plain::Runs;
use bytes::Bytes;
use hyper::Method;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::io;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Longest wait for a call to come to the step at which a process is killed.
const STEP_LIMIT: Duration = Duration::from_secs(1);

/// How long a paused process is paused; longer than any deadline of the rig.
const PAUSE: Duration = Duration::from_millis(2500);

/// Both ledgers stand before one plain service, which counts every run.
const LAYOUT: Layout = Layout {
    plains: 1,
    ledgers: 2,
    engines: 2,
    move_after: Duration::from_secs(20),
    patience: Duration::ZERO,
};

/// Deadline of a streamed answer.
const STREAM_DEADLINE: Duration = Duration::from_secs(8);

/// Pieces of a streamed answer.
const PIECES: u32 = 40;

/// What was told of one call.
pub(crate) struct Record {
    pub(crate) number: u64,
    pub(crate) step: Step,
    pub(crate) process: Process,
    pub(crate) key: Option<String>,
    /// Names the call to the plain service, with or without a key.
    pub(crate) reference: String,
    pub(crate) body: Bytes,
    pub(crate) told: Vec<Told>,
}

/// Makes `kills` trials one after the other, then judges all of them.
pub(crate) async fn run_trials(kills: u64, seed: u64, patience: Duration) -> io::Result<Report> {
    let mut rig = Rig::open(Layout { patience, ..LAYOUT }).await?;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut report = Report::default();
    let mut records = Vec::new();
    check_rules(&rig, &mut report).await?;
    for number in 0..kills {
        let step = Step::ALL[number as usize % Step::ALL.len()];
        if step == Step::Stream {
            stream_trial(&mut rig, number, &mut report, &mut rng).await?;
        } else {
            records.push(ledger_trial(&mut rig, number, step, &mut rng).await?);
        }
    }
    // What runs late must have run before it is judged.
    sleep(STEP_LIMIT).await;
    let counts = rig.plains[0].counts();
    for record in &records {
        let by_key = record.key.as_ref().and_then(|k| counts.keys.get(k));
        let by_body = counts.references.get(&record.reference);
        report.judge(record, by_key.or(by_body).copied().unwrap_or_default());
    }
    Ok(report)
}

/// A booking: its caller calls by one entry, and again by the other; a process dies meanwhile.
async fn ledger_trial(
    rig: &mut Rig,
    number: u64,
    step: Step,
    rng: &mut SmallRng,
) -> io::Result<Record> {
    let (first, second) = (rig.caller(0), rig.caller(1));
    let keyed = rng.random_bool(0.8);
    let key = if keyed { issue(&first, &second).await? } else { None };
    let reference = format!("booking-{number}");
    let body = Bytes::from(format!("{{\"reference\":\"{reference}\"}}"));
    let home = home_of(key.as_deref());
    let process = if rng.random_bool(0.6) { Process::Agent(home) } else { Process::Entry(0) };
    let mut record = Record { number, step, process, key, reference, body, told: Vec::new() };
    if step == Step::BeforeSend {
        rig.kill(process).await?;
    }
    let calling = tokio::spawn(call(first.clone(), record.key.clone(), record.body.clone()));
    // Another copy of the same call races it.
    let racing = keyed && rng.random_bool(0.5);
    let copy = tokio::spawn(call(second.clone(), record.key.clone(), record.body.clone()));
    if !racing {
        copy.abort();
    }
    // A revocation races the start.
    let revoked = match &record.key {
        Some(key) if rng.random_bool(0.3) => {
            Some(tokio::spawn(revoke(second.clone(), key.clone())))
        }
        _ => None,
    };
    reach(rig, step, &record, rng).await;
    match step {
        Step::BeforeSend => {}
        Step::Paused => pause(rig, process).await?,
        _ => rig.kill(process).await?,
    }
    record.told.push(calling.await.unwrap_or(Told::Cut));
    if racing {
        record.told.push(copy.await.unwrap_or(Told::Cut));
    }
    if let Some(revoked) = revoked {
        record.told.push(revoked.await.unwrap_or(Told::Cut));
    }
    if step != Step::Paused {
        rig.replace(process).await?;
    }
    ask_again(&mut record, &first, &second, rng).await;
    Ok(record)
}

async fn revoke(caller: Caller, key: String) -> Told {
    caller.ask(Method::DELETE, &key).await
}

async fn call(caller: Caller, key: Option<String>, body: Bytes) -> Told {
    caller.call(key.as_deref(), body).await
}

/// Gets a key by either entry.
async fn issue(first: &Caller, second: &Caller) -> io::Result<Option<String>> {
    let since = Instant::now();
    while since.elapsed() < STEP_LIMIT * 5 {
        for caller in [first, second] {
            if let Some(key) = caller.issue().await {
                return Ok(Some(key));
            }
        }
        sleep(LOOK * 20).await;
    }
    Err(io::Error::other("no key is issued"))
}

/// The agent that issued `key`, found by its name within the key.
fn home_of(key: Option<&str>) -> usize {
    let hex = |i: usize| format!("u-{i}").bytes().map(|b| format!("{b:02x}")).collect::<String>();
    let found = key.and_then(|k| (0..LAYOUT.ledgers).find(|i| k.contains(&hex(*i))));
    found.unwrap_or(0)
}

/// Waits until the call has come to `step`.
async fn reach(rig: &Rig, step: Step, record: &Record, rng: &mut SmallRng) {
    let reached = |runs: Runs| match step {
        Step::AfterStart | Step::Paused => runs.started > 0,
        _ => runs.finished > 0,
    };
    match step {
        Step::BeforeSend | Step::Stream => {}
        Step::AfterSend => sleep(Duration::from_micros(rng.random_range(0..4000))).await,
        Step::AfterStart | Step::AfterReply | Step::Paused => {
            let since = Instant::now();
            while since.elapsed() < STEP_LIMIT {
                let counts = rig.plains[0].counts();
                let by_key = record.key.as_ref().and_then(|k| counts.keys.get(k));
                let runs = by_key.or(counts.references.get(&record.reference));
                if runs.is_some_and(|r| reached(*r)) {
                    return;
                }
                sleep(LOOK).await;
            }
        }
    }
}

/// Stops a process for longer than every deadline, then lets it go on.
async fn pause(rig: &Rig, process: Process) -> io::Result<()> {
    rig.daemon(process).signal(Signal::Stop).await?;
    sleep(PAUSE).await;
    rig.daemon(process).signal(Signal::Continue).await
}

/// Shows the key again by both entries: the same call, a question and a revocation.
async fn ask_again(record: &mut Record, first: &Caller, second: &Caller, rng: &mut SmallRng) {
    let Some(key) = record.key.clone() else { return };
    if rng.random_bool(0.2) {
        record.told.push(second.ask(Method::DELETE, &key).await);
    }
    record.told.push(second.call(Some(&key), record.body.clone()).await);
    record.told.push(first.ask(Method::GET, &key).await);
    record.told.push(first.call(Some(&key), record.body.clone()).await);
}

/// A streamed answer whose agent or entry dies on the way.
async fn stream_trial(
    rig: &mut Rig,
    number: u64,
    report: &mut Report,
    rng: &mut SmallRng,
) -> io::Result<()> {
    let caller = rig.caller(0);
    let call = stream_call(format!("lot {number}"), PIECES, STREAM_DEADLINE);
    let client = caller.client().clone();
    let calling = tokio::spawn(async move { call.run(&client, Instant::now()).await });
    sleep(Duration::from_millis(rng.random_range(10..150))).await;
    let process = match rng.random_range(0..4) {
        0 => Process::Entry(0),
        i => Process::Agent(LAYOUT.ledgers + i % LAYOUT.engines),
    };
    rig.kill(process).await?;
    let verdict = calling.await.map_or(Verdict::Cut("lost".to_owned()), |s| s.verdict);
    report.stream(number, process, &verdict);
    rig.replace(process).await
}
