//! Reads the part of a stream that one replica serves.

use super::attempts::ResponseHead;
use super::codes;
use super::constants::COMMENT_BYTES_MAX;
use super::first_ids::FirstIds;
use super::pool::{Connection, UpstreamBody};
use super::seats::SeatGuard;
use crate::base::code::Code;
use crate::base::error::with_sources;
use crate::base::name::Name;
use crate::streams::{EventShape, EventSplitter, event_shape};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// What is logged of an answer whose head is not like the one that the caller has.
pub(super) const OTHER_TYPE: &str = "media type differs from that of the stream";

/// Whole events that the caller has not received yet, in order.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct Batch {
    pub(super) bytes: Bytes,
    /// Number of events.
    pub(super) events: u64,
    /// Bytes of comments behind the last event.
    pub(super) comment_bytes: usize,
    /// Id of the first of them that has one.
    pub(super) first_event: Option<u64>,
    /// Id of the last event that the caller has once it has received these.
    pub(super) last_event: Option<u64>,
}

/// What a replica brought next.
pub(crate) enum Step {
    Events(Batch),
    /// The answer has ended properly.
    End,
}

/// Why a replica brings no further events.
#[derive(Debug)]
pub(crate) struct Broken {
    /// Observed error, for the log.
    pub(super) detail: String,
    /// Whether the end of the connection was seen, as after a crash.
    pub(super) has_closed: bool,
}

/// How the events of a stream are numbered.
pub(crate) struct Numbering {
    pub(super) service: Name,
    pub(super) first_ids: Rc<RefCell<FirstIds>>,
    /// Whether each event must have an id, since the stream may be resumed after it.
    pub(super) is_numbered: bool,
}

/// A stream's answer by one replica.
pub(crate) struct StreamReader {
    pub(super) parts: Parts,
    pub(super) connection: Connection,
    pub(super) seat: SeatGuard,
    /// Whether the answer has a length or chunks. Otherwise the end of the connection ends it, also
    /// after a crash.
    pub(super) is_framed: bool,
    body: UpstreamBody,
    splitter: EventSplitter,
    numbering: Numbering,
    /// Whether the answer goes on with a stream that broke off.
    is_resumed: bool,
    /// Number of new events read so far.
    events: u64,
    /// Bytes of comments since the last new event.
    comment_bytes: usize,
    /// Id of the first event, if the answer is a run from its beginning.
    first_id: Option<u64>,
    /// Fault found behind the events that were returned last.
    fault: Option<Code>,
    /// Events that were read ahead.
    held: Option<Batch>,
    /// When the request was sent, on the process clock.
    pub(super) sent_at: Duration,
    /// When the head arrived, on the process clock.
    pub(super) began: Duration,
}

impl StreamReader {
    pub(super) fn new(head: ResponseHead, seat: SeatGuard, numbering: Numbering) -> Self {
        let ResponseHead { parts, body, connection, sent_at, began, .. } = head;
        let headers = &parts.headers;
        let is_framed =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        let splitter = EventSplitter::default();
        Self {
            parts,
            connection,
            seat,
            is_framed,
            body,
            splitter,
            numbering,
            is_resumed: false,
            events: 0,
            comment_bytes: 0,
            first_id: None,
            fault: None,
            held: None,
            sent_at,
            began,
        }
    }

    /// An answer that goes on with a stream that broke off. It shows the end of the stream only if it
    /// brings events: one without any may be a failure that looks like an end.
    pub(super) fn resume(head: ResponseHead, seat: SeatGuard, numbering: Numbering) -> Self {
        Self { is_resumed: true, ..Self::new(head, seat, numbering) }
    }

    /// Gives events back, which [`StreamReader::next`] returns first.
    pub(super) fn hold(&mut self, batch: Batch) {
        self.held = Some(batch);
    }

    /// Waits for the events after `last_event`. Nothing is lost if it is dropped and called again.
    ///
    /// # Errors
    /// The answer has broken off, or it is not the rest of the stream.
    pub(super) async fn next(&mut self, last_event: Option<u64>) -> Result<Step, Broken> {
        if let Some(batch) = self.held.take() {
            return Ok(Step::Events(batch));
        }
        loop {
            if let Some(code) = self.fault {
                return Err(Broken { detail: code.to_string(), has_closed: false });
            }
            let data = match self.body.frame().await {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(error)) => {
                    return Err(Broken { detail: with_sources(&error), has_closed: true });
                }
                None if self.splitter.is_partial() || (!self.is_framed && self.events == 0) => {
                    let detail = "stream ended within an event or before its first".into();
                    return Err(Broken { detail, has_closed: true });
                }
                None if self.is_resumed && self.events == 0 => {
                    let detail = "resumed stream ended without an event".into();
                    return Err(Broken { detail, has_closed: false });
                }
                None => return Ok(Step::End),
            };
            self.splitter.push(&data);
            let Numbering { service, first_ids, is_numbered } = &self.numbering;
            let upstream = &self.seat.seat().upstream;
            let accepts_first = |id| first_ids.borrow_mut().accepts(service, upstream, id);
            let rule = EventRule {
                is_numbered: *is_numbered,
                has_begun: self.events > 0,
                accepts_first: &accepts_first,
            };
            let (batch, fault) = take_events(&mut self.splitter, last_event, rule);
            self.fault = fault;
            self.first_id = self.first_id.or(batch.first_event.filter(|_| last_event.is_none()));
            // The second event follows the first one, so neither id is spoiled.
            if self.events + batch.events >= 2
                && let Some(id) = self.first_id
            {
                first_ids.borrow_mut().learn(service, id);
            }
            self.events += batch.events;
            let before = if batch.events > 0 { 0 } else { self.comment_bytes };
            self.comment_bytes = before + batch.comment_bytes;
            if self.comment_bytes > COMMENT_BYTES_MAX {
                self.fault = self.fault.or(Some(codes::COMMENTS_ENDLESS));
            }
            if !batch.bytes.is_empty() {
                return Ok(Step::Events(batch));
            }
        }
    }
}

/// Which events of a replica may follow.
#[derive(Clone, Copy)]
pub(super) struct EventRule<'a> {
    /// Whether each event must have an id.
    pub(super) is_numbered: bool,
    /// Whether the replica has sent a new event, so that it repeats no older ones from here on.
    pub(super) has_begun: bool,
    /// Whether a run from its beginning may begin with the event of an id.
    pub(super) accepts_first: &'a dyn Fn(u64) -> bool,
}

/// Takes the whole events after `last_event` out of `splitter`, up to the first one that does not
/// follow.
pub(super) fn take_events(
    splitter: &mut EventSplitter,
    last_event: Option<u64>,
    rule: EventRule<'_>,
) -> (Batch, Option<Code>) {
    let mut bytes = BytesMut::new();
    let mut batch = Batch { last_event, ..Batch::default() };
    let fault = loop {
        let event = match splitter.next_event() {
            Ok(Some(event)) => event,
            Ok(None) => break None,
            Err(code) => break Some(code),
        };
        let id = match event_shape(&event) {
            EventShape::Comment => {
                batch.comment_bytes += event.len();
                bytes.extend_from_slice(&event);
                continue;
            }
            EventShape::Numbered(id) => Some(id),
            EventShape::Unnumbered | EventShape::Torn if rule.is_numbered => {
                break Some(codes::EVENT_FOREIGN);
            }
            EventShape::Unnumbered | EventShape::Torn => None,
        };
        if let Some(id) = id {
            match batch.last_event {
                Some(last) if id <= last && (rule.has_begun || batch.events > 0) => {
                    break Some(codes::EVENT_FOREIGN);
                }
                Some(last) if id <= last => continue,
                Some(last) if id > last.saturating_add(1) => break Some(codes::EVENT_MISSING),
                None if rule.is_numbered && !(rule.accepts_first)(id) => {
                    break Some(codes::EVENT_FOREIGN);
                }
                _ => {}
            }
            batch.first_event = batch.first_event.or(Some(id));
            batch.last_event = Some(id);
        }
        batch.events += 1;
        batch.comment_bytes = 0;
        bytes.extend_from_slice(&event);
    };
    batch.bytes = bytes.freeze();
    (batch, fault)
}
