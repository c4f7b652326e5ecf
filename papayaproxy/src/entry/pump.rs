//! Forwards a streamed reply to the caller piece by piece and reports how it ended.

use super::attempt::{StreamedReply, is_event_stream};
use super::codes;
use super::reply::{error_event, trailers};
use crate::base::code::{Code, Outcome, outcome};
use crate::wire::Reply;
use bytes::Bytes;
use http_body_util::channel::Sender;
use tokio::time::{Instant, timeout_at};

/// Sends the body of a streamed reply to the caller.
pub(crate) type BodySender = Sender<Bytes, std::io::Error>;

/// Forwards the rest of `reply` until its end or `deadline`, and returns the final code.
pub(crate) async fn relay_reply(
    id: u64,
    reply: StreamedReply,
    mut body: BodySender,
    deadline: Instant,
) -> Code {
    let is_stream = is_event_stream(&reply.head);
    let relayed = timeout_at(deadline, relay_pieces(reply, &mut body)).await;
    let code = match relayed.unwrap_or(Err(codes::REPLY_LATE)) {
        Ok(code) | Err(code) => code,
    };
    end_body(id, code, is_stream, body).await;
    code
}

/// Ends the body of a streamed reply: with trailers, after an error event if an event stream failed.
/// A failed plain reply is cut instead.
pub(crate) async fn end_body(id: u64, code: Code, is_stream: bool, mut body: BodySender) {
    let completed = is_completed(code);
    if !completed && is_stream {
        let _ = body.send_data(Bytes::from(error_event(id, code))).await;
    }
    if completed || is_stream {
        let _ = body.send_trailers(trailers(code)).await;
    } else {
        // The body of a plain reply can signal an error only by being cut.
        body.abort(std::io::Error::other(code.to_string()));
    }
}

fn is_completed(code: Code) -> bool {
    outcome(code) == Outcome::Completed
}

async fn relay_pieces(reply: StreamedReply, body: &mut BodySender) -> Result<Code, Code> {
    let StreamedReply { buffered, mut call, mut assembler, .. } = reply;
    if !buffered.is_empty() {
        body.send_data(buffered).await.map_err(|_| codes::CALLER_GONE)?;
    }
    loop {
        match call.next().await {
            Ok(Reply::Piece { sequence, data }) => {
                let length = data.len();
                if assembler.accept_piece(call.tag(), sequence, &data)? {
                    body.send_data(data).await.map_err(|_| codes::CALLER_GONE)?;
                }
                call.consume(length);
            }
            Ok(Reply::End(end)) => {
                if assembler.accept_end(call.tag(), &end)? {
                    return Ok(end.code);
                }
            }
            Ok(Reply::Failure(failure)) => return Err(mid_stream_code(failure.code)),
            Ok(Reply::Head(_)) => return Err(codes::REPLY_CORRUPT),
            Err(_) => return Err(crate::wire::codes::LINK_CLOSED),
        }
    }
}

/// Result code of a failure after the reply has begun: the outcome can no longer be `not-run`.
fn mid_stream_code(code: Code) -> Code {
    match outcome(code) {
        Outcome::Unknown => code,
        _ => crate::delivery::codes::OUTCOME_LOST,
    }
}
