//! Proposes a week in which each open upstream has one planned stop.

use super::constants::WEEK;
use crate::base::name::Name;
use crate::fleet::{Document, Leave};
use indexmap::IndexMap;
use std::time::{Duration, SystemTime};

/// Spreads one stop of `length` per open upstream evenly over the week from `start`.
///
/// Stops of upstreams with the same services and zone are as far apart as the week
/// allows. Stops overlap only if `length` exceeds the week divided by the number of upstreams.
pub(crate) fn propose(
    document: &Document,
    start: SystemTime,
    length: Duration,
) -> IndexMap<Name, Leave> {
    let order = interleave(document);
    let interval = WEEK / order.len().max(1) as u32;
    let stop = |(i, name): (usize, Name)| {
        let from = start + interval * i as u32;
        (name, Leave { from, until: from + length })
    };
    order.into_iter().enumerate().map(stop).collect()
}

/// Orders open upstreams so that those with the same services and zone are spread evenly.
fn interleave(document: &Document) -> Vec<Name> {
    let mut kinds: IndexMap<_, Vec<Name>> = IndexMap::new();
    for (name, upstream) in document.upstreams.iter().filter(|(_, u)| u.open) {
        kinds.entry((&upstream.services, &upstream.zone)).or_default().push(name.clone());
    }
    // Sorting by relative position within the kind interleaves the kinds.
    let mut placed: Vec<(f64, Name)> = Vec::new();
    for names in kinds.into_values() {
        let count = names.len() as f64;
        let places = names.into_iter().enumerate();
        placed.extend(places.map(|(i, name)| ((i as f64 + 0.5) / count, name)));
    }
    placed.sort_by(|a, b| a.0.total_cmp(&b.0));
    placed.into_iter().map(|(_, name)| name).collect()
}
