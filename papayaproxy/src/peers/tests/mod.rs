//! Tests of the exchange between entries.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod groups;
mod mutated;
mod size;

use crate::base::name::{Incarnation, Name};
use crate::peers::constants::{PEER_TIMEOUT, ZONE_TIMEOUT};
use crate::peers::message::{Heartbeat, UpstreamLoad, digest};
use crate::peers::table::Table;
use std::net::SocketAddr;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(5);

fn address(last: u8) -> SocketAddr {
    format!("10.0.0.{last}:7000").parse().unwrap()
}

fn heartbeat(zone: &str, incarnation: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        zone: zone.into(),
        incarnation: Incarnation(incarnation),
        sequence,
        version: 3,
        known_peers: Vec::new(),
        loads: vec![UpstreamLoad { upstream: digest("i-1"), running: 2, tokens: 900 }],
        demand: Vec::new(),
    }
}

#[test]
fn record_heartbeat_adds_known_peers() {
    let mut table = Table::new(address(1), vec![address(2)]);
    let mut first = heartbeat("a", 1, 1);
    first.known_peers = vec![address(3), address(1)];
    assert!(table.record_heartbeat(address(2), first, NOW));
    assert_eq!(table.addresses(), vec![address(2), address(3)], "its own address is not added");
    assert_eq!(table.live_entries(), 2, "an entry counts once its own heartbeat has arrived");
}

/// Each newly listed peer is returned once, to get a heartbeat at once after a start. Only the
/// sender of a heartbeat counts as live, not the peers that it lists.
#[test]
fn take_new_addresses_once() {
    let mut table = Table::new(address(1), vec![address(2)]);
    assert_eq!(table.take_new_addresses(), vec![address(2)], "seeds");
    let mut first = heartbeat("a", 1, 1);
    first.known_peers = vec![address(3), address(1), address(2)];
    let run = Incarnation(1);
    assert!(!table.is_live(address(2), run));
    table.record_heartbeat(address(2), first.clone(), NOW);
    assert!(table.is_live(address(2), run) && !table.is_live(address(3), run));
    assert!(!table.is_live(address(2), Incarnation(2)), "a later run has not been heard of");
    assert_eq!(table.take_new_addresses(), vec![address(3)]);
    table.record_heartbeat(address(2), Heartbeat { sequence: 2, ..first }, NOW);
    assert!(table.take_new_addresses().is_empty());
}

#[test]
fn record_heartbeat_late_ignored() {
    let mut table = Table::new(address(1), Vec::new());
    assert!(table.record_heartbeat(address(2), heartbeat("a", 1, 5), NOW));
    assert!(
        !table.record_heartbeat(address(2), heartbeat("a", 1, 4), NOW),
        "a datagram that arrives out of order"
    );
    assert!(
        table.record_heartbeat(address(2), heartbeat("a", 2, 1), NOW),
        "a new run starts its own sequence"
    );
    assert_eq!(table.peer_loads().get(&digest("i-1")), Some(&(2, 900)));
}

#[test]
fn expire_silent_load_dropped() {
    let mut table = Table::new(address(1), vec![address(2)]);
    table.record_heartbeat(address(2), heartbeat("a", 1, 1), NOW);
    assert!(table.expire(NOW + PEER_TIMEOUT * 2));
    assert!(table.peer_loads().is_empty());
    assert_eq!((table.live_entries(), table.size(NOW).most), (1, 2));
    assert_eq!(table.addresses(), vec![address(2)], "seeds stay");
}

#[test]
fn is_cut_off_other_zones_silent() {
    let mut table = Table::new(address(1), Vec::new());
    assert!(!table.is_cut_off("a", NOW), "no peer is known");
    table.record_heartbeat(address(2), heartbeat("a", 1, 1), NOW);
    assert!(!table.is_cut_off("a", NOW + ZONE_TIMEOUT * 2), "only peers of the own zone are known");
    table.record_heartbeat(address(3), heartbeat("b", 1, 1), NOW);
    table.record_heartbeat(address(4), heartbeat("c", 1, 1), NOW);
    assert!(!table.is_cut_off("a", NOW + ZONE_TIMEOUT / 2));
    let later = NOW + ZONE_TIMEOUT * 2;
    table.record_heartbeat(address(2), heartbeat("a", 1, 2), later);
    assert!(table.is_cut_off("a", later), "only the own zone sends heartbeats");
    table.record_heartbeat(address(4), heartbeat("c", 1, 2), later);
    assert!(!table.is_cut_off("a", later));
}

/// A table of `count` entries in the availability zones a, b and c in turn, this one included.
fn fleet(count: u8, heard_at: Duration) -> Table {
    let mut table = Table::new(address(1), Vec::new());
    for last in 2..=count {
        let zone = ["a", "b", "c"][usize::from(last) % 3];
        table.record_heartbeat(address(last), heartbeat(zone, last.into(), 1), heard_at);
    }
    table
}

/// Each zone of a large fleet has one reader, and all entries choose the same one.
#[test]
fn readers_one_each_zone() {
    let table = fleet(30, NOW);
    let readers = table.readers(&Name::from("b"));
    assert_eq!(readers.len(), 3);
    assert!(readers.values().all(|r| r.len() == 1), "{readers:?}");
    // Another entry's view: it is the one at address 5, in zone c.
    let mut other = Table::new(address(5), Vec::new());
    for last in (1..=30).filter(|last| *last != 5) {
        let zone = ["a", "b", "c"][usize::from(last) % 3];
        other.record_heartbeat(address(last), heartbeat(zone, last.into(), 1), NOW);
    }
    let others = other.readers(&Name::from("c"));
    assert!(readers.iter().all(|(zone, r)| others[zone] == *r), "{readers:?} {others:?}");
}

/// The reader of a zone is lost: the others choose the next one once it counts as down.
#[test]
fn readers_lost_replaced() {
    let mut table = fleet(30, NOW);
    let before = table.readers(&Name::from("b"));
    let lost = before["a"][0];
    let later = NOW + PEER_TIMEOUT;
    for last in 2..=30 {
        if address(last) != lost {
            let zone = ["a", "b", "c"][usize::from(last) % 3];
            table.record_heartbeat(address(last), heartbeat(zone, last.into(), 2), later);
        }
    }
    table.expire(later + Duration::from_millis(100));
    let after = table.readers(&Name::from("b"));
    assert_ne!(after["a"], before["a"]);
    assert_eq!(after["c"], before["c"]);
}

/// In a small fleet each entry reads for itself.
#[test]
fn readers_small_fleet_none() {
    assert!(fleet(9, NOW).readers(&Name::from("b")).is_empty());
}
