//! Forwards the events of a stream as they arrive, and resumes an interrupted stream at another
//! replica.

use super::attempts::{FailedAttempt, ResponseHead, StopReason, fail_attempt};
use super::body::{RelayBody, RelayFrame, ResponseBody};
use super::constants::RELAY_QUEUE_FRAMES;
use super::events;
use super::exchange::Exchange;
use super::hops::copy_end_to_end;
use super::pacing::Pacer;
use super::reader::{Step, StreamReader};
use crate::balance::SendOutcome;
use crate::base::name::Name;
use crate::quarantine::constants::SURVIVED_EVENTS;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use std::time::Duration;
use tokio::sync::mpsc::{Sender, channel};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// How much of a stream the caller has received.
struct Progress {
    /// Id of the last event sent to the caller.
    last_event: Option<u64>,
    /// Number of events sent to the caller.
    events: u64,
}

/// How the part of a stream that one replica served has ended.
enum RelayOutcome {
    /// The stream is complete.
    Complete,
    /// The stream was interrupted, or the replica fell silent.
    Interrupted(FailedAttempt),
    CallerLeft,
    DeadlinePassed,
}

/// Starts the relay of the stream that begins with `head`, and returns the response for the client.
pub(crate) fn spawn(exchange: Exchange, head: ResponseHead) -> Response<ResponseBody> {
    let (sender, frames) = channel(RELAY_QUEUE_FRAMES);
    let stop = CancellationToken::new();
    let shared = exchange.shared.clone();
    let pacer = Pacer::new(exchange.route.gap_target, shared.event_delay(), exchange.deadline);
    let in_flight = exchange.in_flight.clone();
    let body = RelayBody::new(frames, pacer, shared.clock, stop.clone().drop_guard(), in_flight);
    let mut response = Response::new(ResponseBody::Relay(body));
    *response.status_mut() = head.parts.status;
    copy_end_to_end(&head.parts.headers, response.headers_mut(), |n| n != CONTENT_LENGTH);
    let (id, arrived) = (exchange.envelope.id.clone(), exchange.arrived);
    tokio::task::spawn_local(async move {
        let relayed = stop.run_until_cancelled(relay(exchange, head, sender)).await;
        if relayed.is_none() {
            let took_ms = shared.clock.now().saturating_sub(arrived).as_millis() as u64;
            tracing::info!(event = events::CALLER_LEFT, request = %id, took_ms, "caller left");
        }
    });
    response
}

async fn relay(mut exchange: Exchange, mut head: ResponseHead, sender: Sender<RelayFrame>) {
    let mut progress = Progress { last_event: exchange.envelope.last_event, events: 0 };
    loop {
        let upstream = head.seat.seat().upstream.clone();
        let failure = match forward_events(
            &exchange,
            StreamReader::new(head),
            &mut progress,
            &sender,
        )
        .await
        {
            RelayOutcome::Complete => {
                // Fails if the caller has left, who needs no end then.
                let _ = timeout(exchange.time_left(), sender.send(RelayFrame::End)).await;
                return log_stream_end(&exchange, &upstream, &progress, "whole", None);
            }
            RelayOutcome::CallerLeft => {
                return log_stream_end(&exchange, &upstream, &progress, "caller left", None);
            }
            RelayOutcome::DeadlinePassed => {
                return log_stream_end(&exchange, &upstream, &progress, "late", None);
            }
            RelayOutcome::Interrupted(failure) => failure,
        };
        let after = progress.last_event;
        let next = match exchange.record_failure(&failure) {
            Ok(()) => exchange.next_head(after).await,
            Err(reason) => Err(reason),
        };
        let next = next.and_then(|head| match head.parts.status {
            status if status.is_success() => Ok(head),
            status => Err(StopReason::Status(status.as_u16())),
        });
        match next {
            Ok(next) => {
                tracing::info!(
                    event = events::STREAM_MOVED,
                    request = %exchange.envelope.id,
                    upstream = %next.seat.seat().upstream,
                    after,
                    detail = failure.detail,
                    "stream moved"
                );
                head = next;
            }
            Err(reason) => {
                return log_stream_end(&exchange, &upstream, &progress, "cut", Some(reason));
            }
        }
    }
}

/// Forwards the events that one replica sends.
async fn forward_events(
    exchange: &Exchange,
    mut reader: StreamReader,
    progress: &mut Progress,
    sender: &Sender<RelayFrame>,
) -> RelayOutcome {
    let upstream = reader.seat.seat().upstream.clone();
    let mut previous: Option<Duration> = None;
    let (before, mut has_survived) = (progress.events, false);
    // Bytes that complete no event do not count: a stalled replica may send one now and then.
    let mut progress_at = exchange.shared.clock.now();
    loop {
        let next = reader.next(progress.last_event);
        let batch = match exchange.next_from(&upstream, progress_at, next).await {
            Some(Ok(Step::Events(batch))) => batch,
            Some(Ok(Step::End)) => {
                if !has_survived && !reader.is_framed {
                    exchange.check_crash(&reader.seat);
                } else if !has_survived && progress.events > before {
                    exchange.record_survival();
                }
                reader.seat.finish(SendOutcome::Good);
                exchange.shared.pool.put_back(reader.connection, &reader.parts.headers);
                return RelayOutcome::Complete;
            }
            Some(Err(broken)) => {
                if broken.has_closed && !has_survived {
                    exchange.check_crash(&reader.seat);
                }
                let failed = fail_attempt(reader.seat, SendOutcome::Lost, true, broken.detail);
                return RelayOutcome::Interrupted(failed);
            }
            None if exchange.time_left().is_zero() => return RelayOutcome::DeadlinePassed,
            None => {
                return RelayOutcome::Interrupted(fail_attempt(
                    reader.seat,
                    SendOutcome::Silent,
                    true,
                    "no event in the expected time".into(),
                ));
            }
        };
        let now = exchange.shared.clock.now();
        match previous {
            Some(previous) => {
                let gap = now.saturating_sub(previous);
                exchange
                    .shared
                    .seats
                    .with_balancer(|balancer| balancer.observe_gap(&upstream, gap));
            }
            None => {
                reader.seat.response_started();
                exchange.shared.meters.record_first_event(exchange.elapsed());
            }
        }
        previous = Some(now);
        progress_at = now;
        let frame = RelayFrame::Events(batch.bytes, now);
        match timeout(exchange.time_left(), sender.send(frame)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return RelayOutcome::CallerLeft,
            // The caller reads too slowly.
            Err(_) => return RelayOutcome::DeadlinePassed,
        }
        // Only what is in the caller's queue counts as sent, since a resumed stream goes on from it.
        progress.last_event = batch.last_event;
        progress.events += batch.events;
        if !has_survived && progress.events >= before + SURVIVED_EVENTS {
            has_survived = true;
            exchange.record_survival();
        }
    }
}

/// Logs the end of a stream. `reason` states why a stream that is cut was not resumed.
fn log_stream_end(
    exchange: &Exchange,
    upstream: &Name,
    progress: &Progress,
    outcome: &str,
    reason: Option<StopReason>,
) {
    let took = exchange.elapsed();
    exchange.shared.meters.record_response(200, took);
    tracing::info!(
        event = events::STREAM_ENDED,
        request = %exchange.envelope.id,
        %upstream,
        events = progress.events,
        sends = exchange.attempts(),
        outcome,
        reason = reason.map(|r| r.to_string()),
        stopping = exchange.shared.is_stopping(),
        took_ms = took.as_millis() as u64,
        "stream ended"
    );
}
