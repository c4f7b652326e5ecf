//! The open loop: calls go out at their times, whatever the answers do.

use super::call::{Call, CallKind};
use super::plan::Plan;
use super::record::Record;
use super::report::Report;
use crate::engine::Ask;
use crate::http::Client;
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep_until};

/// Interval of progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Body of a plain call. Its reference tells how often it ran.
#[derive(Serialize)]
struct PlainBody<'a> {
    reference: &'a str,
}

type Shared = Arc<Mutex<Record>>;

fn lock(record: &Shared) -> MutexGuard<'_, Record> {
    record.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs `plan` to its end. `progress` gets a line each second.
pub async fn run_plan(plan: &Plan, progress: impl Fn(&str) + Send + Sync + 'static) -> Report {
    let record: Shared = Arc::new(Mutex::new(Record::new()));
    let started = Instant::now();
    let telling = tokio::spawn(tell(record.clone(), started, progress));
    let permits = Arc::new(Semaphore::new(plan.in_flight));
    send_all(plan, &record, &permits, started).await;
    // Each call ends by its own deadline.
    let _ = permits.acquire_many(plan.in_flight as u32).await;
    telling.abort();
    lock(&record).report(started.elapsed())
}

async fn send_all(plan: &Plan, record: &Shared, permits: &Arc<Semaphore>, started: Instant) {
    let clients: Vec<Client> = plan.entries.iter().map(|e| Client::open(*e)).collect();
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let count = (plan.duration.as_secs_f64() * plan.rate) as u64;
    for number in 0..count {
        let due = started + Duration::from_secs_f64(number as f64 / plan.rate);
        sleep_until(due).await;
        let Some(call) = next_call(plan, number, &mut rng) else {
            return;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            lock(record).skipped += 1;
            continue;
        };
        lock(record).sent += 1;
        let client = clients[number as usize % clients.len()].clone();
        let record = record.clone();
        tokio::spawn(async move {
            let sample = call.run(&client, due).await;
            lock(&record).take(sample, call.deadline);
            drop(permit);
        });
    }
}

fn next_call(plan: &Plan, number: u64, rng: &mut SmallRng) -> Option<Call> {
    let credential = plan.workspaces.get(rng.random_range(0..plan.workspaces.len().max(1)))?;
    let asks_model = rng.random_bool(plan.model_share.clamp(0.0, 1.0));
    let reference = format!("{}-{number}", plan.label);
    let mut call = Call {
        kind: CallKind::Plain,
        service: String::new(),
        credential: credential.clone(),
        deadline: plan.deadline,
        keyed: false,
        reference: reference.clone(),
        ask: Ask::default(),
        body: Bytes::new(),
    };
    match (&plan.model, &plan.plain) {
        (Some(model), plain) if asks_model || plain.is_none() => {
            call.kind = CallKind::Model;
            call.service.clone_from(&model.service);
            let prefix = rng.random_range(0..model.prefixes.max(1));
            let mut prompt = format!("{} asks {prefix}: ", credential.workspace);
            while prompt.len() + reference.len() < model.prompt {
                prompt.push_str("how ripe is the lot ");
            }
            prompt.push_str(&reference);
            call.ask = Ask {
                model: model.model.clone(),
                version: model.version,
                adapter: None,
                prompt,
                max_tokens: model.tokens,
            };
        }
        (_, Some(plain)) => {
            call.service.clone_from(&plain.service);
            call.keyed = plain.keyed;
            let body = serde_json::to_vec(&PlainBody { reference: &reference });
            call.body = body.unwrap_or_default().into();
        }
        _ => return None,
    }
    Some(call)
}

async fn tell(record: Shared, started: Instant, progress: impl Fn(&str)) {
    let mut ticks = tokio::time::interval(PROGRESS_INTERVAL);
    ticks.tick().await;
    loop {
        ticks.tick().await;
        progress(&progress_line(&lock(&record), started.elapsed()));
    }
}

fn progress_line(record: &Record, elapsed: Duration) -> String {
    let faulty = record.verdict("wrong") + record.verdict("cut");
    format!(
        "{:4} s  sent {}  completed {}  not-run {}  unknown {}  wrong or cut {faulty}  open {}",
        elapsed.as_secs(),
        record.sent,
        record.verdict("completed"),
        record.verdict("not-run"),
        record.verdict("unknown"),
        record.sent - record.ended,
    )
}
