//! Tests of header handling and data formats.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod copies;
mod large;

use super::request::{AttemptHeaders, read_envelope, replica_headers};
use super::{config, replica, upstream};
use crate::catalog::UpstreamState;
use crate::gateway::{KeyHeader, Verdict};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

fn headers(pairs: &[(&'static str, &str)]) -> HeaderMap {
    let pair = |(name, value): &(&'static str, &str)| {
        (HeaderName::from_static(name), HeaderValue::from_str(value).unwrap())
    };
    let mut headers = HeaderMap::new();
    for (name, value) in pairs.iter().map(pair) {
        headers.append(name, value);
    }
    headers
}

const UPSTREAM_RECORD: &str = r#"{"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","slots":12,
    "state":"ready","coldRemainingMs":0,"sequence":4,"born":1788488797833}"#;

#[test]
fn upstream_parse_valid() {
    let entry = upstream::parse(UPSTREAM_RECORD.as_bytes()).unwrap();
    assert_eq!((entry.slots, entry.state, entry.cold), (12, UpstreamState::Ready, Duration::ZERO));
}

#[rstest]
#[case::state("\"ready\"", "\"resting\"")]
#[case::slots("12", "\"many\"")]
#[case::address("10.0.0.1:80", "somewhere")]
#[case::missing("\"zone\":\"a\",", "")]
#[case::bytes("{", "\u{0}{")]
fn upstream_parse_invalid(#[case] from: &str, #[case] to: &str) {
    assert!(upstream::parse(UPSTREAM_RECORD.replacen(from, to, 1).as_bytes()).is_err());
}

#[rstest]
#[case::none(&[], &[])]
#[case::one(&[("x-prompt-prefix", "5c1e:800")], &["5c1e"])]
#[case::several(&[("x-prompt-prefix", "5c1e:800, 91bd:410,e440:250")], &["5c1e", "91bd", "e440"])]
#[case::lines(&[("x-prompt-prefix", "5c1e:800"), ("x-prompt-prefix", "91bd:410")], &["5c1e", "91bd"])]
#[case::no_tokens(&[("x-prompt-prefix", "5c1e,,:7")], &["5c1e"])]
fn read_envelope_prompt_parts(#[case] pairs: &[(&'static str, &str)], #[case] expected: &[&str]) {
    assert_eq!(read_envelope(&headers(pairs)).prompt_parts, expected);
}

/// A stopping entry takes a stream by the limit of its answer; a wrong one lets it be cut.
#[rstest]
#[case::both("1460,80", 1460, Some(80))]
#[case::spaces("1460, 80", 1460, Some(80))]
#[case::no_limit("1460", 0, None)]
#[case::empty_limit("1460,", 1460, None)]
#[case::negative("1460,-1", 1460, None)]
fn read_envelope_tokens(
    #[case] text: &'static str,
    #[case] prompt: u32,
    #[case] answer: Option<u32>,
) {
    let envelope = read_envelope(&headers(&[("x-token-usage", text)]));
    assert_eq!((envelope.prompt_tokens, envelope.answer_tokens), (prompt, answer));
}

#[rstest]
#[case::one(&[("x-key", "k1")], KeyHeader::One("k1".into()))]
#[case::none(&[], KeyHeader::Missing)]
#[case::two(&[("x-key", "k1"), ("x-key", "k2")], KeyHeader::Unreadable)]
fn read_envelope_key(#[case] pairs: &[(&'static str, &str)], #[case] expected: KeyHeader) {
    assert_eq!(read_envelope(&headers(pairs)).key, expected);
}

/// A client cannot set the headers that belong to the entry, and its key is not forwarded.
#[test]
fn replica_headers_own_replaced() {
    let client = headers(&[
        ("x-key", "k1"),
        ("x-tenant", "another"),
        ("x-request-urgency", "0"),
        ("x-expect-instance", "i-9"),
        ("x-request-deadline-ms", "8000"),
        ("x-request-id", "r1"),
        ("x-model", "m"),
        ("connection", "close, x-model, x-strange, trailing"),
        ("transfer-encoding", "chunked"),
        ("trailing", "1"),
        ("x-strange", "kept"),
    ]);
    let time_left = Some(Duration::from_millis(1500));
    let attempt = AttemptHeaders {
        replica: "i-1",
        workspace: Some("w1"),
        time_left,
        urgency: Some(12),
        last_event: Some(12),
    };
    let expected = headers(&[
        ("x-request-id", "r1"),
        ("x-model", "m"),
        ("x-strange", "kept"),
        ("x-expect-instance", "i-1"),
        ("x-tenant", "w1"),
        ("x-request-deadline-ms", "1500"),
        ("x-request-urgency", "9"),
        ("last-event-id", "12"),
    ]);
    assert_eq!(replica_headers(&client, &attempt), expected);
}

const ID: (&str, &str) = ("x-request-id", "r1");
const STAMP: (&str, &str) = ("x-server-stamp", "s");

#[rstest]
#[case::whole(200, &[ID, STAMP], Verdict::Final)]
#[case::of_another(200, &[("x-request-id", "r2"), STAMP], Verdict::Foreign)]
#[case::unsigned(200, &[ID], Verdict::Foreign)]
#[case::unnamed(200, &[STAMP], Verdict::Foreign)]
#[case::encoded(200, &[ID, STAMP, ("content-encoding", "gzip")], Verdict::Foreign)]
#[case::shed(503, &[("x-not-executed", "1")], Verdict::NotRun { misdirected: false })]
#[case::misdirected(421, &[], Verdict::NotRun { misdirected: true })]
#[case::unproven(503, &[ID], Verdict::Unproven)]
#[case::too_many(429, &[ID], Verdict::Unproven)]
#[case::own_failure(500, &[ID, STAMP], Verdict::Failed)]
#[case::refused(400, &[ID, STAMP], Verdict::Final)]
#[case::success_not_run(200, &[ID, STAMP, ("x-not-executed", "1")], Verdict::Foreign)]
#[case::failure_not_run(500, &[ID, STAMP, ("x-not-executed", "1")], Verdict::Failed)]
#[case::two_ids(503, &[ID, ("x-request-id", "r0"), ("x-not-executed", "1")], Verdict::Foreign)]
#[case::two_ids_success(200, &[ID, ("x-request-id", "r0"), STAMP], Verdict::Foreign)]
#[case::id_twice(503, &[ID, ID, ("x-not-executed", "1")], Verdict::NotRun { misdirected: false })]
#[case::id_other_case(503, &[("x-request-id", "R1"), ("x-not-executed", "1")], Verdict::Foreign)]
#[case::id_empty(503, &[("x-request-id", ""), ("x-not-executed", "1")], Verdict::Foreign)]
#[case::id_longer(503, &[("x-request-id", "r1, r1"), ("x-not-executed", "1")], Verdict::Foreign)]
fn replica_verdict(
    #[case] status: u16,
    #[case] pairs: &[(&'static str, &str)],
    #[case] expected: Verdict,
) {
    let status = StatusCode::from_u16(status).unwrap();
    assert_eq!(replica::verdict("r1", status, &headers(pairs), false), expected);
}

/// A late second copy of an earlier refusal arrives where the answer to a booking is expected. Taken
/// for its refusal, the booking would be sent again, although it runs.
#[rstest]
#[case::of_another(503, &[("x-request-id", "r0"), ("x-not-executed", "1")], Verdict::Foreign)]
#[case::misdirected_of_another(421, &[("x-request-id", "r0")], Verdict::Foreign)]
#[case::unnamed(503, &[("x-not-executed", "1")], Verdict::Foreign)]
#[case::unnamed_failure(500, &[STAMP], Verdict::Foreign)]
#[case::own(503, &[ID, ("x-not-executed", "1")], Verdict::NotRun { misdirected: false })]
fn replica_verdict_connection_reused(
    #[case] status: u16,
    #[case] pairs: &[(&'static str, &str)],
    #[case] expected: Verdict,
) {
    let status = StatusCode::from_u16(status).unwrap();
    assert_eq!(replica::verdict("r1", status, &headers(pairs), true), expected);
}

/// Ids that are no visible ASCII text must not all look alike: a copy of one's refusal would be taken
/// for that of another.
#[test]
fn replica_verdict_odd_ids_differ() {
    let with_id = |id: &[u8]| {
        let mut headers = headers(&[("x-not-executed", "1")]);
        headers.insert("x-request-id", HeaderValue::from_bytes(id).unwrap());
        headers
    };
    let id = read_envelope(&with_id(b"caf\xe9")).id;
    let verdict =
        |echoed| replica::verdict(&id, StatusCode::SERVICE_UNAVAILABLE, &with_id(echoed), true);
    assert_eq!(verdict(b"caf\xe8"), Verdict::Foreign);
    assert_eq!(verdict(b""), Verdict::Foreign);
    assert_eq!(verdict(b"caf\xe9"), Verdict::NotRun { misdirected: false });
}

proptest! {
    /// Malformed data from the store must not cause a panic.
    #[test]
    fn parse_mutated_no_panic(at in 0usize..400, byte in any::<u8>(), cut in 0usize..400) {
        let mut bytes = UPSTREAM_RECORD.as_bytes().to_vec();
        let length = bytes.len();
        bytes[at % length] = byte;
        bytes.truncate(cut.max(1));
        let _ = upstream::parse(&bytes);
        let _ = config::parse(&bytes);
    }
}

#[rstest]
#[case::none(&[], None)]
#[case::whole(&[("server-limit", "12")], Some(12.0))]
#[case::fraction(&[("server-limit", " 1.75 ")], Some(1.75))]
#[case::zero(&[("server-limit", "0")], Some(0.0))]
#[case::negative(&[("server-limit", "-1")], None)]
#[case::endless(&[("server-limit", "inf")], None)]
#[case::not_a_number(&[("server-limit", "NaN")], None)]
#[case::words(&[("server-limit", "few")], None)]
fn rate_limit_values(#[case] pairs: &[(&'static str, &str)], #[case] expected: Option<f64>) {
    assert_eq!(replica::rate_limit(&headers(pairs)), expected);
}
