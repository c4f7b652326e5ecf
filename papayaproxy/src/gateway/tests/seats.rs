//! Seats of requests that wait, leave and end in any order, while upstreams leave, come back and start
//! anew. Each seat counted at an upstream must belong to a request.

use crate::balance::budget::BudgetRule;
use crate::balance::{Balancer, Refusal, SeatRequest, SendOutcome, WarmUpRule};
use crate::base::clock::Clock;
use crate::base::name::Name;
use crate::catalog::directory::UpstreamRecord;
use crate::catalog::tests::at;
use crate::catalog::{ClientLimits, Config, ConfigParts, Directory, Service, UpstreamState};
use crate::gateway::seats::{SeatGuard, Seats};
use crate::limits::CircuitSettings;
use indexmap::IndexMap;
use proptest::prelude::*;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::task::LocalSet;

const UPSTREAMS: u64 = 3;
/// One seat for each slot and one more, since an upstream takes twice its slots.
const SLOTS: u32 = 1;

#[derive(Clone, Debug)]
enum Step {
    /// A request asks for a seat.
    Ask { is_returning: bool },
    /// A waiting request looks whether it has got a seat.
    Look(usize),
    /// A waiting request leaves.
    Leave(usize),
    /// The answer to a request with a seat begins.
    Begin(usize),
    /// A request with a seat ends.
    End(usize, SendOutcome),
    /// Time passes, in ms.
    Wait(u64),
    /// The catalog names these upstreams, in these runs.
    Install([Option<u64>; UPSTREAMS as usize]),
}

fn outcome() -> impl Strategy<Value = SendOutcome> {
    prop_oneof![
        6 => Just(SendOutcome::Good),
        1 => Just(SendOutcome::Failed),
        1 => Just(SendOutcome::Silent),
        1 => Just(SendOutcome::Full),
        1 => Just(SendOutcome::Unreached),
        1 => Just(SendOutcome::Abandoned),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let run = prop_oneof![4 => Just(Some(1u64)), 1 => Just(Some(2u64)), 1 => Just(None)];
    prop_oneof![
        8 => any::<bool>().prop_map(|is_returning| Step::Ask { is_returning }),
        4 => (0..9usize).prop_map(Step::Look),
        4 => (0..9usize).prop_map(Step::Leave),
        1 => (0..9usize).prop_map(Step::Begin),
        5 => (0..9usize, outcome()).prop_map(|(index, outcome)| Step::End(index, outcome)),
        3 => (1..120u64).prop_map(Step::Wait),
        1 => [run.clone(), run.clone(), run].prop_map(Step::Install),
    ]
}

type Asking = Pin<Box<dyn Future<Output = Result<SeatGuard, Refusal>>>>;

/// Requests at the seats of one entry.
struct Requests {
    seats: Rc<Seats>,
    clock: Clock,
    asked: u64,
    asking: Vec<Asking>,
    seated: Vec<SeatGuard>,
}

fn config() -> Config {
    Config::new(ConfigParts {
        version: 1,
        routes: Vec::new(),
        services: IndexMap::from([(
            "plain".into(),
            Service { connections: None, warm_up: None, engine: None },
        )]),
        workspaces: None,
        limits: ClientLimits::default(),
    })
}

fn directory(runs: &[Option<u64>]) -> Directory {
    let mut directory = Directory::default();
    for (index, run) in runs.iter().enumerate() {
        let Some(started_ms) = *run else { continue };
        let record = UpstreamRecord {
            service: "plain".into(),
            address: format!("10.0.0.1:{}", 8000 + index).parse().unwrap(),
            zone: "a".into(),
            slots: SLOTS,
            state: UpstreamState::Ready,
            cold: Duration::ZERO,
            started_ms,
        };
        directory.put(&format!("i-{index}").into(), record, at(1));
    }
    directory
}

impl Requests {
    fn open() -> Self {
        let rule = BudgetRule {
            ratio: 0.2,
            slack: 92.0,
            window: Duration::from_secs(10),
            is_first: false,
        };
        let wait = Duration::from_millis(50);
        let circuit =
            CircuitSettings { bad_ratio: 0.5, bad_streak: 3, first_wait: wait, longest_wait: wait };
        let clock = Clock::start();
        let seats = Seats::spawn(
            Balancer::new("a".into(), rule, circuit, WarmUpRule::default(), Duration::ZERO),
            clock,
        );
        seats.with_balancer(|b| {
            b.install(&config(), &directory(&[Some(1); UPSTREAMS as usize]), Duration::ZERO);
        });
        Self { seats, clock, asked: 0, asking: Vec::new(), seated: Vec::new() }
    }

    fn ask(&mut self, is_returning: bool) {
        self.asked += 1;
        let now = self.clock.now();
        let request = SeatRequest {
            ticket: self.seats.next_ticket(),
            request_id: Name::from("r"),
            service: "plain".into(),
            workspace: Name::default(),
            priority: 0,
            excluded: Vec::new(),
            arrived: now,
            deadline: now + Duration::from_secs(2),
            latency_target: Duration::from_millis(200),
            gap_target: None,
            prompt_tokens: 100,
            is_returning,
            is_on_time: false,
            is_resumed: false,
            is_repeatable: true,
            draw: (self.asked as u32).wrapping_mul(0x9E37_79B9),
        };
        let seats = self.seats.clone();
        self.asking.push(Box::pin(async move { seats.acquire(request).await }));
        self.look(self.asking.len() - 1);
    }

    fn look(&mut self, index: usize) {
        let Some(asking) = self.asking.get_mut(index) else { return };
        if let Poll::Ready(outcome) = asking.as_mut().poll(&mut Context::from_waker(Waker::noop()))
        {
            drop(self.asking.swap_remove(index));
            self.seated.extend(outcome.ok());
        }
    }

    async fn take(&mut self, step: Step) {
        match step {
            Step::Ask { is_returning } => self.ask(is_returning),
            Step::Look(index) => self.look(index),
            Step::Leave(index) if index < self.asking.len() => {
                drop(self.asking.swap_remove(index));
            }
            Step::Begin(index) if index < self.seated.len() => {
                self.seated[index].response_started();
            }
            Step::End(index, outcome) if index < self.seated.len() => {
                self.seated.swap_remove(index).finish(outcome);
            }
            Step::Wait(ms) => tokio::time::advance(Duration::from_millis(ms)).await,
            Step::Install(runs) => {
                self.seats
                    .with_balancer(|b| b.install(&config(), &directory(&runs), Duration::ZERO));
            }
            Step::Leave(_) | Step::Begin(_) | Step::End(..) => {}
        }
        self.check();
    }

    /// Seats of requests, and those that are on their way to one, are the seats counted.
    fn check(&self) {
        let loads = self.seats.with_balancer(|b| b.loads());
        let counted: usize = loads.iter().map(|l| usize::from(l.running)).sum();
        let most = self.seated.len() + self.asking.len();
        assert!(counted <= most, "{counted} seats for {most} requests");
        assert_eq!(self.seats.lost_seats(), 0);
    }

    /// Ends all requests, after which no seat may be counted.
    async fn end(mut self) {
        self.asking.clear();
        self.seated.clear();
        self.check();
        // Upstreams that had left come back, with what was counted at them.
        for run in [1, 2] {
            let runs = [Some(run); UPSTREAMS as usize];
            self.seats.with_balancer(|b| b.install(&config(), &directory(&runs), Duration::ZERO));
            let loads = self.seats.with_balancer(|b| b.loads());
            assert!(loads.is_empty(), "{loads:?} after all requests have ended");
        }
    }
}

fn play(steps: Vec<Step>) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let mut requests = Requests::open();
        for step in steps {
            requests.take(step).await;
        }
        requests.end().await;
    });
}

proptest! {
    /// Clients that left in the moment in which they were granted a seat kept it for good, until the
    /// entry refused what it could serve.
    #[test]
    fn acquire_any_order_seats_given_back(steps in prop::collection::vec(step(), 1..60)) {
        play(steps);
    }
}

/// A seat is granted to a waiting request whose client leaves before the request runs again.
#[test]
fn acquire_client_left_seat_given_back() {
    let most = UPSTREAMS as usize * 2 * SLOTS as usize;
    let (ask, end) = (Step::Ask { is_returning: false }, Step::End(0, SendOutcome::Good));
    // A seat that was freed before lets the last request wait.
    let mut steps = vec![ask.clone(), end.clone()];
    steps.extend(vec![ask; most + 1]);
    steps.extend([end, Step::Leave(0)]);
    play(steps);
}
