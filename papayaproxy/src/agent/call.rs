//! One call: from the entry's frame to the upstream and back.

use super::client::{UpstreamClient, reply_head};
use super::codes;
use super::constants::ANSWER_MARGIN;
use super::events;
use super::leaving::Piece;
use crate::base::code::{Code, outcome};
use crate::streams::codes::STREAM_MOVED;
use crate::wire::CallFailure;
use crate::wire::server::{IncomingCall, Replier};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

/// Header of an engine's reply that names its stream.
const STREAM_HEADER: &str = "engine-stream";

/// Runs a call to its end and answers it.
///
/// `movable` tells whether another replica may go on with its stream.
pub(crate) async fn run_call(
    call: IncomingCall,
    client: &UpstreamClient,
    mut piece: Piece,
    movable: bool,
) {
    let started = Instant::now();
    let deadline = started + call.head.remaining.saturating_sub(ANSWER_MARGIN);
    let IncomingCall { tag, peer, head, body, cancelled, mut replier } = call;
    let result = match client.request(&head, body) {
        Ok(request) => {
            let forwarded = timeout_at(
                deadline,
                forward(request, client, &mut replier, movable.then_some(&mut piece)),
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
    // An entry that is gone needs no answer.
    let _ = match result {
        Ok(()) => replier.end(code).await,
        Err(code) => replier.fail(failure(code)).await,
    };
}

/// The failure that `code` states.
pub(crate) fn failure(code: Code) -> CallFailure {
    let outcome = outcome(code);
    CallFailure { code, outcome, retry: None }
}

/// Sends the request and passes the reply on piece by piece.
async fn forward(
    request: Request<Full<Bytes>>,
    client: &UpstreamClient,
    replier: &mut Replier,
    movable: Option<&mut Piece>,
) -> Result<(), Code> {
    let response = client.send(request).await?;
    let streams = response.headers().contains_key(STREAM_HEADER);
    let gone = |_| codes::CALL_CANCELLED;
    replier.head(reply_head(&response)).await.map_err(gone)?;
    let passed = pass_body(response.into_body(), replier);
    match movable.filter(|_| streams) {
        Some(piece) => {
            piece.become_stream();
            tokio::select! {
                result = passed => result,
                () = piece.moved() => Err(STREAM_MOVED),
            }
        }
        None => passed.await,
    }
}

async fn pass_body(mut body: Incoming, replier: &mut Replier) -> Result<(), Code> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| codes::UPSTREAM_LOST)?;
        if let Ok(data) = frame.into_data() {
            replier.piece(data).await.map_err(|_| codes::CALL_CANCELLED)?;
        }
    }
    Ok(())
}
