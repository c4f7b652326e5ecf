//! Who exchanges rows with whom: bounded fan-out by rendezvous hashing and by a grid.

use super::constants::GRID_SINGLE;
use crate::base::name::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The `count` names that score highest for `key`. Few choices change when a name comes or goes.
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

/// How two entries of one zone stand to each other in the grid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Relation {
    /// In the same row: they exchange what they heard directly.
    Row,
    /// In the same column: they exchange what they heard directly or from their row.
    Column,
    /// They exchange nothing.
    None,
}

/// The entries of a zone in rows and columns.
///
/// Rows pass along rows first, then along columns, so each entry talks to about twice the square
/// root of all entries and still hears of every process within two beats.
pub(crate) struct Grid {
    names: Vec<Name>,
    rows: usize,
}

/// Where an entry stands.
#[derive(Clone, Copy)]
struct Place {
    row: usize,
    column: usize,
    /// Entries of its row; rows differ in length by at most one.
    length: usize,
}

impl Grid {
    /// Arranges `names`, in any order.
    pub(crate) fn new(mut names: Vec<Name>) -> Self {
        names.sort_unstable();
        names.dedup();
        let rows = if names.len() <= GRID_SINGLE { 1 } else { names.len().isqrt() };
        Self { names, rows }
    }

    /// Most peers that one entry exchanges rows with.
    pub(crate) fn fanout_max(&self) -> usize {
        // The first entry of a shorter row stands for two columns.
        self.names.len().div_ceil(self.rows) + 2 * self.rows
    }

    /// How `a` stands to `b`.
    pub(crate) fn relation(&self, a: &Name, b: &Name) -> Relation {
        let (Ok(a), Ok(b)) = (self.names.binary_search(a), self.names.binary_search(b)) else {
            return Relation::None;
        };
        if a == b {
            return Relation::None;
        }
        let (a, b) = (self.place(a), self.place(b));
        if a.row == b.row {
            Relation::Row
        } else if a.serves(b) || b.serves(a) {
            Relation::Column
        } else {
            Relation::None
        }
    }

    /// The peers of `name` and how they stand to it.
    pub(crate) fn peers(&self, name: &Name) -> Vec<(&Name, Relation)> {
        let relations = self.names.iter().map(|n| (n, self.relation(name, n)));
        relations.filter(|(_, r)| *r != Relation::None).collect()
    }

    fn place(&self, at: usize) -> Place {
        let base = self.names.len() / self.rows;
        let longer = self.names.len() % self.rows;
        let boundary = longer * (base + 1);
        if at < boundary {
            return Place { row: at / (base + 1), column: at % (base + 1), length: base + 1 };
        }
        let at = at - boundary;
        Place { row: longer + at / base, column: at % base, length: base }
    }
}

impl Place {
    /// Whether it is the one of its row for the column of `other`.
    fn serves(self, other: Self) -> bool {
        self.column == other.column % self.length
    }
}
