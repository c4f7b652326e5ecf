//! How many entries share the retry budgets.

use super::{NOW, address, heartbeat};
use crate::peers::constants::SETTLING_TIME_MAX;
use crate::peers::table::{FleetSize, Table};

fn heard(table: &mut Table, peers: impl IntoIterator<Item = u8>) {
    for peer in peers {
        table.record_heartbeat(address(peer), heartbeat("a", 1, 1), NOW);
    }
}

/// Two parts of a fleet that can't hear each other must not both share by what they have heard.
#[test]
fn size_most_seeds_needed() {
    let seeds = vec![address(1), address(2), address(3)];
    let mut one = Table::new(address(1), seeds.clone());
    let mut others = Table::new(address(4), seeds);
    heard(&mut one, 5..9);
    heard(&mut others, [2, 9]);
    assert_eq!(one.size(NOW), FleetSize { most: 5, sharing: None }, "itself, of three");
    assert_eq!(others.size(NOW).sharing, None, "one of three");
    heard(&mut others, [3]);
    assert_eq!(others.size(NOW), FleetSize { most: 4, sharing: Some(4) });
}

/// A process that starts behind a cut shares by what its peers saw before the cut.
#[test]
fn size_told_by_peer() {
    let mut table = Table::new(address(1), vec![address(2), address(3)]);
    heard(&mut table, [4]);
    table.record_told(30);
    assert_eq!(table.size(NOW), FleetSize { most: 2, sharing: Some(30) });
    table.record_told(8);
    assert_eq!(table.size(NOW).sharing, Some(30), "another peer has seen fewer");
}

/// Without any peer nothing tells how many others there are; only without seeds there are none. Seeds
/// that are gone for good must not take the share for good.
#[test]
fn size_seeds_silent() {
    assert_eq!(Table::new(address(1), Vec::new()).size(NOW).sharing, Some(1));
    let mut table = Table::new(address(1), vec![address(2)]);
    assert_eq!(table.size(SETTLING_TIME_MAX * 2).sharing, None, "nobody heard");
    heard(&mut table, [3]);
    assert_eq!(table.size(NOW).sharing, None);
    assert_eq!(table.size(SETTLING_TIME_MAX).sharing, Some(2));
}
