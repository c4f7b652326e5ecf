//! The only way by which an agent orders its engine.

use super::codes;
use super::constants::{DECISION_LIFE, ORDER_LIFE};
use super::events;
use super::fence::Fence;
use super::order::{Order, Target};
use crate::base::code::Code;
use crate::base::name::Incarnation;
use crate::fleet::Fencing;
use indexmap::IndexMap;
use std::time::Duration;

/// An order with its number, to be sent at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Numbered {
    /// The fencing number.
    pub fence: u64,
    /// The order.
    pub order: Order,
}

/// What an engine said to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It is carried out.
    Done,
    /// The engine has seen a higher number.
    Outdated {
        /// The engine's current number.
        current: u64,
    },
    /// The engine cannot carry it out; nothing changed.
    Failed,
    /// No answer came in time.
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It may order once `from` has passed, and, where the engine checks numbers, once it is known.
    Starting { from: Duration },
    /// It may order.
    Open,
    /// A later agent orders.
    Superseded,
}

/// Decides which orders are sent. One order is in progress at a time.
#[derive(Clone, Debug)]
pub struct Gate {
    fencing: Fencing,
    fence: Fence,
    state: State,
    flight: Option<Numbered>,
    issues: IndexMap<Target, u64>,
    done: IndexMap<Target, Order>,
    #[cfg(test)]
    pub(crate) guarded: bool,
}

impl Gate {
    /// Opens the gate of an agent that holds its slot's address exclusively since `now`.
    ///
    /// An engine that checks numbers is asked for its current one first, see [`Gate::learn`].
    /// Towards an engine that ignores them the gate stays closed until what a predecessor sent
    /// can take effect no longer.
    pub fn open(now: Duration, incarnation: Incarnation, fencing: Fencing) -> Self {
        let from = match fencing {
            Fencing::Checked => Duration::MAX,
            Fencing::Ignored => now + ORDER_LIFE,
        };
        Self {
            fencing,
            fence: Fence::start(incarnation),
            state: State::Starting { from },
            flight: None,
            issues: IndexMap::new(),
            done: IndexMap::new(),
            #[cfg(test)]
            guarded: true,
        }
    }

    /// Takes the current number of an engine that checks numbers.
    pub fn learn(&mut self, current: u64) {
        if matches!(self.state, State::Starting { .. }) && self.fencing == Fencing::Checked {
            self.fence.learn(current);
            self.state = State::Open;
        }
    }

    /// Gives the order its number if it may be sent now. `decided` is when it was decided.
    ///
    /// # Errors
    /// The code that says why it is not sent: it is late, repeated, or not this agent's to send.
    pub fn offer(
        &mut self,
        now: Duration,
        decided: Duration,
        order: Order,
    ) -> Result<Numbered, Code> {
        let result = self.check(now, decided, &order);
        if let Err(code) = result {
            let (target, issue) = (&order.target, order.issue);
            tracing::info!(event = events::ORDER_WITHHELD, ?target, issue, %code, "not sent");
            return Err(code);
        }
        let numbered = Numbered { fence: self.fence.draw(), order };
        let Numbered { fence, order } = &numbered;
        let (target, issue) = (&order.target, order.issue);
        tracing::info!(event = events::ORDER_SENT, ?target, issue, fence, "sent");
        self.issues.insert(order.target.clone(), order.issue);
        self.done.shift_remove(&order.target);
        self.flight = Some(numbered.clone());
        Ok(numbered)
    }

    /// Takes the engine's answer to the order with number `fence`.
    pub fn answer(&mut self, now: Duration, fence: u64, answer: Answer) {
        let Some(flight) = self.flight.take_if(|f| f.fence == fence) else { return };
        let Order { target, issue, .. } = &flight.order;
        match answer {
            Answer::Done => {
                tracing::info!(event = events::ORDER_DONE, ?target, issue, fence, "done");
                self.done.insert(target.clone(), flight.order);
            }
            Answer::Outdated { current } => {
                tracing::warn!(event = events::AGENT_SUPERSEDED, fence, current, "orders no more");
                self.state = State::Superseded;
            }
            Answer::Lost => {
                tracing::warn!(event = events::ORDER_LOST, ?target, issue, fence, "no answer");
                self.wait_out(now);
            }
            Answer::Failed => {}
        }
    }

    /// A lost order may still arrive. An engine that checks numbers refuses it once it has seen a
    /// higher one; towards any other the gate stays closed until the order can arrive no longer.
    fn wait_out(&mut self, now: Duration) {
        if self.fencing == Fencing::Ignored {
            self.state = State::Starting { from: now + ORDER_LIFE };
        }
    }

    fn check(&mut self, now: Duration, decided: Duration, order: &Order) -> Result<(), Code> {
        if self.state == State::Superseded {
            return Err(codes::AGENT_SUPERSEDED);
        }
        if let State::Starting { from } = self.state {
            if now < from && self.is_guarded() {
                return Err(codes::ORDER_EARLY);
            }
            self.state = State::Open;
        }
        if now.saturating_sub(decided) > DECISION_LIFE {
            return Err(codes::ORDER_EXPIRED);
        }
        if self.done.get(&order.target) == Some(order) {
            return Err(codes::ORDER_DONE);
        }
        if self.issues.get(&order.target).is_some_and(|last| order.issue < *last) {
            return Err(codes::ORDER_STALE);
        }
        if self.flight.is_some() {
            return Err(codes::ORDER_BUSY);
        }
        Ok(())
    }

    #[cfg(test)]
    fn is_guarded(&self) -> bool {
        self.guarded
    }

    #[cfg(not(test))]
    fn is_guarded(&self) -> bool {
        true
    }
}
