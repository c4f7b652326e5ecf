//! Counts what is held for each client until its connection has accepted it, and cuts the slowest
//! readers when memory is short.

use super::bounds::MemoryBounds;
use super::codes;
use super::constants::PIECE_BYTES;
use super::events;
use super::readers::{ClientId, SlowReaders};
use crate::base::clock::Clock;
use crate::base::metered::Meter;
use crate::base::name::Name;
use bytes::{Buf, Bytes};
use indexmap::IndexMap;
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// All client connections.
pub(crate) struct Clients {
    clock: Clock,
    pub(crate) bounds: MemoryBounds,
    readers: RefCell<SlowReaders>,
    open: RefCell<IndexMap<ClientId, Weak<Client>>>,
    next_id: Cell<ClientId>,
    was_short: Cell<bool>,
    cuts: Cell<u64>,
}

/// A client connection.
pub(crate) struct Client {
    id: ClientId,
    all: Rc<Clients>,
    meter: Rc<Meter>,
    /// Id of its last request.
    request: RefCell<Option<Name>>,
    /// Cancelled when the client is cut.
    cut: CancellationToken,
    /// Notified when something was delivered.
    delivered: Notify,
    /// Whether its stream is not read, since its bound is reached.
    is_full: Cell<bool>,
}

/// Bytes for a client, which count as held for it until its connection has accepted the last one.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    bytes: Bytes,
    _charge: Option<Charge>,
}

struct Charge {
    client: Rc<Client>,
    bytes: usize,
    arrived: Duration,
}

/// A stream that is not read, since the bound of its client is reached.
struct Full<'a>(&'a Client);

impl Clients {
    pub(crate) fn new(clock: Clock, bounds: MemoryBounds) -> Rc<Self> {
        Rc::new(Self {
            clock,
            bounds,
            readers: RefCell::new(SlowReaders::new(bounds.clients)),
            open: RefCell::default(),
            next_id: Cell::default(),
            was_short: Cell::default(),
            cuts: Cell::default(),
        })
    }

    /// Records a client connection whose reads and writes `meter` observes.
    pub(crate) fn open(self: &Rc<Self>, meter: Rc<Meter>) -> Rc<Client> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let client = Rc::new(Client {
            id,
            all: self.clone(),
            meter,
            request: RefCell::default(),
            cut: CancellationToken::new(),
            delivered: Notify::new(),
            is_full: Cell::default(),
        });
        self.open.borrow_mut().insert(id, Rc::downgrade(&client));
        client
    }

    /// Bytes held for all clients.
    pub(crate) fn held(&self) -> usize {
        self.readers.borrow().total()
    }

    /// Number of clients cut since the previous call.
    pub(crate) fn take_cuts(&self) -> u64 {
        self.cuts.take()
    }

    /// Counts the buffers of connections that stand still, and cuts the slowest readers if memory is
    /// short. Called at intervals, since both change as time passes.
    pub(crate) fn review(&self) {
        for client in self.open.borrow().values().filter_map(Weak::upgrade) {
            client.count_buffers();
        }
        self.cut_slowest();
    }

    fn cut_slowest(&self) {
        let now = self.clock.now();
        loop {
            let next = self.readers.borrow_mut().next_cut(now);
            self.log_state();
            let Some(cut) = next else { return };
            let client = self.open.borrow().get(&cut.client).and_then(Weak::upgrade);
            let Some(client) = client else { continue };
            self.cuts.set(self.cuts.get() + 1);
            tracing::warn!(
                event = events::READER_CUT,
                request = client.request.borrow().as_ref().map(Name::as_str),
                code = %codes::READER_SLOW,
                held = cut.held,
                oldest_ms = cut.oldest.as_millis() as u64,
                total = cut.total,
                limit = self.bounds.clients,
                "slow reader cut"
            );
            client.cut.cancel();
        }
    }

    fn log_state(&self) {
        let readers = self.readers.borrow();
        let short = readers.is_short();
        if self.was_short.replace(short) != short {
            let (held, clients) = (readers.total(), readers.count());
            let limit = self.bounds.clients;
            let event = events::CLIENT_MEMORY;
            tracing::warn!(event, short, held, limit, clients, "memory for clients");
        }
    }
}

impl Client {
    /// Records the id of the request that is answered next.
    pub(crate) fn begin(&self, request: &Name) {
        self.request.replace(Some(request.clone()));
    }

    /// Counts `bytes` as held for the client until its connection has accepted them.
    pub(crate) fn hold(self: &Rc<Self>, bytes: Bytes) -> HeldBytes {
        let arrived = self.all.clock.now();
        let charge = Charge { client: self.clone(), bytes: bytes.len() + PIECE_BYTES, arrived };
        self.all.readers.borrow_mut().add(self.id, charge.bytes, arrived);
        self.count_buffers();
        self.all.cut_slowest();
        HeldBytes { bytes, _charge: Some(charge) }
    }

    /// Waits until `bytes` may be held for the client within its bound. A client for which nothing is
    /// held gets any piece.
    pub(crate) async fn wait_for_room(&self, bytes: usize) {
        if self.has_room(bytes) {
            return;
        }
        let _full = Full::new(self);
        while !self.has_room(bytes) {
            self.delivered.notified().await;
        }
    }

    /// Waits until the client is cut.
    pub(crate) async fn cut(&self) {
        self.cut.cancelled().await;
    }

    /// Whether the client is being cut.
    pub(crate) fn is_cut(&self) -> bool {
        self.cut.is_cancelled()
    }

    fn has_room(&self, bytes: usize) -> bool {
        let held = self.all.readers.borrow().pieces_of(self.id);
        let bound = self.all.bounds.client;
        held == 0 || bound.is_none_or(|bound| held + bytes + PIECE_BYTES <= bound)
    }

    /// Counts what the buffers of connections hold that stand still for the client.
    fn count_buffers(&self) {
        let bounds = &self.all.bounds;
        let kernel = if self.meter.is_blocked() { bounds.client_kernel() } else { 0 };
        let unread = if self.is_full.get() { bounds.replica_unread() } else { 0 };
        self.all.readers.borrow_mut().set_buffers(self.id, kernel + unread);
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.all.readers.borrow_mut().set_buffers(self.id, 0);
        self.all.open.borrow_mut().swap_remove(&self.id);
    }
}

impl<'a> Full<'a> {
    fn new(client: &'a Client) -> Self {
        client.is_full.set(true);
        client.count_buffers();
        Self(client)
    }
}

impl Drop for Full<'_> {
    fn drop(&mut self) {
        self.0.is_full.set(false);
        self.0.count_buffers();
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let Client { id, all, delivered, .. } = &*self.client;
        all.readers.borrow_mut().remove(*id, self.bytes, self.arrived);
        self.client.count_buffers();
        delivered.notify_one();
    }
}

impl std::fmt::Debug for Charge {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Charge").field("bytes", &self.bytes).finish_non_exhaustive()
    }
}

impl HeldBytes {
    /// Counts them for `client`.
    pub(crate) fn count_for(&mut self, client: &Rc<Client>) {
        *self = client.hold(std::mem::take(&mut self.bytes));
    }
}

impl From<Bytes> for HeldBytes {
    /// Bytes that do not count for any client.
    fn from(bytes: Bytes) -> Self {
        Self { bytes, _charge: None }
    }
}

impl Buf for HeldBytes {
    fn remaining(&self) -> usize {
        self.bytes.len()
    }

    fn chunk(&self) -> &[u8] {
        &self.bytes
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
    }
}
