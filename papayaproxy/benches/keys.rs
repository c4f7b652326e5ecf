//! Time to issue, start and finish a key, to begin a call with a finished key, and to parse a key.
#![expect(missing_docs, reason = "criterion_group! generates a public function")]

use criterion::{Criterion, criterion_group, criterion_main};
use papayaproxy::delivery::{
    BeginDecision, Claim, KeySettings, KeyTable, RunOutcome, StoredReply, Token,
};
use papayaproxy::wire::{Secret, Secrets};
use papayaproxy::{Digest, Incarnation};
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

/// Interval between two keys: 100 per second.
const INTERVAL: Duration = Duration::from_millis(10);

fn key_core() -> KeyTable {
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

fn bench_keys(c: &mut Criterion) {
    let reply = Arc::new(StoredReply { status: 200, ..StoredReply::default() });
    let (mut core, claim) = (key_core(), claim());
    let mut now = Duration::from_secs(1);
    c.bench_function("key issued, started, finished", |b| {
        b.iter(|| {
            now += INTERVAL;
            let key = issue(&mut core, now);
            assert_eq!(core.begin(&key, &claim, now), BeginDecision::Run);
            core.finish(&key, RunOutcome::Completed(reply.clone()), now);
        });
    });
    let key = issue(&mut core, now);
    assert_eq!(core.begin(&key, &claim, now), BeginDecision::Run);
    core.finish(&key, RunOutcome::Completed(reply), now);
    c.bench_function("finished key shown again", |b| {
        b.iter(|| black_box(core.begin(&key, &claim, now)));
    });
    let secrets = Secrets { current: Secret::new(1, &[1; 32]), other: None };
    let text = key.encode(&secrets);
    c.bench_function("key read and checked", |b| {
        b.iter(|| black_box(Token::parse(&text, &secrets)));
    });
}

criterion_group!(benches, bench_keys);
criterion_main!(benches);
