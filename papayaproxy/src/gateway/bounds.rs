//! Bounds on what the entry holds, from the memory of its host. Without I/O or clock.

use super::constants::{BUFFER_BYTES_MAX, PIECE_BYTES, RELAY_QUEUE_FRAMES};
use crate::base::constants::ANSWER_BUFFER_BYTES;

/// Bounds in bytes. Those that are `None` are not set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemoryBounds {
    /// All buffered bodies of requests, and of answers until they are passed on.
    pub(crate) bodies: usize,
    /// All that is held for clients, with the buffers of connections that stand still.
    pub(crate) clients: Option<usize>,
    /// What is held for one client before its stream is read no further.
    pub(crate) client: Option<usize>,
    /// Frames of a stream that are held for its client.
    pub(crate) frames: usize,
    /// Size of the socket buffers of a client connection, each way.
    pub(crate) client_socket: Option<usize>,
    /// Size of the socket buffers of a connection to a replica, each way.
    pub(crate) replica_socket: Option<usize>,
}

/// Bytes of a megabyte, as the platform states memory.
const MEGABYTE: f64 = (1 << 20) as f64;
/// Part of the memory for buffered bodies, at most [`BUFFER_BYTES_MAX`].
const BODIES_FRACTION: usize = 6;
/// Part of the memory for clients that read slowly. Half of the memory is left for the process
/// itself and its connections.
const CLIENTS_FRACTION: usize = 4;
/// Part of the bytes for all clients that one may take. A stream of 8 s with an event of 200 bytes
/// each 5 ms is 0.7 MB with what each piece takes.
const CLIENT_FRACTION: usize = 16;
/// Range of the bound of one client, in bytes.
const CLIENT_RANGE: (usize, usize) = (256 << 10, 2 << 20);
/// Part of the memory for the socket buffer of one client connection: a host of 112 MB has 2,870
/// descriptors, and the kernel takes twice the size that is set.
const CLIENT_SOCKET_FRACTION: usize = 8192;
/// Range of the socket buffers of a client connection, in bytes.
const CLIENT_SOCKET_RANGE: (usize, usize) = (8 << 10, 64 << 10);
/// Part of the memory for the socket buffer of one connection to a replica, of which there are fewer.
const REPLICA_SOCKET_FRACTION: usize = 2048;
/// Range of the socket buffers of a connection to a replica, in bytes.
const REPLICA_SOCKET_RANGE: (usize, usize) = (32 << 10, 256 << 10);

impl MemoryBounds {
    /// Bounds for a host with `megabytes` of memory; zero if its memory is not known.
    pub(crate) fn new(megabytes: f64) -> Self {
        if megabytes <= 0.0 {
            return Self {
                bodies: BUFFER_BYTES_MAX,
                clients: None,
                client: None,
                frames: RELAY_QUEUE_FRAMES,
                client_socket: None,
                replica_socket: None,
            };
        }
        let memory = (megabytes * MEGABYTE) as usize;
        let part = |fraction: usize, (least, most)| (memory / fraction).clamp(least, most);
        let clients = memory / CLIENTS_FRACTION;
        let client = (clients / CLIENT_FRACTION).clamp(CLIENT_RANGE.0, CLIENT_RANGE.1);
        Self {
            bodies: (memory / BODIES_FRACTION).min(BUFFER_BYTES_MAX),
            clients: Some(clients),
            client: Some(client),
            // The bytes bind first, since each piece counts for this much at least.
            frames: client / PIECE_BYTES,
            client_socket: Some(part(CLIENT_SOCKET_FRACTION, CLIENT_SOCKET_RANGE)),
            replica_socket: Some(part(REPLICA_SOCKET_FRACTION, REPLICA_SOCKET_RANGE)),
        }
    }

    /// What the kernel holds at most for a client connection that accepts no further bytes. It takes
    /// twice the size that is set.
    pub(crate) fn client_kernel(&self) -> usize {
        self.client_socket.map_or(0, |b| b * 2)
    }

    /// What a connection to a replica holds at most while its stream is not read: a buffer, two frames
    /// of its size, and what the kernel holds.
    pub(crate) fn replica_unread(&self) -> usize {
        self.replica_socket.map_or(0, |b| 3 * ANSWER_BUFFER_BYTES + b * 2)
    }
}
