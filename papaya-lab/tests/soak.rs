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

// Guards against a fault's name that is taken for no fault, which would test nothing.
#[test]
fn soak_unknown_fault_does_not_run() {
    let mut lab = Command::new(env!("CARGO_BIN_EXE_papaya-lab"));
    lab.args(["soak", "--faults", "term,flood"]).assert().code(2);
}
