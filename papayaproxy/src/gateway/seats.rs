//! The desk of this process, with the requests that wait for its decisions.

use super::constants::SEAT_TICK;
use crate::balance::{Balancer, Refusal, Seat, SeatDecision, SeatRequest, SendOutcome};
use crate::base::clock::Clock;
use indexmap::IndexMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// The desk and who waits at it.
pub(crate) struct Seats {
    desk: RefCell<Balancer>,
    clock: Clock,
    waiters: RefCell<IndexMap<u64, oneshot::Sender<SeatDecision>>>,
    ticket: Cell<u64>,
}

/// A seat that is handed back when dropped.
pub(crate) struct TakenSeat {
    seats: Rc<Seats>,
    seat: Seat,
    end: SendOutcome,
}

/// Forgets a waiting request whose caller left.
struct Waiter {
    seats: Rc<Seats>,
    ticket: u64,
}

impl Seats {
    /// Starts giving out the seats of `desk`.
    pub(crate) fn spawn(desk: Balancer, clock: Clock) -> Rc<Self> {
        let seats = Rc::new(Self {
            desk: RefCell::new(desk),
            clock,
            waiters: RefCell::default(),
            ticket: Cell::new(0),
        });
        let ticking = seats.clone();
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(SEAT_TICK).await;
                ticking.advance();
            }
        });
        seats
    }

    /// Runs `change` on the desk.
    pub(crate) fn with<T>(&self, change: impl FnOnce(&mut Balancer) -> T) -> T {
        change(&mut self.desk.borrow_mut())
    }

    /// A number for the next request.
    pub(crate) fn next_ticket(&self) -> u64 {
        self.ticket.set(self.ticket.get() + 1);
        self.ticket.get()
    }

    /// Waits for a seat.
    ///
    /// # Errors
    /// The refusal.
    pub(crate) async fn take(self: &Rc<Self>, ask: SeatRequest) -> Result<TakenSeat, Refusal> {
        let ticket = ask.ticket;
        let now = self.clock.now();
        let first = self.with(|desk| desk.offer(ask, now));
        let step = match first {
            SeatDecision::Wait => {
                let (sender, receiver) = oneshot::channel();
                self.waiters.borrow_mut().insert(ticket, sender);
                let _waiter = Waiter { seats: self.clone(), ticket };
                receiver.await.ok()
            }
            step => Some(step),
        };
        match step {
            Some(SeatDecision::Grant(seat)) => {
                Ok(TakenSeat { seats: self.clone(), seat, end: SendOutcome::Abandoned })
            }
            Some(SeatDecision::Refuse(refusal)) => Err(refusal),
            // The desk answers each ticket once, with a seat or a refusal.
            Some(SeatDecision::Wait) | None => {
                Err(Refusal { reason: "not decided", retry_after: Duration::from_secs(1) })
            }
        }
    }

    fn advance(&self) {
        if self.waiters.borrow().is_empty() {
            return;
        }
        let now = self.clock.now();
        let steps = self.with(|desk| desk.advance(now));
        for (ticket, step) in steps {
            let waiter = self.waiters.borrow_mut().swap_remove(&ticket);
            let unheard = waiter.map_or(Some(step.clone()), |w| w.send(step).err());
            if let Some(SeatDecision::Grant(seat)) = unheard {
                self.with(|desk| desk.release(&seat, SendOutcome::Abandoned, now));
            }
        }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if self.seats.waiters.borrow_mut().swap_remove(&self.ticket).is_some() {
            self.seats.with(|desk| desk.withdraw(self.ticket));
        }
    }
}

impl TakenSeat {
    /// The seat.
    pub(crate) fn seat(&self) -> &Seat {
        &self.seat
    }

    /// States that the answer has begun.
    pub(crate) fn begun(&mut self) {
        let seats = self.seats.clone();
        let now = seats.clock.now();
        seats.with(|desk| desk.observe_answer(&mut self.seat, now));
    }

    /// States how the request has ended; without it, it counts as abandoned.
    pub(crate) fn ended(mut self, end: SendOutcome) {
        self.end = end;
    }
}

impl Drop for TakenSeat {
    fn drop(&mut self) {
        let now = self.seats.clock.now();
        self.seats.with(|desk| desk.release(&self.seat, self.end, now));
        self.seats.advance();
    }
}
