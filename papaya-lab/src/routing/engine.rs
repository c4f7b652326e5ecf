//! A small model of an engine: continuous batching with chunked prefill and a prefix cache.

use super::constants::{CACHE_BLOCKS, CHUNK_TOKENS, SLOTS, STEP_BASE, STEP_DECODE, STEP_PREFILL};
use indexmap::IndexMap;
use papayaproxy::limits::Admission;
use papayaproxy::routing::BLOCK_TOKENS;
use std::collections::VecDeque;
use std::time::Duration;

/// Blocks of prompts, the least recently used dropped first.
#[derive(Default)]
pub(crate) struct PrefixCache {
    used: IndexMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    tick: u64,
}

impl PrefixCache {
    /// Blocks of `prefix` that are cached, from its start.
    pub(crate) fn lookup(&mut self, prefix: &[u64]) -> usize {
        let hit = prefix.iter().take_while(|k| self.used.contains_key(*k)).count();
        self.touch(&prefix[..hit]);
        hit
    }

    /// Stores the blocks of `prefix`.
    pub(crate) fn touch(&mut self, prefix: &[u64]) {
        for &key in prefix.iter().rev() {
            self.tick += 1;
            self.used.insert(key, self.tick);
            self.order.push_back((key, self.tick));
        }
        while self.used.len() > CACHE_BLOCKS {
            let Some((key, tick)) = self.order.pop_front() else { break };
            if self.used.get(&key) == Some(&tick) {
                self.used.swap_remove(&key);
            }
        }
    }
}

/// A request in an engine.
#[derive(Clone, Debug)]
pub(crate) struct Sequence {
    pub job: usize,
    pub attempt: u32,
    prefix: Vec<u64>,
    prefill: u32,
    chunk: u32,
    output: u32,
    made: u32,
    pub cached: u32,
}

/// What a step brought for one request.
pub(crate) struct Progress {
    pub job: usize,
    pub attempt: u32,
    pub cached: u32,
    pub first: bool,
    pub last: bool,
}

/// An engine behind its agent.
pub(crate) struct Engine {
    pub gate: Admission,
    pub cache: PrefixCache,
    pub running: Vec<Sequence>,
    pub stepping: bool,
    /// Factor on its step time.
    pub drag: f64,
    pub stalled: bool,
    pub failing: bool,
    pub step: f64,
    /// Prompt tokens of requests that wait at the agent.
    pub queued_tokens: u64,
}

impl Engine {
    pub(crate) fn new() -> Self {
        Self {
            gate: Admission::new(SLOTS),
            cache: PrefixCache::default(),
            running: Vec::new(),
            stepping: false,
            drag: 1.0,
            stalled: false,
            failing: false,
            step: STEP_BASE,
            queued_tokens: 0,
        }
    }

    /// Takes a request into the batch.
    pub(crate) fn add(
        &mut self,
        job: usize,
        attempt: u32,
        prefix: &[u64],
        prompt: u32,
        output: u32,
    ) {
        let hit = self.cache.lookup(prefix) as u32 * BLOCK_TOKENS;
        let cached = hit.min(prompt - 1);
        self.running.push(Sequence {
            job,
            attempt,
            prefix: prefix.to_vec(),
            prefill: prompt - cached,
            chunk: 0,
            output,
            made: 0,
            cached,
        });
    }

    /// Drops a request; false if it is not there.
    pub(crate) fn cancel(&mut self, job: usize, attempt: u32) -> bool {
        let before = self.running.len();
        self.running.retain(|s| s.job != job || s.attempt != attempt);
        self.running.len() < before
    }

    /// Prompt tokens that wait for prefill.
    pub(crate) fn waiting_tokens(&self) -> u32 {
        let inside: u32 = self.running.iter().map(|s| s.prefill).sum();
        inside + self.queued_tokens as u32
    }

    /// Begins a step; gives its duration and the number of requests that decode in it.
    pub(crate) fn begin(&mut self) -> (Duration, u64) {
        let mut budget = CHUNK_TOKENS;
        let mut decoding = 0_u32;
        for sequence in &mut self.running {
            sequence.chunk = sequence.prefill.min(budget);
            budget -= sequence.chunk;
            decoding += u32::from(sequence.prefill == 0);
        }
        let chunk = f64::from(CHUNK_TOKENS - budget);
        let seconds = STEP_BASE + STEP_DECODE * f64::from(decoding) + STEP_PREFILL * chunk;
        let seconds = seconds * self.drag;
        self.step += 0.2 * (seconds - self.step);
        self.stepping = true;
        (Duration::from_secs_f64(seconds), u64::from(decoding))
    }

    /// Ends a step.
    pub(crate) fn end(&mut self) -> Vec<Progress> {
        self.stepping = false;
        let mut found = Vec::new();
        for sequence in &mut self.running {
            let decodes = sequence.prefill == 0;
            sequence.prefill -= sequence.chunk;
            let filled = !decodes && sequence.chunk > 0 && sequence.prefill == 0;
            sequence.chunk = 0;
            if !decodes && !filled {
                continue;
            }
            if filled {
                self.cache.touch(&sequence.prefix);
            }
            sequence.made += 1;
            let last = sequence.made >= sequence.output;
            if filled || last {
                found.push(Progress {
                    job: sequence.job,
                    attempt: sequence.attempt,
                    cached: sequence.cached,
                    first: filled,
                    last,
                });
            }
        }
        self.running.retain(|s| s.made < s.output);
        found
    }
}
