//! The keys of one agent: no key starts twice, and no answer about a key is contradicted later.

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

/// A check that tests can disable, to show that the randomised tests detect its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Guard {
    /// A key that has a record does not start again.
    Known,
    /// A key does not start after `start_life` has passed.
    Expiry,
    /// A key that this incarnation has not issued is refused.
    Incarnation,
    /// A key without a record is not reported as not-run after its record may have expired.
    Retention,
    /// A key that was refused as not-run is revoked.
    Revoke,
}

/// What a call presents with its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The caller's workspace.
    pub workspace: Name,
    /// The called service.
    pub service: Name,
    /// Digest of method, path and body.
    pub request: Digest,
    /// Time until which the request may start, on the agent's clock.
    pub deadline: Duration,
}

/// State of the keys that one incarnation of an agent has issued.
///
/// A key takes no memory before it is started or revoked: its token contains the time of issue,
/// and until [`KeySettings::proof_span`] has passed since then, the absence of a record proves that
/// the key never started.
#[derive(Debug)]
pub struct KeyTable {
    upstream: Name,
    incarnation: Incarnation,
    settings: KeySettings,
    next_sequence: u64,
    window: IssueWindow,
    /// By sequence number.
    records: IndexMap<u64, Record>,
    /// Expiry times and sequence numbers of revoked and ended keys, earliest first.
    expiries: BinaryHeap<Reverse<(Duration, u64)>>,
    /// Sequence numbers of the stored replies, oldest first; may contain expired ones.
    replies: VecDeque<u64>,
    reply_bytes: usize,
    /// Code with which new keys and starts are refused; `None` while they are accepted.
    closed: Option<Code>,
    #[cfg(test)]
    pub(crate) disabled: Option<Guard>,
}

impl KeyTable {
    /// Starts without keys, for a new incarnation.
    pub fn new(upstream: Name, incarnation: Incarnation, settings: KeySettings) -> Self {
        Self {
            upstream,
            incarnation,
            next_sequence: 0,
            window: IssueWindow::new(settings.proof_span()),
            settings,
            records: IndexMap::new(),
            expiries: BinaryHeap::new(),
            replies: VecDeque::new(),
            reply_bytes: 0,
            closed: None,
            #[cfg(test)]
            disabled: None,
        }
    }

    /// Issues `count` keys to a workspace for calls of one service.
    ///
    /// # Errors
    /// `KEY_COUNT` if `count` is out of range, `KEYS_FULL` or `KEYS_WORKSPACE_FULL` if a limit is
    /// reached, or the code passed to [`KeyTable::close`].
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
        let stored = self.window.total().max(self.records.len());
        if stored + count as usize > self.settings.keys_max {
            return Err(codes::KEYS_FULL);
        }
        if self.window.workspace_total(workspace) + count as usize > self.settings.workspace_max {
            return Err(codes::KEYS_WORKSPACE_FULL);
        }
        self.window.add(workspace, count as usize, now);
        tracing::info!(event = events::KEYS_ISSUED, %workspace, %service, count, "keys issued");
        Ok((0..count).map(|_| self.new_token(workspace, service, now)).collect())
    }

    /// Decides what to do with a call. The key counts as started before `Run` is returned.
    pub fn begin(&mut self, key: &Token, claim: &Claim, now: Duration) -> BeginDecision {
        let decision = self.decide(key, claim, now);
        let (sequence, workspace) = (key.sequence, &claim.workspace);
        match &decision {
            BeginDecision::Run => {
                tracing::info!(event = events::KEY_STARTED, sequence, %workspace, "key started");
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
        if let Err(code) = self.check_binding(key, &claim.workspace, &claim.service) {
            return BeginDecision::Refused(code);
        }
        if let Some(record) = self.find_record(key) {
            return decide_known(record, claim.request);
        }
        let expired = self.refusal_by_age(key, now);
        if let Some(code) =
            expired.filter(|c| *c == codes::KEY_FORGOTTEN || self.is_enabled(Guard::Expiry))
        {
            return BeginDecision::Refused(self.checked_code(key, code, now));
        }
        // Revokes the refused key, or a delayed copy of this call could still start it.
        let refusal = self.closed.or((claim.deadline <= now).then_some(codes::KEY_DEADLINE));
        if let Some(code) = refusal {
            self.record_revoked(key, code, now);
            return BeginDecision::Refused(self.checked_code(key, code, now));
        }
        self.start(key, claim.request, now);
        BeginDecision::Run
    }

    /// Records how a started request ended. Must be called exactly once for each `Run`.
    ///
    /// # Panics
    /// If the key is not running, or `end` is `NotRun` with a code of another outcome.
    pub fn finish(&mut self, key: &Token, end: RunOutcome, now: Duration) {
        let record = self.records.get_mut(&key.sequence);
        let running = record.filter(|r| r.state == State::Started);
        let Some(record) = running else {
            panic!("{}: key {} is not running", codes::INVARIANT_OUTCOME_CHANGED, key.sequence);
        };
        record.state = match end {
            RunOutcome::Completed(reply) => {
                self.reply_bytes += reply.size();
                self.replies.push_back(key.sequence);
                State::Done(reply)
            }
            RunOutcome::NotRun(code) => {
                let is_not_run = outcome(code) == Outcome::NotRun;
                assert!(is_not_run, "{}: {code}", codes::INVARIANT_FALSE_NOT_RUN);
                State::Revoked(code)
            }
            RunOutcome::Unknown(code) => State::Lost(code),
        };
        let (sequence, state) = (key.sequence, record.state.as_str());
        tracing::info!(event = events::KEY_FINISHED, sequence, state, "request with key ended");
        self.schedule_expiry(key, now);
        self.drop_oldest_replies();
    }

    /// Revokes a key that has not started, and returns its state; `KEY_STARTED` if it is running.
    pub fn revoke(&mut self, key: &Token, workspace: &Name, now: Duration) -> Lookup {
        let found = self.lookup(key, workspace, now);
        match found {
            Lookup::Status(code) if code == codes::KEY_PENDING => {
                self.record_revoked(key, codes::KEY_REVOKED, now);
                Lookup::Status(self.checked_code(key, codes::KEY_REVOKED, now))
            }
            Lookup::Status(code) if code == codes::KEY_RUNNING => {
                Lookup::Status(codes::KEY_STARTED)
            }
            other => other,
        }
    }

    /// Returns the state of a key.
    pub fn lookup(&mut self, key: &Token, workspace: &Name, now: Duration) -> Lookup {
        self.expire(now);
        if let Err(code) = self.check_binding(key, workspace, &key.service) {
            return Lookup::Status(code);
        }
        if let Some(record) = self.records.get(&key.sequence) {
            return record.state.lookup();
        }
        let code = self.refusal_by_age(key, now).unwrap_or(codes::KEY_PENDING);
        Lookup::Status(self.checked_code(key, code, now))
    }

    /// Stops issuing and starting keys; such calls are refused with `code` from now on.
    ///
    /// # Panics
    /// If the outcome of `code` is not `NotRun`.
    pub fn close(&mut self, code: Code) {
        let is_not_run = outcome(code) == Outcome::NotRun;
        assert!(is_not_run, "{}: {code}", codes::INVARIANT_FALSE_NOT_RUN);
        self.closed = Some(code);
    }

    /// Allows keys to be issued and started again.
    pub fn reopen(&mut self) {
        self.closed = None;
    }

    /// Removes records and counts that have reached their expiry.
    pub fn expire(&mut self, now: Duration) {
        self.window.expire(now);
        while let Some(Reverse((expiry, sequence))) = self.expiries.peek().copied() {
            if now < expiry {
                break;
            }
            self.expiries.pop();
            if let Some(record) = self.records.swap_remove(&sequence) {
                self.subtract_reply(&record.state);
            }
        }
        while self.replies.front().is_some_and(|s| !self.records.contains_key(s)) {
            self.replies.pop_front();
        }
    }

    /// Number of keys that have a record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key has a record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Size of the stored replies, in bytes.
    pub fn reply_bytes(&self) -> usize {
        self.reply_bytes
    }

    fn new_token(&mut self, workspace: &Name, service: &Name, now: Duration) -> Token {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        Token {
            upstream: self.upstream.clone(),
            incarnation: self.incarnation,
            sequence,
            workspace: workspace.clone(),
            service: service.clone(),
            // Rounded down, so that the key never starts after `start_life`.
            issued_ms: now.as_millis() as u64,
        }
    }

    /// Checks that the key was issued by this incarnation, for this workspace and service.
    fn check_binding(&self, key: &Token, workspace: &Name, service: &Name) -> Result<(), Code> {
        if key.workspace != *workspace {
            return Err(codes::KEY_WORKSPACE);
        }
        if key.service != *service {
            return Err(codes::KEY_SERVICE);
        }
        if key.upstream != self.upstream {
            return Err(codes::KEY_ELSEWHERE);
        }
        if key.incarnation != self.incarnation && self.is_enabled(Guard::Incarnation) {
            return Err(codes::KEY_INCARNATION_GONE);
        }
        if key.sequence >= self.next_sequence && self.is_enabled(Guard::Incarnation) {
            return Err(codes::KEY_UNISSUED);
        }
        Ok(())
    }

    fn find_record(&self, key: &Token) -> Option<&Record> {
        let record = self.records.get(&key.sequence);
        record.filter(|_| self.is_enabled(Guard::Known))
    }

    /// Why a key without a record can no longer start; `None` if it still can.
    fn refusal_by_age(&self, key: &Token, now: Duration) -> Option<Code> {
        let age = now.saturating_sub(key.issued());
        if age >= self.settings.proof_span() && self.is_enabled(Guard::Retention) {
            return Some(codes::KEY_FORGOTTEN);
        }
        (age >= self.settings.start_life).then_some(codes::KEY_EXPIRED)
    }

    fn start(&mut self, key: &Token, request: Digest, now: Duration) {
        let record = Record { state: State::Started, request };
        let age = now.saturating_sub(key.issued());
        let in_time = age < self.settings.start_life || !self.is_enabled(Guard::Expiry);
        assert!(in_time, "{}: key {} expired", codes::INVARIANT_SECOND_START, key.sequence);
        let previous = self.records.insert(key.sequence, record);
        let is_first = previous.is_none() || !self.is_enabled(Guard::Known);
        assert!(is_first, "{}: key {}", codes::INVARIANT_SECOND_START, key.sequence);
    }

    fn record_revoked(&mut self, key: &Token, code: Code, now: Duration) {
        if !self.is_enabled(Guard::Revoke) {
            return;
        }
        let state = State::Revoked(code);
        let record = Record { state, request: Digest::default() };
        let previous = self.records.insert(key.sequence, record);
        assert!(previous.is_none(), "{}: key {}", codes::INVARIANT_OUTCOME_CHANGED, key.sequence);
        tracing::info!(event = events::KEY_REVOKED, sequence = key.sequence, %code, "key revoked");
        self.schedule_expiry(key, now);
    }

    /// Returns `code`, after asserting that `not-run` is reported only for a key that can never start.
    fn checked_code(&self, key: &Token, code: Code, now: Duration) -> Code {
        if outcome(code) != Outcome::NotRun || !self.is_enabled(Guard::Revoke) {
            return code;
        }
        let state = self.records.get(&key.sequence).map(|r| &r.state);
        let age = now.saturating_sub(key.issued());
        let never_runs = match state {
            Some(state) => matches!(state, State::Revoked(_)),
            None => age >= self.settings.start_life,
        };
        assert!(never_runs, "{}: key {} {code}", codes::INVARIANT_FALSE_NOT_RUN, key.sequence);
        code
    }

    fn schedule_expiry(&mut self, key: &Token, now: Duration) {
        let provable = key.issued() + self.settings.proof_span();
        let expiry = provable.max(now + self.settings.retention);
        self.expiries.push(Reverse((expiry, key.sequence)));
    }

    /// Drops the oldest replies until the rest fits the limit; the records still state that they ran.
    fn drop_oldest_replies(&mut self) {
        while self.reply_bytes > self.settings.reply_bytes_max {
            let Some(sequence) = self.replies.pop_front() else {
                panic!("{}: {} bytes", codes::INVARIANT_SIZE, self.reply_bytes);
            };
            let Some(record) = self.records.get_mut(&sequence) else { continue };
            let state = std::mem::replace(&mut record.state, State::Dropped);
            self.subtract_reply(&state);
            tracing::info!(event = events::REPLY_DROPPED, sequence, "stored reply dropped");
        }
    }

    fn subtract_reply(&mut self, state: &State) {
        if let State::Done(reply) = state {
            self.reply_bytes -= reply.size();
        }
    }

    #[cfg(not(test))]
    fn is_enabled(&self, _: Guard) -> bool {
        true
    }

    #[cfg(test)]
    fn is_enabled(&self, guard: Guard) -> bool {
        self.disabled != Some(guard)
    }
}

/// Decides what to do with a call whose key has a record.
fn decide_known(record: &Record, request: Digest) -> BeginDecision {
    let revoked = matches!(record.state, State::Revoked(_));
    if !revoked && record.request != request {
        return BeginDecision::Refused(codes::KEY_BODY_CLASH);
    }
    record.state.begin()
}
