//! Nodes on loopback that replicate the document of a stub platform.

use crate::base::clock::Clock;
use crate::base::http::{Body, full, serve};
use crate::base::name::Incarnation;
use crate::fleet::{Document, parse, render};
use crate::membership::{Node, NodeSettings, Process, ProcessRole};
use crate::wire::{Secret, Secrets};
use hyper::header::{ETAG, HeaderValue};
use hyper::{Request, Response, StatusCode};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use tokio::time::{Duration, sleep, timeout};
use tokio_util::sync::{CancellationToken, DropGuard};

const SAMPLE: &str = include_str!("../../../../sample/fleet.ini");

/// Timeout that ends a hanging test.
const LIMIT: Duration = Duration::from_secs(60);

/// Stub platform that serves one document; a watch returns as soon as its revision differs.
struct PlatformStub {
    address: SocketAddr,
    document: Arc<Mutex<String>>,
    _stop: DropGuard,
}

impl PlatformStub {
    async fn bind(text: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let document = Arc::new(Mutex::new(text.to_owned()));
        let stop = CancellationToken::new();
        let shared = document.clone();
        let handler = move |request| answer(request, shared.clone());
        tokio::spawn(serve(listener, handler, stop.clone()));
        Self { address, document, _stop: stop.drop_guard() }
    }

    fn publish(&self, text: &str) {
        text.clone_into(&mut self.document.lock().unwrap());
    }
}

async fn answer(
    request: Request<hyper::body::Incoming>,
    document: Arc<Mutex<String>>,
) -> Response<Body> {
    if request.uri().path() == "/v1/hosts" {
        return Response::new(full(r#"{"hosts":[]}"#));
    }
    let after = request.uri().query().and_then(|q| q.split(['=', '&']).nth(1)).map(str::to_owned);
    loop {
        let text = document.lock().unwrap().clone();
        let etag = format!("v{}", xxhash_rust::xxh3::xxh3_64(text.as_bytes()));
        if after.as_ref() != Some(&etag) {
            let mut response = Response::new(full(text));
            response.headers_mut().insert(ETAG, HeaderValue::from_str(&etag).unwrap());
            *response.status_mut() = StatusCode::OK;
            return response;
        }
        sleep(Duration::from_millis(10)).await;
    }
}

fn settings(name: &str, role: ProcessRole, platform: Option<SocketAddr>) -> NodeSettings {
    let process = Process {
        name: name.into(),
        zone: "east".into(),
        role,
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        incarnation: Incarnation::generate(),
    };
    let secrets = Secrets { current: Secret::new(1, &[1; 32]), other: None };
    let mut settings = NodeSettings::new(process, secrets, Clock::start());
    settings.platform = platform;
    settings
}

async fn wait_for_document(node: &Node, document: &Document) {
    let mut feed = node.feed();
    while feed.document.load().digest != document.digest {
        timeout(LIMIT, feed.changed.changed()).await.unwrap().unwrap();
    }
}

/// The sample document with generation `number`.
fn sample_document(number: u64) -> Document {
    let mut document = parse(SAMPLE).unwrap();
    document.generation = number;
    document.sealed()
}

#[tokio::test]
async fn node_document_from_peer() {
    let platform = PlatformStub::bind(&render(&sample_document(5))).await;
    let entry = Node::spawn(settings("entry-1", ProcessRole::Entry, Some(platform.address)));
    let entry = entry.await.unwrap();
    let mut agent_settings = settings("assistant-1", ProcessRole::Agent, None);
    agent_settings.peers = vec![entry.address()];
    let agent = Node::spawn(agent_settings).await.unwrap();
    wait_for_document(&agent, &sample_document(5)).await;
    timeout(LIMIT, agent.ready()).await.unwrap();
    platform.publish(&render(&sample_document(6)));
    wait_for_document(&entry, &sample_document(6)).await;
    wait_for_document(&agent, &sample_document(6)).await;
    let mut feed = entry.feed();
    while !feed.view.load().upstreams["assistant-1"].live {
        timeout(LIMIT, feed.changed.changed()).await.unwrap().unwrap();
    }
}

/// A platform that returns an older, invalid or oversized document must not replace a newer one,
/// neither on a running process nor on one that starts.
#[tokio::test]
async fn node_stale_platform() {
    let platform = PlatformStub::bind(&render(&sample_document(9))).await;
    let entry = Node::spawn(settings("entry-1", ProcessRole::Entry, Some(platform.address)));
    let entry = entry.await.unwrap();
    wait_for_document(&entry, &sample_document(9)).await;
    for text in [render(&sample_document(3)), "[fleet".to_owned(), "x".repeat(2 << 20)] {
        let reads = entry.calls().config.load(std::sync::atomic::Ordering::Relaxed);
        platform.publish(&text);
        while entry.calls().config.load(std::sync::atomic::Ordering::Relaxed) < reads + 1 {
            sleep(Duration::from_millis(5)).await;
        }
    }
    let mut late_settings = settings("entry-2", ProcessRole::Entry, Some(platform.address));
    late_settings.peers = vec![entry.address()];
    platform.publish(&render(&sample_document(3)));
    let late = Node::spawn(late_settings).await.unwrap();
    timeout(LIMIT, late.ready()).await.unwrap();
    assert_eq!(late.feed().document.load().generation, 9);
    assert_eq!(entry.feed().document.load().generation, 9);
}

#[tokio::test]
async fn node_alone_ready() {
    let node = Node::spawn(settings("entry-1", ProcessRole::Entry, None)).await.unwrap();
    timeout(LIMIT, node.ready()).await.unwrap();
    assert_eq!(node.feed().document.load().generation, 0);
}
