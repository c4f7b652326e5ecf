//! Tests of the engine stand-in.

use super::batch::{Batch, Sequence};
use super::cache::Cache;
use super::journal::{Change, Journal, Kind};
use super::loads::{Loads, Report};
use super::orders::{FenceState, FencedOrder, Order, Orders};
use super::text::{Ask, Checker, Fault, Piece, piece_text, prior_text};
use super::{Engine, EngineSettings, Switches, bind};
use crate::http::{Client, Reply};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use papayaproxy::routing::ModelKey;
use rstest::rstest;
use std::time::Duration;

fn ask(max_tokens: u32) -> Ask {
    Ask {
        model: "assistant".into(),
        version: 1,
        prompt: "is lot 7 ripe".into(),
        max_tokens,
        ..Ask::default()
    }
}

fn piece(ask: &Ask, index: u32) -> Piece {
    Piece { index, text: piece_text(ask.hash(), index) }
}

fn check(due: &Ask, pieces: &[Piece]) -> Result<(), Fault> {
    let mut checker = Checker::new(due);
    pieces.iter().try_for_each(|p| checker.take(p))?;
    checker.finish()
}

#[test]
fn checker_whole() {
    let due = ask(3);
    let pieces: Vec<Piece> = (0..3).map(|i| piece(&due, i)).collect();
    assert_eq!(check(&due, &pieces), Ok(()));
    let any = Ask { version: 0, ..due };
    assert_eq!(check(&any, &pieces), Ok(()));
}

#[rstest]
#[case::gap(&[0, 2], 1)]
#[case::twice(&[0, 0], 1)]
fn checker_index(#[case] indices: &[u32], #[case] due: u32) {
    let asked = ask(3);
    let pieces: Vec<Piece> = indices.iter().map(|i| piece(&asked, *i)).collect();
    let found = check(&asked, &pieces).unwrap_err();
    assert!(matches!(found, Fault::Index { due: d, .. } if d == due), "{found}");
}

#[rstest]
#[case::other_prompt(Ask { prompt: "another".into(), ..ask(2) })]
#[case::other_version(Ask { version: 2, ..ask(2) })]
#[case::other_adapter(Ask { adapter: Some("names".into()), ..ask(2) })]
fn checker_foreign(#[case] other: Ask) {
    let due = Ask { version: 0, ..ask(2) };
    let found = check(&due, &[piece(&ask(2), 0), piece(&other, 1)]).unwrap_err();
    assert!(matches!(found, Fault::Text { index: 1, .. }), "{found}");
}

#[rstest]
#[case::short(2)]
#[case::long(4)]
fn checker_length(#[case] found: u32) {
    let due = ask(3);
    let pieces: Vec<Piece> = (0..found).map(|i| piece(&due, i)).collect();
    assert_eq!(check(&due, &pieces), Err(Fault::Length { due: 3, found }));
}

fn sequence(id: u64, priority: u8, prefill: u32) -> Sequence {
    Sequence { id, priority, prefill, next: 0, end: 2 }
}

#[test]
fn batch_priority_first() {
    let mut batch = Batch::new(1, 100);
    batch.submit(sequence(1, 5, 0));
    batch.submit(sequence(2, 5, 0));
    batch.submit(sequence(3, 9, 0));
    let mut ended = Vec::new();
    while let Some(step) = batch.plan() {
        ended.extend(batch.finish(step).iter().filter(|a| a.done).map(|a| a.id));
    }
    assert_eq!(ended, [3, 1, 2]);
}

#[test]
fn batch_prefill_takes_steps() {
    let mut batch = Batch::new(2, 100);
    batch.submit(sequence(1, 5, 250));
    batch.submit(sequence(2, 5, 0));
    let prefills: Vec<u32> = std::iter::from_fn(|| {
        let step = batch.plan()?;
        batch.finish(step);
        Some(step.prefill)
    })
    .collect();
    assert_eq!(prefills, [100, 100, 50, 0]);
}

#[test]
fn batch_cancel() {
    let mut batch = Batch::new(1, 100);
    batch.submit(sequence(1, 5, 0));
    batch.submit(sequence(2, 5, 0));
    batch.plan();
    assert!(batch.cancel(1) && batch.cancel(2) && !batch.cancel(3));
    assert_eq!(batch.plan(), None);
}

fn touch(cache: &mut Cache, workspace: &str, prompt: &str) -> u32 {
    let model = ModelKey::new("assistant", 1, None);
    cache.touch(workspace, model, prompt, &mut Vec::new())
}

#[test]
fn cache_per_workspace() {
    let mut cache = Cache::new(1024);
    let prompt = "x".repeat(800);
    assert_eq!(touch(&mut cache, "a", &prompt), 0);
    assert_eq!(touch(&mut cache, "a", &prompt), 192);
    assert_eq!(touch(&mut cache, "b", &prompt), 0);
}

#[test]
fn cache_evicts_oldest() {
    let mut cache = Cache::new(128);
    for letter in ["x", "y", "z"] {
        touch(&mut cache, "a", &letter.repeat(256));
    }
    assert_eq!(cache.tokens(), 128);
    assert_eq!(touch(&mut cache, "a", &"x".repeat(256)), 0);
}

#[test]
fn journal_late_with_gaps() {
    let mut journal = Journal::new(Duration::from_millis(500), 500, 1);
    let changes = (0..100).map(|i| Change::new(Kind::Stored, "a", i, 16)).collect();
    journal.write(Duration::ZERO, changes);
    assert!(journal.read(Duration::from_millis(499), 0).events.is_empty());
    let page = journal.read(Duration::from_millis(500), 0);
    assert!((20..80).contains(&page.events.len()), "{}", page.events.len());
    assert!(journal.read(Duration::from_secs(1), page.next).events.is_empty());
}

#[test]
fn loads_lag() {
    let mut loads = Loads::default();
    for second in 0..5 {
        loads.write(
            Duration::from_secs(second),
            Report { queued: second as u32, ..Report::default() },
        );
    }
    let seen = loads.read(Duration::from_secs(4), Duration::from_millis(1500));
    assert_eq!((seen.queued, seen.sequence, seen.age_ms), (2, 3, 2000));
}

#[rstest]
#[case::checked(true, Err(FenceState { fence: 5 }))]
#[case::ignored(false, Ok(()))]
fn orders_old_number(#[case] checks: bool, #[case] expected: Result<(), FenceState>) {
    let mut orders = Orders::new(checks);
    let order = |fence| FencedOrder { fence, order: Order::Clear };
    orders.take(order(5)).unwrap();
    orders.take(order(5)).unwrap();
    assert_eq!(orders.take(order(4)), expected);
}

async fn engine() -> (Engine, Client) {
    let fast = Duration::from_millis(1);
    let settings =
        EngineSettings { step: fast, step_each: Duration::ZERO, ..EngineSettings::default() };
    let engine = bind(settings).await.unwrap();
    let client = Client::open(engine.addr());
    (engine, client)
}

async fn send(client: &Client, method: Method, path: &str, body: &str) -> Reply {
    let body = Full::new(Bytes::from(body.to_owned()));
    let request = Request::builder().method(method).uri(path).body(body).unwrap();
    client.send(request).await.unwrap()
}

async fn text(reply: Reply) -> String {
    String::from_utf8(reply.collect().await.unwrap().to_vec()).unwrap()
}

fn expected(ask: &Ask, from: u32) -> String {
    let pieces = (from..ask.max_tokens).map(|i| serde_json::to_string(&piece(ask, i)).unwrap());
    pieces.chain(["[DONE]".to_owned()]).map(|p| format!("data: {p}\n\n")).collect()
}

#[tokio::test]
async fn engine_stream_and_resume() {
    let (engine, client) = engine().await;
    let due = ask(4);
    let body = serde_json::to_string(&due).unwrap();
    let reply = send(&client, Method::POST, "/v1/completions", &body).await;
    let id = reply.header("engine-stream").unwrap().to_owned();
    assert_eq!(text(reply).await, expected(&due, 0));
    let again = send(&client, Method::GET, &format!("/v1/streams/{id}?from=2"), "").await;
    assert_eq!(text(again).await, expected(&due, 2));
    assert_eq!((engine.counts().completed, engine.counts().resumed), (1, 1));
}

#[rstest]
#[case::right(true, 0)]
#[case::foreign(false, 1)]
#[tokio::test]
async fn engine_continues(#[case] right: bool, #[case] wrong: u64) {
    let (engine, client) = engine().await;
    let due = ask(4);
    let mut body = serde_json::to_value(&due).unwrap();
    let prior = if right { prior_text(due.hash(), 2) } else { "else".to_owned() };
    body["prior"] = prior.into();
    body["prior_tokens"] = 2.into();
    let reply = send(&client, Method::POST, "/v1/completions", &body.to_string()).await;
    assert_eq!(text(reply).await, expected(&due, 2));
    assert_eq!((engine.counts().continued, engine.counts().prior_wrong), (1, wrong));
}

#[tokio::test]
async fn engine_cancel_frees_slot() {
    let (engine, client) = engine().await;
    engine.switch(Switches { stall: true, ..Switches::default() });
    let body = serde_json::to_string(&ask(4)).unwrap();
    let reply = send(&client, Method::POST, "/v1/completions", &body).await;
    let path = format!("/v1/streams/{}", reply.header("engine-stream").unwrap());
    assert_eq!(send(&client, Method::DELETE, &path, "").await.status(), 204);
    assert_eq!(text(reply).await, "");
    assert_eq!((engine.active(), engine.counts().cancelled), (0, 1));
}

#[tokio::test]
async fn engine_cut_breaks_reply() {
    let (engine, client) = engine().await;
    engine.switch(Switches { cut: 2, ..Switches::default() });
    let body = serde_json::to_string(&ask(4)).unwrap();
    let reply = send(&client, Method::POST, "/v1/completions", &body).await;
    assert!(reply.collect().await.is_err());
}

#[rstest]
#[case::unknown_model(
    "/v1/completions",
    r#"{"model":"m","version":1,"prompt":"","max_tokens":1}"#,
    409
)]
#[case::old_version(
    "/v1/completions",
    r#"{"model":"assistant","version":7,"prompt":"","max_tokens":1}"#,
    409
)]
#[case::nothing_left(
    "/v1/completions",
    r#"{"model":"assistant","version":1,"prompt":"","max_tokens":1,"prior_tokens":1}"#,
    400
)]
#[case::no_json("/v1/completions", "x", 400)]
#[case::no_order("/v1/orders", r#"{"fence":1,"order":{"kind":"dance"}}"#, 400)]
#[case::no_path("/v2", "", 404)]
#[tokio::test]
async fn engine_refuses(#[case] path: &str, #[case] body: &str, #[case] status: u16) {
    let (_engine, client) = engine().await;
    assert_eq!(send(&client, Method::POST, path, body).await.status(), status);
}
