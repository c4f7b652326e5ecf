//! Bodies of the answers that we give.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc::Receiver;
use tokio_util::sync::DropGuard;

/// A whole answer, or a stream whose relay ends when the body is dropped.
pub(crate) enum ReplyBody {
    /// All bytes are there.
    Whole(Option<Bytes>),
    /// Frames of a relay; an error ends the connection without a proper end of the body.
    Relay {
        /// The frames.
        frames: Receiver<io::Result<Bytes>>,
        /// Stops the relay.
        _stop: DropGuard,
    },
}

impl ReplyBody {
    /// A whole body.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()).filter(|b: &Bytes| !b.is_empty()))
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Relay { frames, .. } => {
                frames.poll_recv(context).map(|frame| frame.map(|f| f.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Relay { .. } => SizeHint::default(),
        }
    }
}
