//! Seats at upstreams that leave the catalog, come back, or start anew under the same id.

use super::patterns::{START, balancer, granted, id, request};
use crate::balance::SendOutcome;
use crate::catalog::tests::at;
use crate::catalog::{Directory, UpstreamRecord};
use crate::peers::message::digest;

/// The directory without the upstream of `index`, and its record.
fn without(directory: &Directory, index: u16) -> (Directory, UpstreamRecord) {
    let mut rest = Directory::default();
    for (name, record) in directory.ready().filter(|(name, _)| **name != id(index)) {
        rest.put(name, record.clone(), at(1));
    }
    let (_, record) = directory.ready().find(|(name, _)| **name == id(index)).unwrap();
    (rest, record.clone())
}

/// The record of an upstream lapses and comes back while it serves a stream. The stream must count
/// again, else the upstream is given more than it can run.
#[test]
fn install_upstream_back_seats_kept() {
    let (mut balancer, directory, config) = balancer(&["a"]);
    let seat = granted(balancer.offer(request(1, START), START)).unwrap();
    let index = (0..4).find(|index| id(*index) == seat.upstream).unwrap();
    balancer.install(&config, &without(&directory, index).0, START);
    balancer.install(&config, &directory, START);
    assert_eq!(balancer.loads().len(), 1);
    balancer.release(&seat, SendOutcome::Good, START);
    assert!(balancer.loads().is_empty());
    assert_eq!(balancer.seats_counted(), 0);
}

/// An upstream starts anew under its id. What ends at the run before must not count as the end of a
/// request at the new one.
#[test]
fn release_upstream_started_anew_own_seat_kept() {
    let (mut balancer, directory, config) = balancer(&["a"]);
    let old = granted(balancer.offer(request(1, START), START)).unwrap();
    let index = (0..4).find(|index| id(*index) == old.upstream).unwrap();
    let (mut next, mut record) = without(&directory, index);
    record.started_ms += 1;
    next.put(&old.upstream, record, at(2));
    balancer.install(&config, &next, START);
    assert!(balancer.loads().is_empty());
    let mut tickets = 2..;
    let new = loop {
        let ticket = tickets.next().unwrap();
        let seat = granted(balancer.offer(request(ticket, START), START)).unwrap();
        if seat.upstream == old.upstream {
            break seat;
        }
    };
    balancer.release(&old, SendOutcome::Good, START);
    let running = |b: &crate::balance::Balancer| {
        let loads = b.loads();
        loads.iter().find(|l| l.upstream == digest(&new.upstream)).map(|l| l.running)
    };
    assert_eq!(running(&balancer), Some(1));
    balancer.release(&new, SendOutcome::Good, START);
    assert_eq!(running(&balancer), None);
}
