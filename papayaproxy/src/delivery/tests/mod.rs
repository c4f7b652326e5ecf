//! Tests of idempotency keys, their state and the retry policy.

mod attempt;
mod keys;
mod machine;
mod token;

use super::keys::{Claim, KeyTable};
use super::record::StoredReply;
use super::settings::KeySettings;
use super::token::Token;
use crate::base::digest::Digest;
use crate::base::name::Incarnation;
use crate::wire::{Secret, Secrets};
use std::sync::Arc;
use std::time::Duration;

const START_LIFE: Duration = Duration::from_secs(60);
const RETENTION: Duration = Duration::from_secs(40);
const FAR_DEADLINE: Duration = Duration::from_secs(1 << 30);

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn settings() -> KeySettings {
    KeySettings {
        start_life: START_LIFE,
        retention: RETENTION,
        keys_max: 1000,
        workspace_max: 1000,
        reply_bytes_max: 100,
    }
}

fn new_table() -> KeyTable {
    KeyTable::new("ledger-1".into(), Incarnation(7), settings())
}

fn secrets(current: u8, other: Option<u8>) -> Secrets {
    let make = |id: u8| Secret::new(id, &[id; 32]);
    Secrets { current: make(current), other: other.map(make) }
}

fn issue(table: &mut KeyTable, now: Duration) -> Token {
    table.issue(1, &"north".into(), &"ledger".into(), now).unwrap().remove(0)
}

fn claim(body: &[u8]) -> Claim {
    Claim {
        workspace: "north".into(),
        service: "ledger".into(),
        request: Digest::of(body),
        deadline: FAR_DEADLINE,
    }
}

fn reply(body: &str) -> Arc<StoredReply> {
    let body = bytes::Bytes::copy_from_slice(body.as_bytes());
    Arc::new(StoredReply { status: 200, headers: Vec::new(), body })
}
