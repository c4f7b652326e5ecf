//! A store that comes back from a copy of its data: revisions go back and are given out again, and what
//! the operator and the replicas wrote since is written again.

use super::evacuations::{follow_zones, idle_hooks, wait_for_zones};
use super::odd_entries::entry;
use super::store::{CHANGE_LIMIT, FakeStore, wait_for_ready, wait_for_version};
use crate::base::clock::Clock;
use crate::base::name::Incarnation;
use crate::gateway::tests::stand_ins::on_one_thread;
use crate::peers::{PeerSettings, Peers};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Time for which a restored store lacks what is in force; longer than the lag of a watch.
const UNCONFIRMED: Duration = Duration::from_secs(2);

fn config(version: u64) -> String {
    format!(r#"{{"version": {version}, "routes": [], "services": []}}"#)
}

/// A configuration that is written under a revision which the store has given out before must be read:
/// three of eight entries answered 404 on a confirmed route (CONFIG).
#[test]
fn follow_store_restored_later_config_read() {
    on_one_thread(async {
        let store = FakeStore::bind().await;
        store.put("op/config", config(7));
        let copy = store.copy();
        store.put("op/config", config(8));
        store.put("op/config", config(9));
        let catalog = store.follow();
        wait_for_version(&catalog, 9).await;
        store.restore(copy, "op/config");
        store.put("op/config", config(9));
        store.write_after_read("op/config", config(10));
        store.serve_watches();
        wait_for_version(&catalog, 10).await;
    });
}

/// Full reads and refused watches must not alternate without a pause: they were 85 a second.
#[test]
fn follow_store_restored_read_once() {
    on_one_thread(async {
        let store = FakeStore::bind().await;
        store.put("op/config", config(7));
        let copy = store.copy();
        store.put("op/config", config(8));
        let catalog = store.follow();
        wait_for_version(&catalog, 8).await;
        let before = store.calls("/kv-key");
        store.restore(copy, "op/config");
        store.put("op/config", config(8));
        store.serve_watches();
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(store.calls("/kv-key") - before, 1);
    });
}

/// An upstream that leaves under an earlier revision than that of its known record must get no more
/// requests (DRAIN).
#[test]
fn follow_store_restored_leaving_upstream_read() {
    on_one_thread(async {
        let store = FakeStore::bind().await;
        store.put("servers/m", entry("s", 1));
        let copy = store.copy();
        store.put("servers/n", entry("s", 2));
        store.put("servers/m", entry("s", 3));
        let catalog = store.follow();
        wait_for_ready(&catalog, &["m", "n"]).await;
        store.restore(copy, "servers/");
        store.put("servers/n", entry("s", 2));
        store.write_after_read("servers/m", entry("s", 3).replace("ready", "draining"));
        store.serve_watches();
        wait_for_ready(&catalog, &["n"]).await;
    });
}

/// The end of an evacuation under an earlier revision than its beginning must be read.
#[test]
fn follow_store_restored_evacuation_ended() {
    on_one_thread(async {
        let (store, catalog) = follow_zones(&[]).await;
        let copy = store.copy();
        store.put("op/evacuate/b", "{}");
        store.put("op/evacuate/c", "{}");
        wait_for_zones(&catalog, &["b", "c"]).await;
        store.restore(copy, "op/");
        store.put("op/evacuate/c", "{}");
        store.serve_watches();
        wait_for_zones(&catalog, &["c"]).await;
    });
}

/// A store that lacks the configuration in force does not prove that no later one has taken a key away:
/// its answers confirmed the configuration until the operator had written it again (CONFIG).
#[test]
fn follow_store_restored_older_config_not_confirmed() {
    on_one_thread(async {
        let store = FakeStore::bind().await;
        store.put("op/config", config(7));
        let copy = store.copy();
        store.put("op/config", config(8));
        let catalog = store.follow();
        wait_for_version(&catalog, 8).await;
        store.restore(copy, "op/config");
        store.serve_watches();
        tokio::time::sleep(UNCONFIRMED).await;
        let age = catalog.config_age().unwrap();
        assert!(age >= UNCONFIRMED && catalog.version() == 8, "{age:?}");
        store.put("op/config", config(8));
        let confirmed = async {
            while catalog.config_age().unwrap() >= UNCONFIRMED {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(CHANGE_LIMIT, confirmed).await.unwrap();
    });
}

/// An entry that starts while the store lacks the newest configuration must take it from a peer, though
/// its own calls to the store succeed.
#[test]
fn follow_store_restored_started_entry_takes_peers_config() {
    on_one_thread(async {
        let [.., high, low] = std::process::id().to_be_bytes();
        let address = |number| SocketAddr::from(([127, high, low, number], 7843));
        let mut fleet = Vec::new();
        for (number, version) in [(121, 8), (122, 7)] {
            let store = FakeStore::bind().await;
            store.put("op/config", config(version));
            let catalog = store.follow();
            wait_for_version(&catalog, version).await;
            let (seeds, incarnation) = (vec![address(121), address(122)], Incarnation(1));
            let settings =
                PeerSettings { address: address(number), seeds, zone: "a".into(), incarnation };
            let peers = Peers::bind(settings, catalog.clone(), Clock::start(), idle_hooks()).await;
            fleet.push((store, catalog, peers.unwrap()));
        }
        wait_for_version(&fleet[1].1, 8).await;
    });
}
