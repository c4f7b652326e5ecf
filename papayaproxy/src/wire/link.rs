//! The entry's side of a link: concurrent calls over one connection to an agent.

use super::codec::FrameDecoder;
use super::constants::{
    CONNECT_LIMIT, IDLE_PING_INTERVAL, PING_INTERVAL, REPLY_WINDOW_BYTES, SILENCE_LIMIT,
};
use super::context::LinkContext;
use super::error::WireError;
use super::frame::{CallHead, CallTag, Envelope, Frame, Reply};
use super::handshake::{self, Identity, Session};
use super::outbox::{Outbox, write_frames};
use super::sending::SendState;
use bytes::Bytes;
use futures_util::StreamExt;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};
use tokio_util::codec::FramedRead;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

/// Calls in progress by number; `None` once the link has closed.
type Calls = Mutex<Option<HashMap<u64, PendingCall>>>;

struct PendingCall {
    tag: CallTag,
    replies: mpsc::UnboundedSender<Reply>,
}

struct Shared {
    context: Arc<LinkContext>,
    peer: Identity,
    outbox: Outbox,
    calls: Calls,
    closed: CancellationToken,
}

/// A handle to a link to an agent.
#[derive(Clone)]
pub struct Link {
    shared: Arc<Shared>,
}

/// The link closed before the call's reply was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkLost {
    /// Whether any byte of the call may have reached the agent.
    pub written: bool,
}

/// A call in progress. Dropping it before its end cancels it at the agent.
pub struct Call {
    tag: CallTag,
    link: Arc<Shared>,
    replies: mpsc::UnboundedReceiver<Reply>,
    sending: SendState,
    consumed: u32,
    ended: bool,
}

impl Link {
    /// Connects to the agent at `address`.
    ///
    /// # Errors
    /// `WireError` if the connection or the handshake fails; no call has been sent.
    pub async fn open(address: SocketAddr, context: Arc<LinkContext>) -> Result<Self, WireError> {
        let (stream, session) = timeout(CONNECT_LIMIT, establish(address, &context))
            .await
            .map_err(|_| WireError::Handshake { reason: "no answer in time" })??;
        Ok(Self::spawn(stream, session, context))
    }

    fn spawn(stream: TcpStream, session: Session, context: Arc<LinkContext>) -> Self {
        let (read, write) = stream.into_split();
        let (outbox, queue) = Outbox::new();
        let shared = Arc::new(Shared {
            context: context.clone(),
            peer: session.peer,
            outbox,
            calls: Mutex::new(Some(HashMap::new())),
            closed: CancellationToken::new(),
        });
        let writer = write_frames(write, session.encoder, queue, context);
        tokio::spawn(run(shared.clone(), read, session.decoder, writer));
        Self { shared }
    }

    /// Returns the identity of the agent.
    pub fn peer(&self) -> &Identity {
        &self.shared.peer
    }

    /// Returns whether the link has closed.
    pub fn is_closed(&self) -> bool {
        self.shared.closed.is_cancelled()
    }

    /// Closes the link. Calls in progress fail with `LinkLost`.
    pub fn close(&self) {
        self.shared.closed.cancel();
    }

    /// Sends a call.
    ///
    /// # Errors
    /// `LinkLost`, with whether a byte of the call may have been written.
    pub async fn call(&self, head: CallHead, body: Bytes) -> Result<Call, LinkLost> {
        let tag = CallTag {
            caller: self.shared.context.identity.incarnation,
            call: self.shared.context.next_call(),
            workspace: xxh3_64(head.workspace.as_bytes()),
        };
        let (sender, replies) = mpsc::unbounded_channel();
        let sending = SendState::default();
        let call = Call {
            tag,
            link: self.shared.clone(),
            replies,
            sending: sending.clone(),
            consumed: 0,
            ended: false,
        };
        if !self.shared.register(tag, sender) {
            return Err(LinkLost { written: false });
        }
        let frame = Frame::Call { tag, head, body };
        let sent = self.shared.outbox.send_tracked(frame, sending).await;
        sent.map_err(|_| LinkLost { written: false })?;
        Ok(call)
    }
}

impl Call {
    /// Waits for the next part of the reply.
    ///
    /// # Errors
    /// `LinkLost` once the link has closed.
    pub async fn next(&mut self) -> Result<Reply, LinkLost> {
        let Some(reply) = self.replies.recv().await else {
            self.ended = true;
            return Err(LinkLost { written: !self.sending.withdraw() });
        };
        if matches!(reply, Reply::End(_) | Reply::Failure(_)) {
            self.finish();
        }
        Ok(reply)
    }

    /// Returns the tag that every part of the reply echoes.
    pub fn tag(&self) -> CallTag {
        self.tag
    }

    /// Withdraws the call before it is written. `false` if bytes of it may have reached the agent.
    pub fn withdraw(&self) -> bool {
        self.sending.withdraw()
    }

    /// Allows the agent to send `bytes` more, after the caller has consumed as many.
    pub fn consume(&mut self, bytes: usize) {
        self.consumed += bytes as u32;
        if self.consumed >= REPLY_WINDOW_BYTES / 2 {
            let frame = Frame::Credit { tag: self.tag, bytes: self.consumed };
            // If the queue is full, the credit is kept and sent with the next one.
            if self.link.outbox.try_send(frame) {
                self.consumed = 0;
            }
        }
    }

    fn finish(&mut self) {
        self.ended = true;
        self.link.remove(self.tag.call);
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.finish();
        if self.sending.withdraw() {
            return;
        }
        if !self.link.outbox.try_send(Frame::Cancel(self.tag)) {
            let outbox = self.link.outbox.clone();
            let tag = self.tag;
            if let Ok(runtime) = tokio::runtime::Handle::try_current() {
                runtime.spawn(async move { outbox.send(Frame::Cancel(tag)).await });
            }
        }
    }
}

impl Shared {
    fn register(&self, tag: CallTag, replies: mpsc::UnboundedSender<Reply>) -> bool {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(calls) = calls.as_mut() else {
            return false;
        };
        calls.insert(tag.call, PendingCall { tag, replies });
        true
    }

    fn has_calls(&self) -> bool {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.as_ref().is_some_and(|c| !c.is_empty())
    }

    fn remove(&self, call: u64) {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(calls) = calls.as_mut() {
            calls.remove(&call);
        }
    }

    /// Passes a reply to the call with its tag; a reply without such a call is dropped and counted.
    fn deliver(&self, tag: CallTag, reply: Reply) {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let pending = calls.as_ref().and_then(|c| c.get(&tag.call));
        match pending.filter(|c| c.tag == tag) {
            Some(pending) => {
                let _ = pending.replies.send(reply);
            }
            None => self.context.count_dropped(),
        }
    }

    fn receive(&self, envelope: Envelope) {
        self.context.observe(envelope.generation);
        match envelope.frame {
            Frame::Reply { tag, reply } => self.deliver(tag, reply),
            Frame::Ping(number) => {
                self.outbox.try_send(Frame::Pong(number));
            }
            _ => {}
        }
    }
}

async fn establish(
    address: SocketAddr,
    context: &LinkContext,
) -> Result<(TcpStream, Session), WireError> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let session = handshake::connect(&mut stream, &context.identity, &context.secrets).await?;
    Ok((stream, session))
}

/// Runs a link until it closes, then fails the calls still in progress.
async fn run(
    shared: Arc<Shared>,
    read: OwnedReadHalf,
    decoder: FrameDecoder,
    writer: impl Future<Output = Result<(), WireError>>,
) {
    // The writer is dropped with this block: frames still queued then are never written.
    tokio::select! {
        _ = writer => {}
        _ = read_frames(&shared, read, decoder) => {}
        () = shared.closed.cancelled() => {}
    }
    shared.closed.cancel();
    shared.context.stats.closed.fetch_add(1, Ordering::Relaxed);
    let calls = shared.calls.lock().unwrap_or_else(PoisonError::into_inner).take();
    drop(calls);
}

/// Reads frames and pings the agent; returns an error if the agent is silent after a ping.
async fn read_frames(
    shared: &Shared,
    read: OwnedReadHalf,
    decoder: FrameDecoder,
) -> Result<(), WireError> {
    let mut frames = FramedRead::new(read, decoder);
    let mut ticks = tokio::time::interval(PING_INTERVAL);
    let mut pinger = Pinger { last_frame: Instant::now(), first_ping: None, number: 0 };
    loop {
        tokio::select! {
            frame = frames.next() => {
                pinger.frame_received();
                shared.receive(frame.ok_or(WireError::Closed)??);
            }
            _ = ticks.tick() => pinger.tick(shared)?,
        }
    }
}

/// Schedules pings: at `PING_INTERVAL` while calls are in progress, otherwise only after
/// `IDLE_PING_INTERVAL` without a frame.
struct Pinger {
    last_frame: Instant,
    /// Time of the first ping since the last frame; `None` if no ping was sent since.
    first_ping: Option<Instant>,
    number: u64,
}

impl Pinger {
    fn frame_received(&mut self) {
        self.last_frame = Instant::now();
        self.first_ping = None;
    }

    fn tick(&mut self, shared: &Shared) -> Result<(), WireError> {
        if self.first_ping.is_some_and(|at| at.elapsed() > SILENCE_LIMIT) {
            return Err(WireError::Closed);
        }
        if shared.has_calls() || self.last_frame.elapsed() > IDLE_PING_INTERVAL {
            self.number += 1;
            self.first_ping.get_or_insert_with(Instant::now);
            shared.outbox.try_send(Frame::Ping(self.number));
        }
        Ok(())
    }
}
