//! How often each call ran.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Runs of one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Times that it began.
    pub started: u64,
    /// Times that it came to its end.
    pub finished: u64,
}

/// Runs of every call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Over all calls.
    pub total: Runs,
    /// By idempotency key.
    pub keys: IndexMap<String, Runs>,
    /// By the field `reference` of the body.
    pub references: IndexMap<String, Runs>,
}

/// What names a call: its key, its reference, both or neither.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Label {
    #[serde(skip)]
    pub(crate) key: Option<String>,
    pub(crate) reference: Option<String>,
}

impl Counts {
    /// Calls that began more than once.
    pub fn repeated(&self) -> usize {
        let all = self.keys.values().chain(self.references.values());
        all.filter(|r| r.started > 1).count()
    }

    pub(crate) fn start(&mut self, label: &Label) {
        self.each(label, |runs| runs.started += 1);
    }

    pub(crate) fn finish(&mut self, label: &Label) {
        self.each(label, |runs| runs.finished += 1);
    }

    fn each(&mut self, label: &Label, change: fn(&mut Runs)) {
        change(&mut self.total);
        if let Some(key) = &label.key {
            change(self.keys.entry(key.clone()).or_default());
        }
        if let Some(reference) = &label.reference {
            change(self.references.entry(reference.clone()).or_default());
        }
    }
}
