//! The sending half of a link: a queue of frames and the task that writes them.

use super::codec::FrameEncoder;
use super::constants::{BATCH_FRAMES, OUTBOX_FRAMES};
use super::context::LinkContext;
use super::error::WireError;
use super::frame::{Envelope, Frame};
use super::sending::Sending;
use bytes::BytesMut;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio_util::codec::Encoder;

/// A frame that waits to be written.
pub(crate) struct Outgoing {
    frame: Frame,
    /// Asked before the first byte of the frame can reach the socket.
    sending: Option<Sending>,
}

/// Hands frames to the writing task of a link.
#[derive(Clone)]
pub(crate) struct Outbox {
    sender: mpsc::Sender<Outgoing>,
}

impl Outbox {
    pub(crate) fn new() -> (Self, mpsc::Receiver<Outgoing>) {
        let (sender, receiver) = mpsc::channel(OUTBOX_FRAMES);
        (Self { sender }, receiver)
    }

    /// Queues a frame, waiting for room. Fails once the link is closed.
    pub(crate) async fn send(&self, frame: Frame) -> Result<(), WireError> {
        let outgoing = Outgoing { frame, sending: None };
        self.sender.send(outgoing).await.map_err(|_| WireError::Closed)
    }

    /// Queues a frame that is skipped if it has been withdrawn by the time it would be written.
    pub(crate) async fn send_tracked(
        &self,
        frame: Frame,
        sending: Sending,
    ) -> Result<(), WireError> {
        let outgoing = Outgoing { frame, sending: Some(sending) };
        self.sender.send(outgoing).await.map_err(|_| WireError::Closed)
    }

    /// Queues a frame if there is room, for hints that may be lost with the link.
    pub(crate) fn try_send(&self, frame: Frame) -> bool {
        self.sender.try_send(Outgoing { frame, sending: None }).is_ok()
    }
}

/// Writes queued frames until the queue or the socket closes. What is still queued is never written.
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
            if outgoing.sending.is_some_and(|s| !s.write()) {
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
