//! Decides whether a process has to leave: by the fleet document, the host list or a signal.

use super::codes;
use crate::base::code::Code;
use crate::fleet::Upstream;
use std::time::SystemTime;

/// Why new work is refused. If several apply, the first in this order is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The process has received a signal to stop; this is final.
    Stopping,
    /// The fleet document plans a stop for cleaning at this time.
    Planned,
    /// The platform's host list marks the host as leaving.
    Host,
    /// The fleet document closes the upstream to new work, or no longer contains it.
    Closed,
}

impl Reason {
    /// The result code of work that is refused for this reason.
    pub fn code(self) -> Code {
        match self {
            Self::Stopping => codes::PROCESS_STOPPING,
            Self::Planned => codes::LEAVING_PLANNED,
            Self::Host => codes::HOST_LEAVING,
            Self::Closed => codes::UPSTREAM_CLOSED,
        }
    }
}

/// Whether `code` means that work was refused because an upstream or process is leaving.
pub fn is_leaving(code: Code) -> bool {
    let reasons = [Reason::Stopping, Reason::Planned, Reason::Host, Reason::Closed];
    reasons.iter().any(|r| r.code() == code)
}

/// The conditions that decide whether an agent's upstream has to leave.
#[derive(Clone, Copy, Debug)]
pub struct LeaveConditions<'a> {
    /// Whether the process has received a signal to stop.
    pub stopping: bool,
    /// The upstream in the fleet document in force; `None` if the document does not contain it.
    pub upstream: Option<&'a Upstream>,
    /// Whether the platform's host list marks the host as leaving.
    pub host_leaving: bool,
}

impl LeaveConditions<'_> {
    /// The reason to refuse new work at the time `now`; `None` if it is accepted.
    pub fn reason(&self, now: SystemTime) -> Option<Reason> {
        if self.stopping {
            return Some(Reason::Stopping);
        }
        let Some(upstream) = self.upstream else {
            return Some(Reason::Closed);
        };
        if upstream.leaves.is_some_and(|l| l.from <= now && now < l.until) {
            return Some(Reason::Planned);
        }
        if self.host_leaving {
            return Some(Reason::Host);
        }
        (!upstream.open).then_some(Reason::Closed)
    }
}
