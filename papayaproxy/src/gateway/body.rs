//! Response bodies sent to clients.

use super::clients::{Client, HeldBytes};
use super::pacing::Pacer;
use super::process::InFlight;
use crate::base::clock::Clock;
use bytes::{Buf, Bytes};
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::mpsc::Receiver;
use tokio::time::{Sleep, sleep};
use tokio_util::sync::DropGuard;

pub(crate) enum ResponseBody {
    /// A complete body; `None` once it has been sent, or if it is empty.
    Full(Option<HeldBytes>),
    /// The body of a stream in progress.
    Relay(RelayBody),
}

/// Part of a stream that its relay passes on.
#[derive(Debug)]
pub(crate) enum RelayFrame {
    /// Whole events, and the time on the process clock at which they arrived.
    Events(HeldBytes, Duration),
    /// The stream is complete.
    End,
}

/// The body of a stream, fed by its relay. If the relay ends without [`RelayFrame::End`], the
/// connection closes without a proper end of the body, so that the client sees that it is
/// incomplete.
pub(crate) struct RelayBody {
    frames: Receiver<RelayFrame>,
    pacer: Pacer,
    clock: Clock,
    /// The next events and the timer of their release.
    held: Option<(HeldBytes, Pin<Box<Sleep>>)>,
    /// Cancels the relay when the body is dropped.
    _stop: DropGuard,
    /// Counts the request as in progress until its last event has been sent.
    _in_flight: Rc<InFlight>,
}

impl RelayBody {
    /// A body of the events from `frames`, released as `pacer` decides.
    pub(crate) fn new(
        frames: Receiver<RelayFrame>,
        pacer: Pacer,
        clock: Clock,
        stop: DropGuard,
        in_flight: Rc<InFlight>,
    ) -> Self {
        Self { frames, pacer, clock, held: None, _stop: stop, _in_flight: in_flight }
    }

    fn poll_events(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<HeldBytes>>> {
        if self.held.is_none() {
            let (bytes, arrived) = match ready!(self.frames.poll_recv(context)) {
                Some(RelayFrame::Events(bytes, arrived)) => (bytes, arrived),
                Some(RelayFrame::End) => return Poll::Ready(None),
                None => return Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into()))),
            };
            let wait = self.pacer.release_at(arrived).saturating_sub(self.clock.now());
            if wait.is_zero() {
                return Poll::Ready(Some(Ok(bytes)));
            }
            self.held = Some((bytes, Box::pin(sleep(wait))));
        }
        if let Some((_, timer)) = &mut self.held {
            ready!(timer.as_mut().poll(context));
        }
        Poll::Ready(self.held.take().map(|(bytes, _)| Ok(bytes)))
    }
}

impl ResponseBody {
    /// A complete body that consists of `bytes`.
    pub(crate) fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()).filter(|b: &Bytes| !b.is_empty()).map(HeldBytes::from))
    }

    /// Counts a complete body as held for `client` until its connection has accepted it.
    pub(crate) fn count_for(&mut self, client: &Rc<Client>) {
        if let Self::Full(Some(bytes)) = self {
            bytes.count_for(client);
        }
    }
}

impl Body for ResponseBody {
    type Data = HeldBytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<HeldBytes>>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Relay(relay) => {
                relay.poll_events(context).map(|events| events.map(|e| e.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.remaining() as u64))
            }
            Self::Relay(_) => SizeHint::default(),
        }
    }
}
