//! Times and sizes of the exchange between entries.

use std::time::Duration;

/// Pause between two beats to each peer in a small fleet; pictures of the load are this old.
pub(crate) const BEAT_INTERVAL: Duration = Duration::from_millis(150);
/// Peers for which the usual pause holds; it grows in proportion beyond, so that the datagrams that
/// a host takes in a second stay the same.
pub(crate) const BEAT_PEERS: usize = 20;
/// Least pause between two sums of what the peers run; beats come more often in a large fleet.
pub(crate) const LEARN_INTERVAL: Duration = Duration::from_millis(50);
/// Silence after which a peer counts as away: several lost datagrams in a row.
pub(crate) const PEER_SILENCE: Duration = Duration::from_millis(1500);
/// Silence of all peers in all other availability zones after which this one counts as cut off.
pub(crate) const ZONE_SILENCE: Duration = Duration::from_millis(700);
/// Silence after which a peer is forgotten; replaced hosts come with new addresses.
pub(crate) const PEER_FORGET: Duration = Duration::from_secs(30);
/// One beat in so many names other peers.
pub(crate) const NAMES_EVERY: u64 = 5;
/// Peers named in one beat, so that it fits one datagram.
pub(crate) const NAMES_MAX: usize = 48;
/// Upstreams whose load one beat tells, so that it fits one datagram.
pub(crate) const LOADS_MAX: usize = 160;
/// Largest datagram, in bytes; below the usual path limit.
pub(crate) const DATAGRAM_BYTES: usize = 1400;

/// Age of the proof of freshness at which peers are asked; the store renews it more often.
pub(crate) const ASK_AGE: Duration = Duration::from_millis(2800);
/// Pause between two looks at what is missing.
pub(crate) const ASK_INTERVAL: Duration = Duration::from_millis(300);
/// Peers asked at a time.
pub(crate) const ASK_PEERS: usize = 3;
/// Time for one transfer from a peer.
pub(crate) const PULL_LIMIT: Duration = Duration::from_millis(800);
/// Largest frame of a transfer, in bytes: the store's largest value and its frame.
pub(crate) const FRAME_BYTES: usize = 2 << 20;
