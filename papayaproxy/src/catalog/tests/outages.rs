//! What proves that the store was away, and how long a removed upstream stays in use.

use super::odd_entries::entry;
use super::store::{FakeStore, ready, wait_for_ready, wait_for_version};
use crate::catalog::calls::{Call, record_result};
use crate::catalog::constants::{CONFIG_WAIT, LAPSE_GRACE, OVERDUE_MIN};
use crate::catalog::follow::StoreHealth;
use crate::catalog::freshness::boot_time;
use crate::gateway::tests::stand_ins::on_one_thread;
use crate::platform::{CallError, StoreError};
use hyper::StatusCode;
use rstest::rstest;
use std::cell::Cell;
use std::time::Duration;

const CONFIG: &str = r#"{"version": 7, "routes": [], "services": []}"#;
const CONFIG_WATCH: &str = "/kv-watch op/config";
const LIST_WATCH: &str = "/kv-watch servers/";

/// Cuts `count` watches of the configuration, one after the other, with answers between them.
async fn cut_watches(store: &FakeStore, count: usize) {
    for _ in 0..count {
        store.content.borrow_mut().cut_prefix = Some("op/config");
        store.wait_for_calls(CONFIG_WATCH, 1).await;
        store.content.borrow_mut().cut_prefix = None;
        store.wait_for_calls(CONFIG_WATCH, 2).await;
    }
}

/// A watch that is cut and answered again at once is no outage: an upstream that is removed then gets
/// no more requests. It was in use for 2.3 s after the last cut, longer than it serves (DRAIN).
#[rstest]
#[case::one(1)]
#[case::several(3)]
fn follow_watch_cut_removal_counts(#[case] cuts: usize) {
    on_one_thread(async move {
        let store = FakeStore::bind().await;
        store.put("op/config", CONFIG);
        store.put("servers/m", entry("s", 1));
        let catalog = store.follow();
        wait_for_version(&catalog, 7).await;
        wait_for_ready(&catalog, &["m"]).await;
        cut_watches(&store, cuts).await;
        store.delete("servers/m");
        store.wait_for_calls(LIST_WATCH, 3).await;
        assert!(ready(&catalog).is_empty(), "the removal has been read");
    });
}

/// Guards against a removed upstream that stays in use since the process stood still while the store
/// cut a watch: the cut is seen late, but the store was not.
#[test]
fn follow_watch_cut_seen_late_removal_counts() {
    on_one_thread(async move {
        let store = FakeStore::bind().await;
        store.put("op/config", CONFIG);
        store.put("servers/m", entry("s", 1));
        let catalog = store.follow();
        wait_for_version(&catalog, 7).await;
        wait_for_ready(&catalog, &["m"]).await;
        store.content.borrow_mut().cut_late =
            Some(("op/config", CONFIG_WAIT - Duration::from_millis(300)));
        store.wait_for_calls(CONFIG_WATCH, 1).await;
        tokio::time::sleep(CONFIG_WAIT - Duration::from_millis(400)).await;
        std::thread::sleep(Duration::from_millis(400) + OVERDUE_MIN * 2);
        store.wait_for_calls(CONFIG_WATCH, 2).await;
        store.delete("servers/m");
        store.wait_for_calls(LIST_WATCH, 3).await;
        assert!(ready(&catalog).is_empty(), "the removal has been read");
    });
}

/// A record that is missing while the store is away, or after its return, may come back.
#[test]
fn follow_outage_missing_kept() {
    on_one_thread(async {
        let store = FakeStore::bind().await;
        store.put("op/config", CONFIG);
        store.put("servers/m", entry("s", 1));
        let catalog = store.follow();
        wait_for_version(&catalog, 7).await;
        wait_for_ready(&catalog, &["m"]).await;
        store.content.borrow_mut().cut_prefix = Some("op/config");
        store.wait_for_calls(CONFIG_WATCH, 3).await;
        store.delete("servers/m");
        store.wait_for_calls(LIST_WATCH, 3).await;
        assert_eq!(ready(&catalog), ["m"], "the store is away");
        store.content.borrow_mut().cut_prefix = None;
        store.wait_for_calls(CONFIG_WATCH, 2).await;
        assert_eq!(ready(&catalog), ["m"], "it has just come back");
        store.put("servers/m", entry("s", 1));
        store.wait_for_calls(LIST_WATCH, 3).await;
        assert_eq!(ready(&catalog), ["m"]);
        // Still missing at the end of the grace period: it has left.
        store.delete("servers/m");
        wait_for_ready(&catalog, &[]).await;
    });
}

/// A reader of the store that was cut off alone took a removal for a record that may come back, and vouched
/// for it to the entries that rely on it (DRAIN).
#[rstest]
#[case::all_along(0, &[])]
#[case::just_returned(9, &["m"])]
fn follow_cut_off_peers_answered(#[case] from: usize, #[case] left: &'static [&str]) {
    on_one_thread(async move {
        let store = FakeStore::bind().await;
        store.put("op/config", CONFIG);
        store.put("servers/m", entry("s", 1));
        let catalog = store.follow();
        wait_for_version(&catalog, 7).await;
        wait_for_ready(&catalog, &["m"]).await;
        store.content.borrow_mut().cut_prefix = Some("op/config");
        store.wait_for_calls(CONFIG_WATCH, 3).await;
        for round in 0..12 {
            tokio::time::sleep(LAPSE_GRACE / 10).await;
            if round >= from {
                let (digest, revision) = (catalog.list_digest(), catalog.list_revision());
                assert!(catalog.confirm_peer_list(digest, revision, boot_time()));
            }
        }
        store.content.borrow_mut().cut_prefix = None;
        store.wait_for_calls(CONFIG_WATCH, 2).await;
        store.delete("servers/m");
        store.wait_for_calls(LIST_WATCH, 3).await;
        assert_eq!(ready(&catalog), left);
    });
}

/// What a call to the store may end with.
#[derive(Clone, Copy)]
enum End {
    Answer,
    Cut,
    Silence,
    NoConnection,
    Refusal(StatusCode),
    Odd,
}

impl End {
    fn error(self) -> Option<StoreError> {
        let source = match self {
            Self::Answer => return None,
            Self::Refusal(status) => return Some(StoreError::Refused { status }),
            Self::Odd => return Some(StoreError::Malformed { reason: "test".into() }),
            Self::Cut => CallError::Interrupted { reason: "test".into() },
            Self::Silence => CallError::Timeout { limit: Duration::from_secs(3) },
            Self::NoConnection => {
                CallError::Connect { source: std::io::ErrorKind::ConnectionRefused.into() }
            }
        };
        Some(StoreError::NoResponse { source })
    }
}

const DOWN: End = End::Refusal(StatusCode::SERVICE_UNAVAILABLE);
const RATE: End = End::Refusal(StatusCode::TOO_MANY_REQUESTS);

/// Ends of calls, each with the time it took beyond its wait, and whether they prove an outage.
#[rstest]
#[case::answered(&[(End::Answer, 0)], false)]
#[case::cut_once(&[(End::Cut, 0), (End::Answer, 0)], false)]
#[case::cut_often(
    &[(End::Cut, 0), (End::Answer, 0), (End::Cut, 0), (End::Answer, 0), (End::Cut, 0), (End::Answer, 0)],
    false
)]
#[case::cut_twice(&[(End::Cut, 0), (End::Cut, 0), (End::Answer, 0)], true)]
#[case::cut_and_refused(&[(End::Cut, 0), (DOWN, 0), (End::Answer, 0)], true)]
#[case::cut_and_unreached(&[(End::Cut, 0), (End::NoConnection, 0), (End::Answer, 0)], true)]
#[case::refused_once(&[(DOWN, 0), (End::Answer, 0)], false)]
#[case::refused_twice(&[(DOWN, 0), (DOWN, 0), (End::Answer, 0)], true)]
#[case::silent(&[(End::Silence, 1200), (End::Answer, 0)], true)]
#[case::cut_seen_late(&[(End::Cut, 1200), (End::Answer, 0)], false)]
#[case::refusal_read_late(&[(DOWN, 1200), (End::Answer, 0)], false)]
#[case::late_but_answered(&[(End::Answer, 1000)], false)]
#[case::over_rate(&[(RATE, 0), (RATE, 0), (End::Answer, 0)], false)]
#[case::odd_answers(&[(End::Odd, 0), (End::Odd, 0), (End::Answer, 0)], false)]
#[case::cut_and_odd(&[(End::Cut, 0), (End::Odd, 0), (End::Cut, 0), (End::Answer, 0)], false)]
fn record_result_proof(#[case] calls: &[(End, u64)], #[case] proves: bool) {
    let health = Cell::new(StoreHealth::default());
    let wait = Duration::from_millis(1500);
    let mut now = Duration::ZERO;
    for (end, late_ms) in calls {
        let call = Call { what: "test", sent: now, wait };
        now += wait + Duration::from_millis(*late_ms);
        record_result(&health, call, end.error().as_ref(), wait, now);
    }
    assert_eq!(health.get().recovered_at.is_some(), proves);
    assert!(health.get().failing_since.is_none() && !health.get().is_away);
}
