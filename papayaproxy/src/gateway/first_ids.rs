//! The id of the first event of a run, learned by service. Without I/O or clock.

use super::constants::FIRST_ID_RUNS;
use crate::base::name::Name;
use indexmap::IndexMap;

/// Ids that the first events of whole runs have, by service.
#[derive(Debug, Default)]
pub(crate) struct FirstIds {
    known: IndexMap<Name, FirstId>,
}

#[derive(Debug)]
struct FirstId {
    id: u64,
    /// Runs in a row that began with the same other id.
    other: Option<OtherId>,
}

#[derive(Debug)]
struct OtherId {
    id: u64,
    runs: u32,
    first_upstream: Name,
    /// Whether more than one upstream sent it.
    is_shared: bool,
}

impl FirstIds {
    /// Whether a run of `service` by `upstream` may begin with event `id`.
    ///
    /// A spoiled id comes now and then. If [`FIRST_ID_RUNS`] runs in a row, of more than one upstream,
    /// begin with the same other id, the service numbers its events anew.
    pub(crate) fn accepts(&mut self, service: &Name, upstream: &Name, id: u64) -> bool {
        let Some(first) = self.known.get_mut(service).filter(|f| f.id != id) else { return true };
        let before = first.other.take().filter(|o| o.id == id);
        let other = match before {
            None => OtherId { id, runs: 1, first_upstream: upstream.clone(), is_shared: false },
            Some(o) => OtherId {
                runs: o.runs + 1,
                is_shared: o.is_shared || o.first_upstream != *upstream,
                ..o
            },
        };
        let is_confirmed = other.runs >= FIRST_ID_RUNS && other.is_shared;
        *first = match is_confirmed {
            true => FirstId { id, other: None },
            false => FirstId { id: first.id, other: Some(other) },
        };
        is_confirmed
    }

    /// Records that a run of `service` began with event `id` and went on with the next one.
    pub(crate) fn learn(&mut self, service: &Name, id: u64) {
        match self.known.get_mut(service) {
            Some(first) if first.id == id => first.other = None,
            Some(_) => {}
            None => drop(self.known.insert(service.clone(), FirstId { id, other: None })),
        }
    }

    /// Forgets the services that `is_known` does not name.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&Name) -> bool) {
        self.known.retain(|service, _| is_known(service));
    }
}
