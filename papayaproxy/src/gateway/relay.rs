//! Forwards the events of a stream as they arrive, and resumes an interrupted stream at another
//! replica.

use super::attempts::{Answer, FailedAttempt, ResumePoint, StopReason, media_type_of};
use super::body::{RelayBody, RelayFrame, ResponseBody};
use super::events;
use super::exchange::Exchange;
use super::handover::{Handover, Raced};
use super::hops::copy_end_to_end;
use super::pacing::Pacer;
use super::reader::{OTHER_TYPE, Step, StreamReader};
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
    /// What the caller has.
    point: ResumePoint,
    /// Number of events sent to the caller.
    events: u64,
}

/// How the part of a stream that one replica served has ended.
enum RelayOutcome {
    /// The stream is complete.
    Complete,
    /// The stream was interrupted.
    Interrupted(FailedAttempt),
    /// The replica was silent or broke off, and another one has begun to go on.
    Moved(FailedAttempt, Box<StreamReader>),
    CallerLeft,
    DeadlinePassed,
}

/// Starts the relay of the stream that `reader` reads first, and returns the response for the client.
pub(crate) fn spawn(exchange: Exchange, reader: StreamReader) -> Response<ResponseBody> {
    let (sender, frames) = channel(exchange.shared.clients.bounds.frames);
    let stop = CancellationToken::new();
    let (shared, client) = (exchange.shared.clone(), exchange.client.clone());
    let pacer = Pacer::new(exchange.route.gap_target, shared.event_delay(), exchange.deadline);
    let in_flight = exchange.in_flight.clone();
    let body = RelayBody::new(frames, pacer, shared.clock, stop.clone().drop_guard(), in_flight);
    let mut response = Response::new(ResponseBody::Relay(body));
    *response.status_mut() = reader.parts.status;
    copy_end_to_end(&reader.parts.headers, response.headers_mut(), |n| n != CONTENT_LENGTH);
    let (id, arrived) = (exchange.envelope.id.clone(), exchange.arrived);
    tokio::task::spawn_local(async move {
        let relayed = stop.run_until_cancelled(relay(exchange, reader, sender)).await;
        // One that was cut is logged as such.
        if relayed.is_none() && !client.is_cut() {
            let took_ms = shared.clock.now().saturating_sub(arrived).as_millis() as u64;
            tracing::info!(event = events::CALLER_LEFT, request = %id, took_ms, "caller left");
        }
    });
    response
}

async fn relay(exchange: Exchange, mut reader: StreamReader, sender: Sender<RelayFrame>) {
    let media_type = Some(media_type_of(&reader.parts.headers));
    let point = ResumePoint { last_event: exchange.envelope.last_event, media_type };
    let mut progress = Progress { point, events: 0 };
    loop {
        let upstream = reader.seat.seat().upstream.clone();
        let (failure, next) = match forward_events(&exchange, reader, &mut progress, &sender).await
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
            RelayOutcome::Moved(failure, next) => {
                exchange.log_failure(&failure);
                (failure, Ok(*next))
            }
            RelayOutcome::Interrupted(failure) => {
                let next = match exchange.record_failure(&failure) {
                    Ok(()) => resume(&exchange, &progress.point).await,
                    Err(reason) => Err(reason),
                };
                (failure, next)
            }
        };
        match next {
            Ok(next) => {
                tracing::info!(
                    event = events::STREAM_MOVED,
                    request = %exchange.envelope.id,
                    upstream = %next.seat.seat().upstream,
                    after = progress.point.last_event,
                    detail = failure.detail,
                    "stream moved"
                );
                reader = next;
            }
            Err(reason) => {
                return log_stream_end(&exchange, &upstream, &progress, "cut", Some(reason));
            }
        }
    }
}

/// Makes attempts until a replica goes on with the stream.
async fn resume(exchange: &Exchange, point: &ResumePoint) -> Result<StreamReader, StopReason> {
    loop {
        let (head, seat) = match exchange.next_answer(point).await? {
            Answer::Stream(reader) => return Ok(*reader),
            Answer::Head(head, seat) => (head, seat),
        };
        let (status, began) = (head.parts.status, head.began);
        if status.is_success() && point.fits(&head.parts.headers) {
            return Ok(StreamReader::resume(*head, seat, exchange.numbering()));
        }
        let (outcome, detail) = match status.is_success() {
            true => (SendOutcome::Lost, OTHER_TYPE.to_owned()),
            false => (SendOutcome::Failed, format!("answered {status}")),
        };
        let failure = FailedAttempt::begun(seat, began, outcome, detail);
        exchange.record_failure(&failure).map_err(|reason| match reason {
            StopReason::AttemptsUsed if !status.is_success() => StopReason::Status(status.as_u16()),
            reason => reason,
        })?;
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
    let handover = Handover::new(&upstream, exchange.shared.clock.now());
    let (began, sent_at) = (reader.began, reader.sent_at);
    loop {
        let next = reader.next(progress.point.last_event);
        let next = exchange.next_from(&upstream, handover.since.get(), next, false);
        let is_broken = |next: &Option<Result<_, _>>| next.as_ref().is_some_and(Result::is_err);
        let raced = exchange.race(&handover, &progress.point, next, is_broken).await;
        let next = match raced {
            Raced::Kept(next) => next,
            Raced::Moved(next, broken) => {
                let (outcome, detail) = match broken {
                    Some(Some(Err(broken))) => {
                        if broken.has_closed {
                            exchange.record_broken(&reader.seat, sent_at);
                            if !has_survived {
                                exchange.check_crash(&reader.seat, sent_at);
                            }
                        }
                        (SendOutcome::Lost, broken.detail)
                    }
                    _ => (SendOutcome::Silent, "no event in the expected time".into()),
                };
                let failure = FailedAttempt::begun(reader.seat, began, outcome, detail);
                return RelayOutcome::Moved(failure, next);
            }
        };
        let batch = match next {
            Some(Ok(Step::Events(batch))) => batch,
            Some(Ok(Step::End)) => {
                if reader.is_framed {
                    exchange.record_answer();
                }
                if !has_survived && !reader.is_framed {
                    exchange.check_crash(&reader.seat, sent_at);
                } else if !has_survived && progress.events > before {
                    exchange.record_survival();
                }
                reader.seat.finish(SendOutcome::Good);
                exchange.shared.pool.put_back(reader.connection, &reader.parts.headers);
                return RelayOutcome::Complete;
            }
            Some(Err(broken)) => {
                if broken.has_closed {
                    exchange.record_broken(&reader.seat, sent_at);
                    if !has_survived {
                        exchange.check_crash(&reader.seat, sent_at);
                    }
                }
                let (outcome, detail) = (SendOutcome::Lost, broken.detail);
                let failure = FailedAttempt::begun(reader.seat, began, outcome, detail);
                return RelayOutcome::Interrupted(failure);
            }
            None => return RelayOutcome::DeadlinePassed,
        };
        let now = exchange.shared.clock.now();
        let brings_events = batch.events > 0;
        match previous {
            // Comments come from a replica that stands still, too.
            _ if !brings_events => {}
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
        if brings_events {
            previous = Some(now);
            handover.since.set(now);
        }
        // The replica is read as long as it sends, up to the bound of the client: it would cut an
        // answer that is not read for some seconds.
        let sent = async {
            exchange.client.wait_for_room(batch.bytes.len()).await;
            sender.send(RelayFrame::Events(exchange.client.hold(batch.bytes), now)).await
        };
        match timeout(exchange.time_left(), sent).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return RelayOutcome::CallerLeft,
            // The caller reads too slowly.
            Err(_) => return RelayOutcome::DeadlinePassed,
        }
        // Only what is in the caller's queue counts as sent, since a resumed stream goes on from it.
        progress.point.last_event = batch.last_event;
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
