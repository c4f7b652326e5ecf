//! Tests of plan and checks.

use super::plan::{NAMES, plan};
use std::time::Duration;

fn names() -> Vec<String> {
    NAMES.iter().map(ToString::to_string).collect()
}

// Guards against a seed that can't be played again.
#[test]
fn plan_same_seed_same_faults() {
    let time = Duration::from_secs(120);
    assert_eq!(plan(7, time, 8, &names()), plan(7, time, 8, &names()));
    assert_ne!(plan(7, time, 8, &names()), plan(8, time, 8, &names()));
}
