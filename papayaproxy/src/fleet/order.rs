//! Decides which document is in force. It never goes to a lower version.

use super::codes;
use super::version::Version;
use crate::base::code::Code;

/// What to do about a version that a peer has announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionAge {
    /// It is the one in force.
    Current,
    /// It is older than the one in force.
    Older,
    /// It is newer: fetch it.
    Newer,
}

/// What became of an offered document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is in force now.
    Accepted {
        /// The version that it replaced.
        replaced: Option<Version>,
        /// Whether the replaced one has the same generation.
        race: bool,
    },
    /// It was in force already.
    Confirmed,
    /// It is refused, and the one in force stays.
    Refused {
        /// Why.
        code: Code,
    },
}

/// The version in force and the highest one heard of.
#[derive(Clone, Debug, Default)]
pub struct VersionTracker {
    in_force: Option<Version>,
    highest: Option<Version>,
    races: u64,
    #[cfg(test)]
    pub(crate) unguarded: bool,
}

impl VersionTracker {
    /// The version in force.
    pub fn in_force(&self) -> Option<Version> {
        self.in_force
    }

    /// The highest version heard of, in force or not.
    pub fn highest(&self) -> Option<Version> {
        self.highest
    }

    /// How often two versions of one generation were met.
    pub fn races(&self) -> u64 {
        self.races
    }

    /// Tells whether a newer version than the one in force is known of.
    pub fn is_behind(&self) -> bool {
        self.highest > self.in_force
    }

    /// Takes note of a version that a peer has in force.
    pub fn record_announced(&mut self, version: Version) -> VersionAge {
        self.highest = self.highest.max(Some(version));
        match self.in_force {
            Some(own) if own == version => VersionAge::Current,
            Some(own) if own > version => VersionAge::Older,
            _ => VersionAge::Newer,
        }
    }

    /// Forgets a version that was announced but cannot be had; the one in force stays.
    pub fn forget_announced(&mut self) {
        self.highest = self.in_force;
    }

    /// Decides on a document that was read, whose content has the version `found`.
    ///
    /// `announced` is the version that it was fetched as, if it was.
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
