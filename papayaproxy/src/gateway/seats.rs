//! The balancer of this process, and the requests that wait for its decisions. A seat is owned by a
//! guard from the moment it is granted, so that one that nobody receives is given back.

use super::constants::SEAT_INTERVAL;
use crate::balance::{Balancer, Refusal, Seat, SeatDecision, SeatRequest, SendOutcome};
use crate::base::clock::Clock;
use crate::base::supervise::restart_on_panic;
use indexmap::IndexMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// What a request gets: a seat, or the reason why there is none.
type Outcome = Result<SeatGuard, Refusal>;

/// The balancer and the channels of waiting requests.
pub(crate) struct Seats {
    balancer: RefCell<Balancer>,
    clock: Clock,
    waiters: RefCell<IndexMap<u64, oneshot::Sender<Outcome>>>,
    ticket: Cell<u64>,
    /// Number of live guards.
    held: Cell<u64>,
}

/// Guard that releases its seat when dropped.
pub(crate) struct SeatGuard {
    seats: Rc<Seats>,
    seat: Seat,
    outcome: SendOutcome,
}

/// Guard that withdraws a waiting request when its caller leaves.
struct WaitGuard {
    seats: Rc<Seats>,
    ticket: u64,
}

impl Seats {
    /// Starts to assign the seats of `balancer`.
    pub(crate) fn spawn(balancer: Balancer, clock: Clock) -> Rc<Self> {
        let seats = Rc::new(Self {
            balancer: RefCell::new(balancer),
            clock,
            waiters: RefCell::default(),
            ticket: Cell::new(0),
            held: Cell::new(0),
        });
        let updater = seats.clone();
        let run = move || updater.clone().run();
        tokio::task::spawn_local(restart_on_panic("waiting requests", run));
        seats
    }

    async fn run(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SEAT_INTERVAL).await;
            self.advance();
        }
    }

    /// Runs `change` on the balancer.
    pub(crate) fn with_balancer<T>(&self, change: impl FnOnce(&mut Balancer) -> T) -> T {
        change(&mut self.balancer.borrow_mut())
    }

    pub(crate) fn next_ticket(&self) -> u64 {
        self.ticket.set(self.ticket.get() + 1);
        self.ticket.get()
    }

    /// Seats counted at upstreams beyond those that some request holds; 0 unless seats are lost.
    pub(crate) fn lost_seats(&self) -> i64 {
        let counted = self.with_balancer(|balancer| balancer.seats_counted());
        counted as i64 - self.held.get() as i64
    }

    /// Waits for a seat.
    ///
    /// # Errors
    /// The balancer refuses the request.
    pub(crate) async fn acquire(self: &Rc<Self>, request: SeatRequest) -> Outcome {
        let ticket = request.ticket;
        let now = self.clock.now();
        let first = self.with_balancer(|balancer| balancer.offer(request, now));
        if let Some(outcome) = self.outcome(first) {
            return outcome;
        }
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, sender);
        let _waiter = WaitGuard { seats: self.clone(), ticket };
        // Not expected: the balancer decides each ticket once, with a seat or a refusal.
        let undecided = Refusal { reason: "not decided", retry_after: Duration::from_secs(1) };
        receiver.await.unwrap_or(Err(undecided))
    }

    /// The outcome of a final decision; `None` while the request waits.
    fn outcome(self: &Rc<Self>, decision: SeatDecision) -> Option<Outcome> {
        match decision {
            SeatDecision::Grant(seat) => {
                self.held.set(self.held.get() + 1);
                let outcome = SendOutcome::Abandoned;
                Some(Ok(SeatGuard { seats: self.clone(), seat, outcome }))
            }
            SeatDecision::Refuse(refusal) => Some(Err(refusal)),
            SeatDecision::Wait => None,
        }
    }

    fn advance(self: &Rc<Self>) {
        if self.waiters.borrow().is_empty() {
            return;
        }
        let now = self.clock.now();
        let decisions = self.with_balancer(|balancer| balancer.advance(now));
        for (ticket, decision) in decisions {
            let Some(outcome) = self.outcome(decision) else { continue };
            let waiter = self.waiters.borrow_mut().swap_remove(&ticket);
            // A seat that cannot be delivered is released with its guard.
            match waiter {
                Some(waiter) => drop(waiter.send(outcome)),
                None => drop(outcome),
            }
        }
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        if self.seats.waiters.borrow_mut().swap_remove(&self.ticket).is_some() {
            self.seats.with_balancer(|balancer| balancer.withdraw(self.ticket));
        }
    }
}

impl SeatGuard {
    pub(crate) fn seat(&self) -> &Seat {
        &self.seat
    }

    /// Records that the response has started.
    pub(crate) fn response_started(&mut self) {
        let seats = self.seats.clone();
        let now = seats.clock.now();
        seats.with_balancer(|balancer| balancer.observe_answer(&mut self.seat, now));
    }

    /// Releases the seat with the outcome of the attempt. A guard dropped without it counts as
    /// abandoned.
    pub(crate) fn finish(mut self, outcome: SendOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for SeatGuard {
    fn drop(&mut self) {
        let now = self.seats.clock.now();
        self.seats.held.set(self.seats.held.get() - 1);
        self.seats.with_balancer(|balancer| balancer.release(&self.seat, self.outcome, now));
        self.seats.advance();
    }
}
