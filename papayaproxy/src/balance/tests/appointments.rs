//! Refused clients that return when they were told: overload, outages of a group, peers that fail.

use super::patterns::{START, TARGET, balancer, group_status, request};
use crate::balance::SeatDecision;
use crate::balance::appointments::{Appointments, Forecast};
use crate::balance::ask::{Seat, SeatRequest};
use crate::balance::desk::Balancer;
use crate::balance::upstream::SendOutcome;
use crate::peers::PeerLoads;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

const ENTRIES: usize = 8;
const TICK: Duration = Duration::from_millis(10);

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

struct Client {
    first_sent: Duration,
    /// Entry that refused it, and when that told it to return.
    told: Option<(usize, Duration)>,
    /// Whether its return is on time, as the first entry that it reaches decides.
    on_time: Option<bool>,
    /// Whether it got a seat at first, or when it returned.
    seated: Option<bool>,
}

/// Entries, twelve replicas of 12 slots in one group, and clients by their tickets. A request takes
/// 1.85 s, so 78 a second are served.
struct Play {
    entries: Vec<Balancer>,
    rng: StdRng,
    now: Duration,
    running: HashMap<String, u32>,
    /// Next step of each request: time, entry, seat, whether the answer has begun.
    steps: Vec<(Duration, usize, Seat, bool)>,
    clients: Vec<Client>,
    failed: Option<usize>,
    /// Time between two reports of an entry, in milliseconds.
    interval: u128,
}

impl Play {
    fn new(coordinated: bool, interval: u128, seed: u64) -> Self {
        let mut entries: Vec<_> = (0..ENTRIES).map(|_| balancer(&["a", "b", "c"]).0).collect();
        entries.iter_mut().for_each(|e| e.coordinate_retries(coordinated));
        let (rng, now, running) = (StdRng::seed_from_u64(seed), START, HashMap::new());
        Self { entries, rng, now, running, steps: vec![], clients: vec![], failed: None, interval }
    }

    /// Plays `time` with `rate` new requests a second, while the group runs passes or not.
    fn run(&mut self, time: u64, rate: f64, is_open: bool) {
        let end = self.now + ms(time);
        while self.now < end {
            if self.now.as_millis().is_multiple_of(self.interval) {
                self.exchange(is_open);
            }
            for (at, entry, mut seat, begun) in std::mem::take(&mut self.steps) {
                if at > self.now {
                    self.steps.push((at, entry, seat, begun));
                } else if begun {
                    *self.running.get_mut(seat.upstream.as_str()).unwrap() -= 1;
                    self.entries[entry].release(&seat, SendOutcome::Good, self.now);
                } else {
                    self.entries[entry].observe_answer(&mut seat, self.now);
                    self.steps.push((self.now + ms(1700), entry, seat, true));
                }
            }
            for ticket in 0..self.clients.len() {
                let told = self.clients[ticket].told.map(|(_, told)| told);
                if told.is_some_and(|told| told <= self.now && told + TICK > self.now) {
                    self.send(ticket);
                }
            }
            for _ in 0..2 {
                if self.rng.random_bool(rate * TICK.as_secs_f64() / 2.0) {
                    let (told, on_time, seated) = (None, None, None);
                    self.clients.push(Client { first_sent: self.now, told, on_time, seated });
                    self.send(self.clients.len() - 1);
                }
            }
            for entry in (0..ENTRIES).filter(|e| self.failed != Some(*e)).collect::<Vec<_>>() {
                for (ticket, decision) in self.entries[entry].advance(self.now) {
                    self.apply(entry, ticket as usize, decision);
                }
            }
            self.now += TICK;
        }
    }

    /// Passes the load reports, promises and the group's status to all entries.
    fn exchange(&mut self, is_open: bool) {
        for to in 0..ENTRIES {
            let mut loads = PeerLoads::new();
            for from in (0..ENTRIES).filter(|from| *from != to && self.failed != Some(*from)) {
                for load in self.entries[from].loads() {
                    let sum = loads.entry(load.upstream).or_default();
                    (sum.0, sum.1) = (sum.0 + u32::from(load.running), sum.1 + load.tokens);
                }
                let news = self.entries[from].promise_news(self.now);
                let peer = SocketAddr::from(([10, 0, 1, from as u8], 7000));
                self.entries[to].observe_promises(peer, &news, self.now);
            }
            self.entries[to].observe_peers(&loads, ENTRIES, self.now);
            self.entries[to].observe_group(&group_status(is_open, 0..12), self.now);
        }
    }

    /// Sends a client's request to a random entry, for the first time or when it returns.
    fn send(&mut self, ticket: usize) {
        let live: Vec<usize> = (0..ENTRIES).filter(|e| self.failed != Some(*e)).collect();
        let entry = live[self.rng.random_range(0..live.len())];
        let client = &mut self.clients[ticket];
        let mut request = request(ticket as u64, self.now);
        (request.draw, request.is_returning) = (self.rng.random(), client.told.is_some());
        if request.is_returning {
            let elapsed = self.now - client.first_sent;
            let is_on_time = || self.entries[entry].is_on_time("llm", 0, elapsed, TARGET, self.now);
            client.on_time = client.on_time.or_else(is_on_time);
            request.is_on_time = client.on_time == Some(true);
            request.deadline -= elapsed;
        }
        let decision = self.entries[entry].offer(request, self.now);
        self.apply(entry, ticket, decision);
    }

    fn apply(&mut self, entry: usize, ticket: usize, decision: SeatDecision) {
        match decision {
            SeatDecision::Grant(seat) => {
                let running = self.running.entry(seat.upstream.to_string()).or_default();
                if *running < 12 {
                    *running += 1;
                    self.clients[ticket].seated = Some(true);
                    self.steps.push((self.now + ms(150), entry, seat, false));
                } else {
                    self.entries[entry].release(&seat, SendOutcome::Full, self.now);
                    self.send(ticket);
                }
            }
            SeatDecision::Refuse(refusal) if self.clients[ticket].told.is_none() => {
                self.clients[ticket].told = Some((entry, self.now + refusal.retry_after));
            }
            SeatDecision::Refuse(_) => self.clients[ticket].seated = Some(false),
            SeatDecision::Wait => {}
        }
    }

    /// Plays an overload of 3 s, at whose end an entry may fail. Returns the time of its end.
    fn overload(&mut self, rate: f64, failed: Option<usize>) -> Duration {
        self.run(5000, 55.0, true);
        self.run(3000, rate, true);
        let end = self.now;
        self.failed = failed;
        for (_, _, seat, _) in self.steps.extract_if(.., |(_, entry, ..)| Some(*entry) == failed) {
            *self.running.get_mut(seat.upstream.as_str()).unwrap() -= 1;
        }
        self.run(8000, 55.0, true);
        end
    }

    /// Decided clients that were refused once: the client, the entry, when it was told to return.
    fn returned(&self) -> impl Iterator<Item = (&Client, usize, Duration)> {
        let decided = self.clients.iter().filter(|c| c.seated.is_some());
        decided.filter_map(|c| c.told.map(|(by, told)| (c, by, told)))
    }
}

/// Asserts that nine tenths hold of at least `least` cases.
fn assert_most(cases: impl Iterator<Item = bool>, least: usize) {
    let cases: Vec<bool> = cases.collect();
    let good = cases.iter().filter(|good| **good).count();
    assert!(cases.len() >= least && good * 10 >= cases.len() * 9, "{good} of {}", cases.len());
}

/// Twice the capacity for 3 s. Guards against clients that are told to return while there are no
/// seats, against new requests that take the seats of those that return, and against old reports, for
/// which those that wait were held back until their time was over.
#[rstest]
fn overload_returns_seated(
    #[values(1, 2, 3, 4, 5)] seed: u64,
    #[values(130.0, 150.0)] rate: f64,
    #[values(150, 600)] interval: u128,
) {
    let [mut plain, mut play] = [false, true].map(|c| Play::new(c, interval, seed));
    plain.overload(rate, None);
    let end = play.overload(rate, None);
    let later = play.returned().filter(|(.., told)| *told >= end);
    assert_most(later.map(|(c, ..)| c.seated == Some(true)), 100);
    let refused_twice = |p: &Play| p.returned().filter(|(c, ..)| c.seated == Some(false)).count();
    let (now, before) = (refused_twice(&play), refused_twice(&plain));
    assert!(now * 2 <= before, "{now} refused twice, {before} uncoordinated");
}

/// An entry fails as the overload ends. Its clients return to others, which know its promises, but
/// for those of the last moments. One entry has few clients, so several runs count together.
#[test]
fn failed_peer_returns_on_time() {
    let mut cases = Vec::new();
    for seed in 1..=8 {
        let mut play = Play::new(true, 150, seed);
        let end = play.overload(150.0, Some(0));
        let known = play
            .returned()
            .filter(|(c, by, told)| *by == 0 && c.first_sent + ms(400) < end && *told > end + TICK);
        cases.extend(known.map(|(c, ..)| (c.on_time, c.seated) == (Some(true), Some(true))));
    }
    assert_most(cases.into_iter(), 60);
}

/// The group stops as long as twice before. Guards against clients that are told to return before it
/// runs again, or long after.
#[rstest]
fn outage_returns_soon_after(#[values(1, 2, 3)] seed: u64) {
    let mut play = Play::new(true, 150, seed);
    let mut began = play.now;
    for _ in 0..3 {
        play.run(4000, 45.0, true);
        began = play.now;
        play.run(1800, 45.0, false);
    }
    let open_at = play.now;
    play.run(6000, 45.0, true);
    let refused = || play.returned().filter(|(c, ..)| (began..open_at).contains(&c.first_sent));
    assert_most(refused().map(|(c, _, told)| told >= open_at && c.seated == Some(true)), 40);
    let soon = refused().filter(|(.., told)| *told < open_at + ms(1500)).count();
    assert!(soon * 2 >= refused().count(), "{soon} told a time soon after the outage");
}

/// A client comes back earlier than told, or more come than were told: neither is on time.
#[rstest]
#[case::as_told(0, 0, true)]
#[case::within_tolerance(250, 250, true)]
#[case::early(800, 800, false)]
#[case::another_refusal(0, 600, false)]
fn is_on_time_early_not(#[case] early: u64, #[case] shorter: u64, #[case] expected: bool) {
    let mut appointments = Appointments::default();
    let (window, peers) = ((ms(1500), ms(2500)), (7, Duration::ZERO));
    let forecast = Forecast { rate: 100.0, free: 0.0 };
    let after = appointments.book(START, 0, window, forecast, peers).retry_after;
    let (now, elapsed) = (START + after - ms(early), after - ms(shorter));
    let mut is_on_time = |priority| appointments.is_on_time(now, priority, elapsed, ms(200));
    assert!(!is_on_time(1), "promised to another priority");
    assert_eq!(is_on_time(0), expected);
    assert!(!is_on_time(0), "one was promised");
}

/// The group runs again: returning requests that keep to their time get the first seats, and new
/// ones go before those that come early.
#[test]
fn advance_on_time_first() {
    let mut entry = balancer(&["a"]).0;
    entry.observe_group(&group_status(false, 0..4), START);
    for (ticket, is_returning, is_on_time) in [(1, true, false), (2, false, false), (3, true, true)]
    {
        let waiting = SeatRequest { is_returning, is_on_time, ..request(ticket, START) };
        assert!(matches!(entry.queue(waiting, START), SeatDecision::Wait));
    }
    entry.observe_group(&group_status(true, 0..4), START);
    let order: Vec<u64> = entry.advance(START).iter().map(|(ticket, _)| *ticket).collect();
    assert_eq!(order, [3, 2, 1]);
}
