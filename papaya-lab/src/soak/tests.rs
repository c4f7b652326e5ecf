//! Tests of plan and checks.

use super::budget::Repeats;
use super::checks::View;
use super::link::{Link, LinkManner};
use super::plan::{LINK_NAMES, NAMES, plan, plan_links};
use super::record::{Act, Arrival, End, Fate, Kind, Request, Seen, Service};
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

fn names() -> Vec<String> {
    NAMES.iter().map(ToString::to_string).collect()
}

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn request(kind: Kind, sent: u64, ended: u64, end: End) -> Request {
    Request {
        kind,
        entry: 0,
        key: super::fleet::STEADY_KEY.to_owned(),
        sent: ms(sent),
        deadline: ms(if kind == Kind::Stream { 8000 } else { 2500 }),
        is_kept: true,
        ended: ms(ended),
        end,
        status: (end == End::Answered).then_some(200),
        events: 0,
    }
}

fn arrival(id: &str, kind: Kind, at: u64, ended: u64, fate: Fate) -> Arrival {
    Arrival {
        id: id.to_owned(),
        replica: format!("i-{at}"),
        service: kind.service(),
        at: ms(at),
        ended: Some(ms(ended)),
        limit: Some(ms(2500)),
        tenant: Some("growers".to_owned()),
        fate,
    }
}

/// A stream from 20.5 s to 23 s at an entry that got SIGTERM at 20 s.
fn cut_stream() -> Seen {
    let mut seen = Seen::default();
    seen.acts.push((ms(0), Act::Started(0)));
    seen.acts.push((ms(20_000), Act::Terminated(0)));
    seen.requests.insert("a".to_owned(), request(Kind::Stream, 20_500, 23_000, End::Closed));
    seen.arrivals.push(arrival("a", Kind::Stream, 20_510, 23_000, Fate::Dropped));
    seen
}

// Guards against a seed that can't be played again.
#[test]
fn plan_same_seed_same_faults() {
    let time = Duration::from_secs(120);
    assert_eq!(plan(7, time, 8, &names()), plan(7, time, 8, &names()));
    assert_ne!(plan(7, time, 8, &names()), plan(8, time, 8, &names()));
}

// Guards against link faults of a seed that can't be played again, and that change its other faults.
#[test]
fn plan_links_same_seed_same_faults() {
    let (time, links) = (Duration::from_secs(120), LINK_NAMES.map(str::to_owned));
    assert_eq!(plan_links(7, time, 8, &links), plan_links(7, time, 8, &links));
    assert_ne!(plan_links(7, time, 8, &links), plan_links(8, time, 8, &links));
}

// Guards against a link that lets bytes through while it holds them, or loses them as it heals.
#[tokio::test]
async fn link_held_request_arrives_after_heal() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let link = Link::open(address, CancellationToken::new()).await.expect("a link");
    link.manner.send_replace(LinkManner::HoldsRequests);
    let mut caller = TcpStream::connect(link.address).await.expect("a connection");
    caller.write_all(b"held").await.expect("written");
    let (mut replica, _) = listener.accept().await.expect("accepted");
    let mut data = [0; 4];
    // The caller gives up meanwhile; what it sent is on its way.
    socket2::SockRef::from(&caller).set_linger(Some(Duration::ZERO)).expect("set");
    drop(caller);
    assert!(timeout(ms(200), replica.read_exact(&mut data)).await.is_err());
    link.manner.send_replace(LinkManner::Fine);
    timeout(ms(5000), replica.read_exact(&mut data)).await.expect("in time").expect("whole");
    assert_eq!(&data, b"held");
    let end = timeout(ms(5000), replica.read(&mut data)).await.expect("in time");
    assert!(end.is_err() || end.is_ok_and(|n| n == 0));
}

// Guards against a link that loses bytes and passes on the later ones, which no network does.
#[tokio::test]
async fn link_dropped_bytes_reset_at_heal() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let link = Link::open(address, CancellationToken::new()).await.expect("a link");
    link.manner.send_replace(LinkManner::Drops);
    let mut caller = TcpStream::connect(link.address).await.expect("a connection");
    caller.write_all(b"lost").await.expect("written");
    let (mut replica, _) = listener.accept().await.expect("accepted");
    let mut data = [0; 4];
    assert!(timeout(ms(200), replica.read(&mut data)).await.is_err());
    link.manner.send_replace(LinkManner::Fine);
    timeout(ms(5000), replica.read(&mut data)).await.expect("in time").expect_err("reset");
    timeout(ms(5000), caller.read(&mut data)).await.expect("in time").expect_err("reset");
}

// Guards against a cut around SIGTERM that isn't noticed.
#[test]
fn lost_stream_cut_by_stopping_entry() {
    let seen = cut_stream();
    assert_eq!(View::new(&seen, 1).lost().0.len(), 1);
}

// Guards against findings that the rule excepts: the replica broke off, or the machine was killed.
#[test]
fn lost_excepted_cuts_hold() {
    let mut broken = cut_stream();
    broken.arrivals[0].fate = Fate::BrokeOff;
    assert!(View::new(&broken, 1).lost().0.is_empty());
    let mut killed = cut_stream();
    killed.acts.push((ms(22_000), Act::Killed(0)));
    let (breaches, excused) = View::new(&killed, 1).lost();
    assert!(breaches.is_empty());
    assert_eq!(excused, 1);
    let mut last = cut_stream();
    last.requests[0].ended = ms(27_000);
    last.arrivals[0].ended = Some(ms(27_000));
    assert!(View::new(&last, 1).lost().0.is_empty());
}

// Guards against a break-off of the serving replica that is missed because a second run began later
// and ended earlier, and against one that hides a cut of the replica that took over.
#[test]
fn lost_run_that_ended_last_decides() {
    let mut seen = cut_stream();
    seen.arrivals[0].fate = Fate::BrokeOff;
    seen.arrivals.push(arrival("a", Kind::Stream, 22_000, 22_500, Fate::Dropped));
    assert!(View::new(&seen, 1).lost().0.is_empty());
    seen.arrivals[0].ended = Some(ms(22_100));
    seen.arrivals[1].ended = Some(ms(23_000));
    assert_eq!(View::new(&seen, 1).lost().0.len(), 1);
}

// Guards against an exception that is applied to requests sent later than 3 s after SIGTERM.
#[test]
fn lost_late_request_in_last_sixth() {
    let mut seen = cut_stream();
    seen.requests[0].sent = ms(23_100);
    seen.requests[0].ended = ms(27_900);
    seen.arrivals[0].ended = Some(ms(27_900));
    assert_eq!(View::new(&seen, 1).lost().0.len(), 1);
}

// Guards against a harmed link that excuses the cuts of requests that used other links.
#[test]
fn lost_beside_harmed_link_excused() {
    for (entry, replica, found) in [(0, "i-20510", 0), (1, "i-20510", 1), (0, "i-1", 1)] {
        let mut seen = cut_stream();
        let pairs = vec![(entry, replica.to_owned())];
        seen.acts.push((ms(21_000), Act::LinkFault(0, pairs, String::new())));
        seen.acts.push((ms(22_000), Act::LinkFine(0)));
        assert_eq!(View::new(&seen, 2).lost().0.len(), found, "{entry} {replica}");
    }
}

// Guards against a reset of unread data, which crosses the close, that counts as lost.
#[test]
fn lost_unread_request_holds() {
    let mut seen = cut_stream();
    seen.arrivals.clear();
    seen.requests[0].end = End::Reset;
    assert!(View::new(&seen, 1).lost().0.is_empty());
}

// Guards against repeats or untrue refusals of bookings that aren't noticed.
#[test]
fn twice_and_refused_bookings() {
    let mut seen = Seen::default();
    let mut told = request(Kind::Book, 1000, 1200, End::Answered);
    told.status = Some(503);
    seen.requests.insert("a".to_owned(), told);
    seen.arrivals.push(arrival("a", Kind::Book, 1010, 1050, Fate::Refused(503)));
    seen.arrivals.push(arrival("a", Kind::Book, 1060, 1100, Fate::BrokeOff));
    assert!(View::new(&seen, 1).ran_twice().is_empty());
    assert_eq!(View::new(&seen, 1).refused().len(), 1);
    seen.arrivals.push(arrival("a", Kind::Book, 1110, 1200, Fate::Answered(200)));
    assert_eq!(View::new(&seen, 1).ran_twice().len(), 1);
}

// Guards against repeats that are spread over two windows side by side and fill one between them.
#[test]
fn budget_window_slides() {
    let mut seen = Seen::default();
    for i in 0..20_u64 {
        let (id, at) = (format!("r{i}"), 15_000 + i * 400);
        seen.requests.insert(id.clone(), request(Kind::Look, at, at + 50, End::Answered));
        seen.arrivals.push(arrival(&id, Kind::Look, at, at + 10, Fate::Refused(503)));
        seen.arrivals.push(arrival(&id, Kind::Look, at + 20, at + 50, Fate::Answered(200)));
    }
    let view = View::new(&seen, 1);
    let repeats = Repeats::new(&view, Service::Ledger);
    // 20 repeats lie within 7.62 s. The window that begins with the first one holds 19 requests, and
    // a fifth of them beside a slack of 16 allows 19.8.
    assert_eq!(repeats.worst(16).repeats, 20);
    assert!(repeats.breach(&view, 16).is_some());
    assert!(repeats.breach(&view, 17).is_none());
}
