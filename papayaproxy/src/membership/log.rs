//! Log lines for membership changes.

use super::codes;
use super::events;
use super::members::Change;

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
            Change::LivenessChanged(p, liveness) => {
                tracing::info!(event = events::PEER_LIVENESS, peer = %p.name, ?liveness,
                        "peer liveness changed");
            }
            Change::Refused(p) => {
                tracing::warn!(event = events::PEER_REFUSED, peer = %p.name,
                        incarnation = %p.incarnation, code = %codes::INCARNATION_OLD,
                        "peer state refused: old incarnation");
            }
            Change::Superseded(incarnation) => {
                tracing::warn!(event = events::SUPERSEDED, %incarnation,
                        "superseded by a later incarnation");
            }
        }
    }
}
