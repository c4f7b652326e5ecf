//! Key registry: the agent's idempotency keys and the runs in progress under them.

use super::codes;
use crate::base::clock::Clock;
use crate::base::code::Code;
use crate::base::name::Name;
use crate::delivery::codes as delivery;
use crate::delivery::{BeginDecision, Claim, KeyTable, Lookup, RunOutcome, Token};
use crate::wire::{CallHead, Secrets};
use indexmap::IndexMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Receives the result of a run; `None` while it is in progress.
pub(crate) type OutcomeReceiver = watch::Receiver<Option<RunOutcome>>;

struct KeyState {
    core: KeyTable,
    running: IndexMap<Token, OutcomeReceiver>,
}

/// Key state shared by the calls of an agent. Its mutex is held only for a few map operations.
pub(crate) struct KeyRegistry {
    keys: Mutex<KeyState>,
    clock: Clock,
    secrets: Secrets,
}

/// How a call with a key proceeds.
pub(crate) enum KeyedCall {
    /// It starts now.
    Run(KeyedRun),
    /// An earlier call with the key is still running.
    Wait(OutcomeReceiver),
    /// An earlier call with the key has ended with this outcome.
    Ended(RunOutcome),
}

/// A run in progress. If it is dropped before [`KeyedRun::finish`], its outcome is recorded as
/// unknown.
pub(crate) struct KeyedRun {
    registry: Arc<KeyRegistry>,
    token: Token,
    end: watch::Sender<Option<RunOutcome>>,
    ended: bool,
}

impl KeyRegistry {
    pub(crate) fn new(core: KeyTable, clock: Clock, secrets: Secrets) -> Self {
        let keys = KeyState { core, running: IndexMap::new() };
        Self { keys: Mutex::new(keys), clock, secrets }
    }

    /// Issues `count` keys for the workspace and service of `head`, in encoded form.
    pub(crate) fn issue(&self, count: u32, head: &CallHead) -> Result<Vec<String>, Code> {
        let now = self.clock.now();
        let tokens = self.lock().core.issue(count, &head.workspace, &head.service, now)?;
        Ok(tokens.iter().map(|t| t.encode(&self.secrets)).collect())
    }

    /// Returns the state of the key of `head`.
    pub(crate) fn lookup(&self, head: &CallHead) -> Result<Lookup, Code> {
        let token = self.token(head)?;
        Ok(self.lock().core.lookup(&token, &head.workspace, self.clock.now()))
    }

    /// Revokes the key of `head` unless it has been started.
    pub(crate) fn revoke(&self, head: &CallHead) -> Result<Lookup, Code> {
        let token = self.token(head)?;
        Ok(self.lock().core.revoke(&token, &head.workspace, self.clock.now()))
    }

    /// Decides how a call under a key proceeds. With `refusal` no key may be issued or started, and
    /// the call of an unused key fails with that code.
    pub(crate) fn begin(
        self: &Arc<Self>,
        head: &CallHead,
        claim: Claim,
        refusal: Option<Code>,
    ) -> Result<KeyedCall, Code> {
        let token = self.token(head)?;
        let mut keys = self.lock();
        match refusal {
            Some(code) => keys.core.close(code),
            None => keys.core.reopen(),
        }
        match keys.core.begin(&token, &claim, self.clock.now()) {
            BeginDecision::Replay(reply) => Ok(KeyedCall::Ended(RunOutcome::Completed(reply))),
            BeginDecision::Refused(code) => Err(code),
            BeginDecision::Wait => {
                let end = keys.running.get(&token).cloned();
                end.map(KeyedCall::Wait).ok_or(delivery::KEY_RUNNING)
            }
            BeginDecision::Run => {
                let (end, receiver) = watch::channel(None);
                keys.running.insert(token.clone(), receiver);
                Ok(KeyedCall::Run(KeyedRun { registry: self.clone(), token, end, ended: false }))
            }
        }
    }

    /// Current time on the clock that key lifetimes and deadlines refer to.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    fn token(&self, head: &CallHead) -> Result<Token, Code> {
        let text = head.key.as_deref().ok_or(codes::CALL_MALFORMED)?;
        Token::parse(text, &self.secrets)
    }

    fn lock(&self) -> MutexGuard<'_, KeyState> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl KeyedRun {
    /// Records the result of the run and passes it to the waiting calls.
    pub(crate) fn finish(mut self, outcome: RunOutcome) {
        self.record(outcome);
    }

    /// Returns a receiver for the result of the run.
    pub(crate) fn subscribe(&self) -> OutcomeReceiver {
        self.end.subscribe()
    }

    fn record(&mut self, outcome: RunOutcome) {
        self.ended = true;
        let mut keys = self.registry.lock();
        keys.running.swap_remove(&self.token);
        keys.core.finish(&self.token, outcome.clone(), self.registry.clock.now());
        drop(keys);
        self.end.send_replace(Some(outcome));
    }
}

impl Drop for KeyedRun {
    fn drop(&mut self) {
        if !self.ended {
            self.record(RunOutcome::Unknown(delivery::RUN_ABANDONED));
        }
    }
}

/// Builds the claim that a call makes on its key; the request counts as the same if method, path
/// and body are equal.
pub(crate) fn claim(head: &CallHead, body: &[u8], deadline: Duration) -> Claim {
    let parts: [&[u8]; 3] = [head.method.as_bytes(), head.path.as_bytes(), body];
    let request = crate::base::digest::Digest::of(&parts.join(&b'\n'));
    let workspace: Name = head.workspace.clone();
    Claim { workspace, service: head.service.clone(), request, deadline }
}
