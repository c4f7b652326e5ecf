//! Passes the events of a stream on as they come, and takes a broken one up at another replica.

use super::body::ReplyBody;
use super::constants::RELAY_FRAMES;
use super::events;
use super::exchange::{Call, Head, Missed, miss};
use super::hops::copy_end_to_end;
use crate::balance::SendOutcome;
use crate::base::name::Name;
use crate::streams::{EventSplitter, event_id};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use std::io;
use std::time::Duration;
use tokio::sync::mpsc::{Sender, channel};
use tokio_util::sync::CancellationToken;

/// How far a stream has come.
struct Progress {
    /// Last event that the caller has.
    last: Option<u64>,
    /// Events passed on.
    events: u64,
}

/// What a replica's part of a stream came to.
enum Part {
    /// The stream is whole.
    Whole,
    /// It broke off, or fell silent.
    Broken(Missed),
    /// The caller left.
    Left,
    /// The time is over.
    Late,
}

/// Starts the relay of the stream that begins with `head`, and gives its response.
pub(crate) fn spawn(call: Call, head: Head) -> Response<ReplyBody> {
    let (sender, frames) = channel(RELAY_FRAMES);
    let stop = CancellationToken::new();
    let body = ReplyBody::Relay { frames, _stop: stop.clone().drop_guard() };
    let mut response = Response::new(body);
    *response.status_mut() = head.parts.status;
    copy_end_to_end(&head.parts.headers, response.headers_mut(), |n| n != CONTENT_LENGTH);
    let (shared, id, arrived) = (call.shared.clone(), call.envelope.id.clone(), call.arrived);
    tokio::task::spawn_local(async move {
        let relayed = stop.run_until_cancelled(relay(call, head, sender)).await;
        if relayed.is_none() {
            let took_ms = shared.clock.now().saturating_sub(arrived).as_millis() as u64;
            tracing::info!(event = events::CALLER_LEFT, request = %id, took_ms, "caller left");
        }
    });
    response
}

async fn relay(mut call: Call, mut head: Head, sender: Sender<io::Result<Bytes>>) {
    let mut progress = Progress { last: call.envelope.last_event, events: 0 };
    loop {
        let upstream = head.seat.seat().upstream.clone();
        let missed = match pass_on(&call, head, &mut progress, &sender).await {
            Part::Whole => return ended(&call, &upstream, &progress, "whole"),
            Part::Left => return ended(&call, &upstream, &progress, "caller left"),
            Part::Late => {
                cut(&sender, "the time is over").await;
                return ended(&call, &upstream, &progress, "late");
            }
            Part::Broken(missed) => missed,
        };
        let after = progress.last;
        let next = match call.note(&missed) {
            true => call.next_head(after).await.ok(),
            false => None,
        };
        match next.filter(|h| h.parts.status.is_success()) {
            Some(next) => {
                tracing::info!(
                    event = events::STREAM_MOVED,
                    request = %call.envelope.id,
                    upstream = %next.seat.seat().upstream,
                    after,
                    detail = missed.detail,
                    "moved"
                );
                head = next;
            }
            None => {
                cut(&sender, "the stream broke off").await;
                return ended(&call, &upstream, &progress, "cut");
            }
        }
    }
}

/// Passes on what one replica sends.
async fn pass_on(
    call: &Call,
    head: Head,
    progress: &mut Progress,
    sender: &Sender<io::Result<Bytes>>,
) -> Part {
    let Head { parts, mut body, link, mut seat, .. } = head;
    let upstream = seat.seat().upstream.clone();
    let mut splitter = EventSplitter::default();
    let mut before: Option<Duration> = None;
    loop {
        let frame = match call.heard(&upstream, body.frame()).await {
            Some(Some(Ok(frame))) => frame,
            Some(Some(Err(error))) => {
                return Part::Broken(miss(seat, SendOutcome::Lost, true, error.to_string()));
            }
            Some(None) if splitter.is_partial() => {
                let detail = "ended within an event".into();
                return Part::Broken(miss(seat, SendOutcome::Lost, true, detail));
            }
            Some(None) => {
                seat.ended(SendOutcome::Good);
                call.shared.pool.keep(link, &parts.headers);
                return Part::Whole;
            }
            None if call.left().is_zero() => return Part::Late,
            None => {
                return Part::Broken(miss(
                    seat,
                    SendOutcome::Silent,
                    true,
                    "no event in time".into(),
                ));
            }
        };
        let Ok(data) = frame.into_data() else { continue };
        splitter.push(&data);
        let bytes = match take_events(&mut splitter, progress) {
            Ok(bytes) => bytes,
            Err(code) => {
                return Part::Broken(miss(seat, SendOutcome::Lost, true, code.to_string()));
            }
        };
        if bytes.is_empty() {
            continue;
        }
        let now = call.shared.clock.now();
        match before {
            Some(before) => {
                let gap = now.saturating_sub(before);
                call.shared.seats.with(|desk| desk.observe_gap(&upstream, gap));
            }
            None => {
                seat.begun();
                call.shared.meters.began(call.took());
            }
        }
        before = Some(now);
        if sender.send(Ok(bytes)).await.is_err() {
            return Part::Left;
        }
    }
}

/// The whole events that have come and that the caller does not have yet.
fn take_events(
    splitter: &mut EventSplitter,
    progress: &mut Progress,
) -> Result<Bytes, crate::base::code::Code> {
    let mut bytes = BytesMut::new();
    while let Some(event) = splitter.next_event()? {
        if let Some(id) = event_id(&event) {
            if progress.last.is_some_and(|last| id <= last) {
                continue;
            }
            progress.last = Some(id);
        }
        progress.events += 1;
        bytes.extend_from_slice(&event);
    }
    Ok(bytes.freeze())
}

async fn cut(sender: &Sender<io::Result<Bytes>>, reason: &str) {
    // The caller may have left meanwhile; then nobody is told.
    let _ = sender.send(Err(io::Error::other(reason.to_owned()))).await;
}

fn ended(call: &Call, upstream: &Name, progress: &Progress, outcome: &str) {
    let took = call.took();
    call.shared.meters.answered(200, took);
    tracing::info!(
        event = events::STREAM_ENDED,
        request = %call.envelope.id,
        %upstream,
        events = progress.events,
        sends = call.sends(),
        outcome,
        took_ms = took.as_millis() as u64,
        "stream ended"
    );
}
