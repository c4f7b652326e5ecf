//! Dissemination topology with bounded fan-out: rendezvous hashing and a grid of entries.

use super::constants::SINGLE_ROW_MAX;
use crate::base::name::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Rendezvous hashing: the `count` names with the highest scores for `key`.
///
/// Adding or removing a name changes at most one of the chosen names.
pub(crate) fn choose<'a>(
    names: impl Iterator<Item = &'a Name>,
    key: &str,
    count: usize,
) -> Vec<&'a Name> {
    let mut scored: Vec<_> = names.map(|n| (score(n, key), n)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().take(count).map(|s| s.1).collect()
}

fn score(name: &Name, key: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(name.as_bytes(), 0))
}

/// Relation of two entries of a zone in the grid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Relation {
    /// Same row: they exchange rows received directly.
    Row,
    /// Same column: they exchange rows received directly or through their grid row.
    Column,
    /// No exchange.
    None,
}

/// The entries of a zone, arranged in rows and columns.
///
/// State spreads along rows first, then along columns. Each entry exchanges heartbeats with about
/// `2 * sqrt(n)` of `n` entries, and an update reaches all of them within two heartbeats.
pub(crate) struct Grid {
    names: Vec<Name>,
    rows: usize,
}

/// Position of an entry in the grid.
#[derive(Clone, Copy)]
struct Position {
    row: usize,
    column: usize,
    /// Entries in this row; rows differ in length by at most one.
    row_length: usize,
}

impl Grid {
    /// Arranges `names`; their order and duplicates do not matter.
    pub(crate) fn new(mut names: Vec<Name>) -> Self {
        names.sort_unstable();
        names.dedup();
        let rows = if names.len() <= SINGLE_ROW_MAX { 1 } else { names.len().isqrt() };
        Self { names, rows }
    }

    /// Upper bound of the peers of one entry.
    pub(crate) fn fanout_max(&self) -> usize {
        // The first entry of a shorter row covers two columns.
        self.names.len().div_ceil(self.rows) + 2 * self.rows
    }

    /// Relation of `a` to `b`; `None` also if either is not in the grid.
    pub(crate) fn relation(&self, a: &Name, b: &Name) -> Relation {
        let (Ok(a), Ok(b)) = (self.names.binary_search(a), self.names.binary_search(b)) else {
            return Relation::None;
        };
        if a == b {
            return Relation::None;
        }
        let (a, b) = (self.position(a), self.position(b));
        if a.row == b.row {
            Relation::Row
        } else if a.covers_column(b) || b.covers_column(a) {
            Relation::Column
        } else {
            Relation::None
        }
    }

    /// Peers of `name` and their relation to it.
    pub(crate) fn peers(&self, name: &Name) -> Vec<(&Name, Relation)> {
        let relations = self.names.iter().map(|n| (n, self.relation(name, n)));
        relations.filter(|(_, r)| *r != Relation::None).collect()
    }

    fn position(&self, at: usize) -> Position {
        let base = self.names.len() / self.rows;
        let longer = self.names.len() % self.rows;
        let boundary = longer * (base + 1);
        if at < boundary {
            return Position {
                row: at / (base + 1),
                column: at % (base + 1),
                row_length: base + 1,
            };
        }
        let at = at - boundary;
        Position { row: longer + at / base, column: at % base, row_length: base }
    }
}

impl Position {
    /// Whether this entry represents its row in the column of `other`.
    fn covers_column(self, other: Self) -> bool {
        self.column == other.column % self.row_length
    }
}
