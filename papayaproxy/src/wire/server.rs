//! The agent's side of a link: receives calls and sends replies within the entry's credit.

use super::codec::FrameDecoder;
use super::constants::{CONNECT_LIMIT, IDLE_LIMIT, REPLY_WINDOW_BYTES};
use super::context::LinkContext;
use super::error::WireError;
use super::frame::{CallFailure, CallHead, CallTag, Envelope, Frame, Reply, ReplyEnd, ReplyHead};
use super::handshake::{self, Identity};
use super::outbox::{Outbox, write_frames};
use crate::base::code::Code;
use bytes::Bytes;
use futures_util::StreamExt;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::codec::FramedRead;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::Xxh3;

/// A call received by the agent.
pub struct IncomingCall {
    /// Identifies the call.
    pub tag: CallTag,
    /// The entry that sent it.
    pub peer: Identity,
    /// Request without its body.
    pub head: CallHead,
    /// Complete request body.
    pub body: Bytes,
    /// Cancelled when the caller has disconnected or the link has closed.
    pub cancelled: CancellationToken,
    /// Sends the reply.
    pub replier: Replier,
}

/// Sends the reply of one call.
pub struct Replier {
    tag: CallTag,
    outbox: Outbox,
    credit: Arc<Semaphore>,
    cancelled: CancellationToken,
    sequence: u64,
    length: u64,
    checksum: Xxh3,
}

/// The caller has disconnected or the link has closed; no further reply can be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

impl Replier {
    /// Sends status and headers.
    ///
    /// # Errors
    /// `Gone` if the caller has disconnected or the link has closed.
    pub async fn head(&mut self, head: ReplyHead) -> Result<(), Gone> {
        self.send(Reply::Head(head)).await
    }

    /// Sends the next piece, waiting for the entry's credit.
    ///
    /// # Errors
    /// `Gone` if the caller has disconnected or the link has closed.
    pub async fn piece(&mut self, data: Bytes) -> Result<(), Gone> {
        let mut rest = data;
        while !rest.is_empty() {
            let part = rest.split_to(rest.len().min(REPLY_WINDOW_BYTES as usize / 4));
            self.take_credit(part.len() as u32).await?;
            self.checksum.update(&part);
            self.length += part.len() as u64;
            let sequence = self.sequence;
            self.sequence += 1;
            self.send(Reply::Piece { sequence, data: part }).await?;
        }
        Ok(())
    }

    /// Completes the reply.
    ///
    /// # Errors
    /// `Gone` if the caller has disconnected or the link has closed.
    pub async fn end(mut self, code: Code) -> Result<(), Gone> {
        let checksum = self.checksum.digest();
        self.send(Reply::End(ReplyEnd { length: self.length, checksum, code })).await
    }

    /// Fails the call.
    ///
    /// # Errors
    /// `Gone` if the caller has disconnected or the link has closed.
    pub async fn fail(mut self, failure: CallFailure) -> Result<(), Gone> {
        self.send(Reply::Failure(failure)).await
    }

    async fn take_credit(&self, bytes: u32) -> Result<(), Gone> {
        tokio::select! {
            permit = self.credit.acquire_many(bytes) => {
                permit.map_err(|_| Gone)?.forget();
                Ok(())
            }
            () = self.cancelled.cancelled() => Err(Gone),
        }
    }

    async fn send(&mut self, reply: Reply) -> Result<(), Gone> {
        if self.cancelled.is_cancelled() {
            return Err(Gone);
        }
        self.outbox.send(Frame::Reply { tag: self.tag, reply }).await.map_err(|_| Gone)
    }
}

struct OpenCall {
    credit: Arc<Semaphore>,
    cancelled: CancellationToken,
}

/// State of one link with its calls in progress.
struct ServerLink {
    context: Arc<LinkContext>,
    peer: Identity,
    outbox: Outbox,
    open: Mutex<HashMap<CallTag, OpenCall>>,
    closed: CancellationToken,
}

/// Removes a call from its link when dropped at the end of its handler.
pub(crate) struct OpenGuard {
    link: Arc<ServerLink>,
    tag: CallTag,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let mut open = self.link.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.remove(&self.tag);
    }
}

/// Serves one accepted connection until it closes. `handle` starts the work on a call; it must not
/// block, and keeps the guard until the call's reply is finished.
pub(crate) async fn serve_link(
    mut stream: TcpStream,
    context: Arc<LinkContext>,
    handle: impl Fn(IncomingCall, OpenGuard),
) -> Result<(), WireError> {
    stream.set_nodelay(true)?;
    let accepted = handshake::accept(&mut stream, &context.identity, &context.secrets);
    let session = timeout(CONNECT_LIMIT, accepted)
        .await
        .map_err(|_| WireError::Handshake { reason: "no hello in time" })??;
    let (read, write) = stream.into_split();
    let (outbox, queue) = Outbox::new();
    let link = Arc::new(ServerLink {
        context: context.clone(),
        peer: session.peer,
        outbox,
        open: Mutex::new(HashMap::new()),
        closed: CancellationToken::new(),
    });
    // Cancels all calls of this link, however this function ends.
    let _closed = link.closed.clone().drop_guard();
    tokio::select! {
        end = write_frames(write, session.encoder, queue, context) => end,
        end = read_calls(&link, read, session.decoder, handle) => end,
    }
}

async fn read_calls(
    link: &Arc<ServerLink>,
    read: OwnedReadHalf,
    decoder: FrameDecoder,
    handle: impl Fn(IncomingCall, OpenGuard),
) -> Result<(), WireError> {
    let mut frames = FramedRead::new(read, decoder);
    loop {
        // An entry pings idle links, so a longer silence means that it has failed.
        let frame = timeout(IDLE_LIMIT, frames.next()).await;
        let frame = frame.map_err(|_| WireError::Closed)?;
        link.receive(frame.ok_or(WireError::Closed)??, &handle);
    }
}

impl ServerLink {
    fn receive(self: &Arc<Self>, envelope: Envelope, handle: &impl Fn(IncomingCall, OpenGuard)) {
        self.context.observe(envelope.generation);
        match envelope.frame {
            Frame::Call { tag, head, body } => self.start(tag, head, body, handle),
            Frame::Cancel(tag) => self.cancel(tag),
            Frame::Credit { tag, bytes } => self.credit(tag, bytes),
            Frame::Ping(number) => {
                self.outbox.try_send(Frame::Pong(number));
            }
            Frame::Pong(_) | Frame::Reply { .. } => {}
        }
    }

    fn start(
        self: &Arc<Self>,
        tag: CallTag,
        head: CallHead,
        body: Bytes,
        handle: &impl Fn(IncomingCall, OpenGuard),
    ) {
        let cancelled = self.closed.child_token();
        let credit = Arc::new(Semaphore::new(REPLY_WINDOW_BYTES as usize));
        let replier = Replier {
            tag,
            outbox: self.outbox.clone(),
            credit: credit.clone(),
            cancelled: cancelled.clone(),
            sequence: 0,
            length: 0,
            checksum: Xxh3::new(),
        };
        let entry = OpenCall { credit, cancelled: cancelled.clone() };
        self.open.lock().unwrap_or_else(PoisonError::into_inner).insert(tag, entry);
        let peer = self.peer.clone();
        let call = IncomingCall { tag, peer, head, body, cancelled, replier };
        handle(call, OpenGuard { link: self.clone(), tag });
    }

    fn cancel(&self, tag: CallTag) {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(call) = open.get(&tag) {
            call.cancelled.cancel();
        }
    }

    fn credit(&self, tag: CallTag, bytes: u32) {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(call) = open.get(&tag) {
            // The credit is capped at the window, also for a faulty peer.
            let room = REPLY_WINDOW_BYTES as usize
                - call.credit.available_permits().min(REPLY_WINDOW_BYTES as usize);
            call.credit.add_permits((bytes as usize).min(room));
        }
    }
}
