//! Response bodies sent to clients.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc::Receiver;
use tokio_util::sync::DropGuard;

pub(crate) enum ResponseBody {
    /// A complete body; `None` once it has been sent, or if it is empty.
    Full(Option<Bytes>),
    /// Frames received from the relay of a stream. An error closes the connection without a proper
    /// end of the body, so that the client sees that it is incomplete.
    Relay {
        frames: Receiver<io::Result<Bytes>>,
        /// Cancels the relay when the body is dropped.
        _stop: DropGuard,
    },
}

impl ResponseBody {
    /// A complete body that consists of `bytes`.
    pub(crate) fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()).filter(|b: &Bytes| !b.is_empty()))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Relay { frames, .. } => {
                frames.poll_recv(context).map(|frame| frame.map(|f| f.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Relay { .. } => SizeHint::default(),
        }
    }
}
