//! Documentation pages refer only to existing codes, events, settings, metrics and files.

#![allow(clippy::unwrap_used, reason = "a page that cannot be read fails the test")]

use papayaproxy::{CODE_TABLES, Code, EVENT_TABLES, SETTING_TABLES};
use rstest::rstest;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Every page with its text, by path relative to the root.
fn pages() -> Vec<(PathBuf, String)> {
    let top = ["README.md", "CONTRIBUTING.md", "CHANGELOG.md"].map(PathBuf::from);
    let docs = std::fs::read_dir(root().join("docs")).unwrap();
    let docs = docs.map(|e| PathBuf::from("docs").join(e.unwrap().file_name()));
    let pages = top.into_iter().chain(docs).filter(|p| p.extension().is_some_and(|e| e == "md"));
    pages.map(|p| (p.clone(), std::fs::read_to_string(root().join(&p)).unwrap())).collect()
}

/// For each occurrence of `start` in `text`, the characters after it for which `is_part` holds.
fn matches_after<'a>(text: &'a str, start: &'a str, is_part: fn(char) -> bool) -> Vec<&'a str> {
    text.match_indices(start)
        .map(|(at, _)| {
            let rest = &text[at + start.len()..];
            rest.split(|c| !is_part(c)).next().unwrap_or("")
        })
        .collect()
}

fn is_digit(c: char) -> bool {
    c.is_ascii_digit()
}

#[test]
fn pages_codes_exist() {
    let known = |n: u16| CODE_TABLES.iter().flat_map(|t| t.iter()).any(|r| r.code == Code(n));
    for (page, text) in pages() {
        for digits in matches_after(&text, "P", is_digit).into_iter().filter(|d| d.len() == 4) {
            let number = digits.parse().unwrap();
            assert!(known(number), "{}: P{digits} is not a result code", page.display());
        }
    }
}

#[rstest]
#[case::field("event=")]
#[case::word("event ")]
fn pages_events_exist(#[case] start: &str) {
    let known = |n: u16| EVENT_TABLES.iter().flat_map(|t| t.iter()).any(|r| r.id == n);
    for (page, text) in pages() {
        for digits in matches_after(&text, start, is_digit).into_iter().filter(|d| d.len() == 4) {
            let number = digits.parse().unwrap();
            assert!(known(number), "{}: {start}{digits} is not a log event", page.display());
        }
    }
}

#[test]
fn pages_settings_exist() {
    let rows = || SETTING_TABLES.iter().flat_map(|(_, t)| t.iter()).flat_map(|t| t.iter());
    for (page, text) in pages() {
        for quoted in text.split('`').skip(1).step_by(2) {
            let name = quoted.split([' ', '=']).next().unwrap_or("");
            let Some((section, key)) = name.split_once('.') else { continue };
            let is_key = !key.is_empty() && key.chars().all(|c| c.is_ascii_lowercase() || c == '_');
            let is_file = ["md", "rs", "ini", "toml", "txt", "sh"].contains(&key);
            if is_file || !is_key || !rows().any(|r| r.section == section) {
                continue;
            }
            let known = rows().any(|r| r.section == section && r.key == key);
            assert!(known, "{}: {name} is not a setting", page.display());
        }
    }
}

#[test]
fn pages_metrics_exist() {
    let source = source(&root().join("papayaproxy/src"));
    let is_name = |c: char| c.is_ascii_lowercase() || c == '_';
    for (page, text) in pages() {
        for rest in matches_after(&text, "papaya_", is_name).into_iter().filter(|r| !r.is_empty()) {
            // The exporter appends these suffixes.
            let suffixes = ["_total", "_bucket", "_sum", "_count"];
            let base = suffixes.iter().find_map(|e| rest.strip_suffix(e)).unwrap_or(rest);
            let known = source.contains(&format!("\"papaya_{base}\""))
                || source.contains(&format!("\"papaya_{rest}\""));
            assert!(known, "{}: papaya_{rest} is not a metric", page.display());
        }
    }
}

#[test]
fn metrics_on_page() {
    let source = source(&root().join("papayaproxy/src/telemetry"))
        + &source(&root().join("papayaproxy/src/entry"))
        + &source(&root().join("papayaproxy/src/gateway"));
    let page = std::fs::read_to_string(root().join("docs/OPERATIONS.md")).unwrap();
    let is_name = |c: char| c.is_ascii_lowercase() || c == '_';
    for name in
        matches_after(&source, "\"papaya_", is_name).into_iter().filter(|n| !n.starts_with("test"))
    {
        assert!(
            page.contains(&format!("`papaya_{name}")),
            "papaya_{name} is missing in docs/OPERATIONS.md"
        );
    }
}

#[test]
fn pages_links_exist() {
    for (page, text) in pages() {
        let folder = root().join(&page).parent().unwrap().to_owned();
        for target in matches_after(&text, "](", |c| c != ')') {
            let file = target.split('#').next().unwrap_or("");
            let found = file.is_empty() || folder.join(file).exists();
            assert!(found, "{}: link target {target} does not exist", page.display());
        }
    }
}

/// The text of all source files below `folder`.
fn source(folder: &Path) -> String {
    let mut text = String::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            text += &source(&path);
        } else {
            text += &std::fs::read_to_string(path).unwrap();
        }
    }
    text
}
