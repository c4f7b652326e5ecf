//! Counters of membership traffic.

use std::sync::atomic::{AtomicU64, Ordering};

/// Datagrams and bytes of one process, without UDP and IP headers.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Datagrams sent.
    pub sent: AtomicU64,
    /// Bytes sent.
    pub sent_bytes: AtomicU64,
    /// Datagrams received.
    pub received: AtomicU64,
    /// Bytes received.
    pub received_bytes: AtomicU64,
    /// Received datagrams that could not be authenticated or decoded.
    pub refused: AtomicU64,
    /// Datagrams that the socket did not accept for sending.
    pub dropped: AtomicU64,
}

impl Traffic {
    pub(crate) fn count_sent(&self, bytes: usize) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn count_received(&self, bytes: usize) {
        self.received.fetch_add(1, Ordering::Relaxed);
        self.received_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}
