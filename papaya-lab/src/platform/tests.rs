//! Tests of the platform stand-in.

use super::budget::Budget;
use super::config::{Config, HostList};
use super::{Platform, PlatformSettings, PlatformSwitches, bind};
use crate::http::{Client, ClientError, Reply};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rstest::rstest;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn budget_refills() {
    let mut budget = Budget::new(10.0, 10.0);
    let granted = |budget: &mut Budget, now| (0..20).filter(|_| budget.take(now)).count();
    assert_eq!(granted(&mut budget, SECOND), 10);
    assert_eq!(granted(&mut budget, SECOND + SECOND / 2), 5);
    assert_eq!(granted(&mut budget, 9 * SECOND), 10);
}

#[test]
fn budget_reserve_waits() {
    let mut budget = Budget::new(100.0, 0.0);
    assert_eq!(budget.reserve(Duration::ZERO, 100.0), SECOND);
    assert_eq!(budget.reserve(Duration::ZERO, 100.0), 2 * SECOND);
}

#[test]
fn config_stale() {
    let mut config = Config::default();
    config.publish(Bytes::from("one"));
    config.switch(PlatformSwitches { stale: true, down: false });
    config.publish(Bytes::from("two"));
    assert_eq!(config.current().unwrap().document, "one");
    config.switch(PlatformSwitches::default());
    assert_eq!(config.current().unwrap().document, "two");
}

#[test]
fn config_hosts_lag() {
    let mut config = Config::default();
    let list = serde_json::from_str::<HostList>(
        r#"{"hosts":[{"name":"h","address":"127.0.0.1","zone":"a","state":"live"}]}"#,
    );
    config.list(SECOND, list.unwrap());
    assert_eq!(config.hosts(2 * SECOND, 2 * SECOND).hosts.len(), 0);
    assert_eq!(config.hosts(3 * SECOND, 2 * SECOND).hosts.len(), 1);
}

async fn platform(calls: u32) -> (Platform, Client) {
    let settings = PlatformSettings { calls, ..PlatformSettings::default() };
    let platform = bind(settings).await.unwrap();
    let client = Client::open(platform.addr());
    (platform, client)
}

async fn get(client: &Client, path: &str) -> Result<Reply, ClientError> {
    client.send(Request::get(path).body(Full::new(Bytes::new())).unwrap()).await
}

#[rstest]
#[case::plain("r1")]
#[case::quoted("%22r1%22")]
#[tokio::test]
async fn platform_watch_ends(#[case] after: &str) {
    let (platform, client) = platform(2000).await;
    assert_eq!(platform.publish("one"), "\"r1\"");
    let path = format!("/v1/config/fleet?after={after}&wait=20ms");
    assert_eq!(get(&client, &path).await.unwrap().status(), 304);
}

#[tokio::test]
async fn platform_watch_sees_change() {
    let (platform, client) = platform(2000).await;
    platform.publish("one");
    let watching = get(&client, "/v1/config/fleet?after=r1&wait=30s");
    let publishing = async {
        tokio::task::yield_now().await;
        platform.publish("two");
    };
    let (reply, ()) = tokio::join!(watching, publishing);
    let reply = reply.unwrap();
    assert_eq!(reply.header("etag"), Some("\"r2\""));
    assert_eq!(reply.collect().await.unwrap(), "two");
}

#[tokio::test]
async fn platform_over_budget() {
    let (platform, client) = platform(1).await;
    platform.publish("one");
    let first = get(&client, "/v1/config/fleet").await.unwrap().status();
    let second = get(&client, "/v1/config/fleet").await.unwrap().status();
    assert_eq!((first, second), (200, 429));
    assert_eq!(platform.counts().over_budget, 1);
}

#[tokio::test]
async fn platform_down_gives_no_reply() {
    let (platform, client) = platform(2000).await;
    platform.switch(PlatformSwitches { down: true, stale: false });
    assert!(get(&client, "/v1/config/fleet").await.is_err());
    platform.switch(PlatformSwitches::default());
    assert_eq!(get(&client, "/v1/config/fleet").await.unwrap().status(), 404);
}

#[tokio::test]
async fn platform_weights_size() {
    let (_platform, client) = platform(2000).await;
    let reply = get(&client, "/v1/weights/blob1?bytes=100000").await.unwrap();
    assert_eq!(reply.collect().await.unwrap().len(), 100_000);
}
