//! Bodies that are buffered whole, within a limit on all of them together.

use super::constants::{LARGE_BODIES_FRACTION, REFUSAL_FRACTION, SMALL_BODY_BYTES};
use crate::base::error::with_sources;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use snafu::Snafu;
use std::cell::Cell;
use std::rc::Rc;

/// Why a body was not read to its end.
#[derive(Debug, Snafu)]
pub(crate) enum BufferError {
    /// The body alone is too large.
    #[snafu(display("body exceeds {limit} bytes"))]
    Oversized { limit: usize },
    /// All bodies together are too large.
    #[snafu(display("buffered bodies exceed {limit} bytes"))]
    Exhausted { limit: usize },
    #[snafu(display("body interrupted: {}", with_sources(source)), context(false))]
    Interrupted { source: hyper::Error },
}

/// Counts the bytes of all buffered bodies.
#[derive(Clone, Debug)]
pub(crate) struct BufferBudget {
    limit: usize,
    used: Rc<Cell<usize>>,
}

/// A buffered body, which counts until it is dropped.
#[derive(Debug)]
pub(crate) struct Buffered {
    pub(crate) bytes: Bytes,
    _charge: Charge,
}

#[derive(Debug)]
struct Charge {
    used: Rc<Cell<usize>>,
    bytes: usize,
}

impl BufferBudget {
    /// Allows `limit` bytes in total.
    pub(crate) fn new(limit: usize) -> Self {
        Self { limit, used: Rc::default() }
    }

    /// Whether a new request may find no room for its bodies.
    pub(crate) fn is_short(&self) -> bool {
        self.used.get() as f64 >= self.limit as f64 * REFUSAL_FRACTION
    }

    /// The part of the limit up to which a body that has grown to `bytes` may be buffered.
    fn limit_of(&self, bytes: usize) -> usize {
        match bytes > SMALL_BODY_BYTES {
            true => (self.limit as f64 * LARGE_BODIES_FRACTION) as usize,
            false => self.limit,
        }
    }

    /// Reads a body of at most `limit` bytes.
    ///
    /// # Errors
    /// The body ends early, or is larger than `limit` or than what is left for all bodies.
    pub(crate) async fn collect<B>(
        &self,
        mut body: B,
        limit: usize,
    ) -> Result<Buffered, BufferError>
    where
        B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
    {
        if body.size_hint().lower() > limit as u64 {
            return Err(BufferError::Oversized { limit });
        }
        let mut charge = Charge { used: self.used.clone(), bytes: 0 };
        let mut bytes: Vec<u8> = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            if bytes.len() + data.len() > limit {
                return Err(BufferError::Oversized { limit });
            }
            // The buffer grows in steps, and is what takes the memory.
            let total = bytes.len() + data.len();
            if total > bytes.capacity() {
                let grown = total.max(bytes.capacity() * 2).min(limit.max(total));
                if !charge.add(grown - bytes.capacity(), self.limit_of(grown)) {
                    return Err(BufferError::Exhausted { limit: self.limit });
                }
                bytes.reserve_exact(grown - bytes.len());
            }
            bytes.extend_from_slice(&data);
        }
        // What is kept for a client counts by its length from here on.
        bytes.shrink_to_fit();
        Ok(Buffered { bytes: bytes.into(), _charge: charge })
    }
}

impl Charge {
    fn add(&mut self, bytes: usize, limit: usize) -> bool {
        let used = self.used.get() + bytes;
        if used > limit {
            return false;
        }
        self.used.set(used);
        self.bytes += bytes;
        true
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.used.set(self.used.get().saturating_sub(self.bytes));
    }
}
