//! Addresses that are given out once.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use super::free_addresses;
use std::collections::BTreeSet;

/// Two tests of one process were given the same port, and the second could not listen.
#[test]
fn free_addresses_never_twice() {
    let rounds = 400;
    let given: BTreeSet<_> = (0..rounds).flat_map(|_| free_addresses(5).unwrap()).collect();
    assert_eq!(given.len(), rounds * 5);
}
