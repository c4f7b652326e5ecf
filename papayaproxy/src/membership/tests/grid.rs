//! Tests of the dissemination topology.

use crate::base::name::Name;
use crate::membership::grid::{Grid, Relation, choose};
use rstest::rstest;
use std::collections::HashSet;

fn names(count: usize) -> Vec<Name> {
    (0..count).map(|i| Name::from(format!("entry-{i:03}"))).collect()
}

#[rstest]
fn grid_reaches_all(#[values(1, 2, 3, 8, 9, 10, 11, 12, 17, 25, 67, 68, 73, 100)] count: usize) {
    let names = names(count);
    let grid = Grid::new(names.clone());
    for home in &names {
        let peers = grid.peers(home);
        assert!(peers.len() <= grid.fanout_max(), "{} peers of {count}", peers.len());
        let mut reached: HashSet<&Name> = peers.iter().map(|p| p.0).collect();
        reached.insert(home);
        // Rows received directly go to the grid row and columns of `home`, then along columns.
        for (neighbour, _) in peers.iter().filter(|p| p.1 == Relation::Row) {
            let next = grid.peers(neighbour);
            reached.extend(next.iter().filter(|p| p.1 == Relation::Column).map(|p| p.0));
        }
        assert_eq!(reached.len(), count, "of {home} among {count}");
    }
}

#[test]
fn grid_symmetric() {
    let names = names(68);
    let grid = Grid::new(names.clone());
    for (a, b) in names.iter().flat_map(|a| names.iter().map(move |b| (a, b))) {
        assert_eq!(grid.relation(a, b), grid.relation(b, a), "{a} {b}");
    }
}

#[test]
fn choose_stable() {
    let all = names(20);
    let before = choose(all.iter(), "watch", 3);
    let removed = before[1].clone();
    let remaining: Vec<Name> = all.iter().filter(|n| **n != removed).cloned().collect();
    let after = choose(remaining.iter(), "watch", 3);
    let kept = before.iter().filter(|n| after.contains(n)).count();
    assert_eq!(kept, 2);
}
