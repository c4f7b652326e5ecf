//! Tests of the bench's parts.

use super::cpu::{cpu_time, parse_stat};
use super::drive::{Pace, Shot, drive};
use super::summary::{Phase, Row, Summary};
use crate::forward::{self, ForwardSettings};
use crate::plain::{self, PlainSettings, PlainSwitches};
use rstest::rstest;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

#[rstest]
#[case::plain("12 (papaya) S 1 1 1 0 -1 4 0 0 0 0 150 50 0 0 20", Some(2000))]
#[case::odd_name("12 (a b) c) S 1 1 1 0 -1 4 0 0 0 0 1 0 0 0 20", Some(10))]
#[case::short("12 (papaya) S 1", None)]
#[case::empty("", None)]
fn parse_stat_lines(#[case] line: &str, #[case] millis: Option<u64>) {
    assert_eq!(parse_stat(line), millis.map(Duration::from_millis));
}

#[test]
fn cpu_time_of_this_process() {
    assert!(cpu_time(std::process::id()).is_ok());
}

#[tokio::test]
async fn drive_through_forwarder() {
    let settings =
        PlainSettings { service: Duration::ZERO, count: false, ..PlainSettings::default() };
    let service = plain::bind(settings).await.unwrap();
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let forward = forward::bind(ForwardSettings { listen, target: service.addr() }).await.unwrap();
    let shot = Shot { path: "/x".into(), headers: vec![], body: "echo".into() };
    let pace = Pace { connections: 2, rate: Some(400.0), duration: Duration::from_millis(100) };
    let run = drive(forward.addr(), &shot, pace).await;
    assert!(!run.times.is_empty() && run.failed == 0);
    service.switch(PlainSwitches { error: 500, ..PlainSwitches::default() });
    let failing = drive(forward.addr(), &shot, pace).await;
    assert!(failing.times.is_empty() && failing.failed > 0);
}

fn row(way: &str, phase: Phase, p50_us: u64, cpu_ms: u64) -> Row {
    let (round, rate, failed, count) = (1, 100.0, 0, 1000);
    Row { way: way.into(), phase, round, rate, failed, p50_us, p99_us: p50_us * 2, cpu_ms, count }
}

#[rstest]
#[case::met(100, 200, true)]
#[case::slow(300, 200, false)]
#[case::costly(100, 250, false)]
fn summary_targets(#[case] added: u64, #[case] cpu_ms: u64, #[case] met: bool) {
    let rows = vec![
        row("direct", Phase::Half, 50, 0),
        row("entry+agent", Phase::Half, 50 + added, cpu_ms),
        row("forwarder", Phase::Full, 60, 100),
        row("entry+agent", Phase::Full, 90, cpu_ms),
    ];
    let summary = Summary { rows, machine: ["0".into(), "0".into()] };
    assert_eq!(summary.added("entry+agent", Phase::Half, |r| r.p50_us), added as i64);
    assert_eq!(summary.targets_met(), met, "{summary}");
}
