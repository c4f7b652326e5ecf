//! Which clients are cut when what is held for slow readers nears its limit. Without I/O or clock.

use super::constants::{SLOW_AGE_MIN, SLOW_BEGIN_FRACTION, SLOW_END_FRACTION};
use indexmap::IndexMap;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Identifies a client connection.
pub(crate) type ClientId = u64;

/// A client that is to be cut, and the inputs of the decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Cut {
    pub(crate) client: ClientId,
    /// Bytes held for it.
    pub(crate) held: usize,
    /// Age of its oldest undelivered bytes.
    pub(crate) oldest: Duration,
    /// Bytes held for all clients that are not being cut, this one included.
    pub(crate) total: usize,
}

/// What is held for the clients.
#[derive(Clone, Debug)]
pub(crate) struct SlowReaders {
    /// Limit of all bytes held; `None` cuts nobody.
    limit: Option<usize>,
    /// Clients for which bytes are held.
    clients: IndexMap<ClientId, Held>,
    /// Those not being cut that have undelivered pieces, by the arrival of the oldest one.
    by_age: BTreeSet<(Duration, ClientId)>,
    total: usize,
    /// Part of the total of clients that are being cut.
    leaving: usize,
    /// Whether slow readers are cut until the total is well below the limit.
    is_short: bool,
}

/// What is held for one client.
#[derive(Clone, Debug, Default)]
struct Held {
    /// Arrival and size of each piece that is not delivered, mostly in order of delivery.
    pieces: VecDeque<(Duration, usize)>,
    piece_bytes: usize,
    /// Bytes in the buffers of its connections.
    buffer_bytes: usize,
    is_leaving: bool,
}

impl SlowReaders {
    /// Nothing is held yet; `limit` is that of all clients together.
    pub(crate) fn new(limit: Option<usize>) -> Self {
        Self {
            limit,
            clients: IndexMap::new(),
            by_age: BTreeSet::new(),
            total: 0,
            leaving: 0,
            is_short: false,
        }
    }

    /// Bytes held for all clients.
    pub(crate) fn total(&self) -> usize {
        self.total
    }

    /// Number of clients for which bytes are held.
    pub(crate) fn count(&self) -> usize {
        self.clients.len()
    }

    /// Bytes of the pieces that are held for `client`.
    pub(crate) fn pieces_of(&self, client: ClientId) -> usize {
        self.clients.get(&client).map_or(0, |held| held.piece_bytes)
    }

    /// Whether slow readers are being cut.
    pub(crate) fn is_short(&self) -> bool {
        self.is_short
    }

    /// Records a piece for `client` that arrived at `now`.
    pub(crate) fn add(&mut self, client: ClientId, bytes: usize, now: Duration) {
        let held = self.clients.entry(client).or_default();
        if held.pieces.is_empty() && !held.is_leaving {
            self.by_age.insert((now, client));
        }
        held.pieces.push_back((now, bytes));
        held.piece_bytes += bytes;
        self.total += bytes;
        self.leaving += if held.is_leaving { bytes } else { 0 };
    }

    /// Records that a piece of `bytes` that arrived at `arrived` was delivered or given up.
    pub(crate) fn remove(&mut self, client: ClientId, bytes: usize, arrived: Duration) {
        let Some(held) = self.clients.get_mut(&client) else { return };
        // The first one, unless the connection was dropped with several.
        let Some(index) = held.pieces.iter().position(|p| *p == (arrived, bytes)) else { return };
        held.pieces.remove(index);
        held.piece_bytes -= bytes;
        self.total -= bytes;
        if held.is_leaving {
            self.leaving -= bytes;
        } else if index == 0 {
            self.by_age.remove(&(arrived, client));
            self.by_age.extend(held.pieces.front().map(|(at, _)| (*at, client)));
        }
        self.drop_empty(client);
    }

    /// Records the bytes in buffers of the connections that serve `client`, which stand still.
    pub(crate) fn set_buffers(&mut self, client: ClientId, bytes: usize) {
        if bytes == 0 && !self.clients.contains_key(&client) {
            return;
        }
        let held = self.clients.entry(client).or_default();
        let before = std::mem::replace(&mut held.buffer_bytes, bytes);
        self.total = self.total - before + bytes;
        if held.is_leaving {
            self.leaving = self.leaving - before + bytes;
        }
        self.drop_empty(client);
    }

    /// The next client to be cut, if there is one: the one with the oldest undelivered bytes. Below
    /// the limit only one that has not read for a while, so that a burst costs no usual reader its
    /// answer.
    pub(crate) fn next_cut(&mut self, now: Duration) -> Option<Cut> {
        let limit = self.limit?;
        let total = self.total - self.leaving;
        let bound = if self.is_short { SLOW_END_FRACTION } else { SLOW_BEGIN_FRACTION };
        self.is_short = total as f64 >= limit as f64 * bound;
        if !self.is_short {
            return None;
        }
        let (arrived, client) = self.by_age.first().copied()?;
        let oldest = now.saturating_sub(arrived);
        if oldest < SLOW_AGE_MIN && total < limit {
            return None;
        }
        self.by_age.remove(&(arrived, client));
        let held = self.clients.get_mut(&client)?;
        held.is_leaving = true;
        let bytes = held.piece_bytes + held.buffer_bytes;
        self.leaving += bytes;
        Some(Cut { client, held: bytes, oldest, total })
    }

    fn drop_empty(&mut self, client: ClientId) {
        let is_empty = |h: &Held| h.pieces.is_empty() && h.buffer_bytes == 0;
        if self.clients.get(&client).is_some_and(is_empty) {
            self.clients.swap_remove(&client);
        }
    }
}
