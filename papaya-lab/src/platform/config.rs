//! The published documents and host lists.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Host lists that are kept until they have been seen.
const LISTS_KEPT: usize = 256;

/// A published revision of the fleet document.
#[derive(Clone, Debug)]
pub(crate) struct Revision {
    pub(crate) etag: String,
    pub(crate) document: Bytes,
}

/// Faults that a test switches on and off while the platform runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSwitches {
    /// Readers go on seeing the revision of the time when it was set.
    pub stale: bool,
    /// Every connection closes without a reply.
    pub down: bool,
}

/// A host of the lagging list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: String,
    /// Its availability zone.
    pub zone: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// The list as it is read.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct HostList {
    pub(crate) hosts: Vec<ListedHost>,
}

/// What operators have published.
#[derive(Debug, Default)]
pub(crate) struct Config {
    newest: Option<Revision>,
    frozen: Option<Option<Revision>>,
    published: u64,
    lists: Vec<(Duration, HostList)>,
    switches: PlatformSwitches,
}

impl Config {
    /// Publishes a document under a new revision.
    pub(crate) fn publish(&mut self, document: Bytes) -> Revision {
        self.published += 1;
        let etag = format!("\"r{}\"", self.published);
        let revision = Revision { etag, document };
        self.newest = Some(revision.clone());
        revision
    }

    /// The revision that readers see.
    pub(crate) fn current(&self) -> Option<&Revision> {
        self.frozen.as_ref().unwrap_or(&self.newest).as_ref()
    }

    pub(crate) fn switch(&mut self, switches: PlatformSwitches) {
        if switches.stale != self.switches.stale {
            self.frozen = switches.stale.then(|| self.newest.clone());
        }
        self.switches = switches;
    }

    pub(crate) fn is_down(&self) -> bool {
        self.switches.down
    }

    pub(crate) fn list(&mut self, now: Duration, hosts: HostList) {
        self.lists.push((now, hosts));
        let excess = self.lists.len().saturating_sub(LISTS_KEPT);
        self.lists.drain(..excess);
    }

    /// The newest host list that is at least `lag` old.
    pub(crate) fn hosts(&self, now: Duration, lag: Duration) -> HostList {
        let seen = self.lists.iter().rev().find(|(at, _)| *at + lag <= now);
        seen.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}
