//! The sending half of a link: a queue of frames and the task that writes them to the socket.

use super::codec::FrameEncoder;
use super::constants::{BATCH_FRAMES, OUTBOX_FRAMES};
use super::context::LinkContext;
use super::error::WireError;
use super::frame::{Envelope, Frame};
use super::sending::SendState;
use bytes::BytesMut;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio_util::codec::Encoder;

/// A queued frame.
pub(crate) struct Outgoing {
    frame: Frame,
    /// Claimed before the first byte of the frame can reach the socket; `None` for a frame that
    /// cannot be withdrawn.
    sending: Option<SendState>,
}

/// Queues frames for the writer task of a link.
#[derive(Clone)]
pub(crate) struct Outbox {
    sender: mpsc::Sender<Outgoing>,
}

impl Outbox {
    pub(crate) fn new() -> (Self, mpsc::Receiver<Outgoing>) {
        let (sender, receiver) = mpsc::channel(OUTBOX_FRAMES);
        (Self { sender }, receiver)
    }

    /// Queues a frame, waiting while the queue is full. Fails once the link is closed.
    pub(crate) async fn send(&self, frame: Frame) -> Result<(), WireError> {
        let outgoing = Outgoing { frame, sending: None };
        self.sender.send(outgoing).await.map_err(|_| WireError::Closed)
    }

    /// Queues a frame that the writer skips if the caller withdraws it first.
    pub(crate) async fn send_tracked(
        &self,
        frame: Frame,
        sending: SendState,
    ) -> Result<(), WireError> {
        let outgoing = Outgoing { frame, sending: Some(sending) };
        self.sender.send(outgoing).await.map_err(|_| WireError::Closed)
    }

    /// Queues a frame unless the queue is full; returns whether it was queued.
    pub(crate) fn try_send(&self, frame: Frame) -> bool {
        self.sender.try_send(Outgoing { frame, sending: None }).is_ok()
    }
}

/// Writes queued frames until the queue or the socket closes. Frames still queued then are never
/// written.
pub(crate) async fn write_frames(
    mut socket: OwnedWriteHalf,
    mut encoder: FrameEncoder,
    mut queue: mpsc::Receiver<Outgoing>,
    context: Arc<LinkContext>,
) -> Result<(), WireError> {
    let mut batch = Vec::with_capacity(BATCH_FRAMES);
    let mut bytes = BytesMut::new();
    while queue.recv_many(&mut batch, BATCH_FRAMES).await > 0 {
        for outgoing in batch.drain(..) {
            if outgoing.sending.is_some_and(|s| !s.claim()) {
                continue;
            }
            let envelope = Envelope { generation: context.generation(), frame: outgoing.frame };
            encoder.encode(&envelope, &mut bytes)?;
        }
        socket.write_all_buf(&mut bytes).await?;
        bytes.clear();
    }
    Ok(())
}
