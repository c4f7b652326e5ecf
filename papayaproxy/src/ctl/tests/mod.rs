//! Tests of the command-line tool.

use super::command::{CommandOutput, command, execute};
use super::explain::explain;
use super::reference_page;
use crate::fleet::{parse, render};
use crate::telemetry::Status;
use rstest::rstest;
use std::path::Path;

const SAMPLE: &str = include_str!("../../../../sample/fleet-kellerbund.ini");

fn ctl(args: &[&str]) -> CommandOutput {
    execute(&command().get_matches_from([&["papayactl"], args].concat()))
}

fn write(folder: &Path, name: &str, text: &str) -> String {
    let path = folder.join(name);
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

#[rstest]
#[case::valid(SAMPLE.to_owned(), 0, "valid: generation 1")]
#[case::dangling(SAMPLE.replace("model = pear-7b", "model = none"), 1, "P1310 [service.assistant] model")]
#[case::malformed("[fleet".to_owned(), 1, "P1301")]
fn check_documents(#[case] text: String, #[case] exit: u8, #[case] expected: &str) {
    let folder = tempfile::tempdir().unwrap();
    let found = ctl(&["check", &write(folder.path(), "fleet.ini", &text)]);
    assert_eq!(found.exit, exit, "{}", found.text);
    assert!(found.text.contains(expected), "{}", found.text);
}

#[test]
fn check_missing_file() {
    let found = ctl(&["check", "/nonexistent/fleet.ini"]);
    assert_eq!(found.exit, 2);
    assert!(found.text.starts_with("P2503"), "{}", found.text);
}

#[test]
fn diff_documents() {
    let folder = tempfile::tempdir().unwrap();
    let mut document = parse(SAMPLE).unwrap();
    let old = write(folder.path(), "old.ini", &render(&document));
    document.upstreams["assistant-1"].open = false;
    let new = write(folder.path(), "new.ini", &render(&document));
    let same = ctl(&["diff", &old, &old]);
    assert_eq!((same.exit, same.text.as_str()), (0, "no difference\n"));
    let found = ctl(&["diff", &old, &new]);
    assert_eq!(found.exit, 1);
    assert!(found.text.contains("[upstream.assistant-1]\n  + open = no\n"), "{}", found.text);
}

fn status(generation: u64, digest: &str) -> Status {
    let (name, zone) = ("e1".into(), "arbon".into());
    Status { name, zone, generation, digest: digest.into(), ready: true, ..Status::default() }
}

#[rstest]
#[case::agree(&[(2, "aa"), (2, "aa")], true, false)]
#[case::behind(&[(2, "aa"), (1, "bb")], false, true)]
#[case::race(&[(2, "aa"), (2, "bb")], false, true)]
fn survey_verdict(#[case] rows: &[(u64, &str)], #[case] agrees: bool, #[case] differs: bool) {
    let address = "127.0.0.1:1".parse().unwrap();
    let answered = |(g, d): &(u64, &str)| super::Answered { address, status: Ok(status(*g, d)) };
    let survey = super::Survey { answers: rows.iter().map(answered).collect() };
    assert_eq!((survey.agrees(), survey.differs()), (agrees, differs));
    assert!(survey.to_string().contains("arbon"), "{survey}");
}

#[test]
fn digest_of_credential() {
    let folder = tempfile::tempdir().unwrap();
    let found = ctl(&["digest", &write(folder.path(), "credential", "change-this-credential\n")]);
    let expected = crate::fleet::credential_digest("change-this-credential");
    assert_eq!(found.text, format!("{expected}\n"));
}

#[test]
fn status_unreachable() {
    // The port of a closed listener refuses connections.
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = closed.local_addr().unwrap().to_string();
    drop(closed);
    let found = ctl(&["status", &address]);
    assert_eq!(found.exit, 2);
    assert!(found.text.contains("P2500"), "{}", found.text);
}

#[rstest]
#[case::json(r#"{"event":1900,"address":"x","request":"00ff"}"#)]
#[case::text("INFO papaya: console open event=1900 request=00ff")]
fn explain_line(#[case] line: &str) {
    let log = format!("{line}\nother event=1900 request=00fe\n");
    let found = explain(&log, "00ff").unwrap();
    assert!(found.contains("1900 CONSOLE_OPENED") && found.contains(line), "{found}");
    assert!(!found.contains("00fe"));
    assert_eq!(explain(&log, "00f"), None);
}

/// No two codes and no two events share a number.
#[test]
fn reference_numbers_unique() {
    let mut codes: Vec<u16> =
        crate::CODE_TABLES.iter().flat_map(|t| t.iter()).map(|r| r.code.0).collect();
    let mut events: Vec<u16> =
        crate::EVENT_TABLES.iter().flat_map(|t| t.iter()).map(|e| e.id).collect();
    for numbers in [&mut codes, &mut events] {
        let count = numbers.len();
        numbers.sort_unstable();
        numbers.dedup();
        assert_eq!(numbers.len(), count);
    }
}

/// The pages in `docs/` match the tables; `papayactl reference` regenerates them.
#[rstest]
#[case::codes("codes", "result-codes.md")]
#[case::events("events", "events.md")]
#[case::settings("settings", "settings.md")]
fn reference_pages_current(#[case] name: &str, #[case] file: &str) {
    let page = reference_page(name).unwrap();
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs").join(file);
    let found = std::fs::read_to_string(path).unwrap_or_default();
    let remedy = format!("cargo run -q --bin papayactl -- reference {name} > docs/{file}");
    assert!(found == page, "docs/{file} is out of date: {remedy}");
}
