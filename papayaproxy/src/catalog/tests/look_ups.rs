//! Look-ups of routes, services and API keys, and the age of the configuration.

use crate::catalog::config::KeyOwner;
use crate::catalog::freshness::{Freshness, answered_by};
use crate::platform::config::parse;
use rstest::rstest;
use std::time::Duration;

const CONFIG: &str = r#"{"version": 7, "routes": [
    {"name": "r1", "host": "A.example", "pathPrefix": "/a/", "routeType": "safe", "service": "s1", "maxAttempts": 2},
    {"name": "r2", "host": "a.example", "pathPrefix": "/a/b/", "routeType": "unsafe", "service": "s2"},
    {"name": "r3", "host": "b.example", "pathPrefix": "/", "routeType": "streaming", "streamResume": true,
     "backends": [{"service": "s1", "backendWeight": 90}, {"service": "s2", "backendWeight": 10}]}],
  "services": [{"name": "s1"}, {"name": "s2"}],
  "tenants": [{"name": "w1", "apiKeys": ["k1", "k2"], "priority": 1}]}"#;

#[rstest]
#[case::prefix("a.example", "/a/x", Some("r1"))]
#[case::longest("a.example", "/a/b/x", Some("r2"))]
#[case::exact("a.example", "/a/b/", Some("r2"))]
#[case::no_slash("a.example", "/a", None)]
#[case::part_of_a_name("a.example", "/ab/x", None)]
#[case::root("b.example", "/anything", Some("r3"))]
#[case::host("c.example", "/a/x", None)]
fn route_longest_prefix(#[case] host: &str, #[case] path: &str, #[case] expected: Option<&str>) {
    let config = parse(CONFIG.as_bytes()).unwrap();
    assert_eq!(config.route(host, path).map(|r| r.name.as_str()), expected);
}

/// Guards against a process that stood still and takes an answer that lay in its socket meanwhile for a
/// new one: it accepted keys that had been removed.
#[rstest]
#[case::read_at_once(1000, 0, 1004, 1000)]
#[case::news(1000, 1500, 1200, 1200)]
#[case::waited(1000, 1500, 2504, 2500)]
#[case::stood_still(1000, 1500, 21_000, 2500)]
#[case::read_stood_still(1000, 0, 21_000, 1000)]
fn answered_by_sender(
    #[case] sent: u64,
    #[case] wait: u64,
    #[case] read: u64,
    #[case] expected: u64,
) {
    let ms = Duration::from_millis;
    assert_eq!(answered_by(ms(sent), ms(wait), ms(read)), ms(expected));
}

#[rstest]
#[case::first(0, "s1")]
#[case::last_of_first(89, "s1")]
#[case::second(90, "s2")]
#[case::wraps_around(190, "s2")]
fn service_by_weight(#[case] draw: u64, #[case] expected: &str) {
    let config = parse(CONFIG.as_bytes()).unwrap();
    let route = config.route("b.example", "/").unwrap();
    assert_eq!(route.service(draw).unwrap(), expected);
}

#[rstest]
#[case::known("k2", true)]
#[case::unknown("k3", false)]
#[case::empty("", false)]
fn key_owner_by_key(#[case] key: &str, #[case] known: bool) {
    let config = parse(CONFIG.as_bytes()).unwrap();
    assert_eq!(matches!(config.key_owner(key), KeyOwner::Known(_)), known);
}

#[test]
fn confirm_older_ignored() {
    let mut freshness = Freshness::default();
    let at = Duration::from_secs;
    assert!(!freshness.is_within(at(100), at(0)), "nothing is confirmed yet");
    freshness.confirm(at(20));
    freshness.confirm(at(15));
    assert!(freshness.is_within(at(5), at(24)));
    assert!(!freshness.is_within(at(5), at(25)));
}
