//! Daemon settings: the samples are valid, and each error is reported with code and location.

use assert_cmd::Command;
use rstest::rstest;
use std::path::{Path, PathBuf};

fn sample(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../sample").join(name)
}

fn check(daemon: &str, settings: &Path, set: &[&str]) -> (bool, String) {
    let mut command = Command::cargo_bin(daemon).expect("the daemon is built");
    command.arg("--check").arg("--settings").arg(settings);
    for text in set {
        command.arg("--set").arg(text);
    }
    let output = command.output().expect("the daemon runs");
    (output.status.success(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[rstest]
#[case::entry("papaya-entry", "entry.ini")]
#[case::agent("papaya-agent", "agent.ini")]
fn check_samples(#[case] daemon: &str, #[case] file: &str) {
    let (valid, report) = check(daemon, &sample(file), &[]);
    assert!(valid, "{report}");
}

fn check_direct(daemon: &str, file: &str, set: &[&str]) -> (bool, String) {
    let mut command = Command::cargo_bin(daemon).expect("the daemon is built");
    // Without `--settings`, the variable gives the path of the settings file.
    command.args(["--direct", "--check"]).env("PAPAYAPROXY_SETTINGS", sample(file));
    for text in set {
        command.arg("--set").arg(text);
    }
    let output = command.output().expect("the daemon runs");
    (output.status.success(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[rstest]
#[case::entry("papaya-entry", "gateway.ini")]
#[case::agent("papaya-agent", "rank.ini")]
fn check_direct_samples(#[case] daemon: &str, #[case] file: &str) {
    let (valid, report) = check_direct(daemon, file, &[]);
    assert!(valid, "{report}");
}

#[rstest]
#[case::store("papaya-entry", "gateway.ini", "store.address=here", "P1005 --set [store] address: ")]
#[case::seeds("papaya-entry", "gateway.ini", "gateway.seeds=a,b", "P1005 --set [gateway] seeds: ")]
#[case::ratio("papaya-entry", "gateway.ini", "budget.ratio=-1", "P1005 --set [budget] ratio: ")]
#[case::first_run(
    "papaya-entry",
    "gateway.ini",
    "budget.first_run=2",
    "P1005 --set [budget] first_run: "
)]
#[case::memory("papaya-entry", "gateway.ini", "host.memory=8", "P1005 --set [host] memory: ")]
#[case::coordinated(
    "papaya-entry",
    "gateway.ini",
    "retry_after.coordinated=1",
    "P1005 --set [retry_after] coordinated: "
)]
#[case::revoke("papaya-entry", "gateway.ini", "bounds.revoke=5", "P1005 --set [bounds] revoke: ")]
#[case::key("papaya-entry", "gateway.ini", "gateway.speed=1", "P1003 --set [gateway] speed: ")]
#[case::replica("papaya-agent", "rank.ini", "replica.address=x", "P1005 --set [replica] address: ")]
fn check_direct_mistakes(
    #[case] daemon: &str,
    #[case] file: &str,
    #[case] set: &str,
    #[case] expected: &str,
) {
    let (valid, report) = check_direct(daemon, file, &[set]);
    assert!(!valid);
    assert!(report.contains(expected), "{report}");
}

#[rstest]
#[case::section("other.key=1", "P1002 --set [other] key: ")]
#[case::key("entry.speed=1", "P1003 --set [entry] speed: ")]
#[case::port("entry.address=127.0.0.1", "P1005 --set [entry] address: ")]
#[case::host_name("entry.address=localhost:80", "P1005 --set [entry] address: ")]
#[case::name("process.name=Entry 1", "P1005 --set [process] name: ")]
#[case::zone("process.zone=", "P1005 --set [process] zone: ")]
#[case::threads_zero("process.threads=0", "P1005 --set [process] threads: ")]
#[case::threads_text("process.threads=many", "P1005 --set [process] threads: ")]
#[case::key_short("link.key=1:abcd", "P1005 --set [link] key: ")]
#[case::key_plain("link.other_key=secret", "P1005 --set [link] other_key: ")]
#[case::capacity("entry.capacity=-3", "P1005 --set [entry] capacity: ")]
#[case::format("log.format=xml", "P1005 --set [log] format: ")]
#[case::filter("log.filter=papaya=loud", "P1005 --set [log] filter: ")]
#[case::override_form("entry", "P1007 ")]
fn check_mistakes(#[case] set: &str, #[case] expected: &str) {
    let (valid, report) = check("papaya-entry", &sample("entry.ini"), &[set]);
    assert!(!valid);
    assert!(report.contains(expected), "{report}");
}

#[test]
fn check_key_clash() {
    let same = format!("link.other_key=1:{}", "ab".repeat(32));
    let (valid, report) = check("papaya-entry", &sample("entry.ini"), &[&same]);
    assert!(!valid);
    assert!(report.contains("P1006 --set [link] other_key: "), "{report}");
}

#[test]
fn check_key_hidden() {
    let bad = format!("link.key=1:{}", "ab".repeat(31));
    let (_, report) = check("papaya-entry", &sample("entry.ini"), &[&bad]);
    assert!(!report.contains("abab"), "{report}");
}

#[test]
fn check_file_missing() {
    let (valid, report) = check("papaya-entry", &sample("none.ini"), &[]);
    assert!(!valid);
    assert!(report.contains("P1000 ") && report.contains("P1004 "), "{report}");
}

#[test]
fn check_all_mistakes() {
    let set = ["process.threads=0", "entry.address=x", "nowhere.key=1"];
    let (_, report) = check("papaya-entry", &sample("entry.ini"), &set);
    assert_eq!(report.lines().count(), 3, "{report}");
}
