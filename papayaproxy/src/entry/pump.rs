//! Passes a streamed reply on to the caller, piece by piece, and states how it ended.

use super::attempt::{OpenReply, is_event_stream};
use super::codes;
use super::reply::{error_event, trailers};
use crate::base::code::{Code, Outcome, outcome};
use crate::wire::Reply;
use bytes::Bytes;
use http_body_util::channel::Sender;
use tokio::time::{Instant, timeout_at};

/// The caller's side of a streamed reply.
pub(crate) type BodySender = Sender<Bytes, std::io::Error>;

/// Passes the rest of `reply` on until it ends or `deadline` comes; gives the final code.
pub(crate) async fn pump(
    id: u64,
    reply: OpenReply,
    mut body: BodySender,
    deadline: Instant,
) -> Code {
    let events = is_event_stream(&reply.head);
    let passed = timeout_at(deadline, pass(reply, &mut body)).await;
    let code = match passed.unwrap_or(Err(codes::REPLY_LATE)) {
        Ok(code) | Err(code) => code,
    };
    finish(id, code, events, body).await;
    code
}

/// States to the caller how its reply ended.
pub(crate) async fn finish(id: u64, code: Code, events: bool, mut body: BodySender) {
    let completed = passed_whole(code);
    if !completed && events {
        let _ = body.send_data(Bytes::from(error_event(id, code))).await;
    }
    if completed || events {
        let _ = body.send_trailers(trailers(code)).await;
    } else {
        // A cut body is the only sign that a plain reply can give.
        body.abort(std::io::Error::other(code.to_string()));
    }
}

fn passed_whole(code: Code) -> bool {
    outcome(code) == Outcome::Completed
}

async fn pass(reply: OpenReply, body: &mut BodySender) -> Result<Code, Code> {
    let OpenReply { begun, mut call, mut assembler, .. } = reply;
    if !begun.is_empty() {
        body.send_data(begun).await.map_err(|_| codes::CALLER_GONE)?;
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
            Ok(Reply::Failure(failure)) => return Err(mid_stream(failure.code)),
            Ok(Reply::Head(_)) => return Err(codes::REPLY_CORRUPT),
            Err(_) => return Err(crate::wire::codes::LINK_CLOSED),
        }
    }
}

/// The code of a failure after the reply has begun, when `not-run` can no longer be true.
fn mid_stream(code: Code) -> Code {
    match outcome(code) {
        Outcome::Unknown => code,
        _ => crate::delivery::codes::OUTCOME_LOST,
    }
}
