//! Weights that are read at a limited rate, shared by all readers.

use super::server::Shared;
use crate::http::body::{Body, streamed};
use bytes::Bytes;
use std::io;
use std::sync::Arc;
use tokio::time::sleep;

/// Bytes that are sent at a time.
const PIECE_BYTES: u64 = 64 << 10;

struct Read {
    shared: Arc<Shared>,
    left: u64,
}

/// A body of `size` bytes at the store's rate.
pub(crate) fn body(shared: &Arc<Shared>, size: u64) -> Body {
    let read = Read { shared: shared.clone(), left: size };
    streamed(futures_util::stream::unfold(read, next))
}

async fn next(mut read: Read) -> Option<(io::Result<Bytes>, Read)> {
    if read.left == 0 {
        return None;
    }
    let size = read.left.min(PIECE_BYTES);
    let wait = read.shared.reserve_weights(size);
    sleep(wait).await;
    read.left -= size;
    Some((Ok(Bytes::from(vec![0; size as usize])), read))
}
