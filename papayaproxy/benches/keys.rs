//! Cost of the key state: one key issued, started and finished, and one repeated call.
#![expect(missing_docs, reason = "criterion_group makes a public function")]

use criterion::{Criterion, criterion_group, criterion_main};
use papayaproxy::delivery::{
    BeginDecision, Claim, KeySettings, KeyTable, RunOutcome, StoredReply, Token,
};
use papayaproxy::wire::{Secret, Secrets};
use papayaproxy::{Digest, Incarnation};
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

/// Time between two keys; 100 a second.
const INTERVAL: Duration = Duration::from_millis(10);

fn core() -> KeyTable {
    KeyTable::new("ledger-1".into(), Incarnation(7), KeySettings::default())
}

fn claim() -> Claim {
    Claim {
        workspace: "north".into(),
        service: "ledger".into(),
        request: Digest::of(b"booking"),
        deadline: Duration::MAX,
    }
}

fn issue(core: &mut KeyTable, now: Duration) -> Token {
    let issued = core.issue(1, &"north".into(), &"ledger".into(), now);
    issued.expect("the bench issues fewer keys than the limit").remove(0)
}

fn keys(c: &mut Criterion) {
    let reply = Arc::new(StoredReply { status: 200, ..StoredReply::default() });
    let (mut state, claim) = (core(), claim());
    let mut now = Duration::from_secs(1);
    c.bench_function("key issued, started, finished", |b| {
        b.iter(|| {
            now += INTERVAL;
            let key = issue(&mut state, now);
            assert_eq!(state.begin(&key, &claim, now), BeginDecision::Run);
            state.finish(&key, RunOutcome::Completed(reply.clone()), now);
        });
    });
    let key = issue(&mut state, now);
    assert_eq!(state.begin(&key, &claim, now), BeginDecision::Run);
    state.finish(&key, RunOutcome::Completed(reply), now);
    c.bench_function("finished key shown again", |b| {
        b.iter(|| black_box(state.begin(&key, &claim, now)));
    });
    let secrets = Secrets { current: Secret::new(1, &[1; 32]), other: None };
    let text = key.encode(&secrets);
    c.bench_function("key read and checked", |b| {
        b.iter(|| black_box(Token::parse(&text, &secrets)));
    });
}

criterion_group!(benches, keys);
criterion_main!(benches);
