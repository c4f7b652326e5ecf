//! Intervals and limits of the exchange between entries.

use std::time::Duration;

/// Heartbeat interval in a small fleet, which is also the age that load reports reach.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
/// Peers up to which [`HEARTBEAT_INTERVAL`] applies. With more, the interval grows in proportion,
/// so that the rate of datagrams that a host receives stays the same.
pub(crate) const HEARTBEAT_PEERS: usize = 20;
/// Least interval between two updates of the peer loads; heartbeats arrive more often in a large
/// fleet.
pub(crate) const LOADS_INTERVAL: Duration = Duration::from_millis(50);
/// Time without a heartbeat after which a peer counts as down; covers several lost datagrams in a
/// row.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time without a heartbeat from any other availability zone after which this one counts as cut
/// off.
pub(crate) const ZONE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time without a message after which a peer or agent is removed; replacement hosts have new
/// addresses.
pub(crate) const PEER_RETENTION: Duration = Duration::from_secs(30);
/// Time from the start of a process after which it shares by the entries that it has heard of, even
/// if it has neither heard most seeds nor been told by a peer how many there are.
pub(crate) const SETTLING_TIME_MAX: Duration = Duration::from_secs(60);
/// One in this many heartbeats lists known peers.
pub(crate) const KNOWN_PEERS_EVERY: u64 = 5;
/// Peers listed in one heartbeat, so that it fits one datagram.
pub(crate) const KNOWN_PEERS_MAX: usize = 48;
/// Upstream loads in one heartbeat, so that it fits one datagram.
pub(crate) const LOADS_MAX: usize = 160;
/// Units of a rate in a heartbeat that make one request a second.
pub(crate) const RATE_UNITS: f64 = 16.0;
/// Rates of demand in one heartbeat.
pub(crate) const DEMAND_MAX: usize = 16;
/// Agents in one answer to a hello, so that it fits one datagram.
pub(crate) const CONTACTS_MAX: usize = 64;
/// Least interval between two queries for the members of one group.
pub(crate) const MEMBERS_QUERY_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a message after which a group is forgotten.
pub(crate) const GROUP_RETENTION: Duration = Duration::from_secs(30);
/// Size of the receive buffer in bytes: the members of the largest group.
pub(crate) const DATAGRAM_BYTES: usize = 8 << 10;

/// Entries from which on some read the store for the others.
pub(crate) const RELY_ENTRIES_MIN: usize = 16;
/// Least number of readers of the store in the whole fleet; each availability zone has at least one.
pub(crate) const READERS_MIN: usize = 3;
/// Checks of [`QUERY_INTERVAL`] between two queries of a relying entry to its reader.
pub(crate) const RELY_CHECKS: u64 = 2;
/// Age of the configuration or the upstream list from which a relying entry also queries readers of
/// other availability zones.
pub(crate) const RELY_DOUBT_AGE: Duration = Duration::from_millis(2000);
/// Longest delay of a query after a reader has announced a change, so that queries do not arrive at
/// once.
pub(crate) const CHANGE_DELAY_MAX: Duration = Duration::from_millis(60);
/// Age of the configuration from which peers are queried. The store confirms it more often, so that
/// peers are queried only if the store does not answer.
pub(crate) const QUERY_AGE: Duration = Duration::from_millis(2800);
/// Interval between two checks whether peers have to be queried.
pub(crate) const QUERY_INTERVAL: Duration = Duration::from_millis(300);
/// Peers queried at a time.
pub(crate) const QUERY_PEERS: usize = 3;
/// Timeout of one fetch from a peer.
pub(crate) const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest frame of a fetch, in bytes: the store's largest value with its framing.
pub(crate) const FRAME_BYTES: usize = 2 << 20;
