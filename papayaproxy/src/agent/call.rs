//! Forwards one call without a key to the upstream and its response to the entry.

use super::client::{UpstreamClient, reply_head};
use super::codes;
use super::constants::RESPONSE_MARGIN;
use super::events;
use super::leaving::WorkGuard;
use crate::base::code::{Code, outcome};
use crate::streams::codes::STREAM_MOVED;
use crate::wire::CallFailure;
use crate::wire::server::{IncomingCall, Replier};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

/// Response header of an engine that identifies its stream.
const STREAM_HEADER: &str = "engine-stream";

/// Runs a call to its end and answers it.
///
/// `may_move` says whether its stream may continue on another replica.
pub(crate) async fn run_call(
    call: IncomingCall,
    client: &UpstreamClient,
    mut guard: WorkGuard,
    may_move: bool,
) {
    let started = Instant::now();
    let deadline = started + call.head.remaining.saturating_sub(RESPONSE_MARGIN);
    let IncomingCall { tag, peer, head, body, cancelled, mut replier } = call;
    let result = match client.call_request(&head, body) {
        Ok(request) => {
            let forwarded = timeout_at(
                deadline,
                forward(request, client, &mut replier, may_move.then_some(&mut guard)),
            );
            tokio::select! {
                result = forwarded => result.unwrap_or(Err(codes::UPSTREAM_LATE)),
                () = cancelled.cancelled() => Err(codes::CALL_CANCELLED),
            }
        }
        Err(code) => Err(code),
    };
    let code = result.err().unwrap_or(codes::COMPLETED);
    tracing::info!(
        event = events::CALL_ENDED,
        request = format_args!("{:016x}", head.request),
        peer = %peer.name,
        call = tag.call,
        service = %head.service,
        workspace = %head.workspace,
        %code,
        ms = started.elapsed().as_millis() as u64,
        "call ended"
    );
    // Errors are ignored: the entry has closed the link or no longer waits.
    let _ = match result {
        Ok(()) => replier.end(code).await,
        Err(code) => replier.fail(failure(code)).await,
    };
}

/// Builds the failure for `code` with its outcome from the table of result codes.
pub(crate) fn failure(code: Code) -> CallFailure {
    let outcome = outcome(code);
    CallFailure { code, outcome, retry: None }
}

/// Sends the request and forwards the response as it arrives. With `stream_guard`, a stream is
/// ended with `STREAM_MOVED` once it must move to another replica.
async fn forward(
    request: Request<Full<Bytes>>,
    client: &UpstreamClient,
    replier: &mut Replier,
    stream_guard: Option<&mut WorkGuard>,
) -> Result<(), Code> {
    let response = client.send(request).await?;
    let is_stream = response.headers().contains_key(STREAM_HEADER);
    let cancelled = |_| codes::CALL_CANCELLED;
    replier.head(reply_head(&response)).await.map_err(cancelled)?;
    let copied = copy_body(response.into_body(), replier);
    match stream_guard.filter(|_| is_stream) {
        Some(guard) => {
            guard.mark_stream();
            tokio::select! {
                result = copied => result,
                () = guard.move_requested() => Err(STREAM_MOVED),
            }
        }
        None => copied.await,
    }
}

async fn copy_body(mut body: Incoming, replier: &mut Replier) -> Result<(), Code> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| codes::UPSTREAM_LOST)?;
        if let Ok(data) = frame.into_data() {
            replier.piece(data).await.map_err(|_| codes::CALL_CANCELLED)?;
        }
    }
    Ok(())
}
