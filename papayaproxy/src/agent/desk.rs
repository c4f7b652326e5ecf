//! The agent's key state, shared by its calls, and the runs in progress under a key.

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

/// How a run has ended; `None` while it is in progress.
pub(crate) type RunEnd = watch::Receiver<Option<RunOutcome>>;

struct Keys {
    core: KeyTable,
    running: IndexMap<Token, RunEnd>,
}

/// The key state behind a mutex, which is held for a few map operations at a time.
pub(crate) struct KeyDesk {
    keys: Mutex<Keys>,
    clock: Clock,
    secrets: Secrets,
}

/// What is to be done with a call that shows a key.
pub(crate) enum Turn {
    /// Run it now.
    Run(Run),
    /// It runs already.
    Wait(RunEnd),
    /// Its end is known.
    Told(RunOutcome),
}

/// A run in progress. Dropping it unfinished leaves its outcome unknown.
pub(crate) struct Run {
    desk: Arc<KeyDesk>,
    token: Token,
    end: watch::Sender<Option<RunOutcome>>,
    ended: bool,
}

impl KeyDesk {
    pub(crate) fn new(core: KeyTable, clock: Clock, secrets: Secrets) -> Self {
        let keys = Keys { core, running: IndexMap::new() };
        Self { keys: Mutex::new(keys), clock, secrets }
    }

    /// Issues keys, as their text.
    pub(crate) fn issue(&self, count: u32, head: &CallHead) -> Result<Vec<String>, Code> {
        let now = self.clock.now();
        let tokens = self.lock().core.issue(count, &head.workspace, &head.service, now)?;
        Ok(tokens.iter().map(|t| t.encode(&self.secrets)).collect())
    }

    /// Tells what is known of the key of `head`.
    pub(crate) fn lookup(&self, head: &CallHead) -> Result<Lookup, Code> {
        let token = self.token(head)?;
        Ok(self.lock().core.lookup(&token, &head.workspace, self.clock.now()))
    }

    /// Revokes the key of `head` unless it has started.
    pub(crate) fn revoke(&self, head: &CallHead) -> Result<Lookup, Code> {
        let token = self.token(head)?;
        Ok(self.lock().core.revoke(&token, &head.workspace, self.clock.now()))
    }

    /// Decides what is to be done with a call under a key. `refusal` says why no key may start
    /// now, if that is so.
    pub(crate) fn begin(
        self: &Arc<Self>,
        head: &CallHead,
        claim: Claim,
        refusal: Option<Code>,
    ) -> Result<Turn, Code> {
        let token = self.token(head)?;
        let mut keys = self.lock();
        match refusal {
            Some(code) => keys.core.close(code),
            None => keys.core.reopen(),
        }
        match keys.core.begin(&token, &claim, self.clock.now()) {
            BeginDecision::Replay(reply) => Ok(Turn::Told(RunOutcome::Completed(reply))),
            BeginDecision::Refused(code) => Err(code),
            BeginDecision::Wait => {
                let end = keys.running.get(&token).cloned();
                end.map(Turn::Wait).ok_or(delivery::KEY_RUNNING)
            }
            BeginDecision::Run => {
                let (end, receiver) = watch::channel(None);
                keys.running.insert(token.clone(), receiver);
                Ok(Turn::Run(Run { desk: self.clone(), token, end, ended: false }))
            }
        }
    }

    /// Time on the clock of the keys.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    fn token(&self, head: &CallHead) -> Result<Token, Code> {
        let text = head.key.as_deref().ok_or(codes::CALL_MALFORMED)?;
        Token::parse(text, &self.secrets)
    }

    fn lock(&self) -> MutexGuard<'_, Keys> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Run {
    /// Tells how the run ended, to the key's state and to whoever waits.
    pub(crate) fn finish(mut self, finish: RunOutcome) {
        self.record(finish);
    }

    /// Gives what waits for the end.
    pub(crate) fn end(&self) -> RunEnd {
        self.end.subscribe()
    }

    fn record(&mut self, finish: RunOutcome) {
        self.ended = true;
        let mut keys = self.desk.lock();
        keys.running.swap_remove(&self.token);
        keys.core.finish(&self.token, finish.clone(), self.desk.clock.now());
        drop(keys);
        self.end.send_replace(Some(finish));
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.ended {
            self.record(RunOutcome::Unknown(delivery::RUN_ABANDONED));
        }
    }
}

/// The workspace, service and request that `head` claims a key for.
pub(crate) fn claim(head: &CallHead, body: &[u8], deadline: Duration) -> Claim {
    let parts: [&[u8]; 3] = [head.method.as_bytes(), head.path.as_bytes(), body];
    let request = crate::base::digest::Digest::of(&parts.join(&b'\n'));
    let workspace: Name = head.workspace.clone();
    Claim { workspace, service: head.service.clone(), request, deadline }
}
