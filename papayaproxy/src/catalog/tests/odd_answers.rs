//! Odd answers of the store, and odd items of its configuration.

use super::odd_entries::{entry, nested};
use super::store::{FakeStore, ready, wait_for_ready, wait_for_version};
use crate::gateway::tests::stand_ins::on_one_thread;
use rstest::rstest;

const CONFIG: &str = r#"{"version": 7, "routes": [], "services": []}"#;

/// A value that is no base64 text must not stop the list: one such item made each read fail.
#[rstest]
#[case::characters("\"***\"")]
#[case::padding("\"eyJ9\\u003d\"")]
#[case::unencoded("\"{}\"")]
fn follow_value_undecodable_others_hold(#[case] value: &str) {
    on_one_thread(async {
        let store = FakeStore::bind().await;
        store.put_text("servers/a", value);
        store.put("servers/m", entry("s", 1));
        let catalog = store.follow();
        wait_for_ready(&catalog, &["m"]).await;
        store.put_text("servers/m", value);
        store.put("servers/n", entry("s", 2));
        wait_for_ready(&catalog, &["n"]).await;
        assert!(!catalog.is_store_failing());
    });
}

/// Answers that cannot be read, or that name other keys. The list is read on after them: a watch that
/// is sent again as it was would get the same answer for ever.
#[rstest]
#[case::no_json("nonsense")]
#[case::nested(&nested("[", "]", 100_000))]
#[case::events_text(r#"{"events":"none","atRev":1}"#)]
#[case::item_types(r#"{"events":[{"key":7,"value":[],"revision":"x"}],"atRev":1}"#)]
#[case::revision_negative(r#"{"events":[],"atRev":-1}"#)]
#[case::revision_large(r#"{"events":[],"atRev":1e400}"#)]
#[case::revision_missing(r#"{"events":[]}"#)]
#[case::value_null(r#"{"events":[{"key":"servers/a","value":null,"revision":1}],"atRev":1}"#)]
#[case::value_missing(r#"{"events":[{"key":"servers/a","revision":1}],"atRev":1}"#)]
#[case::too_large(&format!("{{\"more\":\"{}\",\"events\":[],\"atRev\":1}}", "x".repeat(5 << 20)))]
fn watch_odd_answer_followed_on(#[case] body: &str) {
    on_one_thread(async {
        let store = FakeStore::bind().await;
        store.put("servers/m", entry("s", 1));
        let catalog = store.follow();
        wait_for_ready(&catalog, &["m"]).await;
        store.content.borrow_mut().watch_body = Some(body.to_owned());
        store.wait_for_calls("/kv-watch servers/", 2).await;
        store.put("servers/n", entry("s", 2));
        wait_for_ready(&catalog, &["m", "n"]).await;
    });
}

/// The history holds an answer that cannot be read: the list is read in full in place of it.
#[test]
fn watch_unreadable_history_read_in_full() {
    on_one_thread(async {
        let store = FakeStore::bind().await;
        store.put("servers/m", entry("s", 1));
        let catalog = store.follow();
        wait_for_ready(&catalog, &["m"]).await;
        let reads = store.calls("/kv-range servers/");
        store.content.borrow_mut().watch_body = Some("nonsense".to_owned());
        store.wait_for_calls("/kv-range servers/", 1).await;
        assert_eq!(store.calls("/kv-range servers/"), reads + 1);
    });
}

/// An item whose key is not under the prefix that was asked for names no upstream.
#[test]
fn watch_other_key_ignored() {
    on_one_thread(async {
        let store = FakeStore::bind().await;
        store.put("servers/m", entry("s", 1));
        let catalog = store.follow();
        wait_for_ready(&catalog, &["m"]).await;
        let value = "eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxMC4wLjAuOTo4MCIsInpvbmUiOiJhIiwidmVyc2lvbiI6InYxIiwic2xvdHMiOjYsInN0YXRlIjoicmVhZHkiLCJjb2xkUmVtYWluaW5nTXMiOjAsInNlcXVlbmNlIjoxfQ==";
        let body = format!(
            r#"{{"events":[{{"key":"my/leader","value":"{value}","revision":1}}],"atRev":1}}"#
        );
        store.content.borrow_mut().watch_body = Some(body);
        store.wait_for_calls("/kv-watch servers/", 2).await;
        assert_eq!(ready(&catalog), ["m"]);
    });
}

/// Pages that do not go on must not be read without end: each call has a cost.
#[test]
fn listing_without_progress_given_up() {
    on_one_thread(async {
        let store = FakeStore::bind().await;
        store.put("servers/m", entry("s", 1));
        store.content.borrow_mut().is_endless = true;
        let catalog = store.follow();
        store.wait_for_calls("/kv-range servers/", 4).await;
        assert!(catalog.is_store_failing());
        assert!(ready(&catalog).is_empty());
        store.content.borrow_mut().is_endless = false;
        wait_for_ready(&catalog, &["m"]).await;
    });
}

/// The prefix of the configuration's watch also covers longer keys. What is written there is no
/// configuration, and it must not hide one.
#[test]
fn watch_config_longer_key_ignored() {
    on_one_thread(async {
        let store = FakeStore::bind().await;
        store.put("op/config", CONFIG);
        let catalog = store.follow();
        wait_for_version(&catalog, 7).await;
        store.put("op/config", CONFIG.replace('7', "8"));
        store.put("op/config-draft", CONFIG.replace('7', "9"));
        wait_for_version(&catalog, 8).await;
        store.wait_for_calls("/kv-watch op/config", 3).await;
        assert_eq!(catalog.version(), 8);
    });
}

/// A configuration that cannot be read leaves the one before in force, and the next one is taken.
#[rstest]
#[case::nested(nested("[", "]", 100_000))]
#[case::number_large(r#"{"version": 1e400}"#)]
#[case::version_negative(r#"{"version": -8}"#)]
#[case::routes_text(r#"{"version": 8, "routes": "none"}"#)]
#[case::no_utf8([0x7bu8, 0xff, 0x7d])]
#[case::empty("")]
fn watch_config_odd_next_taken(#[case] odd: impl AsRef<[u8]>) {
    on_one_thread(async {
        let store = FakeStore::bind().await;
        store.put("op/config", CONFIG);
        let catalog = store.follow();
        wait_for_version(&catalog, 7).await;
        store.put("op/config", &odd);
        store.wait_for_calls("/kv-watch op/config", 3).await;
        assert_eq!(catalog.version(), 7);
        store.put("op/config", CONFIG.replace('7', "9"));
        wait_for_version(&catalog, 9).await;
        store.put_text("op/config", "\"***\"");
        store.wait_for_calls("/kv-watch op/config", 3).await;
        store.put("op/config", CONFIG.replace('7', "11"));
        wait_for_version(&catalog, 11).await;
    });
}
