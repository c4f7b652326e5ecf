//! Follows the platform's fleet document, for a process that has no peers.

use crate::base::clock::Clock;
use crate::fleet::{Document, parse};
use crate::membership::{Feed, UpstreamView, View};
use arc_swap::ArcSwap;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Interval between readings.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Opens a feed that reads the platform at `address`.
pub(crate) fn open_feed(address: SocketAddr, clock: Clock) -> Feed {
    let (sender, changed) = watch::channel(0);
    let feed = Feed {
        document: Arc::new(ArcSwap::from_pointee(Document::default())),
        view: Arc::new(ArcSwap::from_pointee(View::default())),
        changed,
        newer: Arc::new(|_| {}),
        age: Arc::new(move || clock.now()),
    };
    tokio::spawn(follow(address, feed.clone(), sender));
    feed
}

async fn follow(address: SocketAddr, feed: Feed, changed: watch::Sender<u64>) {
    let mut ticks = tokio::time::interval(READ_INTERVAL);
    loop {
        ticks.tick().await;
        let document = read(address).await.and_then(|text| parse(&text).ok());
        let Some(document) = document else { continue };
        if document.generation > feed.document.load().generation {
            let live = UpstreamView { live: true, ..UpstreamView::default() };
            let names = document.upstreams.keys().cloned();
            let upstreams = names.map(|name| (name, live.clone())).collect();
            feed.view.store(Arc::new(View { upstreams, entries: 1, peers: 0 }));
            feed.document.store(Arc::new(document));
            changed.send_modify(|n| *n += 1);
        }
    }
}

async fn read(address: SocketAddr) -> Option<String> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let request = Request::get(format!("http://{address}/v1/config/fleet")).body(Empty::new());
    let response = client.request(request.ok()?).await.ok()?;
    let body = response.into_body().collect().await.ok()?;
    String::from_utf8(body.to_bytes().to_vec()).ok()
}
