//! One attempt: a call to one agent, up to the whole reply or the start of a streamed one.

use super::codes;
use super::constants::WHOLE_BYTES_MAX;
use super::links::Links;
use super::request::Ask;
use crate::base::code::Code;
use crate::base::name::Name;
use crate::delivery::Failure;
use crate::drain::codes::PROCESS_STOPPING;
use crate::streams::Assembler;
use crate::wire::{Call, CallHead, LinkLost, Reply, ReplyHead};
use bytes::{Bytes, BytesMut};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// A reply that is whole.
pub(crate) struct WholeReply {
    pub(crate) head: ReplyHead,
    pub(crate) body: Bytes,
    pub(crate) code: Code,
}

/// A reply that is passed on as it comes.
pub(crate) struct OpenReply {
    pub(crate) head: ReplyHead,
    /// What has come of the body already.
    pub(crate) begun: Bytes,
    pub(crate) call: Call,
    pub(crate) assembler: Assembler,
}

/// What an attempt brought.
pub(crate) enum Brought {
    Whole(WholeReply),
    Open(Box<OpenReply>),
}

/// Where an attempt goes.
#[derive(Clone, Copy)]
pub(crate) struct Target<'a> {
    pub(crate) upstream: &'a Name,
    pub(crate) agent: SocketAddr,
}

/// Makes one attempt at `target`, which may take until `deadline`.
///
/// # Errors
/// How it failed; nothing of a reply was passed on.
pub(crate) async fn attempt(
    ask: &Ask,
    target: Target<'_>,
    links: &Links,
    remaining: Duration,
    deadline: Instant,
) -> Result<Brought, Failure> {
    let sending = async {
        let link = links.get(target.agent, target.upstream).await.map_err(Failure::Unsent)?;
        link.call(call_head(ask, remaining), ask.body.clone()).await.map_err(lost)
    };
    // A call that is dropped before it is queued is never written.
    let late = Failure::Unsent(codes::REPLY_LATE);
    let mut call = timeout_at(deadline, sending).await.map_err(|_| late)??;
    let received = timeout_at(deadline, receive(&mut call)).await;
    if matches!(received, Ok(Err(Failure::Refused(PROCESS_STOPPING)))) {
        links.retire(target.agent);
    }
    match received {
        Ok(received) => received.map(|r| r.brought(call)),
        Err(_) if call.withdraw() => Err(late),
        Err(_) => Err(Failure::Lost(codes::REPLY_LATE)),
    }
}

/// A reply as far as it was received.
struct Received {
    head: ReplyHead,
    body: BytesMut,
    assembler: Assembler,
    end: Option<Code>,
}

impl Received {
    fn brought(self, call: Call) -> Brought {
        let body = self.body.freeze();
        match self.end {
            Some(code) => Brought::Whole(WholeReply { head: self.head, body, code }),
            None => Brought::Open(Box::new(OpenReply {
                head: self.head,
                begun: body,
                call,
                assembler: self.assembler,
            })),
        }
    }
}

/// Receives a reply until it is whole, or has to be passed on as it comes.
async fn receive(call: &mut Call) -> Result<Received, Failure> {
    let head = match call.next().await.map_err(lost)? {
        Reply::Head(head) => head,
        Reply::Failure(failure) => return Err(Failure::Refused(failure.code)),
        Reply::Piece { .. } | Reply::End(_) => return Err(Failure::Lost(codes::REPLY_CORRUPT)),
    };
    let streams = is_event_stream(&head);
    let mut received =
        Received { head, body: BytesMut::new(), assembler: Assembler::new(call.tag()), end: None };
    if streams {
        // The first event is awaited, so that a stalled engine can still be given up unseen.
        received.take(call).await?;
    }
    while !streams && received.end.is_none() && received.body.len() <= WHOLE_BYTES_MAX {
        received.take(call).await?;
    }
    Ok(received)
}

impl Received {
    async fn take(&mut self, call: &mut Call) -> Result<(), Failure> {
        match call.next().await.map_err(lost)? {
            Reply::Piece { sequence, data } => {
                let next = self.assembler.accept_piece(call.tag(), sequence, &data);
                call.consume(data.len());
                if next.map_err(Failure::Lost)? {
                    self.body.extend_from_slice(&data);
                }
            }
            Reply::End(end) => {
                if self.assembler.accept_end(call.tag(), &end).map_err(Failure::Lost)? {
                    self.end = Some(end.code);
                }
            }
            Reply::Failure(failure) => return Err(Failure::Refused(failure.code)),
            Reply::Head(_) => return Err(Failure::Lost(codes::REPLY_CORRUPT)),
        }
        Ok(())
    }
}

/// Whether the reply is an event stream.
pub(crate) fn is_event_stream(head: &ReplyHead) -> bool {
    let kind = head.headers.iter().find(|h| h.name == "content-type");
    kind.is_some_and(|h| h.value.starts_with(b"text/event-stream"))
}

fn lost(lost: LinkLost) -> Failure {
    let code = crate::wire::codes::LINK_CLOSED;
    if lost.written { Failure::Lost(code) } else { Failure::Unsent(code) }
}

fn call_head(ask: &Ask, remaining: Duration) -> CallHead {
    CallHead {
        request: ask.id,
        workspace: ask.caller.workspace.clone(),
        service: ask.service.clone(),
        method: ask.method.clone(),
        path: ask.path.clone(),
        headers: ask.headers.clone(),
        action: ask.action,
        key: ask.key.clone(),
        priority: ask.priority,
        remaining,
    }
}
