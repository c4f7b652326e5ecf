//! The key state of one agent: no key starts twice, and whatever is said of a key stays true.

use super::codes;
use super::constants::ISSUE_COUNT_MAX;
use super::events;
use super::record::{BeginDecision, Lookup, Record, RunOutcome, State};
use super::settings::KeySettings;
use super::token::Token;
use super::window::IssueWindow;
use crate::base::code::{Code, Outcome, outcome};
use crate::base::digest::Digest;
use crate::base::name::{Incarnation, Name};
use indexmap::IndexMap;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

/// A check that tests can switch off, to show that the randomised runs miss it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Guard {
    /// A known key does not start again.
    Known,
    /// A key past its time does not start.
    Expiry,
    /// A key of another incarnation is not judged here.
    Incarnation,
    /// An absent key past the retention is not called not-run.
    Retention,
    /// A refused key is revoked.
    Revoke,
}

/// What a call shows besides its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The caller's workspace.
    pub workspace: Name,
    /// The service that is called.
    pub service: Name,
    /// Digest of method, path and body.
    pub request: Digest,
    /// Until when it may start, on the agent's clock.
    pub deadline: Duration,
}

/// The keys that one incarnation of an agent has issued, and what became of them.
///
/// A key takes no memory before it is started or revoked: its token says when it was issued, and
/// absence from the records means, until `keep` has passed since then, that it never started.
#[derive(Debug)]
pub struct KeyTable {
    upstream: Name,
    incarnation: Incarnation,
    settings: KeySettings,
    next: u64,
    window: IssueWindow,
    records: IndexMap<u64, Record>,
    due: BinaryHeap<Reverse<(Duration, u64)>>,
    replies: VecDeque<u64>,
    reply_bytes: usize,
    closed: Option<Code>,
    #[cfg(test)]
    pub(crate) off: Option<Guard>,
}

impl KeyTable {
    /// The empty state of a new incarnation.
    pub fn new(upstream: Name, incarnation: Incarnation, settings: KeySettings) -> Self {
        Self {
            upstream,
            incarnation,
            next: 0,
            window: IssueWindow::new(settings.keep()),
            settings,
            records: IndexMap::new(),
            due: BinaryHeap::new(),
            replies: VecDeque::new(),
            reply_bytes: 0,
            closed: None,
            #[cfg(test)]
            off: None,
        }
    }

    /// Issues `count` keys to a workspace for calls of one service.
    ///
    /// # Errors
    /// `KEY_COUNT`, `KEYS_FULL`, `KEYS_WORKSPACE_FULL`, or the code given to [`KeyTable::close`].
    pub fn issue(
        &mut self,
        count: u32,
        workspace: &Name,
        service: &Name,
        now: Duration,
    ) -> Result<Vec<Token>, Code> {
        self.expire(now);
        if let Some(code) = self.closed {
            return Err(code);
        }
        if !(1..=ISSUE_COUNT_MAX).contains(&count) {
            return Err(codes::KEY_COUNT);
        }
        let held = self.window.total().max(self.records.len());
        if held + count as usize > self.settings.keys_max {
            return Err(codes::KEYS_FULL);
        }
        if self.window.of(workspace) + count as usize > self.settings.workspace_max {
            return Err(codes::KEYS_WORKSPACE_FULL);
        }
        self.window.add(workspace, count as usize, now);
        tracing::info!(event = events::KEYS_ISSUED, %workspace, %service, count, "keys issued");
        Ok((0..count).map(|_| self.token(workspace, service, now)).collect())
    }

    /// Decides what is to be done with a call. Before it answers `Run` the key counts as started.
    pub fn begin(&mut self, key: &Token, claim: &Claim, now: Duration) -> BeginDecision {
        let decision = self.decide(key, claim, now);
        let (sequence, workspace) = (key.sequence, &claim.workspace);
        match &decision {
            BeginDecision::Run => {
                tracing::info!(event = events::KEY_STARTED, sequence, %workspace, "key starts");
            }
            BeginDecision::Refused(code) => {
                tracing::info!(event = events::KEY_REFUSED, sequence, %code, "key refused");
            }
            BeginDecision::Replay(_) | BeginDecision::Wait => {}
        }
        decision
    }

    fn decide(&mut self, key: &Token, claim: &Claim, now: Duration) -> BeginDecision {
        self.expire(now);
        if let Err(code) = self.check(key, &claim.workspace, &claim.service) {
            return BeginDecision::Refused(code);
        }
        if let Some(record) = self.known(key) {
            return repeat(record, claim.request);
        }
        let late = self.absent(key, now);
        if let Some(code) =
            late.filter(|c| *c == codes::KEY_FORGOTTEN || self.guards(Guard::Expiry))
        {
            return BeginDecision::Refused(self.checked(key, code, now));
        }
        // A refusal must revoke, or a delayed copy of this call could still start the key.
        let refusal = self.closed.or((claim.deadline <= now).then_some(codes::KEY_DEADLINE));
        if let Some(code) = refusal {
            self.retire(key, code, now);
            return BeginDecision::Refused(self.checked(key, code, now));
        }
        self.start(key, claim.request, now);
        BeginDecision::Run
    }

    /// Records how a started request ended. Must be called once for each `Run`.
    pub fn finish(&mut self, key: &Token, finish: RunOutcome, now: Duration) {
        let record = self.records.get_mut(&key.sequence);
        let running = record.filter(|r| r.state == State::Started);
        let Some(record) = running else {
            panic!("{}: key {} ended twice", codes::INVARIANT_OUTCOME_CHANGED, key.sequence);
        };
        record.state = match finish {
            RunOutcome::Completed(reply) => {
                self.reply_bytes += reply.size();
                self.replies.push_back(key.sequence);
                State::Done(reply)
            }
            RunOutcome::NotRun(code) => {
                let honest = outcome(code) == Outcome::NotRun;
                assert!(honest, "{}: {code}", codes::INVARIANT_FALSE_NOT_RUN);
                State::Revoked(code)
            }
            RunOutcome::Unknown(code) => State::Lost(code),
        };
        let (sequence, state) = (key.sequence, record.state.as_str());
        tracing::info!(event = events::KEY_FINISHED, sequence, state, "key ends");
        self.plan_expiry(key, now);
        self.shed();
    }

    /// Revokes a key that has not started, and tells what is known of it.
    pub fn revoke(&mut self, key: &Token, workspace: &Name, now: Duration) -> Lookup {
        let found = self.lookup(key, workspace, now);
        match found {
            Lookup::Status(code) if code == codes::KEY_PENDING => {
                self.retire(key, codes::KEY_REVOKED, now);
                Lookup::Status(self.checked(key, codes::KEY_REVOKED, now))
            }
            Lookup::Status(code) if code == codes::KEY_RUNNING => {
                Lookup::Status(codes::KEY_STARTED)
            }
            other => other,
        }
    }

    /// Tells what is known of a key.
    pub fn lookup(&mut self, key: &Token, workspace: &Name, now: Duration) -> Lookup {
        self.expire(now);
        if let Err(code) = self.check(key, workspace, &key.service) {
            return Lookup::Status(code);
        }
        if let Some(record) = self.records.get(&key.sequence) {
            return record.state.lookup();
        }
        let code = self.absent(key, now).unwrap_or(codes::KEY_PENDING);
        Lookup::Status(self.checked(key, code, now))
    }

    /// From now on no key is issued or started; calls are refused with `code`.
    pub fn close(&mut self, code: Code) {
        let honest = outcome(code) == Outcome::NotRun;
        assert!(honest, "{}: {code}", codes::INVARIANT_FALSE_NOT_RUN);
        self.closed = Some(code);
    }

    /// Keys are issued and started again.
    pub fn reopen(&mut self) {
        self.closed = None;
    }

    /// Forgets what has been kept for long enough.
    pub fn expire(&mut self, now: Duration) {
        self.window.expire(now);
        while let Some(Reverse((due, sequence))) = self.due.peek().copied() {
            if now < due {
                break;
            }
            self.due.pop();
            if let Some(record) = self.records.swap_remove(&sequence) {
                self.uncount(&record.state);
            }
        }
        while self.replies.front().is_some_and(|s| !self.records.contains_key(s)) {
            self.replies.pop_front();
        }
    }

    /// Keys that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Bytes of the replies that are kept.
    pub fn reply_bytes(&self) -> usize {
        self.reply_bytes
    }

    fn token(&mut self, workspace: &Name, service: &Name, now: Duration) -> Token {
        let sequence = self.next;
        self.next += 1;
        Token {
            upstream: self.upstream.clone(),
            incarnation: self.incarnation,
            sequence,
            workspace: workspace.clone(),
            service: service.clone(),
            // Rounded down, so that the key never outlives its time.
            issued_ms: now.as_millis() as u64,
        }
    }

    fn check(&self, key: &Token, workspace: &Name, service: &Name) -> Result<(), Code> {
        if key.workspace != *workspace {
            return Err(codes::KEY_WORKSPACE);
        }
        if key.service != *service {
            return Err(codes::KEY_SERVICE);
        }
        if key.upstream != self.upstream {
            return Err(codes::KEY_ELSEWHERE);
        }
        if key.incarnation != self.incarnation && self.guards(Guard::Incarnation) {
            return Err(codes::KEY_INCARNATION_GONE);
        }
        if key.sequence >= self.next && self.guards(Guard::Incarnation) {
            return Err(codes::KEY_UNISSUED);
        }
        Ok(())
    }

    fn known(&self, key: &Token) -> Option<&Record> {
        let record = self.records.get(&key.sequence);
        record.filter(|_| self.guards(Guard::Known))
    }

    /// Why a key without a record can't start; `None` if it can.
    fn absent(&self, key: &Token, now: Duration) -> Option<Code> {
        let age = now.saturating_sub(key.issued());
        if age >= self.settings.keep() && self.guards(Guard::Retention) {
            return Some(codes::KEY_FORGOTTEN);
        }
        (age >= self.settings.start_life).then_some(codes::KEY_EXPIRED)
    }

    fn start(&mut self, key: &Token, request: Digest, now: Duration) {
        let record = Record { state: State::Started, request };
        let age = now.saturating_sub(key.issued());
        let timely = age < self.settings.start_life || !self.guards(Guard::Expiry);
        assert!(timely, "{}: key {} expired", codes::INVARIANT_SECOND_START, key.sequence);
        let before = self.records.insert(key.sequence, record);
        let first = before.is_none() || !self.guards(Guard::Known);
        assert!(first, "{}: key {}", codes::INVARIANT_SECOND_START, key.sequence);
    }

    fn retire(&mut self, key: &Token, code: Code, now: Duration) {
        if !self.guards(Guard::Revoke) {
            return;
        }
        let state = State::Revoked(code);
        let record = Record { state, request: Digest::default() };
        let before = self.records.insert(key.sequence, record);
        assert!(before.is_none(), "{}: key {}", codes::INVARIANT_OUTCOME_CHANGED, key.sequence);
        tracing::info!(event = events::KEY_REVOKED, sequence = key.sequence, %code, "key revoked");
        self.plan_expiry(key, now);
    }

    /// Asserts that a `not-run` is said only of a key that can never start.
    fn checked(&self, key: &Token, code: Code, now: Duration) -> Code {
        if outcome(code) != Outcome::NotRun || !self.guards(Guard::Revoke) {
            return code;
        }
        let state = self.records.get(&key.sequence).map(|r| &r.state);
        let age = now.saturating_sub(key.issued());
        let never = match state {
            Some(state) => matches!(state, State::Revoked(_)),
            None => age >= self.settings.start_life,
        };
        assert!(never, "{}: key {} {code}", codes::INVARIANT_FALSE_NOT_RUN, key.sequence);
        code
    }

    fn plan_expiry(&mut self, key: &Token, now: Duration) {
        let keep = key.issued() + self.settings.keep();
        let due = keep.max(now + self.settings.retention);
        self.due.push(Reverse((due, key.sequence)));
    }

    /// Drops the oldest replies until the rest fits; that they ran is still remembered.
    fn shed(&mut self) {
        while self.reply_bytes > self.settings.reply_bytes_max {
            let Some(sequence) = self.replies.pop_front() else {
                panic!("{}: {} bytes", codes::INVARIANT_SIZE, self.reply_bytes);
            };
            let Some(record) = self.records.get_mut(&sequence) else { continue };
            let state = std::mem::replace(&mut record.state, State::Dropped);
            self.uncount(&state);
            tracing::info!(event = events::REPLY_DROPPED, sequence, "kept reply dropped");
        }
    }

    fn uncount(&mut self, state: &State) {
        if let State::Done(reply) = state {
            self.reply_bytes -= reply.size();
        }
    }

    #[cfg(not(test))]
    fn guards(&self, _: Guard) -> bool {
        true
    }

    #[cfg(test)]
    fn guards(&self, guard: Guard) -> bool {
        self.off != Some(guard)
    }
}

fn repeat(record: &Record, request: Digest) -> BeginDecision {
    let revoked = matches!(record.state, State::Revoked(_));
    if !revoked && record.request != request {
        return BeginDecision::Refused(codes::KEY_BODY_CLASH);
    }
    record.state.begin()
}
