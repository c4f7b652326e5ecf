//! Tests of the settings reader.

use super::codes;
use super::reader::{Reader, SettingRow};
use super::value::{parse_duration, parse_size};
use crate::base::code::Code;
use rstest::rstest;

const ROWS: &[SettingRow] = &[
    SettingRow { section: "link", key: "port", default: None, meaning: "a port" },
    SettingRow { section: "link", key: "wait", default: Some("3s"), meaning: "a duration" },
    SettingRow { section: "link", key: "label", default: Some(""), meaning: "a label" },
];

fn read(text: &str) -> Result<(u16, std::time::Duration), super::SettingsError> {
    let mut reader = Reader::from_text("test.ini", text, &[ROWS]);
    let port = reader.parsed("link", "port", "a port from 1 to 65535");
    let wait = reader.value("link", "wait", parse_duration);
    reader.finish(port.zip(wait))
}

#[test]
fn reader_defaults() {
    let (port, wait) = read("[link]\nport = 80\n").unwrap();
    assert_eq!((port, wait.as_secs()), (80, 3));
}

#[rstest]
#[case::missing("[link]\nwait = 1s\n", codes::KEY_MISSING, "link", "port")]
#[case::bad_number("[link]\nport = x\n", codes::VALUE_INVALID, "link", "port")]
#[case::bad_duration("[link]\nport = 1\nwait = 3\n", codes::VALUE_INVALID, "link", "wait")]
#[case::unknown_key("[link]\nport = 1\nspeed = 3\n", codes::KEY_UNKNOWN, "link", "speed")]
#[case::unknown_section("[link]\nport = 1\n[lnk]\na = 1\n", codes::SECTION_UNKNOWN, "lnk", "a")]
#[case::malformed("[link\nport = 1\n", codes::FILE_MALFORMED, "", "")]
#[case::repeated("[link]\nport = 1\nport = 2\n", codes::KEY_REPEATED, "link", "port")]
fn reader_mistakes(
    #[case] text: &str,
    #[case] code: Code,
    #[case] section: &str,
    #[case] key: &str,
) {
    let error = read(text).unwrap_err();
    let found = error.problems.iter().any(|p| {
        (p.code, p.section.as_str(), p.key.as_str(), p.file.as_str())
            == (code, section, key, "test.ini")
    });
    assert!(found, "{error}");
}

#[test]
fn reader_all_mistakes_at_once() {
    let error = read("[link]\nport = x\nwait = y\n[other]\na = 1\n").unwrap_err();
    assert_eq!(error.problems.len(), 3, "{error}");
}

#[rstest]
#[case::plain("4096", Some(4096))]
#[case::kib("64KiB", Some(65536))]
#[case::spaced("1 MiB", Some(1 << 20))]
#[case::unit("3 apples", None)]
#[case::empty("", None)]
fn parse_size_forms(#[case] text: &str, #[case] expected: Option<u64>) {
    assert_eq!(parse_size(text).ok(), expected);
}
