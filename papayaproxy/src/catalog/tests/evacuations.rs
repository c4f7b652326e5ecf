//! Evacuations as the store and peers give them.

use super::at;
use super::store::{DRAIN, FakeStore, wait_for_version};
use crate::base::clock::Clock;
use crate::base::name::Incarnation;
use crate::catalog::evacuations::{EvacuatedZones, Evacuations};
use crate::catalog::{Catalog, StoreRole};
use crate::gateway::tests::stand_ins::on_one_thread;
use crate::peers::{Hooks, PeerSettings, Peers};
use crate::platform::{EvacuationChange, Store};
use rstest::rstest;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const CONFIG: &str = r#"{"version": 7, "routes": [], "services": []}"#;

fn catalog(store: SocketAddr) -> Rc<Catalog> {
    Catalog::spawn(Store::new(store), Clock::start(), DRAIN, true)
}

/// A store with evacuations of `zones`, and a catalog that has read them.
pub(super) async fn follow_zones(zones: &[&str]) -> (FakeStore, Rc<Catalog>) {
    let store = FakeStore::bind().await;
    store.put("op/config", CONFIG);
    zones.iter().for_each(|zone| store.put(&format!("op/evacuate/{zone}"), "{}"));
    let catalog = catalog(store.server.address);
    wait_for_zones(&catalog, zones).await;
    wait_for_version(&catalog, 7).await;
    (store, catalog)
}

pub(super) async fn wait_for_zones(catalog: &Catalog, expected: &[&str]) {
    for _ in 0..1000 {
        if catalog.evacuated_zones().is_some_and(|zones| zones.iter().eq(expected)) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("evacuated: {:?}, expected: {expected:?}", catalog.evacuated_zones());
}

fn change(zone: &str, is_evacuated: bool, revision: u64) -> EvacuationChange {
    EvacuationChange { zone: zone.into(), is_evacuated, revision: at(revision) }
}

fn told(zones: &[&str], revision: u64) -> EvacuatedZones {
    EvacuatedZones { zones: zones.iter().map(|z| (*z).into()).collect(), revision: at(revision) }
}

/// Hooks of an entry without load.
pub(super) fn idle_hooks() -> Hooks {
    Hooks {
        demand: Box::new(Vec::new),
        observe_demand: Box::new(|_| {}),
        observe_entries: Box::new(|_| {}),
        promise_news: Box::new(Vec::new),
        observe_promises: Box::new(|_, _| {}),
        loads: Box::new(Vec::new),
        observe_loads: Box::new(|_, _, _| {}),
        observe_group: Box::new(|_| {}),
        limit_news: Box::new(Vec::new),
        observe_limits: Box::new(|_| {}),
        part_news: Box::new(|_| Default::default()),
        observe_parts: Box::new(|_| {}),
        request_news: Box::new(|_| Default::default()),
        observe_requests: Box::new(|_| {}),
    }
}

/// A configuration of 1 MB fills a page, so that evacuations are on later ones. Other keys are neither
/// a configuration nor an evacuation, and values of evacuations have no meaning.
#[test]
fn follow_paged_read_own_keys_only() {
    on_one_thread(async {
        let (store, _) = follow_zones(&[]).await;
        store.put("op/config", CONFIG.to_owned() + &" ".repeat(1 << 20));
        for key in ["op/config2", "op/evacuate", "op/evacuated/x", "op/evacuate/"] {
            store.put(key, CONFIG.replace('7', "8"));
        }
        store.put_text("op/evacuate/b", r#""***""#);
        store.content.borrow_mut().page_items = Some(1);
        let catalog = catalog(store.server.address);
        wait_for_zones(&catalog, &["b"]).await;
        store.put("op/config/more", CONFIG.replace('7', "9"));
        store.put_text("op/evacuate/c", "null");
        wait_for_zones(&catalog, &["b", "c"]).await;
        assert_eq!(catalog.version(), 7);
    });
}

/// Without the setting, the store gets the calls that it got before there were evacuations.
#[test]
fn follow_no_setting_same_calls() {
    on_one_thread(async {
        let (store, _) = follow_zones(&["b"]).await;
        let (before, own) = (store.calls("/kv-range op/"), store.follow());
        store.wait_for_calls("/kv-watch op/config", 2).await;
        let calls = (store.calls("/kv-key"), store.calls("/kv-range op/"));
        assert_eq!((calls, own.told_evacuations()), ((1, before), None));
    });
}

/// Guards against an evacuation without end: the store no longer has the history with its deletion.
#[test]
fn follow_deletion_missed_read_in_full() {
    on_one_thread(async {
        let (store, catalog) = follow_zones(&["b"]).await;
        store.delete_unseen("op/evacuate/b");
        store.content.borrow_mut().gone_prefix = Some("op/");
        wait_for_zones(&catalog, &[]).await;
    });
}

/// While the store is away, the set stays and a peer's later one is taken; then the watch goes on from
/// there, though a peer's configuration is as of a later revision.
#[test]
fn follow_store_away_set_kept() {
    on_one_thread(async {
        let (store, catalog) = follow_zones(&["b"]).await;
        store.content.borrow_mut().cut_prefix = Some("op/");
        store.wait_for_calls("/kv-watch op/", 3).await;
        assert!(catalog.is_store_failing() && catalog.told_evacuations() == Some(told(&["b"], 2)));
        store.put("op/evacuate/c", "{}");
        assert!(catalog.apply_peer_evacuations(Some(told(&["b", "c"], 3))));
        wait_for_zones(&catalog, &["b", "c"]).await;
        store.put("op/evacuate/d", "{}");
        catalog.apply_config(CONFIG.replace('7', "8").into(), at(4), "peer");
        store.delete("op/evacuate/b");
        store.content.borrow_mut().cut_prefix = None;
        wait_for_zones(&catalog, &["c", "d"]).await;
    });
}

/// Late answers of peers, and of a store that answers from before, must not bring back an earlier set.
#[test]
fn apply_earlier_revision_ignored() {
    let mut own = Evacuations::default();
    assert!(own.apply_read(&[change("a", true, 2)], at(4)), "the first set");
    assert_eq!(own.apply_peer(told(&["a", "b"], 9)), Some(true));
    assert_eq!(own.apply_peer(told(&["a"], 8)), Some(false));
    assert!(!own.apply_read(&[change("a", true, 2)], at(8)));
    // A watch that began before the peer's set repeats changes that the set includes.
    assert!(!own.apply_watch(&[change("b", true, 5), change("b", false, 6)], at(8)));
    assert!(own.apply_watch(&[change("a", false, 10)], at(11)));
    assert_eq!(own.told(), Some(told(&["b"], 11)));
}

/// An invalid name is ignored by itself; in a peer's set it shows that the datagram is not sound.
#[rstest]
fn apply_zone_name_invalid(
    #[values("", "a b", "a\n", "zürich", &"é".repeat(40), &"x".repeat(65))] name: &str,
) {
    let mut own = Evacuations::default();
    assert!(own.apply_read(&[change(name, true, 2), change("b", true, 3)], at(4)));
    assert_eq!(own.apply_peer(told(&["b", name], 9)), None);
    assert_eq!(own.told(), Some(told(&["b"], 4)));
}

/// Entries that rely on readers, and one that never reaches the store, learn of evacuations from
/// peers. Each has its own store, which stays behind, and must not bring back the earlier set.
#[test]
fn follow_large_fleet_peers_tell() {
    on_one_thread(async {
        let [.., high, low] = std::process::id().to_be_bytes();
        let address = |number| SocketAddr::from(([127, high, low, number], 7841));
        let mut fleet = Vec::new();
        for number in 101..=116 {
            let (store, mut catalog) = follow_zones(&["old"]).await;
            if number == 116 {
                catalog = self::catalog(address(117)); // nothing listens there
            }
            let (seeds, incarnation) = ((101..=116).map(address).collect(), Incarnation(1));
            let (address, zone) = (address(number), "a".into());
            let settings = PeerSettings { address, seeds, zone, incarnation };
            let peers = Peers::bind(settings, catalog.clone(), Clock::start(), idle_hooks()).await;
            fleet.push((store, catalog, peers.unwrap()));
        }
        let count = |role| fleet.iter().filter(|(_, c, _)| c.role() == role).count();
        while (count(StoreRole::Reader), count(StoreRole::Relying)) != (3, 13) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        for (store, ..) in fleet.iter().filter(|(_, c, _)| c.role() == StoreRole::Reader) {
            store.put("op/evacuate/new", "{}");
            store.delete("op/evacuate/old");
        }
        for (_, catalog, _) in &fleet {
            wait_for_zones(catalog, &["new"]).await;
        }
    });
}
