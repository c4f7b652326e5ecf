//! Decides which document is in force; the version never decreases.

use super::codes;
use super::version::Version;
use crate::base::code::Code;

/// How an announced version compares with the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionAge {
    /// Equal to the version in force.
    Current,
    /// Older than the version in force.
    Older,
    /// Newer than the version in force, or none is in force.
    Newer,
}

/// Result of offering a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The document is now in force.
    Accepted {
        /// The replaced version; `None` for the first document.
        replaced: Option<Version>,
        /// Whether the replaced version has the same generation.
        race: bool,
    },
    /// The document was already in force.
    Confirmed,
    /// The document was refused; the one in force stays.
    Refused {
        /// Reason for the refusal.
        code: Code,
    },
}

/// Tracks the version in force and the highest known version.
#[derive(Clone, Debug, Default)]
pub struct VersionTracker {
    in_force: Option<Version>,
    highest: Option<Version>,
    races: u64,
    #[cfg(test)]
    pub(crate) unguarded: bool,
}

impl VersionTracker {
    /// The version in force; `None` before the first document.
    pub fn in_force(&self) -> Option<Version> {
        self.in_force
    }

    /// The highest known version, whether in force or only announced.
    pub fn highest(&self) -> Option<Version> {
        self.highest
    }

    /// Number of offers that had the generation in force but another digest.
    pub fn races(&self) -> u64 {
        self.races
    }

    /// Whether a version newer than the one in force is known.
    pub fn is_behind(&self) -> bool {
        self.highest > self.in_force
    }

    /// Records a version that a peer announced and compares it with the one in force.
    pub fn record_announced(&mut self, version: Version) -> VersionAge {
        self.highest = self.highest.max(Some(version));
        match self.in_force {
            Some(own) if own == version => VersionAge::Current,
            Some(own) if own > version => VersionAge::Older,
            _ => VersionAge::Newer,
        }
    }

    /// Forgets announced versions that no peer can provide; the one in force stays.
    pub fn forget_announced(&mut self) {
        self.highest = self.in_force;
    }

    /// Decides whether a document with version `found` comes into force.
    ///
    /// `announced` is the version requested from a peer; `None` for other sources.
    pub fn offer(&mut self, announced: Option<Version>, found: Version) -> Verdict {
        if announced.is_some_and(|a| a != found) {
            return Verdict::Refused { code: codes::VERSION_MISMATCH };
        }
        let race = self.in_force.is_some_and(|own| own.races(&found));
        self.races += u64::from(race);
        if self.in_force == Some(found) {
            return Verdict::Confirmed;
        }
        if self.in_force > Some(found) && self.is_guarded() {
            let code = if race { codes::VERSION_RACE } else { codes::VERSION_OLDER };
            return Verdict::Refused { code };
        }
        let replaced = self.in_force.replace(found);
        let raised = replaced < self.in_force || !self.is_guarded();
        assert!(raised, "{}: a lower version came into force", codes::VERSION_LOWERED);
        self.highest = self.highest.max(self.in_force);
        Verdict::Accepted { replaced, race }
    }

    #[cfg(test)]
    fn is_guarded(&self) -> bool {
        !self.unguarded
    }

    #[cfg(not(test))]
    fn is_guarded(&self) -> bool {
        true
    }
}
