//! Calls to the store: watches of the configuration and of the upstreams, and retries.

use super::constants::{
    CONFIG_WAIT, CONFIG_WAIT_SHARED, PROBE_WAIT, RETRY_FIRST, RETRY_LONGEST, UPSTREAM_WAIT,
    UPSTREAM_WAIT_SHARED, WATCH_LAG,
};
use super::events;
use super::follow::{Catalog, StoreHealth, StoreRole};
use super::freshness::boot_time;
use crate::platform::StoreError;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Records the result of a call to the store. Returns the delay to wait after the next failed call.
fn record_result(
    health: &Cell<StoreHealth>,
    what: &str,
    error: Option<&StoreError>,
    pause: Duration,
    now: Duration,
) -> Duration {
    let mut state = health.get();
    match (error, state.failing_since) {
        (None, Some(since)) => {
            let away_ms = now.saturating_sub(since).as_millis() as u64;
            tracing::info!(
                event = events::STORE_BACK,
                what,
                away_ms,
                "calls to the store succeed again"
            );
            state = StoreHealth { failing_since: None, recovered_at: Some(now) };
        }
        (Some(error), None) => {
            tracing::warn!(event = events::STORE_LOST, what, %error, "calls to the store fail");
            state.failing_since = Some(now);
        }
        _ => {}
    }
    health.set(state);
    match error {
        None => RETRY_FIRST,
        Some(_) => (pause * 2).min(RETRY_LONGEST),
    }
}

/// Follows the configuration until the runtime ends.
pub(super) async fn follow_config(catalog: Rc<Catalog>) {
    let mut pause = RETRY_FIRST;
    let mut reread = true;
    let mut failed = false;
    loop {
        catalog.wait_for_turn().await;
        let wait = match catalog.role() {
            _ if failed => PROBE_WAIT,
            StoreRole::Independent => CONFIG_WAIT,
            StoreRole::Reader | StoreRole::Relying => CONFIG_WAIT_SHARED,
        };
        let sent = boot_time();
        let revision = catalog.active().map(|a| a.revision);
        let answer = match revision.filter(|_| !reread) {
            Some(revision) => catalog.store.watch_config(revision, wait).await,
            None => catalog.store.read_config().await,
        };
        // A read is current as of its sending; a watch may lag behind the store.
        let confirmed_at = if reread { sent } else { boot_time().saturating_sub(WATCH_LAG) };
        let now = catalog.clock.now();
        if let Err(StoreError::HistoryGone) = answer {
            reread = true;
            continue;
        }
        let health = &catalog.config_health;
        match answer {
            Ok(watched) => {
                pause = record_result(health, "configuration", None, pause, now);
                let empty = watched.items.is_empty() && reread;
                catalog.apply_watched_config(&watched);
                catalog.confirm_version(catalog.version(), confirmed_at);
                (reread, failed) = (empty, false);
                if empty {
                    tokio::time::sleep(RETRY_FIRST).await;
                }
            }
            Err(error) => {
                let delay = pause;
                pause = record_result(health, "configuration", Some(&error), pause, now);
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
        let revision = Some(catalog.list_revision()).filter(|r| *r > 0 && !reread);
        let answer = match revision {
            Some(after) => catalog.store.watch_upstreams(after, wait).await,
            None => catalog.store.read_upstreams().await,
        };
        let (now, confirmed_at) = (catalog.clock.now(), boot_time());
        if let Err(StoreError::HistoryGone) = answer {
            reread = true;
            continue;
        }
        let health = &catalog.upstream_health;
        failed = answer.is_err();
        match answer {
            Ok(watched) => {
                pause = record_result(health, "upstreams", None, pause, now);
                match revision {
                    Some(_) => catalog.apply_changes(watched, confirmed_at),
                    None => catalog.apply_listing(watched, confirmed_at),
                }
                reread = false;
                tokio::time::sleep(catalog.pause).await;
            }
            Err(error) => {
                let delay = pause;
                pause = record_result(health, "upstreams", Some(&error), pause, now);
                // The same watch would get the same answer; a full read does not need it.
                reread |= matches!(error, StoreError::Malformed { .. });
                tokio::time::sleep(delay).await;
            }
        }
    }
}
