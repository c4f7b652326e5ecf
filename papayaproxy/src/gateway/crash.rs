//! What a request shows of the parts of its prompt: whether its answer goes on, or its upstream crashes.

use super::attempts::StopReason;
use super::constants::CRASH_CHECK_PAUSES;
use super::exchange::Exchange;
use super::process::Shared;
use super::seats::SeatGuard;
use crate::balance::Seat;
use crate::base::name::Name;
use crate::peers::message::digest;
use crate::quarantine::{Crash, events, key_list};
use std::rc::Rc;
use std::time::Duration;

impl Exchange {
    /// Checks that neither a part of the prompt nor the request as a whole crashes upstreams.
    ///
    /// # Errors
    /// It does, and is not to be sent.
    pub(super) fn check_blocked(&self) -> Result<(), StopReason> {
        if self.shared.quarantine.borrow().blocked_part(&self.shared_parts).is_some() {
            return Err(StopReason::PartBlocked);
        }
        let now = self.shared.clock.now();
        match self.shared.fatal.borrow().is_blocked(self.content, now) {
            true => Err(StopReason::RequestBlocked),
            false => Ok(()),
        }
    }

    /// Records a complete answer to the request.
    pub(super) fn record_answer(&self) {
        let now = self.shared.clock.now();
        self.shared.fatal.borrow_mut().record_answer(self.content, now);
    }

    /// Records that the connection to `seat`'s upstream ended before the answer to what was sent at
    /// `sent_at` was complete.
    pub(super) fn record_broken(&self, seat: &SeatGuard, sent_at: Duration) {
        let now = self.shared.clock.now();
        let broken = Crash {
            upstream: digest(&seat.seat().upstream),
            entry: self.shared.incarnation,
            parts: vec![self.content],
            sent_at,
            ended_at: now,
        };
        if self.shared.fatal.borrow_mut().record_broken(broken, now) {
            let shared = self.shared.clone();
            tokio::task::spawn_local(async move { shared.announce_parts().await });
        }
    }

    /// Records that an answer to the request has gone on, so that its prompt crashes nothing.
    pub(super) fn record_survival(&self) {
        let now = self.shared.clock.now();
        self.shared.quarantine.borrow_mut().record_survival(&self.shared_parts, now);
    }

    /// Checks whether `seat`'s upstream has crashed, after an answer to what was sent at `sent_at`
    /// broke off as it began.
    pub(super) fn check_crash(&self, seat: &SeatGuard, sent_at: Duration) {
        let now = self.shared.clock.now();
        let is_suspect = self.shared.quarantine.borrow().is_suspect(&self.shared_parts, now);
        if !is_suspect {
            return;
        }
        let crash = Crash {
            upstream: digest(&seat.seat().upstream),
            entry: self.shared.incarnation,
            parts: self.shared_parts.clone(),
            sent_at,
            ended_at: now,
        };
        let parts = self.envelope.prompt_parts.join(",");
        let confirm = confirm_crash(
            self.shared.clone(),
            seat.seat().clone(),
            crash,
            self.envelope.id.clone(),
            parts,
        );
        tokio::task::spawn_local(confirm);
    }
}

/// Records `crash` if the upstream of `seat` refuses connections.
async fn confirm_crash(shared: Rc<Shared>, seat: Seat, crash: Crash, request: Name, parts: String) {
    let mut listening = None;
    for pause in CRASH_CHECK_PAUSES {
        tokio::time::sleep(pause).await;
        listening = shared.pool.is_listening(seat.address).await;
        if listening == Some(false) {
            break;
        }
    }
    tracing::info!(
        event = events::CRASH_CHECKED,
        upstream = %seat.upstream,
        %request,
        listening,
        parts,
        keys = key_list(&crash.parts),
        "upstream checked"
    );
    if listening == Some(false) {
        let now = shared.clock.now();
        shared.quarantine.borrow_mut().record_crash(crash, now);
        shared.announce_parts().await;
    }
}
