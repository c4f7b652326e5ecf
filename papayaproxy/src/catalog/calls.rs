//! Calls to the store: watches of the configuration and of the upstreams, and retries.

use super::constants::{
    CONFIG_WAIT, CONFIG_WAIT_SHARED, OVERDUE_MIN, PROBE_WAIT, RETRY_FIRST, RETRY_LONGEST,
    UPSTREAM_WAIT, UPSTREAM_WAIT_SHARED, WATCH_LAG,
};
use super::events;
use super::follow::{Catalog, StoreHealth, StoreRole};
use super::freshness::{answered_by, boot_time};
use super::revision::Revision;
use crate::platform::{FailureSign, StoreError, StoreUpdate};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Records the result of a call to the store that was sent at `sent` and could take `wait`. Returns
/// the delay to wait after the next failed call.
pub(super) fn record_result(
    health: &Cell<StoreHealth>,
    call: Call<'_>,
    error: Option<&StoreError>,
    pause: Duration,
    now: Duration,
) -> Duration {
    let mut state = health.get();
    let Call { what, sent, wait } = call;
    match (error, state.failing_since) {
        (None, Some(since)) => {
            let failing_ms = now.saturating_sub(since).as_millis() as u64;
            tracing::info!(
                event = events::STORE_BACK,
                what,
                failing_ms,
                away = state.is_away,
                "calls to the store succeed again"
            );
            if state.is_away {
                state.recovered_at = Some(now);
            }
            (state.failing_since, state.is_away, state.was_closed) = (None, false, false);
        }
        (Some(error), since) => {
            if since.is_none() {
                tracing::warn!(event = events::STORE_LOST, what, %error, "calls to the store fail");
            }
            // A watch that waits may be cut at any time, and one call may be refused; how late that
            // is seen depends on this process alone. Only a second failure in a row, or silence
            // beyond the time of an answer, shows that the store is away.
            let is_overdue = now.saturating_sub(sent) > wait + OVERDUE_MIN;
            let (is_away, closed) = match error.sign() {
                FailureSign::Answered => (false, false),
                FailureSign::Closed => (state.was_closed, true),
                FailureSign::Silent => (state.was_closed || is_overdue, true),
            };
            state.is_away |= is_away;
            state.was_closed = closed;
            state.failing_since = since.or(Some(now));
        }
        (None, None) => {}
    }
    health.set(state);
    match error {
        None => RETRY_FIRST,
        Some(_) => (pause * 2).min(RETRY_LONGEST),
    }
}

/// A call to the store.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call<'a> {
    /// What it reads, for the log.
    pub(super) what: &'a str,
    /// When it was sent, on the process clock.
    pub(super) sent: Duration,
    /// How long the store may wait with the answer.
    pub(super) wait: Duration,
}

/// Records that the store, which is in `era`, does not answer a watch that starts at `after`. Waits if
/// that was the position of a full read that has just been made.
async fn leave_history(what: &str, after: Option<Revision>, era: u64, was_read: bool) {
    let after = after.map(|a| a.number);
    tracing::info!(event = events::HISTORY_GONE, what, after, era, "history of the store is gone");
    if was_read {
        tokio::time::sleep(RETRY_FIRST).await;
    }
}

fn log_read(what: &str, read: &StoreUpdate) {
    let Revision { era, number } = read.revision;
    let items = read.items.len();
    let event = events::STORE_READ;
    tracing::info!(event, what, revision = number, era, items, "store read in full");
}

/// Follows the configuration until the runtime ends.
pub(super) async fn follow_config(catalog: Rc<Catalog>) {
    let mut pause = RETRY_FIRST;
    let mut reread = true;
    let mut failed = false;
    let mut was_read = false;
    loop {
        catalog.wait_for_turn().await;
        let wait = match catalog.role() {
            _ if failed => PROBE_WAIT,
            StoreRole::Independent => CONFIG_WAIT,
            StoreRole::Reader | StoreRole::Relying => CONFIG_WAIT_SHARED,
        };
        let sent = boot_time();
        let what = "configuration";
        let wait = if reread { Duration::ZERO } else { wait };
        let call = Call { what, sent: catalog.clock.now(), wait };
        let revision = catalog.operator_revision().filter(|_| !reread);
        let answer = match revision {
            Some(revision) => catalog.watch_operator(revision, wait).await,
            None => catalog.read_operator().await,
        };
        // A watch may lag behind the store.
        let lag = if reread { Duration::ZERO } else { WATCH_LAG };
        let confirmed_at = answered_by(sent, wait, boot_time()).saturating_sub(lag);
        let now = catalog.clock.now();
        if let Err(StoreError::HistoryGone { era }) = answer {
            leave_history(what, revision, era, was_read || revision.is_none()).await;
            reread = true;
            continue;
        }
        let health = &catalog.config_health;
        let failing = health.get();
        match answer {
            Ok(watched) => {
                pause = record_result(health, call, None, pause, now);
                catalog.observe_recovery(failing);
                if revision.is_none() {
                    log_read(what, &watched.config);
                }
                let empty = watched.config.items.is_empty() && reread;
                catalog.apply_watched_config(&watched.config);
                let is_stored = catalog.is_stored_in(watched.config.revision.era);
                if is_stored {
                    catalog.apply_evacuations(&watched, revision.is_none());
                    catalog.confirm_version(catalog.version(), confirmed_at);
                }
                (reread, failed, was_read) = (empty || !is_stored, false, revision.is_none());
                if reread {
                    tokio::time::sleep(RETRY_FIRST).await;
                }
            }
            Err(error) => {
                let delay = pause;
                pause = record_result(health, call, Some(&error), pause, now);
                reread |= matches!(error, StoreError::Malformed { .. });
                failed = true;
                tokio::time::sleep(delay).await;
            }
        }
    }
}

/// Follows the upstreams until the runtime ends.
pub(super) async fn follow_upstreams(catalog: Rc<Catalog>) {
    let mut pause = RETRY_FIRST;
    let mut reread = true;
    let mut failed = false;
    let mut was_read = false;
    loop {
        catalog.wait_for_turn().await;
        // Lapsed records have to expire in time even if no change ends the watch.
        let has_lapsed = catalog.directory.borrow().has_lapsed();
        let wait = match has_lapsed {
            _ if failed => PROBE_WAIT,
            true => catalog.pause,
            false if catalog.role() == StoreRole::Independent => UPSTREAM_WAIT,
            false => UPSTREAM_WAIT_SHARED,
        };
        // A list from peers is as good a start as an own one.
        let revision = Some(catalog.list_revision()).filter(|r| !r.is_none() && !reread);
        let wait = revision.map_or(Duration::ZERO, |_| wait);
        let sent = boot_time();
        let call = Call { what: "upstreams", sent: catalog.clock.now(), wait };
        let answer = match revision {
            Some(after) => catalog.store.watch_upstreams(after, wait).await,
            None => catalog.store.read_upstreams().await,
        };
        let now = catalog.clock.now();
        let confirmed_at = answered_by(sent, wait, boot_time());
        if let Err(StoreError::HistoryGone { era }) = answer {
            leave_history(call.what, revision, era, was_read || revision.is_none()).await;
            reread = true;
            continue;
        }
        let health = &catalog.upstream_health;
        failed = answer.is_err();
        match answer {
            Ok(watched) => {
                pause = record_result(health, call, None, pause, now);
                match revision {
                    Some(_) => catalog.apply_changes(watched, confirmed_at),
                    None => {
                        log_read(call.what, &watched);
                        catalog.apply_listing(watched, confirmed_at);
                    }
                }
                (reread, was_read) = (false, revision.is_none());
                tokio::time::sleep(catalog.pause).await;
            }
            Err(error) => {
                let delay = pause;
                pause = record_result(health, call, Some(&error), pause, now);
                // The same watch would get the same answer; a full read does not need it.
                reread |= matches!(error, StoreError::Malformed { .. });
                tokio::time::sleep(delay).await;
            }
        }
    }
}
