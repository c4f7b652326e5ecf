//! Log lines about peers.

use super::codes;
use super::events;
use super::members::Change;

/// Writes what has changed among the peers.
pub(crate) fn log_changes(changes: &[Change]) {
    for change in changes {
        match change {
            Change::Joined(p) => {
                tracing::info!(event = events::PEER_JOINED, peer = %p.name, zone = %p.zone,
                        incarnation = %p.incarnation, "peer joined");
            }
            Change::Replaced(p) => {
                tracing::info!(event = events::PEER_REPLACED, peer = %p.name,
                        incarnation = %p.incarnation, "peer replaced");
            }
            Change::Judged(p, liveness) => {
                tracing::info!(event = events::PEER_LIVENESS, peer = %p.name, ?liveness, "peer");
            }
            Change::Refused(p) => {
                tracing::warn!(event = events::PEER_REFUSED, peer = %p.name,
                        incarnation = %p.incarnation, code = %codes::INCARNATION_OLD, "refused");
            }
            Change::Superseded(incarnation) => {
                tracing::warn!(event = events::SUPERSEDED, %incarnation, "superseded");
            }
        }
    }
}
