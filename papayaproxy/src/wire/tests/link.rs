//! Tests of links over loopback sockets.

use super::super::codec::FrameEncoder;
use super::super::constants::REPLY_WINDOW_BYTES;
use super::super::context::LinkContext;
use super::super::frame::{Action, CallHead, CallTag, Envelope, Frame, Reply, ReplyEnd, ReplyHead};
use super::super::handshake::{self, Identity};
use super::super::link::{Call, Link};
use super::super::secret::Secrets;
use super::super::server::{IncomingCall, OpenGuard, serve_link};
use super::secrets;
use crate::agent::codes::COMPLETED;
use crate::base::name::Incarnation;
use bytes::{Bytes, BytesMut};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Encoder;

fn context(name: &str, incarnation: u64, secrets: Secrets) -> Arc<LinkContext> {
    let identity = Identity { name: name.into(), incarnation: Incarnation(incarnation) };
    Arc::new(LinkContext::new(identity, secrets, Box::new(|| 5), Box::new(|_| {})))
}

fn head() -> CallHead {
    CallHead {
        request: 1,
        workspace: "orchard".into(),
        service: "ledger".into(),
        method: "POST".into(),
        path: "/bookings".into(),
        headers: Vec::new(),
        action: Action::Call,
        key: None,
        priority: 5,
        remaining: Duration::from_secs(5),
    }
}

/// Starts an agent that accepts one link and handles its calls with `handle`.
async fn agent(handle: impl Fn(IncomingCall, OpenGuard) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let _ = serve_link(stream, context("ledger-1", 2, secrets(1, None)), handle).await;
    });
    address
}

/// Starts a peer that completes the handshake and then runs `drive` on the raw connection.
async fn raw_agent<F>(
    drive: impl FnOnce(TcpStream, FrameEncoder) -> F + Send + 'static,
) -> SocketAddr
where
    F: Future<Output = ()> + Send,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let own = context("ledger-1", 2, secrets(1, None));
        let session = handshake::accept(&mut stream, &own.identity, &own.secrets).await.unwrap();
        drive(stream, session.encoder).await;
    });
    address
}

async fn open(address: SocketAddr) -> (Link, Arc<LinkContext>) {
    let own = context("entry-1", 1, secrets(1, None));
    (Link::open(address, own.clone()).await.unwrap(), own)
}

async fn body(call: &mut Call) -> Vec<u8> {
    let mut found = Vec::new();
    loop {
        match call.next().await.unwrap() {
            Reply::Piece { data, .. } => {
                call.consume(data.len());
                found.extend_from_slice(&data);
            }
            Reply::End(_) => return found,
            Reply::Head(_) => {}
            Reply::Failure(failure) => panic!("{failure:?}"),
        }
    }
}

#[tokio::test]
async fn call_whole_reply() {
    let address = agent(|call, guard| {
        tokio::spawn(async move {
            let mut replier = call.replier;
            replier.head(ReplyHead { status: 200, headers: Vec::new() }).await.unwrap();
            replier.piece(call.body).await.unwrap();
            replier.end(COMPLETED).await.unwrap();
            drop(guard);
        });
    })
    .await;
    let (link, _) = open(address).await;
    assert_eq!(link.peer().name, "ledger-1");
    let mut call = link.call(head(), Bytes::from_static(b"shelf 12")).await.unwrap();
    assert_eq!(body(&mut call).await, b"shelf 12");
}

#[tokio::test]
async fn call_large_reply_flows() {
    let sent = vec![7; 4 * REPLY_WINDOW_BYTES as usize];
    let reply = Bytes::from(sent.clone());
    let address = agent(move |call, guard| {
        let reply = reply.clone();
        tokio::spawn(async move {
            let mut replier = call.replier;
            replier.piece(reply).await.unwrap();
            replier.end(COMPLETED).await.unwrap();
            drop(guard);
        });
    })
    .await;
    let (link, _) = open(address).await;
    let mut call = link.call(head(), Bytes::new()).await.unwrap();
    assert!(body(&mut call).await == sent);
}

#[tokio::test]
async fn call_slow_caller_limits_agent() {
    let sent = Arc::new(AtomicUsize::new(0));
    let count = sent.clone();
    let address = agent(move |call, guard| {
        let count = count.clone();
        tokio::spawn(async move {
            let mut replier = call.replier;
            while replier.piece(Bytes::from(vec![1; 4096])).await.is_ok() {
                count.fetch_add(4096, Ordering::SeqCst);
            }
            drop(guard);
        });
    })
    .await;
    let (link, _) = open(address).await;
    let mut call = link.call(head(), Bytes::new()).await.unwrap();
    // The window is full once all bytes allowed without further credit have arrived.
    let mut taken = 0;
    while taken < REPLY_WINDOW_BYTES as usize {
        if let Reply::Piece { data, .. } = call.next().await.unwrap() {
            taken += data.len();
        }
    }
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    assert_eq!(sent.load(Ordering::SeqCst), REPLY_WINDOW_BYTES as usize);
}

#[tokio::test]
async fn call_dropped_cancels() {
    let (events, mut seen) = tokio::sync::mpsc::unbounded_channel();
    let address = agent(move |call, guard| {
        let events = events.clone();
        tokio::spawn(async move {
            events.send("begun").unwrap();
            call.cancelled.cancelled().await;
            events.send("cancelled").unwrap();
            drop(guard);
        });
    })
    .await;
    let (link, _) = open(address).await;
    let call = link.call(head(), Bytes::new()).await.unwrap();
    assert_eq!(seen.recv().await, Some("begun"));
    drop(call);
    assert_eq!(seen.recv().await, Some("cancelled"));
}

#[rstest]
#[case::other_caller(CallTag { caller: Incarnation(9), call: 1, workspace: 0 })]
#[case::other_call(CallTag { caller: Incarnation(1), call: 77, workspace: 0 })]
#[case::other_workspace(CallTag { caller: Incarnation(1), call: 1, workspace: 0 })]
#[tokio::test]
async fn call_crossed_reply_dropped(#[case] crossed: CallTag) {
    let workspace = xxhash_rust::xxh3::xxh3_64(b"orchard");
    let own = CallTag { caller: Incarnation(1), call: 1, workspace };
    let crossed = if crossed.call == 1 && crossed.caller == own.caller {
        crossed
    } else {
        CallTag { workspace, ..crossed }
    };
    let address = raw_agent(move |mut stream, mut encoder| async move {
        let piece = |text: &'static str| Reply::Piece { sequence: 0, data: text.into() };
        let end = ReplyEnd { length: 3, checksum: 0, code: COMPLETED };
        let frames = [(crossed, piece("foreign")), (own, piece("own")), (own, Reply::End(end))];
        // The call must be registered before its replies arrive.
        let mut first = [0; 1];
        stream.read_exact(&mut first).await.unwrap();
        let mut bytes = BytesMut::new();
        for (tag, reply) in frames {
            let envelope = Envelope { generation: 5, frame: Frame::Reply { tag, reply } };
            encoder.encode(&envelope, &mut bytes).unwrap();
        }
        stream.write_all(&bytes).await.unwrap();
        std::future::pending::<()>().await;
    })
    .await;
    let (link, context) = open(address).await;
    let mut call = link.call(head(), Bytes::new()).await.unwrap();
    assert_eq!(body(&mut call).await, b"own");
    assert_eq!(context.stats.dropped.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn call_lost_link_reported() {
    let address = raw_agent(|mut stream, _| async move {
        let mut first = [0; 1];
        stream.read_exact(&mut first).await.unwrap();
    })
    .await;
    let (link, _) = open(address).await;
    let mut call = link.call(head(), Bytes::new()).await.unwrap();
    let lost = call.next().await.unwrap_err();
    assert!(lost.written, "the peer has read a byte, so the call may have run");
    let again = link.call(head(), Bytes::new()).await;
    assert!(again.is_err_and(|l| !l.written), "a closed link writes nothing");
}

#[tokio::test]
async fn call_silent_agent_lost() {
    let (begun, arrived) = tokio::sync::oneshot::channel();
    let address = raw_agent(|mut stream, _| async move {
        let mut first = [0; 1];
        stream.read_exact(&mut first).await.unwrap();
        begun.send(()).unwrap();
        std::future::pending::<()>().await;
    })
    .await;
    let (link, _) = open(address).await;
    let mut call = link.call(head(), Bytes::new()).await.unwrap();
    arrived.await.unwrap();
    // Time is paused only now, since the steps above need real socket I/O.
    tokio::time::pause();
    assert!(call.next().await.unwrap_err().written);
    assert!(link.is_closed());
}

#[rstest]
#[case::same(1, None, true)]
#[case::rolled_server(1, Some(2), true)]
#[case::unknown(2, None, false)]
#[case::unknown_first(2, Some(1), false)]
#[tokio::test]
async fn open_keys(#[case] current: u8, #[case] other: Option<u8>, #[case] agrees: bool) {
    let address = agent(|_, _| {}).await;
    let own = context("entry-1", 1, secrets(current, other));
    assert_eq!(Link::open(address, own).await.is_ok(), agrees);
}
