//! Tests of the plain service.

use super::{Plain, PlainSettings, PlainSwitches, Runs, bind};
use crate::http::{Client, ClientError, Reply};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::time::Duration;

async fn service() -> (Plain, Client) {
    let settings = PlainSettings { service: Duration::ZERO, ..PlainSettings::default() };
    let plain = bind(settings).await.unwrap();
    let client = Client::open(plain.addr());
    (plain, client)
}

async fn book(client: &Client, key: &str) -> Result<Reply, ClientError> {
    let body = Full::new(Bytes::from(r#"{"reference":"r1"}"#));
    let request = Request::post("/book").header("idempotency-key", key).body(body).unwrap();
    client.send(request).await
}

#[tokio::test]
async fn plain_counts_and_echoes() {
    let (plain, client) = service().await;
    for key in ["k1", "k1", "k2"] {
        let echoed = book(&client, key).await.unwrap().collect().await.unwrap();
        assert_eq!(echoed, r#"{"reference":"r1"}"#);
    }
    let counts = plain.counts();
    assert_eq!(counts.keys["k1"], Runs { started: 2, finished: 2 });
    assert_eq!(counts.keys["k2"], Runs { started: 1, finished: 1 });
    assert_eq!((counts.references["r1"].started, counts.repeated()), (3, 2));
}

#[tokio::test]
async fn plain_lost_reply_ran() {
    let (plain, client) = service().await;
    plain.switch(PlainSwitches { lose_every: 1, ..PlainSwitches::default() });
    assert!(book(&client, "k1").await.is_err());
    assert_eq!(plain.counts().total, Runs { started: 1, finished: 1 });
}

#[tokio::test]
async fn plain_error_did_not_run() {
    let (plain, client) = service().await;
    plain.switch(PlainSwitches { error: 503, ..PlainSwitches::default() });
    assert_eq!(book(&client, "k1").await.unwrap().status(), 503);
    assert_eq!(plain.counts().total, Runs::default());
}
