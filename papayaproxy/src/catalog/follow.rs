//! Keeps the configuration and the directory of upstreams up to date, from the store or, where the
//! store does not answer, from peers.

use super::calls::{follow_config, follow_upstreams};
use super::config::Config;
use super::constants::{
    IGNORED_MAX, LAPSE_GRACE, PAUSE_FRACTION, RELY_AGE, TURN_INTERVAL, UPSTREAM_PAUSE_MAX,
    UPSTREAM_PAUSE_MIN,
};
use super::directory::{Directory, ListedUpstream, UpstreamRecord};
use super::evacuations::Evacuations;
use super::events;
use super::freshness::{Freshness, PeerAnswers, boot_time};
use super::revision::Revision;
use crate::base::clock::Clock;
use crate::base::name::Name;
use crate::base::supervise::restart_on_panic;
use crate::platform::store::Item;
use crate::platform::{Store, StoreUpdate, config, upstream};
use bytes::Bytes;
use indexmap::IndexMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// The configuration in force and its source text.
#[derive(Clone)]
pub(crate) struct ActiveConfig {
    pub(crate) config: Arc<Config>,
    /// The bytes as the operator wrote them, to be sent to peers.
    pub(crate) raw: Bytes,
    /// The latest store revision at which the configuration was the newest.
    pub(crate) revision: Revision,
}

/// Part that a process takes in reading the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum StoreRole {
    /// Reads for itself, as all processes of a small fleet do.
    #[default]
    Independent,
    /// Reads for itself and for those that rely on it, so it asks more often.
    Reader,
    /// Takes what it needs from readers, and calls the store only if they have nothing recent.
    Relying,
}

impl StoreRole {
    /// Name in log lines.
    fn as_str(self) -> &'static str {
        match self {
            Self::Independent => "independent",
            Self::Reader => "reader",
            Self::Relying => "relying",
        }
    }
}

/// Whether calls to the store succeed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreHealth {
    /// When calls began to fail; `None` while they succeed.
    pub(super) failing_since: Option<Duration>,
    /// Whether the failures prove that the store is away.
    pub(super) is_away: bool,
    /// Whether the last call failed without an answer.
    pub(super) was_closed: bool,
    /// When the store last came back after it was away, by own calls or by those of peers, whichever
    /// succeeded first; `None` before the first outage.
    pub(super) recovered_at: Option<Duration>,
}

/// The configuration in force and the known upstreams.
pub(crate) struct Catalog {
    pub(super) store: Store,
    pub(super) clock: Clock,
    active: RefCell<Option<ActiveConfig>>,
    /// `None` if this process does not read evacuations.
    pub(super) evacuations: Option<RefCell<Evacuations>>,
    pub(super) directory: RefCell<Directory>,
    freshness: Cell<Freshness>,
    /// Calls that read the configuration.
    pub(super) config_health: Cell<StoreHealth>,
    /// Calls that read the upstreams.
    pub(super) upstream_health: Cell<StoreHealth>,
    /// Answers of the store to peers while own calls for the configuration fail.
    peer_answers: Cell<PeerAnswers>,
    /// When the directory was last known to be complete, in [`boot_time`].
    listed_at: Cell<Option<Duration>>,
    /// Store revision as of which the directory is complete; none before the first listing.
    list_revision: Cell<Revision>,
    /// Digest of the directory; `None` after a change until it is needed.
    list_digest: Cell<Option<u64>>,
    /// Revisions of the odd records that have been logged, by id.
    ignored: RefCell<IndexMap<Name, Revision>>,
    /// Whether this process follows the store for others, or relies on those that do.
    role: Cell<StoreRole>,
    /// Longest pause between two watches of the upstreams.
    pub(super) pause: Duration,
    /// Notified at every change of the configuration, the evacuations or the upstreams.
    pub(super) changed: Notify,
}

impl Catalog {
    /// Creates an empty catalog and starts the tasks that follow `store`; they run until the
    /// runtime ends.
    ///
    /// `drain` is the time within which the removal of an upstream must be known. Evacuations are
    /// read only with `reads_evacuations`.
    pub(crate) fn spawn(
        store: Store,
        clock: Clock,
        drain: Duration,
        reads_evacuations: bool,
    ) -> Rc<Self> {
        let catalog = Rc::new(Self {
            store,
            clock,
            active: RefCell::default(),
            evacuations: reads_evacuations.then(RefCell::default),
            directory: RefCell::default(),
            freshness: Cell::default(),
            config_health: Cell::default(),
            upstream_health: Cell::default(),
            peer_answers: Cell::default(),
            listed_at: Cell::default(),
            list_revision: Cell::default(),
            list_digest: Cell::default(),
            ignored: RefCell::default(),
            role: Cell::default(),
            pause: drain.mul_f64(PAUSE_FRACTION).clamp(UPSTREAM_PAUSE_MIN, UPSTREAM_PAUSE_MAX),
            changed: Notify::new(),
        });
        let (own, task) = (catalog.clone(), "configuration");
        tokio::task::spawn_local(restart_on_panic(task, move || follow_config(own.clone())));
        let (own, task) = (catalog.clone(), "upstreams");
        tokio::task::spawn_local(restart_on_panic(task, move || follow_upstreams(own.clone())));
        catalog
    }

    /// The configuration in force; `None` before the first.
    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        self.active.borrow().as_ref().map(|a| a.config.clone())
    }

    /// The configuration in force with its source text; `None` before the first.
    pub(crate) fn active(&self) -> Option<ActiveConfig> {
        self.active.borrow().clone()
    }

    /// Version of the configuration in force; 0 before the first.
    pub(crate) fn version(&self) -> u64 {
        self.active.borrow().as_ref().map_or(0, |a| a.config.version)
    }

    /// Time since the configuration was last known to be the newest; `None` before the first
    /// confirmation.
    pub(crate) fn config_age(&self) -> Option<Duration> {
        self.freshness.get().age(boot_time())
    }

    /// Whether the configuration was known to be the newest less than `limit` ago.
    pub(crate) fn is_fresh(&self, limit: Duration) -> bool {
        self.freshness.get().is_within(limit, boot_time())
    }

    /// Calls `read` with the directory of upstreams.
    pub(crate) fn with_directory<T>(&self, read: impl FnOnce(&Directory) -> T) -> T {
        read(&self.directory.borrow())
    }

    /// Time since the directory was last known to be complete; `None` before the first listing.
    pub(crate) fn directory_age(&self) -> Option<Duration> {
        self.listed_at.get().map(|at| boot_time().saturating_sub(at))
    }

    /// Store revision as of which the directory is complete; none before the first listing.
    pub(crate) fn list_revision(&self) -> Revision {
        self.list_revision.get()
    }

    /// Digest of the directory.
    pub(crate) fn list_digest(&self) -> u64 {
        let digest = self.list_digest.get().unwrap_or_else(|| self.directory.borrow().digest());
        self.list_digest.set(Some(digest));
        digest
    }

    /// Sets the part that this process takes in reading the store.
    pub(crate) fn set_role(&self, role: StoreRole) {
        if self.role.replace(role) != role {
            let event = events::ROLE_CHANGED;
            tracing::info!(event, role = role.as_str(), "role in reading the store changed");
        }
    }

    /// The part that this process takes in reading the store.
    pub(crate) fn role(&self) -> StoreRole {
        self.role.get()
    }

    /// Whether to call the store: as a reader, or because what peers give is missing or old.
    fn needs_store(&self) -> bool {
        let is_old = |age: Option<Duration>| age.is_none_or(|age| age > RELY_AGE);
        self.role() != StoreRole::Relying
            || is_old(self.config_age())
            || is_old(self.directory_age())
            || self.evacuated_zones().is_none()
    }

    /// Waits until this process is to call the store.
    pub(super) async fn wait_for_turn(&self) {
        if self.needs_store() {
            return;
        }
        // Peers tell how the store does; own calls failed before, if at all.
        for health in [&self.config_health, &self.upstream_health] {
            health.set(StoreHealth {
                failing_since: None,
                is_away: false,
                was_closed: false,
                ..health.get()
            });
        }
        while !self.needs_store() {
            tokio::time::sleep(TURN_INTERVAL).await;
        }
    }

    /// Whether this process' calls to the store fail at present.
    pub(crate) fn is_store_failing(&self) -> bool {
        let is_failing = |h: &Cell<StoreHealth>| h.get().failing_since.is_some();
        is_failing(&self.config_health) || is_failing(&self.upstream_health)
    }

    /// Waits for the next change of the configuration, the evacuations or the upstreams.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Records that `version` was the store's newest at the time `at`, in [`boot_time`]. Ignored if
    /// `version` is not the one in force.
    pub(crate) fn confirm_version(&self, version: u64, at: Duration) {
        if version == self.version() && version > 0 {
            let mut freshness = self.freshness.get();
            freshness.confirm(at);
            self.freshness.set(freshness);
        }
    }

    /// Parses a configuration and puts it in force, unless it is invalid or older than the one in
    /// force.
    pub(crate) fn apply_config(&self, raw: Bytes, revision: Revision, source: &str) {
        let current = self.version();
        let config = match config::parse(&raw) {
            Ok(config) => config,
            Err(error) => {
                let event = events::CONFIG_REFUSED;
                tracing::error!(
                    event,
                    version = 0,
                    held = current,
                    source,
                    reason = %error,
                    "configuration rejected"
                );
                return;
            }
        };
        let version = config.version;
        if version < current {
            let reason = "older than the one in force";
            tracing::warn!(
                event = events::CONFIG_REFUSED,
                version,
                held = current,
                source,
                reason,
                "configuration rejected"
            );
            return;
        }
        if version == current {
            let mut active = self.active.borrow_mut();
            if let Some(active) = active.as_mut() {
                active.revision = active.revision.max(revision);
            }
            return;
        }
        tracing::info!(
            event = events::CONFIG_IN_FORCE,
            version,
            routes = config.route_count(),
            services = config.services.len(),
            source,
            "configuration in force"
        );
        *self.active.borrow_mut() = Some(ActiveConfig { config: Arc::new(config), raw, revision });
        self.changed.notify_waiters();
    }

    /// Records that the directory with the digest `digest` was complete at the time `at`, in
    /// [`boot_time`], and as of `revision`. Returns `false` if this directory is another one.
    pub(crate) fn confirm_peer_list(&self, digest: u64, revision: Revision, at: Duration) -> bool {
        self.record_peer_answer(at);
        if digest != self.list_digest() {
            return false;
        }
        self.list_revision.set(self.list_revision.get().max(revision));
        self.listed_at.set(self.listed_at.get().max(Some(at)));
        true
    }

    /// Replaces the directory with a peer's list, which was complete at the time `at`, in
    /// [`boot_time`], and as of `revision`. Ignored if the own directory is a later one.
    pub(crate) fn apply_peer_list(
        &self,
        listed: Vec<ListedUpstream>,
        revision: Revision,
        at: Duration,
    ) {
        if revision < self.list_revision.get() || self.listed_at.get().is_some_and(|own| own >= at)
        {
            return;
        }
        self.record_peer_answer(at);
        let now = self.clock.now();
        let changed = self.directory.borrow_mut().replace_from_peer(listed, revision, now);
        self.list_revision.set(revision);
        self.confirm_list(at, changed);
    }

    pub(super) fn apply_watched_config(&self, watched: &StoreUpdate) {
        for value in watched.items.iter().filter_map(|i| i.value.as_ref()) {
            match value {
                Ok(raw) => self.apply_config(raw.clone(), watched.revision, "store"),
                Err(error) => tracing::error!(
                    event = events::CONFIG_REFUSED,
                    version = 0,
                    held = self.version(),
                    source = "store",
                    reason = %error,
                    "configuration rejected"
                ),
            }
        }
        // In a later era, the store may lack what is in force until the operator has written it again.
        let mut active = self.active.borrow_mut();
        if let Some(active) = active.as_mut().filter(|a| a.revision.era == watched.revision.era) {
            active.revision = active.revision.max(watched.revision);
        }
    }

    /// Whether the store has held the configuration in force in `era`, so that its answers confirm it.
    pub(super) fn is_stored_in(&self, era: u64) -> bool {
        self.active.borrow().as_ref().is_some_and(|a| a.revision.era == era)
    }

    /// Whether a record may be missing only because of a store outage.
    fn may_lack_records(&self, now: Duration) -> bool {
        // Watches of the configuration are shorter and so detect the store's recovery first.
        let health = self.config_health.get();
        let back_at = match health.failing_since.filter(|_| health.is_away) {
            Some(since) => self.answers_peers_since(since, now),
            None => health.recovered_at,
        };
        back_at.map_or(health.is_away, |at| now < at + LAPSE_GRACE)
    }

    /// Takes note that a call was answered after the store was `before`. If only this process was cut
    /// off, the records had the time to come back, or none was missing.
    pub(super) fn observe_recovery(&self, before: StoreHealth) {
        let Some(since) = before.failing_since.filter(|_| before.is_away) else { return };
        let now = self.clock.now();
        let back_at = self.answers_peers_since(since, now).unwrap_or(now);
        let health = self.config_health.get();
        self.config_health.set(StoreHealth { recovered_at: Some(back_at), ..health });
        self.directory.borrow_mut().resume_grace(since, back_at);
    }

    /// Since when the store has answered peers, while own calls have failed since `failing_since`;
    /// `None` if it is not known to.
    fn answers_peers_since(&self, failing_since: Duration, now: Duration) -> Option<Duration> {
        let boot_now = boot_time();
        let failing_since = boot_now.saturating_sub(now.saturating_sub(failing_since));
        let since = self.peer_answers.get().since(failing_since, boot_now)?;
        Some(now.saturating_sub(boot_now.saturating_sub(since)))
    }

    /// Takes note that the store gave a peer its list at the time `at`, in [`boot_time`].
    fn record_peer_answer(&self, at: Duration) {
        let Some(since) = self.config_health.get().failing_since else { return };
        let failing_for = self.clock.now().saturating_sub(since);
        let mut answers = self.peer_answers.get();
        answers.record(at, boot_time().saturating_sub(failing_for));
        self.peer_answers.set(answers);
    }

    pub(super) fn apply_changes(&self, watched: StoreUpdate, at: Duration) {
        let now = self.clock.now();
        let may_return = self.may_lack_records(now);
        let mut directory = self.directory.borrow_mut();
        let mut changed = false;
        for item in watched.items {
            let id: Name = item.key.as_str().into();
            changed |= match self.parse_record(&id, &item) {
                Some(record) => directory.put(&id, record, item.revision),
                None => {
                    let may_return = may_return && item.value.is_none();
                    directory.remove(&id, item.revision, may_return, now)
                }
            };
        }
        drop(directory);
        self.list_revision.set(self.list_revision.get().max(watched.revision));
        self.confirm_list(at, changed);
    }

    pub(super) fn apply_listing(&self, watched: StoreUpdate, at: Duration) {
        let now = self.clock.now();
        let may_return = self.may_lack_records(now);
        let mut listed = Vec::with_capacity(watched.items.len());
        let mut directory = self.directory.borrow_mut();
        let mut changed = false;
        for item in watched.items {
            let id: Name = item.key.as_str().into();
            match self.parse_record(&id, &item) {
                Some(record) => listed.push((id, record, item.revision)),
                // What is there and names no replica is not missing because of an outage.
                None => changed |= directory.remove(&id, item.revision, false, now),
            }
        }
        let revision = watched.revision;
        changed |= directory.replace(listed, revision, may_return, now);
        drop(directory);
        self.list_revision.set(self.list_revision.get().max(revision));
        self.confirm_list(at, changed);
    }

    fn confirm_list(&self, at: Duration, changed: bool) {
        self.listed_at.set(self.listed_at.get().max(Some(at)));
        if changed {
            self.list_digest.set(None);
            self.changed.notify_waiters();
        }
        self.expire();
    }

    /// Removes upstreams whose records have not come back within the grace period after an outage.
    pub(crate) fn expire(&self) {
        let health = self.config_health.get();
        let now = self.clock.now();
        if !health.is_away && self.directory.borrow_mut().expire(health.recovered_at, now) {
            self.list_digest.set(None);
            self.changed.notify_waiters();
        }
    }

    /// Decodes the record of `item`; `None` if it was deleted or names no replica to use. An odd
    /// record is logged once.
    fn parse_record(&self, id: &Name, item: &Item) -> Option<UpstreamRecord> {
        let mut ignored = self.ignored.borrow_mut();
        let parsed = match item.value.as_ref() {
            None => {
                ignored.shift_remove(id);
                return None;
            }
            Some(Ok(bytes)) => upstream::parse_entry(id, bytes).map_err(|e| e.to_string()),
            Some(Err(error)) => Err(error.to_string()),
        };
        match parsed {
            Ok(record) => {
                ignored.shift_remove(id);
                Some(record)
            }
            Err(error) => {
                let (event, revision) = (events::ENTRY_IGNORED, item.revision);
                if ignored.insert(id.clone(), revision) != Some(revision) {
                    let revision = revision.number;
                    tracing::warn!(event, upstream = %id, revision, %error, "upstream record ignored");
                }
                if ignored.len() > IGNORED_MAX {
                    ignored.shift_remove_index(0);
                }
                None
            }
        }
    }
}
