//! One attempt: a call to one agent, up to the complete reply or the start of a streamed one.

use super::codes;
use super::constants::BUFFERED_BYTES_MAX;
use super::links::Links;
use super::request::CheckedRequest;
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

/// A reply that was received completely.
pub(crate) struct CompleteReply {
    pub(crate) head: ReplyHead,
    pub(crate) body: Bytes,
    pub(crate) code: Code,
}

/// A reply that is forwarded as it arrives.
pub(crate) struct StreamedReply {
    pub(crate) head: ReplyHead,
    /// Start of the body, received before forwarding began.
    pub(crate) buffered: Bytes,
    pub(crate) call: Call,
    pub(crate) assembler: Assembler,
}

/// Reply that an attempt obtained.
pub(crate) enum AttemptReply {
    Complete(CompleteReply),
    Streamed(Box<StreamedReply>),
}

/// Upstream of an attempt and the address of its agent.
#[derive(Clone, Copy)]
pub(crate) struct Target<'a> {
    pub(crate) upstream: &'a Name,
    pub(crate) agent: SocketAddr,
}

/// Makes one attempt at `target`, until `deadline` at the latest.
///
/// # Errors
/// How the attempt failed; no part of a reply has been forwarded.
pub(crate) async fn attempt(
    request: &CheckedRequest,
    target: Target<'_>,
    links: &Links,
    remaining: Duration,
    deadline: Instant,
) -> Result<AttemptReply, Failure> {
    let send = async {
        let link = links.get(target.agent, target.upstream).await.map_err(Failure::Unsent)?;
        link.call(call_head(request, remaining), request.body.clone()).await.map_err(link_failure)
    };
    // A call that is dropped before it is queued is never written to the link.
    let expired = Failure::Unsent(codes::REPLY_LATE);
    let mut call = timeout_at(deadline, send).await.map_err(|_| expired)??;
    let received = timeout_at(deadline, receive(&mut call)).await;
    if matches!(received, Ok(Err(Failure::Refused(PROCESS_STOPPING)))) {
        links.retire(target.agent);
    }
    match received {
        Ok(received) => received.map(|r| r.into_reply(call)),
        Err(_) if call.withdraw() => Err(expired),
        Err(_) => Err(Failure::Lost(codes::REPLY_LATE)),
    }
}

/// The part of a reply received so far.
struct PartialReply {
    head: ReplyHead,
    body: BytesMut,
    assembler: Assembler,
    end: Option<Code>,
}

impl PartialReply {
    fn into_reply(self, call: Call) -> AttemptReply {
        let body = self.body.freeze();
        match self.end {
            Some(code) => AttemptReply::Complete(CompleteReply { head: self.head, body, code }),
            None => AttemptReply::Streamed(Box::new(StreamedReply {
                head: self.head,
                buffered: body,
                call,
                assembler: self.assembler,
            })),
        }
    }
}

/// Receives a reply until it is complete or has to be forwarded as it arrives.
async fn receive(call: &mut Call) -> Result<PartialReply, Failure> {
    let head = match call.next().await.map_err(link_failure)? {
        Reply::Head(head) => head,
        Reply::Failure(failure) => return Err(Failure::Refused(failure.code)),
        Reply::Piece { .. } | Reply::End(_) => return Err(Failure::Lost(codes::REPLY_CORRUPT)),
    };
    let is_stream = is_event_stream(&head);
    let mut received = PartialReply {
        head,
        body: BytesMut::new(),
        assembler: Assembler::new(call.tag()),
        end: None,
    };
    if is_stream {
        // Waits for the first event: until then an attempt at a stalled engine can be abandoned
        // without the caller having received any of its reply.
        received.receive_next(call).await?;
    }
    while !is_stream && received.end.is_none() && received.body.len() <= BUFFERED_BYTES_MAX {
        received.receive_next(call).await?;
    }
    Ok(received)
}

impl PartialReply {
    async fn receive_next(&mut self, call: &mut Call) -> Result<(), Failure> {
        match call.next().await.map_err(link_failure)? {
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

/// Whether the content type is `text/event-stream`.
pub(crate) fn is_event_stream(head: &ReplyHead) -> bool {
    let content_type = head.headers.iter().find(|h| h.name == "content-type");
    content_type.is_some_and(|h| h.value.starts_with(b"text/event-stream"))
}

fn link_failure(lost: LinkLost) -> Failure {
    let code = crate::wire::codes::LINK_CLOSED;
    if lost.written { Failure::Lost(code) } else { Failure::Unsent(code) }
}

fn call_head(request: &CheckedRequest, remaining: Duration) -> CallHead {
    CallHead {
        request: request.id,
        workspace: request.caller.workspace.clone(),
        service: request.service.clone(),
        method: request.method.clone(),
        path: request.path.clone(),
        headers: request.headers.clone(),
        action: request.action,
        key: request.key.clone(),
        priority: request.priority,
        remaining,
    }
}
