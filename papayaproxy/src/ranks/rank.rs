//! Reads the status of one rank's replica and sends it orders that take effect at most once.

use super::constants::{ORDER_ATTEMPTS, ORDER_TIMEOUT, PREPARE_TIMEOUT, UNCERTAIN_ORDER_TTL};
use super::events;
use super::message::{ArmedMap, Command, ExpertLists, LeadCommand, RankStatus};
use crate::platform::rank::{RankError, ReplicaClient};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// An order to a replica.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Order {
    /// Copy the experts that the map adds to the rank.
    Prepare {
        /// The map's version.
        version: u64,
        /// The map, by set and rank.
        map: Arc<ExpertLists>,
    },
    /// Arm a map: switch to it at the start of a pass.
    Arm {
        /// The map's version.
        version: u64,
        /// The number of the pass.
        step: u64,
    },
    /// Cancel an armed switch.
    Disarm {
        /// The map's version.
        version: u64,
    },
    /// Hold back a pass.
    Hold {
        /// The number of the pass.
        step: u64,
    },
    /// Release a held pass.
    Go {
        /// The number of the pass.
        step: u64,
    },
}

impl Order {
    fn name(&self) -> &'static str {
        match self {
            Self::Prepare { .. } => "prepare",
            Self::Arm { .. } => "arm",
            Self::Disarm { .. } => "disarm",
            Self::Hold { .. } => "hold",
            Self::Go { .. } => "go",
        }
    }
}

/// A replica's reply to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderReply {
    /// The replica carries the order out and has advanced its sequence.
    Accepted,
    /// The requested state is already in place.
    Unchanged,
    /// The order does not fit the replica's state and had no effect; the HTTP status.
    Refused(u16),
}

/// The order that a command requires of a rank with this status; `None` if the state is already in place
/// or the command does not fit it.
pub(crate) fn required_order(command: &Command, status: &RankStatus) -> Option<Order> {
    match command {
        Command::Prepare { version, map }
            if status.lacks(*version) && !status.busy && status.armed.is_none() =>
        {
            Some(Order::Prepare { version: *version, map: map.clone() })
        }
        Command::Arm { version, step }
            if status.armed.is_none() && status.prepared == Some(*version) =>
        {
            Some(Order::Arm { version: *version, step: *step })
        }
        Command::Disarm { version } if is_armed(status, *version) => {
            Some(Order::Disarm { version: *version })
        }
        Command::Hold { step } if status.held.is_none() => Some(Order::Hold { step: *step }),
        Command::Go { step } if status.held == Some(*step) => Some(Order::Go { step: *step }),
        _ => None,
    }
}

fn is_armed(status: &RankStatus, version: u64) -> bool {
    status.armed.is_some_and(|ArmedMap { version: armed, .. }| armed == version)
}

/// Tracks the status, term and unanswered orders of a rank. Without I/O or clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct RankTracker {
    /// The last status; `None` while the replica does not answer or belongs to no group.
    pub(crate) status: Option<RankStatus>,
    /// Term of the lead that the rank follows; 0 before the first.
    pub(crate) term: u64,
    /// Sequence expected by the last unanswered order, and when it was sent.
    uncertain_order: Option<(u64, Duration)>,
    /// When an order last got no answer.
    pub(crate) lost_at: Option<Duration>,
    /// Version of the map whose experts the replica was told to copy, and since when.
    copying: Option<(u64, Duration)>,
}

impl RankTracker {
    /// Whether an unanswered order may still take effect.
    pub(crate) fn has_uncertain_order(&self) -> bool {
        self.uncertain_order.is_some()
    }

    /// Takes a status report.
    pub(crate) fn update(&mut self, mut status: RankStatus, now: Duration) {
        if self.status.as_ref().is_none_or(|s| s.started_ms != status.started_ms) {
            // An earlier run of this agent may have sent an order that is still unanswered.
            self.uncertain_order = Some((status.sequence, now));
        }
        let is_same_group = self.status.as_ref().is_some_and(|s| s.epoch == status.epoch);
        self.copying = self.copying.filter(|(version, since)| {
            is_same_group && status.prepared < Some(*version) && now < *since + PREPARE_TIMEOUT
        });
        status.copying = self.copying.map(|(version, _)| version);
        // All attempts of an order expect the same sequence, so none takes effect once it advances.
        let is_resolved = |(count, since): &(u64, Duration)| {
            status.sequence > *count || now > *since + UNCERTAIN_ORDER_TTL
        };
        if self.uncertain_order.as_ref().is_some_and(is_resolved) {
            self.uncertain_order = None;
        }
        self.status = Some(status);
    }

    /// Records an order that expected the sequence `expected` and got no answer.
    pub(crate) fn mark_lost(&mut self, expected: u64, now: Duration) {
        self.uncertain_order = Some((expected, now));
        self.lost_at = Some(now);
    }

    /// Records that the replica copies the experts of a map.
    pub(crate) fn mark_copying(&mut self, version: u64, now: Duration) {
        self.copying = Some((version, now));
    }

    /// Returns the order to send for a command; `None` if its term or epoch is outdated.
    pub(crate) fn accept(&mut self, lead_command: &LeadCommand) -> Option<Order> {
        if lead_command.term < self.term {
            return None;
        }
        self.term = lead_command.term;
        let status = self.status.as_ref().filter(|s| s.epoch == lead_command.epoch)?;
        required_order(&lead_command.command, status)
    }
}

/// A client of the replica of one rank.
pub(crate) struct RankClient {
    replica: ReplicaClient,
    address: SocketAddr,
    tracker: RankTracker,
    /// When the replica stopped answering; `None` while it answers.
    away_since: Option<Duration>,
    read_timeout: Duration,
}

impl RankClient {
    /// A client of the replica at `address`; each status read takes at most `read_timeout`.
    pub(crate) fn new(address: SocketAddr, read_timeout: Duration) -> Self {
        let (replica, tracker) = (ReplicaClient::new(address), RankTracker::default());
        Self { replica, address, tracker, away_since: None, read_timeout }
    }

    /// Address of the replica.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// The last status; `None` while the replica does not answer or belongs to no group.
    pub(crate) fn status(&self) -> Option<&RankStatus> {
        self.tracker.status.as_ref()
    }

    /// What is known of the rank beyond its status.
    pub(crate) fn tracker(&self) -> &RankTracker {
        &self.tracker
    }

    /// The replica's HTTP interface.
    pub(crate) fn replica(&self) -> &ReplicaClient {
        &self.replica
    }

    /// Reads the status from the replica.
    pub(crate) async fn refresh(&mut self, now: Duration) {
        match self.replica.report(self.read_timeout).await {
            Ok(status) => {
                if let Some(since) = self.away_since.take() {
                    let away_ms = now.saturating_sub(since).as_millis() as u64;
                    tracing::info!(event = events::REPLICA_BACK, away_ms, "replica answers again");
                }
                match status {
                    Some(status) => self.update(status, now),
                    None => self.tracker.status = None,
                }
            }
            Err(error) => self.mark_unavailable(&error, now),
        }
    }

    /// Carries out a command from the lead.
    pub(crate) async fn execute(&mut self, lead_command: &LeadCommand, now: Duration) {
        self.refresh(now).await;
        if let Some(order) = self.tracker.accept(lead_command) {
            self.send_order(&order, now).await;
            self.refresh(now).await;
        }
    }

    /// Sends one order. All attempts expect the same sequence, so at most one takes effect.
    async fn send_order(&mut self, order: &Order, now: Duration) {
        let Some((epoch, expected)) = self.status().map(|s| (s.epoch, s.sequence)) else { return };
        let name = order.name();
        for _ in 0..ORDER_ATTEMPTS {
            match self.replica.send_order(order, epoch, expected, ORDER_TIMEOUT).await {
                Ok(OrderReply::Accepted | OrderReply::Unchanged) => {
                    if let Order::Prepare { version, .. } = order {
                        self.tracker.mark_copying(*version, now);
                    }
                    return;
                }
                Ok(OrderReply::Refused(status)) => {
                    let event = events::ORDER_REFUSED;
                    tracing::info!(
                        event,
                        order = name,
                        expected,
                        status,
                        "replica refused the order"
                    );
                    return;
                }
                Err(error) => {
                    let event = events::ORDER_LOST;
                    tracing::warn!(event, order = name, expected, %error, "order got no answer");
                    self.tracker.mark_lost(expected, now);
                }
            }
        }
    }

    fn update(&mut self, status: RankStatus, now: Duration) {
        let same = |s: &&RankStatus| {
            s.group == status.group && s.epoch == status.epoch && s.open == status.open
        };
        if self.status().filter(same).is_none() {
            tracing::info!(
                event = events::RANK_CHANGED,
                group = %status.group,
                epoch = status.epoch,
                rank = status.rank,
                open = status.open,
                "rank changed"
            );
        }
        self.tracker.update(status, now);
    }

    fn mark_unavailable(&mut self, error: &RankError, now: Duration) {
        if self.away_since.is_none() {
            self.away_since = Some(now);
            tracing::warn!(event = events::REPLICA_LOST, %error, "replica does not answer");
        }
        self.tracker.status = None;
    }
}
