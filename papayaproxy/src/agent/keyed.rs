//! Calls under idempotency keys. A run is detached from the link of its call, so that its outcome
//! is recorded for later calls with the same key.

use super::call::failure;
use super::client::{UpstreamClient, reply_head};
use super::codes;
use super::constants::{KEYED_RESPONSE_BYTES_MAX, RESPONSE_MARGIN, RUN_GRACE};
use super::desk::{KeyRegistry, KeyedCall, KeyedRun, OutcomeReceiver, claim};
use super::leaving::WorkGuard;
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

/// Response body of a call that issues keys.
#[derive(Serialize)]
struct IssuedKeys {
    keys: Vec<String>,
}

/// A whole reply and the result code that ends it.
struct Answer {
    reply: Arc<StoredReply>,
    code: Code,
}

/// Answers a call that issues, looks up, revokes or uses keys. `admission` is the call's work guard,
/// or the code for which no new work may start.
pub(crate) async fn answer_keyed(
    call: IncomingCall,
    registry: &Arc<KeyRegistry>,
    client: &UpstreamClient,
    work: &TaskTracker,
    admission: Result<WorkGuard, Code>,
) {
    let IncomingCall { head, body, cancelled, replier, .. } = call;
    let answered = async {
        match head.action {
            Action::Issue(count) => {
                issue(registry, count, &head, admission.err()).map(completed_answer)
            }
            Action::Lookup => registry.lookup(&head).and_then(lookup_reply).map(completed_answer),
            Action::Revoke => registry.revoke(&head).and_then(revocation_answer),
            Action::Call => {
                let run = run_once(&head, body, registry, client, work, admission);
                run.await.map(completed_answer)
            }
        }
    };
    let result = tokio::select! {
        result = answered => result,
        () = cancelled.cancelled() => return,
    };
    let _ = match result {
        Ok(answer) => send_answer(replier, answer).await,
        Err(code) => replier.fail(failure(code)).await,
    };
}

fn issue(
    registry: &KeyRegistry,
    count: u32,
    head: &CallHead,
    refusal: Option<Code>,
) -> Result<Arc<StoredReply>, Code> {
    if let Some(code) = refusal {
        return Err(code);
    }
    let keys = registry.issue(count, head)?;
    let body = serde_json::to_vec(&IssuedKeys { keys }).map_err(|_| codes::CALL_MALFORMED)?;
    let content_type =
        StoredHeader { name: "content-type".into(), value: b"application/json".to_vec() };
    Ok(Arc::new(StoredReply { status: 200, headers: vec![content_type], body: body.into() }))
}

fn lookup_reply(lookup: Lookup) -> Result<Arc<StoredReply>, Code> {
    match lookup {
        Lookup::Completed(reply) => Ok(reply),
        Lookup::Status(code) => Err(code),
    }
}

/// A successful revocation is answered with status 200 instead of a failure.
fn revocation_answer(lookup: Lookup) -> Result<Answer, Code> {
    match lookup {
        Lookup::Status(code) if code == delivery::KEY_REVOKED => {
            let reply = Arc::new(StoredReply { status: 200, ..StoredReply::default() });
            Ok(Answer { reply, code })
        }
        other => lookup_reply(other).map(completed_answer),
    }
}

fn completed_answer(reply: Arc<StoredReply>) -> Answer {
    Answer { reply, code: codes::COMPLETED }
}

/// Runs the call if its key has not been started, and returns the result of the only run.
async fn run_once(
    head: &CallHead,
    body: Bytes,
    registry: &Arc<KeyRegistry>,
    client: &UpstreamClient,
    work: &TaskTracker,
    admission: Result<WorkGuard, Code>,
) -> Result<Arc<StoredReply>, Code> {
    let allowed = head.remaining.saturating_sub(RESPONSE_MARGIN);
    let claim = claim(head, &body, registry.now() + allowed);
    let end = match registry.begin(head, claim, admission.as_ref().err().copied())? {
        KeyedCall::Ended(outcome) => return outcome_reply(outcome),
        KeyedCall::Wait(end) => end,
        KeyedCall::Run(run) => {
            let end = run.subscribe();
            let (head, client) = (head.clone(), client.clone());
            work.spawn(async move {
                run_detached(run, head, body, client, allowed).await;
                // The run counts as work in progress until it ends, even if nobody waits for it.
                drop(admission);
            });
            end
        }
    };
    let outcome =
        timeout(allowed, wait_for_outcome(end)).await.map_err(|_| codes::UPSTREAM_LATE)??;
    outcome_reply(outcome)
}

async fn wait_for_outcome(mut end: OutcomeReceiver) -> Result<RunOutcome, Code> {
    let outcome = end.wait_for(Option::is_some).await.map_err(|_| delivery::RUN_ABANDONED)?;
    outcome.clone().ok_or(delivery::RUN_ABANDONED)
}

fn outcome_reply(outcome: RunOutcome) -> Result<Arc<StoredReply>, Code> {
    match outcome {
        RunOutcome::Completed(reply) => Ok(reply),
        RunOutcome::NotRun(code) | RunOutcome::Unknown(code) => Err(code),
    }
}

/// Runs the call to its end, up to [`RUN_GRACE`] past its deadline, so that a later lookup finds
/// the outcome.
async fn run_detached(
    run: KeyedRun,
    head: CallHead,
    body: Bytes,
    client: UpstreamClient,
    allowed: Duration,
) {
    let limit = allowed + RUN_GRACE;
    let outcome = match timeout(limit, send_to_upstream(&head, body, &client)).await {
        Ok(Ok(reply)) => RunOutcome::Completed(Arc::new(reply)),
        Ok(Err(code)) if is_not_run(code) => RunOutcome::NotRun(code),
        Ok(Err(code)) => RunOutcome::Unknown(code),
        Err(_) => RunOutcome::Unknown(codes::UPSTREAM_LATE),
    };
    run.finish(outcome);
}

fn is_not_run(code: Code) -> bool {
    failure(code).outcome == crate::base::code::Outcome::NotRun
}

async fn send_to_upstream(
    head: &CallHead,
    body: Bytes,
    client: &UpstreamClient,
) -> Result<StoredReply, Code> {
    let mut request = client.call_request(head, body)?;
    if let Some(key) = &head.key {
        let value = HeaderValue::from_str(key).map_err(|_| codes::CALL_MALFORMED)?;
        request.headers_mut().insert("idempotency-key", value);
    }
    let response = client.send(request).await?;
    let head = reply_head(&response);
    let body = Limited::new(response.into_body(), KEYED_RESPONSE_BYTES_MAX).collect().await;
    let body = body.map_err(|_| codes::UPSTREAM_LOST)?.to_bytes();
    let headers = head.headers.into_iter();
    let headers = headers.map(|h| StoredHeader { name: h.name, value: h.value.to_vec() });
    Ok(StoredReply { status: head.status, headers: headers.collect(), body })
}

async fn send_answer(mut replier: Replier, answer: Answer) -> Result<(), Gone> {
    let reply = &answer.reply;
    let headers = reply.headers.iter();
    let headers = headers
        .map(|h| Header { name: h.name.clone(), value: Bytes::copy_from_slice(&h.value) })
        .collect();
    replier.head(ReplyHead { status: reply.status, headers }).await?;
    replier.piece(reply.body.clone()).await?;
    replier.end(answer.code).await
}
