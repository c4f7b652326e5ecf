//! What proves that the store was away, and how long a removed upstream stays in use.

use super::odd_entries::entry;
use super::store::{FakeStore, ready, wait_for_ready, wait_for_version};
use crate::catalog::calls::{Call, record_result};
use crate::catalog::follow::StoreHealth;
use crate::gateway::tests::stand_ins::on_one_thread;
use crate::platform::StoreError;
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

/// Results of calls, each with the time it took beyond its wait, and whether they prove an outage.
#[rstest]
#[case::answered(&[(true, 0)], false)]
#[case::cut_once(&[(false, 0), (true, 0)], false)]
#[case::cut_often(&[(false, 0), (true, 0), (false, 0), (true, 0), (false, 0), (true, 0)], false)]
#[case::failed_twice(&[(false, 0), (false, 0), (true, 0)], true)]
#[case::overdue(&[(false, 1200), (true, 0)], true)]
#[case::late_but_answered(&[(true, 1000)], false)]
fn record_result_proof(#[case] calls: &[(bool, u64)], #[case] proves: bool) {
    let health = Cell::new(StoreHealth::default());
    let wait = Duration::from_millis(1500);
    let mut now = Duration::ZERO;
    for (succeeds, late_ms) in calls {
        let call = Call { what: "test", sent: now, wait };
        now += wait + Duration::from_millis(*late_ms);
        let error = (!succeeds).then_some(StoreError::HistoryGone);
        record_result(&health, call, error.as_ref(), wait, now);
    }
    assert_eq!(health.get().recovered_at.is_some(), proves);
    assert!(health.get().failing_since.is_none() && !health.get().is_away);
}
