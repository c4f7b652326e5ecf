//! The own rank: what its replica reports, and orders that take effect once or never.

use super::constants::{FAR_STEPS, LATE_ORDER, ORDER_LIMIT, ORDER_TRIES};
use super::events;
use super::message::{ArmedMap, Command, Directed, Lists, RankStatus};
use crate::platform::rank::{OwnReplica, RankError};
use std::net::SocketAddr;
use std::time::Duration;

/// An order to a replica.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Order {
    /// Copy what the map needs.
    Prepare {
        /// The map's version.
        version: u64,
        /// The map, by set and rank.
        map: Lists,
    },
    /// Switch to a map as a pass begins.
    Arm {
        /// The map's version.
        version: u64,
        /// The pass.
        step: u64,
    },
    /// Do not switch.
    Disarm {
        /// The map's version.
        version: u64,
    },
    /// Hold a pass back.
    Hold {
        /// The pass.
        step: u64,
    },
    /// Let a held pass begin.
    Go {
        /// The pass.
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

/// A replica's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderReply {
    /// It has begun.
    Accepted,
    /// The state already holds.
    Unchanged,
    /// It does not fit the replica's state; nothing has begun.
    Refused(u16),
}

/// What a command asks of a rank with a given view.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Need {
    /// Nothing: the state already holds, or the command does not fit it.
    Nothing,
    /// One order.
    One(Order),
    /// A hold that is never reached, so that the count of orders moves on.
    MoveOn,
}

/// Works out what a command asks for.
pub(crate) fn need(command: &Command, view: &RankStatus, doubt: bool) -> Need {
    match command {
        Command::Prepare { version, map }
            if view.prepared != Some(*version) && !view.busy && view.armed.is_none() =>
        {
            Need::One(Order::Prepare { version: *version, map: map.clone() })
        }
        Command::Arm { version, step }
            if view.armed.is_none() && view.prepared == Some(*version) =>
        {
            Need::One(Order::Arm { version: *version, step: *step })
        }
        Command::Disarm { version } if is_armed(view, *version) => {
            Need::One(Order::Disarm { version: *version })
        }
        Command::Hold { step } if view.held.is_none() => Need::One(Order::Hold { step: *step }),
        Command::Go { step } if view.held == Some(*step) => Need::One(Order::Go { step: *step }),
        // A hold of its own leaves no room for the one that would move the count on.
        Command::Settle if doubt && view.held.is_none() => Need::MoveOn,
        _ => Need::Nothing,
    }
}

fn is_armed(view: &RankStatus, version: u64) -> bool {
    view.armed.is_some_and(|ArmedMap { version: armed, .. }| armed == version)
}

/// What an agent remembers of its rank. Without I/O or clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct Memory {
    /// The last report.
    pub(crate) view: Option<RankStatus>,
    /// The lead that is obeyed.
    pub(crate) term: u64,
    /// The count of orders at which one got no answer, and when.
    doubt: Option<(u64, Duration)>,
    /// When an order last got no answer.
    pub(crate) lost: Option<Duration>,
}

impl Memory {
    /// Whether an order may still be carried out late.
    pub(crate) fn doubt(&self) -> bool {
        self.doubt.is_some()
    }

    /// Takes a report.
    pub(crate) fn learn(&mut self, view: RankStatus, now: Duration) {
        if self.view.as_ref().is_none_or(|v| v.started_ms != view.started_ms) {
            // An earlier run of this agent may have lost an order that nobody remembers.
            self.doubt = Some((view.sequence, now));
        }
        // All tries of an order carry one count, so none is carried out once the count has moved.
        let moved =
            |(count, since): &(u64, Duration)| view.sequence > *count || now > *since + LATE_ORDER;
        if self.doubt.as_ref().is_some_and(moved) {
            self.doubt = None;
        }
        self.view = Some(view);
    }

    /// Takes note of an order at `expected` that got no answer.
    pub(crate) fn unanswered(&mut self, expected: u64, now: Duration) {
        self.doubt = Some((expected, now));
        self.lost = Some(now);
    }

    /// What a command asks for, if neither its term nor its epoch is outdated.
    pub(crate) fn accept(&mut self, directed: &Directed) -> Need {
        if directed.term < self.term {
            return Need::Nothing;
        }
        self.term = directed.term;
        let view = self.view.as_ref().filter(|v| v.epoch == directed.epoch);
        view.map_or(Need::Nothing, |view| need(&directed.command, view, self.doubt()))
    }
}

/// The own rank.
pub(crate) struct OwnRank {
    replica: OwnReplica,
    address: SocketAddr,
    memory: Memory,
    /// Since when the replica does not answer.
    away: Option<Duration>,
    /// Time for one read.
    limit: Duration,
}

impl OwnRank {
    /// The rank of the replica at `address`, which answers reads within `limit`.
    pub(crate) fn new(address: SocketAddr, limit: Duration) -> Self {
        let (replica, memory) = (OwnReplica::new(address), Memory::default());
        Self { replica, address, memory, away: None, limit }
    }

    /// Where the replica listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// The last report, while the replica answers.
    pub(crate) fn view(&self) -> Option<&RankStatus> {
        self.memory.view.as_ref()
    }

    /// What is remembered of the rank.
    pub(crate) fn memory(&self) -> &Memory {
        &self.memory
    }

    /// The replica's own interface.
    pub(crate) fn replica(&self) -> &OwnReplica {
        &self.replica
    }

    /// Reads the report.
    pub(crate) async fn refresh(&mut self, now: Duration) {
        match self.replica.report(self.limit).await {
            Ok(view) => {
                if let Some(since) = self.away.take() {
                    let away_ms = now.saturating_sub(since).as_millis() as u64;
                    tracing::info!(event = events::REPLICA_BACK, away_ms, "replica answers again");
                }
                match view {
                    Some(view) => self.learn(view, now),
                    None => self.memory.view = None,
                }
            }
            Err(error) => self.lose(&error, now),
        }
    }

    /// Carries out a command of the lead.
    pub(crate) async fn obey(&mut self, directed: &Directed, now: Duration) {
        self.refresh(now).await;
        match self.memory.accept(directed) {
            Need::Nothing => return,
            Need::One(order) => self.order(&order, now).await,
            Need::MoveOn => {
                let step = self.view().map_or(0, |v| v.step) + FAR_STEPS;
                self.order(&Order::Hold { step }, now).await;
                self.refresh(now).await;
                if self.view().is_some_and(|v| v.held == Some(step)) {
                    self.order(&Order::Go { step }, now).await;
                }
            }
        }
        self.refresh(now).await;
    }

    /// Gives one order. All tries carry one count, so that only one of them can take effect.
    async fn order(&mut self, order: &Order, now: Duration) {
        let Some((epoch, expected)) = self.view().map(|v| (v.epoch, v.sequence)) else { return };
        let name = order.name();
        for _ in 0..ORDER_TRIES {
            match self.replica.order(order, epoch, expected, ORDER_LIMIT).await {
                Ok(OrderReply::Accepted | OrderReply::Unchanged) => return,
                Ok(OrderReply::Refused(status)) => {
                    let event = events::ORDER_REFUSED;
                    tracing::info!(event, order = name, expected, status, "order refused");
                    return;
                }
                Err(error) => {
                    let event = events::ORDER_LOST;
                    tracing::warn!(event, order = name, expected, %error, "order without answer");
                    self.memory.unanswered(expected, now);
                }
            }
        }
    }

    fn learn(&mut self, view: RankStatus, now: Duration) {
        let same =
            |v: &&RankStatus| v.group == view.group && v.epoch == view.epoch && v.open == view.open;
        if self.view().filter(same).is_none() {
            tracing::info!(
                event = events::RANK_CHANGED,
                group = %view.group,
                epoch = view.epoch,
                rank = view.rank,
                open = view.open,
                "rank changed"
            );
        }
        self.memory.learn(view, now);
    }

    fn lose(&mut self, error: &RankError, now: Duration) {
        if self.away.is_none() {
            self.away = Some(now);
            tracing::warn!(event = events::REPLICA_LOST, %error, "replica does not answer");
        }
        self.memory.view = None;
    }
}
