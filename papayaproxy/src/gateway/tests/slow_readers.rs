//! Clients that read slowly or not at all: which of them are cut, and that the others are served.

use super::log_lines::LogLines;
use super::stand_ins::{Action, FakeServer, ReceivedRequest, TestGateway, on_one_thread, reply};
use super::streams::{chunk, head};
use crate::gateway::bounds::MemoryBounds;
use crate::gateway::events::{CLIENT_MEMORY, READER_CUT};
use crate::gateway::readers::{Cut, SlowReaders};
use rstest::rstest;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Memory of the smallest host in megabytes.
const MEMORY: u32 = 112;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against cutting a client that reads, or more clients than needed: the oldest bytes go
/// first, until three quarters of the limit are reached.
#[test]
fn next_cut_oldest_first() {
    let mut readers = SlowReaders::new(Some(1000));
    for (client, arrived) in [(1, 30), (2, 10), (3, 20), (4, 40)] {
        readers.add(client, 200, at(arrived));
    }
    // The first piece of client 2 is delivered: its oldest is the newest now.
    readers.add(2, 100, at(50));
    readers.remove(2, 200, at(10));
    assert_eq!(readers.next_cut(at(3000)), None, "700 of 1000");
    readers.set_buffers(4, 160);
    let cut = Cut { client: 3, held: 200, oldest: at(2980), total: 860 };
    assert_eq!(readers.next_cut(at(3000)), Some(cut));
    assert_eq!(readers.next_cut(at(3000)), None, "660 are left");
    assert_eq!(readers.total(), 860, "what is cut counts until it is dropped");
    readers.remove(3, 200, at(20));
    assert_eq!((readers.total(), readers.count()), (660, 3));
}

/// Guards against a burst of answers that costs usual readers theirs, and against memory beyond the
/// limit: young bytes are cut only from the limit on.
#[test]
fn next_cut_young_only_at_limit() {
    let mut readers = SlowReaders::new(Some(1000));
    readers.add(1, 500, at(5000));
    readers.add(2, 450, at(5010));
    assert_eq!((readers.next_cut(at(5020)), readers.is_short()), (None, true));
    readers.add(3, 50, at(5020));
    assert_eq!(readers.next_cut(at(5020)).map(|c| c.client), Some(1));
    assert_eq!(readers.next_cut(at(9000)), None, "no longer short");
}

/// Guards against counts that drift when a connection is dropped with several pieces.
#[test]
fn remove_any_order_counts_zero() {
    let mut readers = SlowReaders::new(Some(1000));
    for arrived in [1, 2, 2, 3] {
        readers.add(7, 100, at(arrived));
    }
    readers.set_buffers(7, 900);
    assert_eq!(readers.next_cut(at(3000)).map(|c| c.held), Some(1300));
    readers.add(7, 60, at(4));
    for (bytes, arrived) in [(100, 3), (100, 2), (60, 4), (100, 1), (100, 2)] {
        readers.remove(7, bytes, at(arrived));
    }
    readers.set_buffers(7, 0);
    assert_eq!((readers.total(), readers.count()), (0, 0));
    readers.add(8, 1000, at(5));
    assert_eq!(readers.next_cut(at(3000)).map(|c| c.client), Some(8), "nothing is leaving");
}

/// Guards against bounds that add up to more than a host has, with all connections that it may have.
#[test]
fn bounds_leave_room() {
    for (megabytes, connections) in [(112, 1000), (512, 4000)] {
        let bounds = MemoryBounds::new(f64::from(megabytes));
        let held = bounds.bodies + bounds.clients.unwrap() + bounds.client_kernel() * connections;
        assert!(held < megabytes as usize * 800_000, "{held} bytes of {megabytes} MB");
    }
    let before = MemoryBounds::new(0.0);
    assert_eq!((before.bodies, before.frames, before.client), (24 << 20, 16, None));
    assert!(before.clients.is_none() && before.sockets.is_none());
}

/// `count` events of `size` bytes and the end of the stream.
fn events(request: &ReceivedRequest, count: u64, size: usize) -> Vec<Action> {
    let event = |id| chunk(&format!("id: {id}\ndata: {}\n\n", "x".repeat(size)));
    let events: String = (1..=count).map(event).collect();
    vec![Action::Send(head(request) + &events + "0\r\n\r\n")]
}

/// A replica with answers of 144 kB for `/stream/`, 1 MB for `/safe/large`, and small ones else.
async fn replica() -> FakeServer {
    FakeServer::bind(|request| match request.head.split(' ').nth(1) {
        Some("/safe/large") => vec![Action::Send(reply(request, "200 OK", &"x".repeat(1 << 20)))],
        Some("/safe/x") => vec![Action::Send(reply(request, "200 OK", "whole"))],
        _ => events(request, 20, 7200),
    })
    .await
}

/// Sends a request, and reads no more than the start of its answer.
async fn read_start(address: SocketAddr, path: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    let mut stream = socket.connect(address).await.unwrap();
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nX-Key: k1\r\n\
         X-Request-Deadline-Ms: 5000\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut start = [0; 12];
    stream.read_exact(&mut start).await.unwrap();
    assert_eq!(&start, b"HTTP/1.1 200", "refused because of slow readers");
    stream
}

/// Whether the rest of the answer comes, up to its end `end`.
async fn is_whole(mut stream: TcpStream, end: &str) -> bool {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.is_ok() && bytes.ends_with(end.as_bytes())
}

/// Number of slow readers that the descriptors of the process allow: each takes two here, and one at
/// the replica's side while its answer comes. Other tests need some, too.
fn reader_count(wanted: usize) -> usize {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let soft =
        limits.lines().find_map(|l| l.strip_prefix("Max open files")?.split_whitespace().next());
    wanted
        .min(soft.and_then(|n| n.parse().ok()).map_or(wanted, |n: usize| n.saturating_sub(400) / 3))
}

/// Guards against memory that grows with slow readers, and against usual requests that are refused or
/// delayed for them: the first to stand still are cut, the last one gets its whole answer.
#[rstest]
#[case::streams("/stream/x", 1000, "0\r\n\r\n")]
#[case::plain_answers("/safe/large", 60, "x")]
fn call_slow_readers_others_served(
    #[case] path: &'static str,
    #[case] wanted: usize,
    #[case] end: &'static str,
) {
    let (log, _guard) = LogLines::collect();
    on_one_thread(async move {
        let replicas = [replica().await, replica().await, replica().await, replica().await];
        let replicas: Vec<&FakeServer> = replicas.iter().collect();
        let gateway = Rc::new(TestGateway::open_memory(&replicas, MEMORY).await);
        let limit = MemoryBounds::new(f64::from(MEMORY)).clients.unwrap();
        let (count, start, opening) = (reader_count(wanted), Instant::now(), gateway.clone());
        let opening = tokio::task::spawn_local(async move {
            let mut slow = Vec::new();
            while slow.len() < count {
                // No more than the replicas have slots for, with room for the usual load.
                while opening.seats_taken() > 6 {
                    tokio::time::sleep(at(1)).await;
                }
                slow.push(read_start(opening.address(), path).await);
            }
            slow
        });
        let (mut waits, mut most) = (Vec::new(), 0);
        while !opening.is_finished() {
            let sent = Instant::now();
            let answer = gateway.call("GET", "/safe/x", "").await;
            assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("whole"), "{answer}");
            waits.push(sent.elapsed());
            most = most.max(gateway.held());
        }
        let (took, mut slow) = (start.elapsed(), opening.await.unwrap());
        // One piece and one round of cuts may be on their way.
        assert!(most <= limit + limit / 10, "{most} bytes held");
        waits.sort();
        let median = waits[waits.len() / 2];
        let (usual, longest) = (waits.len(), waits.last());
        println!("{count} slow, {most} held, {usual} usual: {median:?}, {longest:?}, in {took:?}");
        // The latency target of the route.
        assert!(median < at(150), "usual requests took {median:?}");
        assert!(is_whole(slow.pop().unwrap(), end).await, "the last reader was cut");
        if count == wanted {
            assert!(!is_whole(slow.swap_remove(0), end).await, "the first reader was not cut");
            let cuts = log.of(READER_CUT);
            assert!(!cuts.is_empty() && cuts.len() < count, "{} were cut", cuts.len());
            assert!(cuts.iter().all(|c| c["code"] == "P3018" && c["request"] == "r1"));
            assert_eq!(log.of(CLIENT_MEMORY)[0]["short"], true);
        }
    });
}

/// Guards against a replica that cuts its answer since the entry does not read it while its client
/// does not: it is read as long as it sends, up to the bound of the client and the buffers of its
/// connections, and on from there when its client reads again.
#[rstest]
#[case::within_bound(2000)]
#[case::beyond_bound(8000)]
fn call_stream_unread_read_to_bound(#[case] count: u64) {
    on_one_thread(async move {
        let fast = FakeServer::bind(move |request| events(request, count, 400)).await;
        let gateway = TestGateway::open_memory(&[&fast], MEMORY).await;
        let bounds = MemoryBounds::new(f64::from(MEMORY));
        let wanted = bounds.client.unwrap().min(count as usize * 400) - (100 << 10);
        let stream = read_start(gateway.address(), "/stream/x").await;
        let start = Instant::now();
        while gateway.held() < wanted && start.elapsed() < at(2500) {
            tokio::time::sleep(at(10)).await;
        }
        // Time to hold more than the bound.
        tokio::time::sleep(at(200)).await;
        let most = bounds.client.unwrap() + bounds.client_kernel() + bounds.replica_unread();
        assert!((wanted..=most).contains(&gateway.held()), "{} bytes held", gateway.held());
        assert_eq!(gateway.seats_taken() == 0, count == 2000, "done with what fits, not with more");
        assert!(is_whole(stream, "0\r\n\r\n").await);
        assert_eq!(gateway.held(), 0);
    });
}
