//! A short soak over separate processes, with all faults.

use assert_cmd::Command;

/// Length and load of the run; its bounds are those of the rules alone.
const RUN: [&str; 8] = ["--seconds", "40", "--load", "30", "--entries", "3", "--replicas", "6"];

// Guards against a rule of the users that breaks only between separate processes.
#[test]
fn soak_short_run_holds() {
    let mut lab = Command::new(env!("CARGO_BIN_EXE_papaya-lab"));
    lab.args(["soak", "--seed", "1"]).args(RUN).assert().success();
}

// Guards against an entry that wakes from a stop and takes an answer of the store that lay in its socket
// for a new one: requests with a removed key ran, in one of five runs of this seed.
#[test]
fn soak_woken_entry_removed_keys_refused() {
    let mut lab = Command::new(env!("CARGO_BIN_EXE_papaya-lab"));
    let run = "soak --seed 103 --seconds 20 --entries 5 --replicas 12 --load 60 --faults all";
    lab.args(run.split(' ')).assert().success();
}

// Guards against repeats that were granted over several windows and arrive in one, when links or
// replicas that held requests let them through.
#[test]
fn soak_links_heal_budget_held() {
    let mut lab = Command::new(env!("CARGO_BIN_EXE_papaya-lab"));
    let run = "soak --seed 1 --seconds 40 --entries 6 --replicas 12 --load 80 --slack 40 \
               --faults fail,refuse,lose --links requests,hold";
    lab.args(run.split_whitespace()).assert().success();
}

// Guards against a fault's name that is taken for no fault, which would test nothing.
#[test]
fn soak_unknown_fault_does_not_run() {
    let mut lab = Command::new(env!("CARGO_BIN_EXE_papaya-lab"));
    lab.args(["soak", "--faults", "term,flood"]).assert().code(2);
    let mut lab = Command::new(env!("CARGO_BIN_EXE_papaya-lab"));
    lab.args(["soak", "--links", "drop,flood"]).assert().code(2);
}
