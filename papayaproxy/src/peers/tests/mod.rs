//! Tests of the exchange between entries.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use crate::base::name::Incarnation;
use crate::peers::constants::{PEER_SILENCE, ZONE_SILENCE};
use crate::peers::message::{Heartbeat, UpstreamLoad, digest};
use crate::peers::table::Table;
use std::net::SocketAddr;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(5);

fn address(last: u8) -> SocketAddr {
    format!("10.0.0.{last}:7000").parse().unwrap()
}

fn beat(zone: &str, incarnation: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        zone: zone.into(),
        incarnation: Incarnation(incarnation),
        sequence,
        version: 3,
        names: Vec::new(),
        loads: vec![UpstreamLoad { upstream: digest("i-1"), running: 2, tokens: 900 }],
    }
}

#[test]
fn heard_names_learned() {
    let mut table = Table::new(address(1), vec![address(2)]);
    let mut first = beat("a", 1, 1);
    first.names = vec![address(3), address(1)];
    assert!(table.heard(address(2), first, NOW));
    assert_eq!(table.addresses(), vec![address(2), address(3)], "never itself");
    assert_eq!(table.entries(), 2, "a named entry counts only once it is heard");
}

/// After a start, who is named is greeted at once, and once; who is heard of counts as live.
#[test]
fn take_learned_named_once() {
    let mut table = Table::new(address(1), vec![address(2)]);
    assert_eq!(table.take_learned(), vec![address(2)], "seeds");
    let mut first = beat("a", 1, 1);
    first.names = vec![address(3), address(1), address(2)];
    assert!(!table.is_live(address(2)));
    table.heard(address(2), first.clone(), NOW);
    assert!(table.is_live(address(2)) && !table.is_live(address(3)));
    assert_eq!(table.take_learned(), vec![address(3)]);
    table.heard(address(2), Heartbeat { sequence: 2, ..first }, NOW);
    assert!(table.take_learned().is_empty());
}

#[test]
fn heard_late_beat_refused() {
    let mut table = Table::new(address(1), Vec::new());
    assert!(table.heard(address(2), beat("a", 1, 5), NOW));
    assert!(!table.heard(address(2), beat("a", 1, 4), NOW), "a datagram that was overtaken");
    assert!(table.heard(address(2), beat("a", 2, 1), NOW), "a later run counts anew");
    assert_eq!(table.running().get(&digest("i-1")), Some(&(2, 900)));
}

#[test]
fn advance_silent_load_dropped() {
    let mut table = Table::new(address(1), vec![address(2)]);
    table.heard(address(2), beat("a", 1, 1), NOW);
    assert!(table.advance(NOW + PEER_SILENCE * 2));
    assert!(table.running().is_empty());
    assert_eq!((table.entries(), table.most()), (1, 2));
    assert_eq!(table.addresses(), vec![address(2)], "seeds stay");
}

#[test]
fn cut_off_other_zones_silent() {
    let mut table = Table::new(address(1), Vec::new());
    assert!(!table.is_cut_off("a", NOW), "nobody is known");
    table.heard(address(2), beat("a", 1, 1), NOW);
    assert!(!table.is_cut_off("a", NOW + ZONE_SILENCE * 2), "only the own zone is known");
    table.heard(address(3), beat("b", 1, 1), NOW);
    table.heard(address(4), beat("c", 1, 1), NOW);
    assert!(!table.is_cut_off("a", NOW + ZONE_SILENCE / 2));
    let later = NOW + ZONE_SILENCE * 2;
    table.heard(address(2), beat("a", 1, 2), later);
    assert!(table.is_cut_off("a", later), "the own zone is heard, the others are not");
    table.heard(address(4), beat("c", 1, 2), later);
    assert!(!table.is_cut_off("a", later));
}
