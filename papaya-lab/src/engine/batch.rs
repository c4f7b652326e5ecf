//! Continuous batching: which sequences run in a step and what the step yields.

/// A sequence that waits or runs.
#[derive(Clone, Debug)]
pub(crate) struct Sequence {
    pub(crate) id: u64,
    pub(crate) priority: u8,
    /// Prompt tokens still to be prefilled.
    pub(crate) prefill: u32,
    /// Index of the next piece.
    pub(crate) next: u32,
    /// Index after the last piece.
    pub(crate) end: u32,
}

/// What a step works on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Step {
    pub(crate) sequences: u32,
    pub(crate) prefill: u32,
}

/// How far a sequence has come after a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Advance {
    pub(crate) id: u64,
    pub(crate) next: u32,
    pub(crate) done: bool,
}

/// Sequences that wait and run.
#[derive(Debug)]
pub(crate) struct Batch {
    slots: usize,
    chunk: u32,
    queue: Vec<Sequence>,
    running: Vec<Sequence>,
}

impl Batch {
    pub(crate) fn new(slots: usize, chunk: u32) -> Self {
        Self { slots, chunk, queue: Vec::new(), running: Vec::new() }
    }

    pub(crate) fn queued(&self) -> usize {
        self.queue.len()
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    /// Prompt tokens that wait for prefill.
    pub(crate) fn waiting_tokens(&self) -> u32 {
        self.queue.iter().chain(&self.running).map(|s| s.prefill).sum()
    }

    /// Pieces that running sequences may still hold in the KV cache.
    pub(crate) fn held_tokens(&self) -> u32 {
        self.running.iter().map(|s| s.next).sum()
    }

    pub(crate) fn submit(&mut self, sequence: Sequence) {
        // Behind all of the same or a higher priority.
        let at = self.queue.partition_point(|s| s.priority >= sequence.priority);
        self.queue.insert(at, sequence);
    }

    /// Removes a sequence; `false` if it is not here.
    pub(crate) fn cancel(&mut self, id: u64) -> bool {
        let before = self.queue.len() + self.running.len();
        self.queue.retain(|s| s.id != id);
        self.running.retain(|s| s.id != id);
        self.queue.len() + self.running.len() < before
    }

    /// Fills free slots and plans a step; `None` when nothing is to be done.
    pub(crate) fn plan(&mut self) -> Option<Step> {
        let free = self.slots.saturating_sub(self.running.len()).min(self.queue.len());
        self.running.extend(self.queue.drain(..free));
        if self.running.is_empty() {
            return None;
        }
        let wanted: u32 = self.running.iter().map(|s| s.prefill).sum();
        Some(Step { sequences: self.running.len() as u32, prefill: wanted.min(self.chunk) })
    }

    /// Ends a planned step: prefill goes on, and each prefilled sequence yields a piece.
    pub(crate) fn finish(&mut self, step: Step) -> Vec<Advance> {
        let mut budget = step.prefill;
        let mut advances = Vec::with_capacity(self.running.len());
        for sequence in &mut self.running {
            let filled = sequence.prefill.min(budget);
            sequence.prefill -= filled;
            budget -= filled;
            if sequence.prefill > 0 {
                continue;
            }
            sequence.next = (sequence.next + 1).min(sequence.end);
            let done = sequence.next >= sequence.end;
            advances.push(Advance { id: sequence.id, next: sequence.next, done });
        }
        self.running.retain(|s| s.next < s.end || s.prefill > 0);
        advances
    }
}
