//! Shares of fleet-wide limits, and retry budgets.

use super::super::retry::RetryBudget;
use super::super::share::EntryShare;
use super::secs;
use crate::base::name::Name;
use rstest::rstest;

#[rstest]
#[case::all(9, 9)]
#[case::one_lost(8, 8)]
#[case::one_zone_of_three(3, 5)]
#[case::alone(1, 5)]
#[case::grown(12, 12)]
fn divisor_follows_live_entries(#[case] seen: u32, #[case] expected: u32) {
    let mut share = EntryShare::default();
    share.observe(9, secs(0.0));
    share.observe(seen, secs(1.0));
    assert_eq!(share.divisor(), expected);
}

#[rstest]
#[case::three_zones(&[3, 3, 3])]
#[case::one_and_two(&[3, 6])]
#[case::each_alone(&[1, 1, 1, 1, 1, 1, 1, 1, 1])]
fn shares_sum_bounded_in_partition(#[case] sides: &[u32]) {
    let all: u32 = sides.iter().sum();
    let granted = |&side: &u32| {
        let mut share = EntryShare::default();
        share.observe(all, secs(0.0));
        share.observe(side, secs(1.0));
        f64::from(side) * share.of(100.0)
    };
    let sum: f64 = sides.iter().map(granted).sum();
    assert!((100.0..=200.0).contains(&sum), "{sum}");
}

#[test]
fn divisor_lost_entries_expire() {
    let mut share = EntryShare::default();
    share.observe(9, secs(0.0));
    (1..=9).for_each(|i| share.observe(1, secs(f64::from(i) * 600.0)));
    assert_eq!(share.divisor(), 1);
}

#[test]
fn retry_budget_tenth_of_load() {
    let (a, b) = (Name::from("a"), Name::from("b"));
    let mut budget = RetryBudget::default();
    assert!(!budget.try_take(&a), "no first attempt was made");
    (0..1000).for_each(|_| budget.earn(&a));
    let taken = (0..1000).filter(|_| budget.try_take(&a)).count();
    assert_eq!(taken, 10, "at most what one workspace may accumulate");
    budget.earn(&b);
    assert!(budget.try_take(&b), "another workspace's budget is untouched");
    let spent = (0..1000).filter(|_| {
        budget.earn(&a);
        budget.try_take(&a)
    });
    assert!(spent.count() <= 101);
}

#[test]
fn retry_budget_all_bounded() {
    let names: Vec<Name> = (0..1000).map(|i| Name::from(format!("w{i}"))).collect();
    let mut budget = RetryBudget::default();
    names.iter().for_each(|n| budget.earn(n));
    let taken = names.iter().filter(|n| budget.try_take(n)).count();
    assert!(taken <= 110, "{taken}");
}
