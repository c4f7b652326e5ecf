//! Moves a stream away from a silent replica without giving up the replica first: its answer is read
//! on until another replica's answer has begun.

use super::attempts::{FailedAttempt, ResumePoint, StopReason};
use super::constants::{HANDOVER_PAUSE, NOT_RUN_MAX, SILENCE_CHECK_INTERVAL};
use super::events;
use super::exchange::Exchange;
use super::reader::{OTHER_TYPE, Step, StreamReader};
use crate::balance::SendOutcome;
use crate::base::name::Name;
use std::cell::Cell;
use std::pin::pin;
use std::time::Duration;
use tokio::time::sleep;

/// The attempts to leave one silent replica.
pub(super) struct Handover {
    /// The silent replica.
    upstream: Name,
    /// When it last brought something useful, on the process clock.
    pub(super) since: Cell<Duration>,
    /// When the next attempt may start, on the process clock.
    next_at: Cell<Duration>,
    /// Whether the next attempt is paid for: no upstream received the last one, or it got no seat.
    is_paid: Cell<bool>,
}

impl Handover {
    /// No attempt has been made to leave `upstream`, which has brought nothing useful since `since`.
    pub(super) fn new(upstream: &Name, since: Duration) -> Self {
        Self {
            upstream: upstream.clone(),
            since: Cell::new(since),
            next_at: Cell::default(),
            is_paid: Cell::default(),
        }
    }
}

/// Which of two replicas went on with a stream.
pub(super) enum Raced<T> {
    /// The one that has it; or it broke off, and there is no other one.
    Kept(T),
    /// Another one, whose answer has begun. The result is present if the first one broke off.
    Moved(Box<StreamReader>, Option<T>),
}

impl Exchange {
    /// Waits for `primary`, the next data of a stream. Once it is overdue, the stream is tried at
    /// other upstreams as well, from `point` on; whichever goes on first has it.
    pub(super) async fn race<T>(
        &self,
        handover: &Handover,
        point: &ResumePoint,
        primary: impl Future<Output = T>,
        is_broken: impl Fn(&T) -> bool,
    ) -> Raced<T> {
        let mut primary = pin!(primary);
        loop {
            tokio::select! {
                biased;
                result = primary.as_mut() => return Raced::Kept(result),
                () = self.wait_until_overdue(handover) => {}
            }
            let mut attempt = pin!(self.try_elsewhere(handover, point));
            let result = tokio::select! {
                biased;
                result = primary.as_mut() => result,
                moved = attempt.as_mut() => match moved {
                    Ok(reader) => return Raced::Moved(reader, None),
                    Err(()) => {
                        handover.next_at.set(self.shared.clock.now() + HANDOVER_PAUSE);
                        continue;
                    }
                }
            };
            if !is_broken(&result) {
                let (event, request) = (events::HANDOVER_ENDED, &self.envelope.id);
                tracing::info!(event, %request, upstream = %handover.upstream, "the upstream went on");
                return Raced::Kept(result);
            }
            return match attempt.await {
                Ok(reader) => Raced::Moved(reader, Some(result)),
                Err(()) => Raced::Kept(result),
            };
        }
    }

    async fn wait_until_overdue(&self, handover: &Handover) {
        loop {
            let now = self.shared.clock.now();
            let silence = now.saturating_sub(handover.since.get());
            if now >= handover.next_at.get()
                && self.may_hand_over()
                && self.is_overdue(&handover.upstream, silence, now)
            {
                return;
            }
            sleep(SILENCE_CHECK_INTERVAL).await;
        }
    }

    /// Whether a stream in progress may be sent to a further upstream.
    fn may_hand_over(&self) -> bool {
        self.may_run_again() && self.history.not_run.get() <= NOT_RUN_MAX
    }

    /// Makes one attempt at another upstream, up to its first event after `point`.
    async fn try_elsewhere(
        &self,
        handover: &Handover,
        point: &ResumePoint,
    ) -> Result<Box<StreamReader>, ()> {
        self.open_elsewhere(handover, point).await.map_err(|reason| {
            let (event, request) = (events::HANDOVER_FAILED, &self.envelope.id);
            tracing::info!(event, %request, %reason, "no other upstream went on");
        })
    }

    async fn open_elsewhere(
        &self,
        handover: &Handover,
        point: &ResumePoint,
    ) -> Result<Box<StreamReader>, StopReason> {
        self.check_blocked()?;
        // Before the seat, which would be taken from others for nothing.
        if !handover.is_paid.get() {
            self.take_retry()?;
            handover.is_paid.set(true);
        }
        let seat = self.acquire_seat(true).await?;
        self.check_blocked()?;
        handover.is_paid.set(false);
        let upstream = seat.seat().upstream.clone();
        let sent = match self.connect(&seat).await {
            Ok(connection) => self.send(&seat, connection, point.last_event, true).await,
            Err(failure) => Err(failure),
        };
        let head = match sent {
            Ok(head) => head,
            Err(failure) => {
                seat.finish(failure.outcome);
                handover.is_paid.set(failure.outcome.is_unsent());
                return Err(self.log_failed_handover(&failure));
            }
        };
        let status = head.parts.status;
        let (sent_at, began) = (head.sent_at, head.began);
        if !status.is_success() {
            let (outcome, detail) = (SendOutcome::Failed, format!("answered {status}"));
            self.log_failed_handover(&FailedAttempt::begun(seat, began, outcome, detail));
            return Err(StopReason::Status(status.as_u16()));
        }
        if !point.fits(&head.parts.headers) {
            let failure = FailedAttempt::begun(seat, began, SendOutcome::Lost, OTHER_TYPE.into());
            return Err(self.log_failed_handover(&failure));
        }
        let mut reader = StreamReader::new(head, seat, self.numbering());
        let (outcome, detail) = loop {
            let next = reader.next(point.last_event);
            match self.next_from(&upstream, sent_at, next, true).await {
                Some(Ok(Step::Events(batch))) if batch.events > 0 => {
                    reader.hold(batch);
                    return Ok(Box::new(reader));
                }
                Some(Ok(Step::Events(_))) => {}
                Some(Ok(Step::End)) => {
                    break (SendOutcome::Lost, "stream ended before its first event".into());
                }
                Some(Err(broken)) => {
                    if broken.has_closed {
                        self.record_broken(&reader.seat, sent_at);
                    }
                    break (SendOutcome::Lost, broken.detail);
                }
                None => break (SendOutcome::Silent, "no event in the expected time".into()),
            }
        };
        let failure = FailedAttempt::begun(reader.seat, began, outcome, detail);
        Err(self.log_failed_handover(&failure))
    }

    fn log_failed_handover(&self, failure: &FailedAttempt) -> StopReason {
        self.log_failure(failure);
        StopReason::Failed(failure.outcome)
    }
}
