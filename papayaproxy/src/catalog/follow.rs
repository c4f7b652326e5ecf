//! Follows the store, and takes from peers what the store does not give.

use super::config::Config;
use super::constants::{
    CONFIG_WAIT, LAPSE_TIME, PROBE_WAIT, RETRY_FIRST, RETRY_LONGEST, UPSTREAM_PAUSE, UPSTREAM_WAIT,
    WATCH_LAG,
};
use super::directory::{Directory, ListedUpstream};
use super::events;
use super::freshness::{Freshness, boot_time};
use crate::base::clock::Clock;
use crate::base::name::Name;
use crate::platform::store::Item;
use crate::platform::{Store, StoreError, Watched, config, upstream};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// The configuration in force, with the bytes it was read from.
#[derive(Clone)]
pub(crate) struct ActiveConfig {
    /// The configuration.
    pub(crate) config: Arc<Config>,
    /// As the operator wrote it, for peers.
    pub(crate) raw: Bytes,
    /// The store's revision at which it was known to be the newest.
    pub(crate) revision: u64,
}

/// How calls to the store have gone.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    /// Since when calls fail.
    failing: Option<Duration>,
    /// When calls began to succeed again.
    returned: Option<Duration>,
}

/// What this process knows of the configuration and the upstreams.
pub(crate) struct Catalog {
    store: Store,
    clock: Clock,
    held: RefCell<Option<ActiveConfig>>,
    directory: RefCell<Directory>,
    freshness: Cell<Freshness>,
    /// Contact for the configuration.
    config_contact: Cell<Contact>,
    /// Contact for the upstreams.
    upstream_contact: Cell<Contact>,
    /// Last time the directory was known to be whole.
    listed: Cell<Option<Duration>>,
    /// Told at each change of configuration or upstreams.
    changed: Notify,
}

impl Catalog {
    /// A catalog that knows nothing yet, and follows `store` until its runtime ends.
    pub(crate) fn spawn(store: Store, clock: Clock) -> Rc<Self> {
        let catalog = Rc::new(Self {
            store,
            clock,
            held: RefCell::default(),
            directory: RefCell::default(),
            freshness: Cell::default(),
            config_contact: Cell::default(),
            upstream_contact: Cell::default(),
            listed: Cell::default(),
            changed: Notify::new(),
        });
        tokio::task::spawn_local(follow_config(catalog.clone()));
        tokio::task::spawn_local(follow_upstreams(catalog.clone()));
        catalog
    }

    /// The configuration in force.
    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        self.held.borrow().as_ref().map(|h| h.config.clone())
    }

    /// The configuration in force with its bytes.
    pub(crate) fn active(&self) -> Option<ActiveConfig> {
        self.held.borrow().clone()
    }

    /// Version of the configuration in force; 0 before the first.
    pub(crate) fn version(&self) -> u64 {
        self.held.borrow().as_ref().map_or(0, |h| h.config.version)
    }

    /// Age of the proof that the configuration is the newest.
    pub(crate) fn config_age(&self) -> Option<Duration> {
        self.freshness.get().age(boot_time())
    }

    /// Whether the configuration was the newest within `limit`.
    pub(crate) fn is_fresh(&self, limit: Duration) -> bool {
        self.freshness.get().within(limit, boot_time())
    }

    /// Runs `read` on the upstreams.
    pub(crate) fn with_directory<T>(&self, read: impl FnOnce(&Directory) -> T) -> T {
        read(&self.directory.borrow())
    }

    /// Time since the list of upstreams was last confirmed.
    pub(crate) fn directory_age(&self) -> Option<Duration> {
        self.listed.get().map(|at| self.clock.now().saturating_sub(at))
    }

    /// Whether calls to the store fail for this process.
    pub(crate) fn is_store_failing(&self) -> bool {
        let failing = |c: &Cell<Contact>| c.get().failing.is_some();
        failing(&self.config_contact) || failing(&self.upstream_contact)
    }

    /// Waits for the next change.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Takes a proof, from a peer, that `version` was the newest at the time `at`.
    pub(crate) fn confirm_version(&self, version: u64, at: Duration) {
        if version == self.version() && version > 0 {
            let mut freshness = self.freshness.get();
            freshness.prove(at);
            self.freshness.set(freshness);
        }
    }

    /// Takes a configuration as bytes. An older one than that in force is never taken.
    pub(crate) fn apply_config(&self, raw: Bytes, revision: u64, source: &str) {
        let held = self.version();
        let config = match config::parse(&raw) {
            Ok(config) => config,
            Err(error) => {
                let event = events::CONFIG_REFUSED;
                tracing::error!(event, version = 0, held, source, reason = %error, "refused");
                return;
            }
        };
        let version = config.version;
        if version < held {
            let reason = "older than the one in force";
            tracing::warn!(
                event = events::CONFIG_REFUSED,
                version,
                held,
                source,
                reason,
                "refused"
            );
            return;
        }
        if version == held {
            let mut held = self.held.borrow_mut();
            if let Some(held) = held.as_mut() {
                held.revision = held.revision.max(revision);
            }
            return;
        }
        tracing::info!(
            event = events::CONFIG_IN_FORCE,
            version,
            routes = config.route_count(),
            services = config.services.len(),
            source,
            "in force"
        );
        *self.held.borrow_mut() = Some(ActiveConfig { config: Arc::new(config), raw, revision });
        self.changed.notify_waiters();
    }

    /// Takes a peer's list of upstreams, confirmed `age` ago.
    pub(crate) fn apply_peer_list(&self, listed: Vec<ListedUpstream>, age: Duration) {
        let now = self.clock.now();
        let at = now.saturating_sub(age);
        if self.listed.get().is_some_and(|own| own >= at) {
            return;
        }
        let changed = self.directory.borrow_mut().adopt(listed, now);
        self.listed.set(Some(at));
        if changed {
            self.changed.notify_waiters();
        }
    }

    fn take_watched(&self, watched: &Watched) {
        let Some(newest) = watched.items.iter().rev().find_map(|i| i.value.clone()) else {
            let mut held = self.held.borrow_mut();
            if let Some(held) = held.as_mut() {
                held.revision = held.revision.max(watched.revision);
            }
            return;
        };
        self.apply_config(newest, watched.revision, "store");
    }

    /// Whether a missing entry may be the store's trouble alone.
    fn doubts(&self, now: Duration) -> bool {
        // The short watches of the configuration notice an end of the trouble first.
        let contact = self.config_contact.get();
        let recent = |at: Duration| now < at + LAPSE_TIME;
        contact.failing.is_some() || contact.returned.is_some_and(recent)
    }

    fn take_changes(&self, watched: Watched) {
        let now = self.clock.now();
        let doubt = self.doubts(now);
        let mut directory = self.directory.borrow_mut();
        let mut changed = false;
        for item in watched.items {
            let id: Name = item.key.as_str().into();
            changed |= match read_entry(&id, &item) {
                Some(entry) => directory.put(&id, entry, item.revision),
                None => {
                    let doubt = doubt && item.value.is_none();
                    directory.remove(&id, item.revision, doubt, now)
                }
            };
        }
        drop(directory);
        self.confirm_list(now, changed);
    }

    fn take_listing(&self, watched: Watched) {
        let now = self.clock.now();
        let doubt = self.doubts(now);
        let mut listed = Vec::with_capacity(watched.items.len());
        for item in watched.items {
            let id: Name = item.key.as_str().into();
            if let Some(entry) = read_entry(&id, &item) {
                listed.push((id, entry, item.revision));
            }
        }
        let revision = watched.revision;
        let changed = self.directory.borrow_mut().replace(listed, revision, doubt, now);
        self.confirm_list(now, changed);
    }

    fn confirm_list(&self, now: Duration, changed: bool) {
        self.listed.set(Some(now));
        if changed {
            self.changed.notify_waiters();
        }
        self.expire();
    }

    /// Lets go of upstreams whose entries have not come back in time.
    pub(crate) fn expire(&self) {
        let contact = self.config_contact.get();
        let now = self.clock.now();
        if contact.failing.is_none() && self.directory.borrow_mut().expire(contact.returned, now) {
            self.changed.notify_waiters();
        }
    }
}

fn read_entry(id: &Name, item: &Item) -> Option<super::directory::UpstreamRecord> {
    let bytes = item.value.as_ref()?;
    match upstream::parse(bytes) {
        Ok(entry) => Some(entry),
        Err(error) => {
            let (event, revision) = (events::ENTRY_IGNORED, item.revision);
            tracing::warn!(event, upstream = %id, revision, %error, "ignored");
            None
        }
    }
}

/// Keeps a contact's account of one call, and gives the pause before the next after a failure.
fn settle(
    contact: &Cell<Contact>,
    what: &str,
    error: Option<&StoreError>,
    pause: Duration,
    now: Duration,
) -> Duration {
    let mut state = contact.get();
    match (error, state.failing) {
        (None, Some(since)) => {
            let away_ms = now.saturating_sub(since).as_millis() as u64;
            tracing::info!(event = events::STORE_BACK, what, away_ms, "store answers again");
            state = Contact { failing: None, returned: Some(now) };
        }
        (Some(error), None) => {
            tracing::warn!(event = events::STORE_LOST, what, %error, "store does not answer");
            state.failing = Some(now);
        }
        _ => {}
    }
    contact.set(state);
    match error {
        None => RETRY_FIRST,
        Some(_) => (pause * 2).min(RETRY_LONGEST),
    }
}

async fn follow_config(catalog: Rc<Catalog>) {
    let mut pause = RETRY_FIRST;
    let mut reread = true;
    let mut wait = CONFIG_WAIT;
    loop {
        let sent = boot_time();
        let revision = catalog.active().map(|h| h.revision);
        let answer = match revision.filter(|_| !reread) {
            Some(revision) => catalog.store.watch_config(revision, wait).await,
            None => catalog.store.read_config().await,
        };
        // A read is newest as of its sending; a watch may lag behind the store.
        let newest = if reread { sent } else { boot_time().saturating_sub(WATCH_LAG) };
        let now = catalog.clock.now();
        if let Err(StoreError::HistoryGone) = answer {
            reread = true;
            continue;
        }
        let contact = &catalog.config_contact;
        match answer {
            Ok(watched) => {
                pause = settle(contact, "configuration", None, pause, now);
                let empty = watched.items.is_empty() && reread;
                catalog.take_watched(&watched);
                catalog.confirm_version(catalog.version(), newest);
                (reread, wait) = (empty, CONFIG_WAIT);
                if empty {
                    tokio::time::sleep(RETRY_FIRST).await;
                }
            }
            Err(error) => {
                let wait_first = pause;
                pause = settle(contact, "configuration", Some(&error), pause, now);
                wait = PROBE_WAIT;
                tokio::time::sleep(wait_first).await;
            }
        }
    }
}

async fn follow_upstreams(catalog: Rc<Catalog>) {
    let mut pause = RETRY_FIRST;
    let mut revision: Option<u64> = None;
    let mut failed = false;
    loop {
        // Lapsed entries have to be let go in time, also while nothing changes.
        let lapsed = catalog.directory.borrow().has_lapsed();
        let wait = match lapsed {
            _ if failed => PROBE_WAIT,
            true => UPSTREAM_PAUSE,
            false => UPSTREAM_WAIT,
        };
        let answer = match revision {
            Some(after) => catalog.store.watch_upstreams(after, wait).await,
            None => catalog.store.read_upstreams().await,
        };
        let now = catalog.clock.now();
        if let Err(StoreError::HistoryGone) = answer {
            revision = None;
            continue;
        }
        let contact = &catalog.upstream_contact;
        failed = answer.is_err();
        match answer {
            Ok(watched) => {
                pause = settle(contact, "upstreams", None, pause, now);
                let next = Some(watched.revision);
                match revision {
                    Some(_) => catalog.take_changes(watched),
                    None => catalog.take_listing(watched),
                }
                revision = next;
                tokio::time::sleep(UPSTREAM_PAUSE).await;
            }
            Err(error) => {
                let wait_first = pause;
                pause = settle(contact, "upstreams", Some(&error), pause, now);
                tokio::time::sleep(wait_first).await;
            }
        }
    }
}
