//! Short runs of the group stand-in.

use super::policy::Policy;
use super::run::{Outcome, Setup, run};
use super::trace::Kind;
use rstest::rstest;

fn short(kind: Kind, policy: usize) -> Outcome {
    let policy = Policy::ALL[policy].1;
    run(Setup { kind, policy, ranks: 16, layers: 1, seconds: 1500, seed: 1 })
}

#[rstest]
#[case::cellar(2)]
#[case::order_desk(3)]
fn static_load_no_moves(#[case] policy: usize) {
    let outcome = short(Kind::Static, policy);
    assert_eq!(outcome.moves, 0);
    assert!(outcome.skew() < 1.2, "skew {}", outcome.skew());
}

#[test]
fn flip_flop_few_moves() {
    let full = short(Kind::FlipFlop, 1);
    let planned = short(Kind::FlipFlop, 2);
    assert!(planned.moves * 10 <= full.moves, "{} of {}", planned.moves, full.moves);
}
