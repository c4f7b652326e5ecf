//! The direct daemons reload on SIGHUP and stop on SIGTERM.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rstest::rstest;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};

#[rstest]
#[case::entry(env!("CARGO_BIN_EXE_papaya-entry"), "gateway.ini", &[
    "gateway.address", "gateway.ready", "gateway.peers", "ops.address",
])]
#[case::agent(env!("CARGO_BIN_EXE_papaya-agent"), "rank.ini", &["ranks.address"])]
fn hangup_reloads(#[case] daemon: &str, #[case] file: &str, #[case] ports: &[&str]) {
    let sample = Path::new(env!("CARGO_MANIFEST_DIR")).join("../sample").join(file);
    let mut command = Command::new(daemon);
    command.arg("--direct").arg("--settings").arg(sample);
    for port in ports {
        command.arg("--set").arg(format!("{port}=127.0.0.1:0"));
    }
    // A short grace period, so that the stop does not wait for a balancer.
    if ports.len() > 1 {
        command.args(["--set", "bounds.grace=200ms"]);
    }
    let mut child = command.stdout(Stdio::piped()).spawn().unwrap();
    let pid = Pid::from_raw(child.id() as i32);
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines().map(|l| l.unwrap());
    assert!(lines.by_ref().any(|l| l.contains("\"open\"")), "no open line");
    kill(pid, Signal::SIGHUP).unwrap();
    assert!(lines.by_ref().any(|l| l.contains("\"reloaded\"")), "no reloaded line");
    kill(pid, Signal::SIGTERM).unwrap();
    assert!(lines.any(|l| l.contains("\"stopped\"")), "no stopped line");
    assert!(child.wait().unwrap().success());
}
