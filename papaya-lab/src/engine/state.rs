//! Everything that an engine stand-in keeps.

use super::batch::{Batch, Sequence, Step};
use super::cache::{Cache, token_count};
use super::journal::Journal;
use super::loads::{Loads, Report};
use super::orders::Orders;
use super::settings::{EngineSettings, LoadedModel, Switches};
use super::stream::Stream;
use super::text::{Ask, prior_text};
use indexmap::IndexMap;
use papayaproxy::routing::ModelKey;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// A completion request, as in docs/interfaces.md.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Completion {
    #[serde(flatten)]
    pub(crate) ask: Ask,
    #[serde(default)]
    pub(crate) priority: u8,
    #[serde(default)]
    pub(crate) prior: String,
    #[serde(default)]
    pub(crate) prior_tokens: u32,
}

/// What has happened since the engine started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Completions taken.
    pub taken: u64,
    /// Of these, continuations of another engine's text.
    pub continued: u64,
    /// Of these, those whose prior text was not this request's.
    pub prior_wrong: u64,
    /// Completions answered by an error.
    pub refused: u64,
    /// Streams that came to their end.
    pub completed: u64,
    /// Streams that were cancelled by a caller.
    pub cancelled: u64,
    /// Streams that ended because nobody read them.
    pub abandoned: u64,
    /// Streams that were read again from some piece.
    pub resumed: u64,
    /// Steps run.
    pub steps: u64,
    /// Prompt tokens taken.
    pub prompt_tokens: u64,
    /// Of these, tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Orders taken.
    pub orders: u64,
    /// Orders refused for their number.
    pub orders_refused: u64,
}

struct Kept {
    stream: Arc<Stream>,
    /// Since when nobody reads it.
    idle: Option<Duration>,
}

pub(crate) struct State {
    pub(crate) batch: Batch,
    pub(crate) cache: Cache,
    pub(crate) journal: Journal,
    pub(crate) loads: Loads,
    pub(crate) orders: Orders,
    pub(crate) loaded: Vec<LoadedModel>,
    pub(crate) switches: Switches,
    pub(crate) counts: EngineCounts,
    streams: IndexMap<u64, Kept>,
    step: Duration,
}

/// Why a completion is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    Full,
    NotLoaded,
    Empty,
    Switched(u16),
}

impl State {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        let EngineSettings { event_lag, event_gaps, seed, .. } = *settings;
        Self {
            batch: Batch::new(settings.slots, settings.prefill_chunk),
            cache: Cache::new(settings.cache_tokens),
            journal: Journal::new(event_lag, event_gaps, seed),
            loads: Loads::default(),
            orders: Orders::new(settings.fencing),
            loaded: settings.loaded.clone(),
            switches: Switches::default(),
            counts: EngineCounts::default(),
            streams: IndexMap::new(),
            step: settings.step,
        }
    }

    /// The completion with the version that serves, where it names none.
    fn settle_version(&self, completion: &Completion) -> Completion {
        let mut settled = completion.clone();
        let ask = &mut settled.ask;
        let found = self.loaded.iter().filter(|l| l.model == ask.model).map(|l| l.version).max();
        if ask.version == 0 {
            ask.version = found.unwrap_or(0);
        }
        settled
    }

    /// Takes a completion under the stream number `id`.
    pub(crate) fn submit(
        &mut self,
        now: Duration,
        settings: &EngineSettings,
        id: u64,
        workspace: &str,
        completion: &Completion,
    ) -> Result<Arc<Stream>, Refusal> {
        let completion = &self.settle_version(completion);
        if let Some(refusal) = self.refusal(settings, completion) {
            self.counts.refused += 1;
            return Err(refusal);
        }
        let ask = &completion.ask;
        let hash = ask.hash();
        let model = ModelKey::new(&ask.model, ask.version, ask.adapter.as_deref());
        let mut changes = Vec::new();
        let cached = self.cache.touch(workspace, model, &ask.prompt, &mut changes);
        self.journal.write(now, changes);
        let prompt = token_count(&ask.prompt);
        self.count(completion, prompt, cached, hash);
        let stream = Arc::new(Stream::new(id, hash, completion.prior_tokens));
        self.streams.insert(id, Kept { stream: stream.clone(), idle: None });
        self.batch.submit(Sequence {
            id,
            priority: completion.priority,
            prefill: (prompt + completion.prior_tokens).saturating_sub(cached),
            next: completion.prior_tokens,
            end: ask.max_tokens,
        });
        Ok(stream)
    }

    fn refusal(&self, settings: &EngineSettings, completion: &Completion) -> Option<Refusal> {
        if self.switches.error != 0 {
            return Some(Refusal::Switched(self.switches.error));
        }
        if completion.prior_tokens >= completion.ask.max_tokens {
            return Some(Refusal::Empty);
        }
        if !self.is_loaded(&completion.ask) {
            return Some(Refusal::NotLoaded);
        }
        (self.batch.queued() >= settings.queue).then_some(Refusal::Full)
    }

    fn is_loaded(&self, ask: &Ask) -> bool {
        let fits = |adapters: &[String]| ask.adapter.as_ref().is_none_or(|a| adapters.contains(a));
        let mut loaded = self.loaded.iter();
        loaded.any(|l| l.model == ask.model && l.version == ask.version && fits(&l.adapters))
    }

    fn count(&mut self, completion: &Completion, prompt: u32, cached: u32, hash: u64) {
        let counts = &mut self.counts;
        counts.taken += 1;
        counts.prompt_tokens += u64::from(prompt);
        counts.cached_tokens += u64::from(cached);
        if completion.prior_tokens == 0 {
            return;
        }
        counts.continued += 1;
        if prior_text(hash, completion.prior_tokens) != completion.prior {
            counts.prior_wrong += 1;
        }
    }

    pub(crate) fn stream(&self, id: u64) -> Option<Arc<Stream>> {
        self.streams.get(&id).map(|k| k.stream.clone())
    }

    /// Ends a stream at a caller's wish.
    pub(crate) fn cancel(&mut self, id: u64) -> bool {
        let Some(kept) = self.streams.shift_remove(&id) else {
            return false;
        };
        kept.stream.cancel();
        if self.batch.cancel(id) {
            self.counts.cancelled += 1;
        }
        true
    }

    /// Ends a step that took `took`.
    pub(crate) fn finish(&mut self, step: Step, took: Duration) {
        self.counts.steps += 1;
        self.step = (self.step * 7 + took) / 8;
        for advance in self.batch.finish(step) {
            if let Some(kept) = self.streams.get(&advance.id) {
                kept.stream.advance(advance.next, advance.done);
            }
            self.counts.completed += u64::from(advance.done);
        }
    }

    /// Ends streams that nobody has read for `linger`, and forgets finished ones.
    pub(crate) fn sweep(&mut self, now: Duration, linger: Duration) {
        for kept in self.streams.values_mut() {
            let read = kept.stream.has_reader();
            kept.idle = if read { None } else { Some(kept.idle.unwrap_or(now)) };
        }
        let overdue = |k: &Kept| k.idle.is_some_and(|since| since + linger <= now);
        for kept in self.streams.values().filter(|k| overdue(k) && k.stream.is_running()) {
            kept.stream.cancel();
            self.batch.cancel(kept.stream.id);
            self.counts.abandoned += 1;
        }
        self.streams.retain(|_, k| !overdue(k));
    }

    /// Writes a load report.
    pub(crate) fn report(&mut self, now: Duration, settings: &EngineSettings) {
        let held = self.batch.held_tokens() + self.cache.tokens();
        let used = u64::from(held) * 1000 / u64::from(settings.cache_tokens.max(1));
        let report = Report {
            queued: self.batch.queued() as u32,
            running: self.batch.running() as u32,
            slots: settings.slots as u32,
            waiting_tokens: self.batch.waiting_tokens(),
            kv_permille: (used.min(1000) as u16).max(self.cache.permille()),
            step_us: self.step.as_micros() as u64,
            loaded: self.loaded.clone(),
            ..Report::default()
        };
        self.loads.write(now, report);
    }
}
