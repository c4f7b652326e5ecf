//! Proposes a week in which every upstream leaves once for cleaning.

use super::constants::WEEK;
use crate::base::name::Name;
use crate::fleet::{Document, Leave};
use indexmap::IndexMap;
use std::time::{Duration, SystemTime};

/// Spreads a stop of `length` for each open upstream evenly over the week from `start`.
///
/// Upstreams of one service and zone lie as far apart as the week allows. Stops overlap only where
/// `length` does not fit into the upstreams' share of the week.
pub(crate) fn propose(
    document: &Document,
    start: SystemTime,
    length: Duration,
) -> IndexMap<Name, Leave> {
    let order = spread(document);
    let interval = WEEK / order.len().max(1) as u32;
    let stop = |(i, name): (usize, Name)| {
        let from = start + interval * i as u32;
        (name, Leave { from, until: from + length })
    };
    order.into_iter().enumerate().map(stop).collect()
}

/// Upstreams in an order that takes one of each kind in turn.
fn spread(document: &Document) -> Vec<Name> {
    let mut kinds: IndexMap<_, Vec<Name>> = IndexMap::new();
    for (name, upstream) in document.upstreams.iter().filter(|(_, u)| u.open) {
        kinds.entry((&upstream.services, &upstream.zone)).or_default().push(name.clone());
    }
    // The place of each within its kind, as a part of the whole; so the kinds interleave.
    let mut placed: Vec<(f64, Name)> = Vec::new();
    for names in kinds.into_values() {
        let count = names.len() as f64;
        let places = names.into_iter().enumerate();
        placed.extend(places.map(|(i, name)| ((i as f64 + 0.5) / count, name)));
    }
    placed.sort_by(|a, b| a.0.total_cmp(&b.0));
    placed.into_iter().map(|(_, name)| name).collect()
}
