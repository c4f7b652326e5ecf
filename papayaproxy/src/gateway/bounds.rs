//! Bounds on what the entry holds, from the memory of its host. Without I/O or clock.

use super::constants::{BUFFER_BYTES_MAX, PIECE_BYTES, RELAY_QUEUE_FRAMES};
use crate::base::constants::ANSWER_BUFFER_BYTES;
use crate::base::metered::SocketBuffers;

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
    /// Buffers of the kernel for a connection, to a client or a replica.
    pub(crate) sockets: Option<SocketBuffers>,
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
/// Bytes that the kernel holds unsent for a client before it accepts no more. Small send buffers would
/// bound this too, but also what is on its way: with 14 to 28 kB of them an answer of 1 MB took 10 to
/// 190 ms on a loopback interface, in place of 2 to 10 ms.
const UNSENT_BYTES: usize = 16 << 10;
/// Size of the socket buffers in bytes, each way. A receive buffer of less than two segments makes the
/// sender wait for its window: on a loopback interface, with segments of 64 kB and buffers of 56 kB, 48
/// answers of 60 kB stood still for more than half a second.
const SOCKET_BYTES: usize = 128 << 10;

impl MemoryBounds {
    /// Bounds for a host with `megabytes` of memory; zero if its memory is not known.
    pub(crate) fn new(megabytes: f64) -> Self {
        if megabytes <= 0.0 {
            return Self {
                bodies: BUFFER_BYTES_MAX,
                clients: None,
                client: None,
                frames: RELAY_QUEUE_FRAMES,
                sockets: None,
            };
        }
        let memory = (megabytes * MEGABYTE) as usize;
        let clients = memory / CLIENTS_FRACTION;
        let client = (clients / CLIENT_FRACTION).clamp(CLIENT_RANGE.0, CLIENT_RANGE.1);
        Self {
            bodies: (memory / BODIES_FRACTION).min(BUFFER_BYTES_MAX),
            clients: Some(clients),
            client: Some(client),
            // The bytes bind first, since each piece counts for this much at least.
            frames: client / PIECE_BYTES,
            sockets: Some(SocketBuffers { size: SOCKET_BYTES, unsent: UNSENT_BYTES }),
        }
    }

    /// What the kernel holds for a client that reads nothing, with its records.
    pub(crate) fn client_kernel(&self) -> usize {
        self.sockets.map_or(0, |s| 2 * s.unsent)
    }

    /// What a connection to a replica holds at most while its stream is not read: a buffer, two frames
    /// of its size, and what the kernel holds, which is twice the size that is set.
    pub(crate) fn replica_unread(&self) -> usize {
        self.sockets.map_or(0, |s| 3 * ANSWER_BUFFER_BYTES + 2 * s.size)
    }
}
