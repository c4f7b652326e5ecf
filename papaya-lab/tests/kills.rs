//! A short run of kills over separate processes.

use assert_cmd::Command;

#[test]
fn kills_short_run_holds() {
    let mut lab = Command::new(env!("CARGO_BIN_EXE_papaya-lab"));
    let run =
        lab.args(["kills", "--kills", "20", "--rigs", "2", "--seed", "11", "--patience", "60s"]);
    run.assert().success();
}
