//! Admission at the entry: the core behind a mutex, and the requests that wait on it.

use super::request::Ask;
use crate::base::clock::Clock;
use crate::base::code::Code;
use crate::base::name::Name;
use crate::limits::{Admission, AdmissionDecision, AdmissionRefusal, Offer, QueueDecision, codes};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

/// Answer to a waiting request: it runs, or the code of its refusal.
type Answer = Result<(), Code>;

/// When a request that waited in vain may try again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

struct Core {
    admission: Admission,
    waiting: HashMap<u64, oneshot::Sender<Answer>>,
}

/// Admits the requests of one entry.
pub(crate) struct Gate {
    core: Mutex<Core>,
    clock: Clock,
}

/// An admitted request. Dropping it frees its place.
pub(crate) struct Pass {
    gate: Arc<Gate>,
    workspace: Name,
    cost: u32,
    since: Duration,
}

/// A request that waits for its turn. Dropping it gives up the wait, or the place already given.
struct Waiting {
    gate: Arc<Gate>,
    id: u64,
    workspace: Name,
    cost: u32,
    turn: oneshot::Receiver<Answer>,
    settled: bool,
}

impl Gate {
    pub(crate) fn new(capacity: u32, clock: Clock) -> Self {
        let core = Core { admission: Admission::new(capacity), waiting: HashMap::new() };
        Self { core: Mutex::new(core), clock }
    }

    /// Waits until the request may run.
    ///
    /// # Errors
    /// The refusal, after which the request has not run.
    pub(crate) async fn enter(
        self: &Arc<Self>,
        ask: &Ask,
        deadline: Duration,
    ) -> Result<Pass, AdmissionRefusal> {
        let cost = ask.prompt.as_ref().map_or(1, |p| p.tokens + p.output).max(1);
        let offer = offer(ask, cost, deadline);
        let id = offer.id;
        let Some(turn) = self.start(offer)? else {
            return Ok(self.pass(ask, cost));
        };
        let workspace = ask.caller.workspace.clone();
        let mut waiting = Waiting { gate: self.clone(), id, workspace, cost, turn, settled: false };
        let left = deadline.saturating_sub(self.clock.now());
        let late = Err(codes::DEADLINE_PASSED);
        let answer = match tokio::time::timeout(left, &mut waiting.turn).await {
            Ok(answer) => {
                waiting.settled = true;
                answer.unwrap_or(late)
            }
            Err(_) => late,
        };
        answer
            .map(|()| self.pass(ask, cost))
            .map_err(|code| AdmissionRefusal { code, retry_after: RETRY_AFTER })
    }

    /// Requests that run.
    pub(crate) fn running(&self) -> u32 {
        self.lock().admission.running()
    }

    /// Answers the waiting requests whose turn it is or whose time is over.
    pub(crate) fn advance(&self) {
        self.lock().advance(self.clock.now());
    }

    /// Offers the request; gives the channel of its turn if it has to wait.
    fn start(&self, offer: Offer) -> Result<Option<oneshot::Receiver<Answer>>, AdmissionRefusal> {
        let now = self.clock.now();
        let id = offer.id;
        let mut core = self.lock();
        match core.admission.offer(offer, now) {
            AdmissionDecision::Admit => Ok(None),
            AdmissionDecision::Refuse(refused) => Err(refused),
            AdmissionDecision::Queue { displaced } => {
                let (sender, receiver) = oneshot::channel();
                core.waiting.insert(id, sender);
                if let Some(loser) = displaced {
                    core.answer(loser, Err(codes::DISPLACED));
                }
                core.advance(now);
                Ok(Some(receiver))
            }
        }
    }

    fn pass(self: &Arc<Self>, ask: &Ask, cost: u32) -> Pass {
        let workspace = ask.caller.workspace.clone();
        Pass { gate: self.clone(), workspace, cost, since: self.clock.now() }
    }

    fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn offer(ask: &Ask, cost: u32, deadline: Duration) -> Offer {
    Offer {
        id: ask.id,
        workspace: ask.caller.workspace.clone(),
        share: ask.caller.share,
        priority: ask.priority,
        deadline,
        min_runtime: Duration::ZERO,
        cost,
    }
}

impl Core {
    fn advance(&mut self, now: Duration) {
        while let Some(step) = self.admission.next(now) {
            match step {
                QueueDecision::Run(id) => self.answer(id, Ok(())),
                QueueDecision::Expire(id) => self.answer(id, Err(codes::DEADLINE_PASSED)),
            }
        }
    }

    fn answer(&mut self, id: u64, answer: Answer) {
        if let Some(turn) = self.waiting.remove(&id) {
            let _ = turn.send(answer);
        }
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let mut core = self.gate.lock();
        core.admission.release(&self.workspace, self.cost, now.saturating_sub(self.since));
        core.advance(now);
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let now = self.gate.clock.now();
        let mut core = self.gate.lock();
        core.waiting.remove(&self.id);
        if core.admission.withdraw(self.id) {
            return;
        }
        // The turn came while the caller went away.
        if matches!(self.turn.try_recv(), Ok(Ok(()))) {
            core.admission.release(&self.workspace, self.cost, Duration::ZERO);
            core.advance(now);
        }
    }
}
