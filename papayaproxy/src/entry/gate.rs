//! Admission control of an entry: runs the admission core behind a mutex and queues requests.

use super::request::CheckedRequest;
use crate::base::clock::Clock;
use crate::base::code::Code;
use crate::base::name::Name;
use crate::limits::{Admission, AdmissionDecision, AdmissionRefusal, Offer, QueueDecision, codes};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

/// Result for a queued request: it may run, or the code of its refusal.
type QueueResult = Result<(), Code>;

/// Retry hint for a request that was refused after it had been queued.
const RETRY_AFTER: Duration = Duration::from_secs(1);

struct GateState {
    admission: Admission,
    waiting: HashMap<u64, oneshot::Sender<QueueResult>>,
}

/// Admission control for the requests of one entry.
pub(crate) struct Gate {
    state: Mutex<GateState>,
    clock: Clock,
}

/// Permit of an admitted request. Dropping it frees the capacity.
pub(crate) struct Permit {
    gate: Arc<Gate>,
    workspace: Name,
    cost: u32,
    admitted_at: Duration,
}

/// A request in the queue. Dropping it withdraws the request, or frees the capacity if it has been
/// admitted meanwhile.
struct QueuedRequest {
    gate: Arc<Gate>,
    id: u64,
    workspace: Name,
    cost: u32,
    result: oneshot::Receiver<QueueResult>,
    is_answered: bool,
}

impl Gate {
    pub(crate) fn new(capacity: u32, clock: Clock) -> Self {
        let state = GateState { admission: Admission::new(capacity), waiting: HashMap::new() };
        Self { state: Mutex::new(state), clock }
    }

    /// Waits until the request may run.
    ///
    /// # Errors
    /// The refusal; the request has not run.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        request: &CheckedRequest,
        deadline: Duration,
    ) -> Result<Permit, AdmissionRefusal> {
        let cost = request.prompt.as_ref().map_or(1, |p| p.tokens + p.output_tokens).max(1);
        let offer = offer(request, cost, deadline);
        let id = offer.id;
        let Some(result) = self.submit(offer)? else {
            return Ok(self.permit(request, cost));
        };
        let workspace = request.caller.workspace.clone();
        let mut queued =
            QueuedRequest { gate: self.clone(), id, workspace, cost, result, is_answered: false };
        let left = deadline.saturating_sub(self.clock.now());
        let expired = Err(codes::DEADLINE_PASSED);
        let answer = match tokio::time::timeout(left, &mut queued.result).await {
            Ok(answer) => {
                queued.is_answered = true;
                answer.unwrap_or(expired)
            }
            Err(_) => expired,
        };
        answer
            .map(|()| self.permit(request, cost))
            .map_err(|code| AdmissionRefusal { code, retry_after: RETRY_AFTER })
    }

    /// Number of running requests.
    pub(crate) fn running(&self) -> u32 {
        self.lock().admission.running()
    }

    /// Admits queued requests as capacity allows and refuses those whose deadline has passed.
    pub(crate) fn advance(&self) {
        self.lock().advance(self.clock.now());
    }

    /// Offers the request for admission. Returns a channel for its result if it is queued, `None` if
    /// it is admitted at once.
    fn submit(
        &self,
        offer: Offer,
    ) -> Result<Option<oneshot::Receiver<QueueResult>>, AdmissionRefusal> {
        let now = self.clock.now();
        let id = offer.id;
        let mut state = self.lock();
        match state.admission.offer(offer, now) {
            AdmissionDecision::Admit => Ok(None),
            AdmissionDecision::Refuse(refused) => Err(refused),
            AdmissionDecision::Queue { displaced } => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.insert(id, sender);
                if let Some(displaced) = displaced {
                    state.answer(displaced, Err(codes::DISPLACED));
                }
                state.advance(now);
                Ok(Some(receiver))
            }
        }
    }

    fn permit(self: &Arc<Self>, request: &CheckedRequest, cost: u32) -> Permit {
        let workspace = request.caller.workspace.clone();
        Permit { gate: self.clone(), workspace, cost, admitted_at: self.clock.now() }
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn offer(request: &CheckedRequest, cost: u32, deadline: Duration) -> Offer {
    Offer {
        id: request.id,
        workspace: request.caller.workspace.clone(),
        share: request.caller.share,
        priority: request.priority,
        deadline,
        min_runtime: Duration::ZERO,
        cost,
    }
}

impl GateState {
    fn advance(&mut self, now: Duration) {
        while let Some(decision) = self.admission.next(now) {
            match decision {
                QueueDecision::Run(id) => self.answer(id, Ok(())),
                QueueDecision::Expire(id) => self.answer(id, Err(codes::DEADLINE_PASSED)),
            }
        }
    }

    fn answer(&mut self, id: u64, answer: QueueResult) {
        if let Some(sender) = self.waiting.remove(&id) {
            let _ = sender.send(answer);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let mut state = self.gate.lock();
        state.admission.release(&self.workspace, self.cost, now.saturating_sub(self.admitted_at));
        state.advance(now);
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let now = self.gate.clock.now();
        let mut state = self.gate.lock();
        state.waiting.remove(&self.id);
        if state.admission.withdraw(self.id) {
            return;
        }
        // The request was admitted while its caller disconnected.
        if matches!(self.result.try_recv(), Ok(Ok(()))) {
            state.admission.release(&self.workspace, self.cost, Duration::ZERO);
            state.advance(now);
        }
    }
}
