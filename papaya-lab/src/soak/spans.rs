//! When machines and the store were disturbed.

use super::constants::STABLE_WINDOW;
use super::record::{Act, Seen};
use indexmap::IndexMap;
use std::collections::HashSet;
use std::time::Duration;

/// Spans of disruptions; those that have not ended last to the end of the soak.
pub(super) struct Spans {
    /// Of any kind, by entry.
    entries: Vec<Vec<(Duration, Duration)>>,
    /// Kills and freezes, by entry.
    unplanned: Vec<Vec<(Duration, Duration)>>,
    store: Vec<(Duration, Duration)>,
    /// Harm to links, by the number of the fault.
    links: IndexMap<usize, Harm>,
}

/// Links that were harmed, as pairs of entry and replica, and when.
struct Harm {
    pairs: HashSet<(usize, String)>,
    span: (Duration, Duration),
}

fn meets(spans: &[(Duration, Duration)], from: Duration, to: Duration) -> bool {
    spans.iter().any(|(start, end)| *start <= to && *end >= from)
}

impl Spans {
    pub(super) fn new(seen: &Seen, entries: usize) -> Self {
        let mut spans = Self {
            entries: vec![Vec::new(); entries],
            unplanned: vec![Vec::new(); entries],
            store: Vec::new(),
            links: IndexMap::new(),
        };
        let mut faults = Vec::new();
        for (at, act) in &seen.acts {
            match act {
                Act::Killed(e) | Act::Frozen(e) | Act::Ended(e) => {
                    spans.unplanned[*e].push((*at, Duration::MAX));
                    spans.entries[*e].push((*at, Duration::MAX));
                }
                Act::Terminated(e) => spans.entries[*e].push((*at, Duration::MAX)),
                Act::Started(e) | Act::Thawed(e) => {
                    for list in [&mut spans.unplanned[*e], &mut spans.entries[*e]] {
                        list.iter_mut().filter(|s| s.1 == Duration::MAX).for_each(|s| s.1 = *at);
                    }
                    spans.entries[*e].push((*at, *at));
                }
                Act::StoreFault(_) => {
                    faults.push(spans.store.len());
                    spans.store.push((*at, Duration::MAX));
                }
                // Faults of the store may overlap; each ends with one of these.
                Act::StoreFine => {
                    if let Some(first) = faults.pop() {
                        spans.store[first].1 = *at;
                    }
                }
                Act::LinkFault(number, pairs, _) => {
                    let pairs = pairs.iter().cloned().collect();
                    spans.links.insert(*number, Harm { pairs, span: (*at, Duration::MAX) });
                }
                Act::LinkFine(number) => {
                    if let Some(harm) = spans.links.get_mut(number) {
                        harm.span.1 = *at;
                    }
                }
                _ => {}
            }
        }
        spans
    }

    /// Whether the entry, its links and the store were undisturbed from a stable window before `from` to `to`.
    pub(super) fn is_in_touch(&self, entry: usize, from: Duration, to: Duration) -> bool {
        let from = from.saturating_sub(STABLE_WINDOW);
        !meets(&self.entries[entry], from, to)
            && !meets(&self.store, from, to)
            && !self.is_harmed(from, to, |(e, _)| *e == entry)
    }

    pub(super) fn has_unplanned(&self, entry: usize, from: Duration, to: Duration) -> bool {
        meets(&self.unplanned[entry], from, to)
    }

    /// Whether a link that `meets` was harmed from `from` to `to`.
    pub(super) fn is_harmed(
        &self,
        from: Duration,
        to: Duration,
        meets: impl Fn(&(usize, String)) -> bool,
    ) -> bool {
        let mut all = self.links.values();
        all.any(|h| h.span.0 <= to && h.span.1 >= from && h.pairs.iter().any(&meets))
    }

    pub(super) fn is_store_disturbed(&self, from: Duration, to: Duration) -> bool {
        meets(&self.store, from, to)
    }
}
