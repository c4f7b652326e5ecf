//! Calls under issued keys. A run is detached from the link that brought it, so that its outcome
//! is known to whoever shows the key again.

use super::call::failure;
use super::client::{UpstreamClient, reply_head};
use super::codes;
use super::constants::{ANSWER_MARGIN, KEYED_BYTES_MAX, RUN_GRACE};
use super::desk::{KeyDesk, Run, RunEnd, Turn, claim};
use super::leaving::Piece;
use crate::base::code::Code;
use crate::delivery::{Lookup, RunOutcome, StoredHeader, StoredReply, codes as delivery};
use crate::wire::server::{Gone, IncomingCall, Replier};
use crate::wire::{Action, CallHead, Header, ReplyHead};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::header::HeaderValue;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

/// Issued keys, as callers read them.
#[derive(Serialize)]
struct IssuedKeys {
    keys: Vec<String>,
}

/// A whole answer and the code that it ends with.
struct Answer {
    reply: Arc<StoredReply>,
    code: Code,
}

/// Answers a call that issues, shows, revokes or uses keys. `piece` is what the agent has taken on
/// with it, or says why nothing new may start now.
pub(crate) async fn answer_keyed(
    call: IncomingCall,
    desk: &Arc<KeyDesk>,
    client: &UpstreamClient,
    work: &TaskTracker,
    piece: Result<Piece, Code>,
) {
    let IncomingCall { head, body, cancelled, replier, .. } = call;
    let answered = async {
        match head.action {
            Action::Issue(count) => issue(desk, count, &head, piece.err()).map(completed),
            Action::Lookup => desk.lookup(&head).and_then(told).map(completed),
            Action::Revoke => desk.revoke(&head).and_then(revoked),
            Action::Call => {
                let run = run_once(&head, body, desk, client, work, piece);
                run.await.map(completed)
            }
        }
    };
    let result = tokio::select! {
        result = answered => result,
        () = cancelled.cancelled() => return,
    };
    let _ = match result {
        Ok(answer) => send(replier, answer).await,
        Err(code) => replier.fail(failure(code)).await,
    };
}

fn issue(
    desk: &KeyDesk,
    count: u32,
    head: &CallHead,
    refusal: Option<Code>,
) -> Result<Arc<StoredReply>, Code> {
    if let Some(code) = refusal {
        return Err(code);
    }
    let keys = desk.issue(count, head)?;
    let body = serde_json::to_vec(&IssuedKeys { keys }).map_err(|_| codes::CALL_MALFORMED)?;
    let kind = StoredHeader { name: "content-type".into(), value: b"application/json".to_vec() };
    Ok(Arc::new(StoredReply { status: 200, headers: vec![kind], body: body.into() }))
}

fn told(lookup: Lookup) -> Result<Arc<StoredReply>, Code> {
    match lookup {
        Lookup::Completed(reply) => Ok(reply),
        Lookup::Status(code) => Err(code),
    }
}

/// A revocation that has been made is answered by a reply of its own, not by an error.
fn revoked(lookup: Lookup) -> Result<Answer, Code> {
    match lookup {
        Lookup::Status(code) if code == delivery::KEY_REVOKED => {
            let reply = Arc::new(StoredReply { status: 200, ..StoredReply::default() });
            Ok(Answer { reply, code })
        }
        other => told(other).map(completed),
    }
}

fn completed(reply: Arc<StoredReply>) -> Answer {
    Answer { reply, code: codes::COMPLETED }
}

/// Runs the call if its key has not started, and gives the end of its one run.
async fn run_once(
    head: &CallHead,
    body: Bytes,
    desk: &Arc<KeyDesk>,
    client: &UpstreamClient,
    work: &TaskTracker,
    piece: Result<Piece, Code>,
) -> Result<Arc<StoredReply>, Code> {
    let allowed = head.remaining.saturating_sub(ANSWER_MARGIN);
    let claim = claim(head, &body, desk.now() + allowed);
    let end = match desk.begin(head, claim, piece.as_ref().err().copied())? {
        Turn::Told(finish) => return reply_of(finish),
        Turn::Wait(end) => end,
        Turn::Run(run) => {
            let end = run.end();
            let (head, client) = (head.clone(), client.clone());
            work.spawn(async move {
                run_detached(run, head, body, client, allowed).await;
                // The work lasts as long as its run, whoever still waits for it.
                drop(piece);
            });
            end
        }
    };
    let finish = timeout(allowed, wait(end)).await.map_err(|_| codes::UPSTREAM_LATE)??;
    reply_of(finish)
}

async fn wait(mut end: RunEnd) -> Result<RunOutcome, Code> {
    let finish = end.wait_for(Option::is_some).await.map_err(|_| delivery::RUN_ABANDONED)?;
    finish.clone().ok_or(delivery::RUN_ABANDONED)
}

fn reply_of(finish: RunOutcome) -> Result<Arc<StoredReply>, Code> {
    match finish {
        RunOutcome::Completed(reply) => Ok(reply),
        RunOutcome::NotRun(code) | RunOutcome::Unknown(code) => Err(code),
    }
}

/// Runs the call to its end, past its deadline too, so that a later question finds the outcome.
async fn run_detached(
    run: Run,
    head: CallHead,
    body: Bytes,
    client: UpstreamClient,
    allowed: Duration,
) {
    let limit = allowed + RUN_GRACE;
    let finish = match timeout(limit, exchange(&head, body, &client)).await {
        Ok(Ok(reply)) => RunOutcome::Completed(Arc::new(reply)),
        Ok(Err(code)) if is_not_run(code) => RunOutcome::NotRun(code),
        Ok(Err(code)) => RunOutcome::Unknown(code),
        Err(_) => RunOutcome::Unknown(codes::UPSTREAM_LATE),
    };
    run.finish(finish);
}

fn is_not_run(code: Code) -> bool {
    failure(code).outcome == crate::base::code::Outcome::NotRun
}

async fn exchange(
    head: &CallHead,
    body: Bytes,
    client: &UpstreamClient,
) -> Result<StoredReply, Code> {
    let mut request = client.request(head, body)?;
    if let Some(key) = &head.key {
        let value = HeaderValue::from_str(key).map_err(|_| codes::CALL_MALFORMED)?;
        request.headers_mut().insert("idempotency-key", value);
    }
    let response = client.send(request).await?;
    let head = reply_head(&response);
    let body = Limited::new(response.into_body(), KEYED_BYTES_MAX).collect().await;
    let body = body.map_err(|_| codes::UPSTREAM_LOST)?.to_bytes();
    let headers = head.headers.into_iter();
    let headers = headers.map(|h| StoredHeader { name: h.name, value: h.value.to_vec() });
    Ok(StoredReply { status: head.status, headers: headers.collect(), body })
}

async fn send(mut replier: Replier, answer: Answer) -> Result<(), Gone> {
    let reply = &answer.reply;
    let headers = reply.headers.iter();
    let headers = headers
        .map(|h| Header { name: h.name.clone(), value: Bytes::copy_from_slice(&h.value) })
        .collect();
    replier.head(ReplyHead { status: reply.status, headers }).await?;
    replier.piece(reply.body.clone()).await?;
    replier.end(answer.code).await
}
