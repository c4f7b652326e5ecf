//! Requests with a part of a prompt that ends each replica that begins to answer them.

use super::stand_ins::{Action, FakeServer, ReceivedRequest, TestGateway, on_one_thread};
use super::streams::{EVENTS, event_ids, head, unframed_head, whole_answer};
use crate::base::name::Incarnation;
use crate::peers::message::{Heartbeat, Message, send};
use crate::quarantine::constants::NEWS_TIME;
use rstest::rstest;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::LocalSet;

/// How long a replica is down after it has ended.
const DOWN_TIME: Duration = Duration::from_millis(200);

fn has_deadly_part(request: &ReceivedRequest) -> bool {
    request.header("x-prompt-prefix").is_some_and(|parts| parts.contains("dead:"))
}

/// A replica that ends as it begins to answer a request with the deadly part, and answers others.
async fn mortal_replica(head: fn(&ReceivedRequest) -> String) -> FakeServer {
    FakeServer::bind(move |request| {
        if has_deadly_part(request) {
            return vec![Action::Send(head(request)), Action::Crash(DOWN_TIME)];
        }
        whole_answer(request)
    })
    .await
}

async fn call(gateway: &TestGateway, parts: &str) -> String {
    gateway.call("POST", "/stream/x", &format!("X-Prompt-Prefix: {parts}\r\n")).await
}

/// Guards against requests of one kind that crash replica after replica: at most three with the
/// part may reach replicas after the fifth crash. Requests that share their other parts are served.
#[rstest]
#[case::chunked(head)]
#[case::unframed(unframed_head)]
fn call_deadly_part_contained(#[case] head: fn(&ReceivedRequest) -> String) {
    on_one_thread(async {
        let mut replicas = Vec::new();
        for _ in 0..4 {
            replicas.push(mortal_replica(head).await);
        }
        let gateway = TestGateway::open(&replicas.iter().collect::<Vec<_>>()).await;
        for number in 0..12 {
            let answer = call(&gateway, &format!("5a7e:40,{number:x}:674")).await;
            assert_eq!(event_ids(&answer).len() as u64, EVENTS, "{answer}");
        }
        let crashes = || replicas.iter().map(|r| r.crashes.get()).sum::<u32>();
        let mut after_fifth = 0;
        for number in 0..14 {
            let before = crashes();
            call(&gateway, &format!("5a7e:40,dead:90,d{number:x}:674")).await;
            tokio::time::sleep(DOWN_TIME * 2).await;
            after_fifth += if before >= 5 { crashes() - before } else { 0 };
        }
        assert!(after_fifth <= 3, "{after_fifth} more after the fifth crash");
        for number in 0..4 {
            let answer = call(&gateway, &format!("5a7e:40,{number:x}:674")).await;
            assert_eq!(event_ids(&answer).len() as u64, EVENTS, "{answer}");
        }
    });
}

/// Guards against an entry that starts anew while requests of one kind crash replicas: it must
/// learn from the others what they have blocked.
#[test]
fn call_deadly_part_known_after_restart() {
    on_one_thread(async {
        let (one, two) = (mortal_replica(head).await, mortal_replica(head).await);
        let replicas = [&one, &two];
        let (first_peer, second_peer) = (own_address(101), own_address(102));
        let first = TestGateway::open_peers(&replicas, &first_peer, &second_peer).await;
        let process = LocalSet::new();
        process
            .run_until(async {
                let _second = TestGateway::open_peers(&replicas, &second_peer, &first_peer).await;
                for number in 0..3 {
                    call(&first, &format!("5a7e:40,dead:90,d{number:x}:674")).await;
                    tokio::time::sleep(DOWN_TIME * 2).await;
                }
                // Peers repeat their news for a while; the second process ends after it.
                tokio::time::sleep(NEWS_TIME).await;
            })
            .await;
        drop(process);
        assert!(call(&first, "5a7e:40,dead:90,e1:674").await.contains("P3015"));
        let started = TestGateway::open_peers(&replicas, &second_peer, &first_peer).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        let answer = call(&started, "5a7e:40,dead:90,e2:674").await;
        assert!(answer.contains("P3015"), "{answer}");
    });
}

/// Loopback address `number` of this process, whose ports nobody else uses.
fn own_address(number: u8) -> String {
    let [.., high, low] = std::process::id().to_be_bytes();
    format!("127.{high}.{low}.{number}:7840")
}

/// Guards against an entry that missed what it was told after its start: it is told again.
#[test]
fn call_deadly_part_told_again() {
    on_one_thread(async {
        let (one, two) = (mortal_replica(head).await, mortal_replica(head).await);
        let peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let own = own_address(103);
        let seeds = peer.local_addr().unwrap().to_string();
        let gateway = TestGateway::open_peers(&[&one, &two], &own, &seeds).await;
        for number in 0..3 {
            call(&gateway, &format!("5a7e:40,dead:90,d{number:x}:674")).await;
            tokio::time::sleep(DOWN_TIME * 2).await;
        }
        tokio::time::sleep(NEWS_TIME).await;
        let mut told = 0;
        for sequence in 1..20 {
            let heartbeat = Heartbeat {
                zone: "b".into(),
                incarnation: Incarnation(1),
                sequence,
                version: 7,
                known_peers: Vec::new(),
                loads: Vec::new(),
                demand: Vec::new(),
            };
            send(&peer, &Message::Heartbeat(heartbeat), &[own.parse().unwrap()]).await;
            tokio::time::sleep(Duration::from_millis(150)).await;
            let mut bytes = [0; 8192];
            while let Ok((length, _)) = peer.try_recv_from(&mut bytes) {
                let message = postcard::from_bytes(&bytes[..length]).unwrap();
                told += u32::from(sequence > 1 && matches!(message, Message::Parts(_)));
            }
        }
        assert!(told >= 2, "told {told} times after the greeting");
    });
}
