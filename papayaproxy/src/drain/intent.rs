//! Whether the fleet document, the host list or a signal wants a process to leave.

use super::codes;
use crate::base::code::Code;
use crate::fleet::Upstream;
use std::time::SystemTime;

/// Why new work is refused. The first in this order that applies is the one that is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The process was asked to stop and will not come back.
    Stopping,
    /// The document plans a stop for cleaning.
    Planned,
    /// The platform's list says that the host leaves.
    Host,
    /// The document closes the upstream, or no longer holds it.
    Closed,
}

impl Reason {
    /// The code that refused work is answered with.
    pub fn code(self) -> Code {
        match self {
            Self::Stopping => codes::PROCESS_STOPPING,
            Self::Planned => codes::LEAVING_PLANNED,
            Self::Host => codes::HOST_LEAVING,
            Self::Closed => codes::UPSTREAM_CLOSED,
        }
    }
}

/// Whether `code` refuses work because an upstream or process leaves.
pub fn is_leaving(code: Code) -> bool {
    let reasons = [Reason::Stopping, Reason::Planned, Reason::Host, Reason::Closed];
    reasons.iter().any(|r| r.code() == code)
}

/// What an agent knows of its upstream's planned stops.
#[derive(Clone, Copy, Debug)]
pub struct LeaveConditions<'a> {
    /// The process was asked to stop.
    pub stopping: bool,
    /// The upstream in the document in force; `None` if it has been removed.
    pub upstream: Option<&'a Upstream>,
    /// The platform's list says that the host leaves.
    pub host_leaving: bool,
}

impl LeaveConditions<'_> {
    /// Why new work is to be refused at the document's time `now`; `None` if it is to be taken.
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
