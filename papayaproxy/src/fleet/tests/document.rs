//! Tests of parsing, rendering and validating the document.

use crate::base::code::Code;
use crate::base::constants::DOCUMENT_BYTES_MAX;
use crate::fleet::{codes, credential_digest, diff, parse, render};
use rstest::rstest;
use std::fmt::Write;

/// The fleet document of the demo.
pub(super) const SAMPLE: &str = include_str!("../../../../sample/fleet.ini");

const SAMPLES: [&str; 3] = [
    SAMPLE,
    include_str!("../../../../sample/fleet-kellerbund.ini"),
    include_str!("../../../../sample/fleet-luto.ini"),
];

#[test]
fn parse_samples() {
    for text in SAMPLES {
        let document = parse(text).unwrap();
        assert_eq!(parse(&render(&document)).unwrap(), document);
    }
}

#[test]
fn parse_demo_credential() {
    let document = parse(SAMPLE).unwrap();
    let found = &document.workspaces["orchard"];
    assert_eq!(found.credential, credential_digest("orchard-demo"));
}

#[test]
fn parse_order_immaterial() {
    let document = parse(SAMPLE).unwrap();
    let (zones, rest) = SAMPLE.split_once("[model.").unwrap();
    let (fleet, zones) = zones.split_once("[zone.").unwrap();
    let swapped = format!("{fleet}[model.{rest}\n[zone.{zones}");
    assert_eq!(parse(&swapped).unwrap().digest, document.digest);
}

#[rstest]
#[case::dangling_zone(
    "zone = west",
    "zone = far",
    codes::REFERENCE_DANGLING,
    "upstream.assistant-2",
    "zone"
)]
#[case::dangling_service(
    "services = ledger",
    "services = leger",
    codes::REFERENCE_DANGLING,
    "upstream.ledger-1",
    "services"
)]
#[case::dangling_model(
    "model = pear-7b",
    "model = pear-8b",
    codes::REFERENCE_DANGLING,
    "service.assistant",
    "model"
)]
#[case::service_empty("services = shelf-index", "services = ledger", codes::KINDS_MIXED, "", "")]
#[case::address(
    "agent = 127.0.0.1:7306",
    "agent = 127.0.0.1:7305",
    codes::ADDRESS_REPEATED,
    "upstream.ledger-2",
    "agent"
)]
#[case::port(
    "agent = 127.0.0.1:7306",
    "agent = 127.0.0.1",
    codes::VALUE_INVALID,
    "upstream.ledger-2",
    "agent"
)]
#[case::generation(
    "generation = 1",
    "generation = -1",
    codes::VALUE_INVALID,
    "fleet",
    "generation"
)]
#[case::missing("idempotent = no", "", codes::KEY_MISSING, "service.ledger", "idempotent")]
#[case::unknown_key(
    "idempotent = no",
    "idempotent = no\nspeed = 1",
    codes::KEY_UNKNOWN,
    "service.ledger",
    "speed"
)]
#[case::unknown_section("[zone.west]", "[zoon.west]", codes::SECTION_UNKNOWN, "zoon.west", "")]
#[case::name("[zone.west]", "[zone.We st]", codes::NAME_INVALID, "zone.We st", "")]
#[case::repeated("[zone.west]", "[zone.east]", codes::SECTION_REPEATED, "zone.east", "")]
#[case::digest(
    "generation = 1",
    "generation = 1\ndigest = 00000000000000000000000000000000",
    codes::DIGEST_MISMATCH,
    "fleet",
    "digest"
)]
#[case::malformed("[zone.west]", "= 5", codes::DOCUMENT_MALFORMED, "", "")]
#[case::deadline(
    "deadline = 2s",
    "deadline = 2h",
    codes::VALUE_INVALID,
    "service.ledger",
    "deadline"
)]
fn parse_mistakes(
    #[case] from: &str,
    #[case] to: &str,
    #[case] code: Code,
    #[case] section: &str,
    #[case] key: &str,
) {
    assert!(SAMPLE.contains(from), "the sample has no '{from}'");
    if code == codes::KINDS_MIXED {
        let error = parse(&SAMPLE.replace(from, "services = assistant, ledger")).unwrap_err();
        let found: Vec<Code> = error.problems.iter().map(|p| p.code).collect();
        assert!(found.contains(&code) && found.contains(&codes::SERVICE_EMPTY), "{error}");
        return;
    }
    let error = parse(&SAMPLE.replacen(from, to, 1)).unwrap_err();
    let wanted =
        |p: &&crate::fleet::Problem| p.code == code && p.section == section && p.key == key;
    assert!(error.problems.iter().any(|p| wanted(&p)), "{error}");
}

/// Adds planned stops to the ledger upstreams, in minutes after noon.
fn with_stops(stops: &[(u32, u32)]) -> String {
    let mut text = SAMPLE.to_owned();
    for (i, (from, until)) in stops.iter().enumerate() {
        let header = format!("[upstream.ledger-{}]\n", i + 1);
        let date = |m: u32| format!("2026-12-04T{:02}:{:02}:00Z", 12 + m / 60, m % 60);
        let stop =
            format!("{header}leave-from = {}\nleave-until = {}\n", date(*from), date(*until));
        text = text.replace(&header, &stop);
    }
    text
}

#[rstest]
#[case::one(&[(0, 30)], None)]
#[case::spaced(&[(0, 30), (60, 90), (120, 150)], None)]
#[case::overlapping(&[(0, 300), (60, 300), (120, 150)], Some(codes::SERVICE_ALL_LEAVE))]
#[case::same_hour(&[(0, 10), (20, 30), (40, 50)], Some(codes::SERVICE_ALL_LEAVE))]
#[case::backwards(&[(30, 0)], Some(codes::LEAVE_INVALID))]
fn parse_stops(#[case] stops: &[(u32, u32)], #[case] code: Option<Code>) {
    let result = parse(&with_stops(stops));
    assert_eq!(result.err().map(|e| e.code()), code);
}

#[test]
fn parse_all_mistakes_at_once() {
    let text = SAMPLE.replace("zone = west", "zone = far").replace("deadline = 2s", "deadline = x");
    let error = parse(&text).unwrap_err();
    let far = SAMPLE.matches("zone = west").count();
    assert_eq!(error.problems.len(), far + 1, "{error}");
}

#[test]
fn parse_oversized() {
    let error = parse(&"# ".repeat(DOCUMENT_BYTES_MAX)).unwrap_err();
    assert_eq!(error.code(), codes::DOCUMENT_OVERSIZED);
}

/// A document of the size expected in two years.
pub(super) fn large_text() -> String {
    let mut text = String::from("[fleet]\nname = large\ngeneration = 1\n");
    for z in 0..6 {
        let _ = writeln!(text, "[zone.zone-{z}]\nregion = region-{}", z % 2);
    }
    for m in 0..10 {
        let _ = writeln!(text, "[model.model-{m}]\nversion = 1");
        let _ = writeln!(text, "[service.service-{m}]\nmodel = model-{m}\nidempotent = yes");
    }
    for u in 0..600 {
        let _ = writeln!(text, "[upstream.upstream-{u}]\nzone = zone-{}", u % 6);
        let _ = writeln!(text, "agent = 10.0.{}.{}:7301", u / 200, u % 200);
        let _ = writeln!(text, "services = service-{}", u % 10);
    }
    text += "[workspaces]\n";
    for w in 0..13_000 {
        let digest = credential_digest(&format!("credential {w}"));
        let _ = writeln!(text, "workspace-of-grower-{w} = 100 {digest}");
    }
    text
}

#[test]
fn render_large_fits() {
    let document = parse(&large_text()).unwrap();
    let text = render(&document);
    assert!(text.len() <= DOCUMENT_BYTES_MAX, "{} bytes", text.len());
    assert_eq!(parse(&text).unwrap(), document);
}

#[test]
fn diff_keys() {
    let before = parse(SAMPLE).unwrap();
    let mut after = before.clone();
    after.generation = 2;
    after.upstreams["ledger-1"].open = false;
    after.workspaces.shift_remove("orchard");
    let changes = diff(&before, &after);
    let places: Vec<_> = changes.iter().map(|c| format!("{}/{}", c.section, c.key)).collect();
    let expected =
        ["fleet/generation", "fleet/digest", "upstream.ledger-1/open", "workspaces/orchard"];
    assert_eq!(places, expected);
}
