//! An agent's work as the lead of its group: takes over, plans, sends commands, and tells the
//! entries how the group does.

use super::agent::Agent;
use super::constants::{
    INITIAL_LOAD, LOST_ORDER_COOLDOWN, PLAN_INTERVAL, PLAN_RETRY_INTERVAL, RANK_GONE,
    REMINDING_RANKS, REMOTE_READ_INTERVAL, REMOTE_READS_MAX, REMOTE_RETRY_DELAY, REMOTE_TIMEOUT,
    TAKEOVER_DELAY, TAKEOVER_RANKS_MAX, TAKEOVER_STAGGER,
};
use super::demand::Popularity;
use super::events;
use super::lead::{MapSizes, Phase, is_fresh};
use super::maps::{changes, is_well_formed, map_keeping};
use super::message::{
    AgentReport, Command, ExpertLists, GroupMember, GroupPulse, GroupStatus, LeadCommand,
    RankMessage, members_digest,
};
use super::planner::{PlanInput, plan, skew_bound, window_skew};
use super::rank::RankClient;
use crate::peers::message::Message;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

impl Agent {
    /// Leads while this is the lowest rank with a fresh report.
    pub(super) async fn update_lead(&mut self, now: Duration) {
        let Some(status) = self.local.status().filter(|s| s.open) else { return };
        let rank = status.rank;
        if self.lowest_live_rank(now).is_some_and(|lowest| lowest < rank) {
            self.lowest_since = None;
            self.lead.stop("a lower rank is heard of", now);
            return;
        }
        let since = *self.lowest_since.get_or_insert(now);
        // Rank 0 has no lower rank to wait for.
        let waited = rank == 0 || now > since + self.takeover_delay(rank, now);
        if waited && *self.lead.phase() == Phase::Following {
            let seen = self.reports.values().map(|(r, _)| r.term).max();
            self.lead.begin(seen.unwrap_or_default().max(self.local.tracker().term), now);
        }
    }

    /// Ranks take over one after the other, so that the first one is heard before the next begins.
    fn takeover_delay(&self, rank: u16, now: Duration) -> Duration {
        let lower = self.reports.iter().filter(|(r, (_, at))| **r < rank && now < *at + RANK_GONE);
        let count = (lower.count() as u32).min(TAKEOVER_RANKS_MAX);
        TAKEOVER_DELAY + TAKEOVER_STAGGER * count
    }

    /// Reads the replicas of agents that do not respond while the lead gathers or switches ranks, so
    /// that a missing agent cannot keep the group held.
    pub(super) async fn control_silent_ranks(&mut self, now: Duration) {
        if matches!(self.lead.phase(), Phase::Following | Phase::Idle | Phase::Preparing { .. }) {
            self.remotes.clear();
            return;
        }
        if now < self.remote_read_at {
            return;
        }
        self.remote_read_at = now + REMOTE_READ_INTERVAL;
        let reports = self.reports.iter();
        let silent = reports
            .filter(|(rank, (_, at))| !is_fresh(*at, now) || self.remotes.contains_key(*rank));
        let mut silent: Vec<(u16, SocketAddr)> =
            silent.map(|(rank, (report, _))| (*rank, report.replica)).collect();
        // Each read may take its whole timeout, in which this agent does nothing else.
        let offset = self.tick_count as usize % silent.len().max(1);
        silent.rotate_left(offset);
        for (rank, replica) in silent.into_iter().take(REMOTE_READS_MAX) {
            self.remotes.entry(rank).or_insert_with(|| {
                tracing::warn!(event = events::STAND_IN, rank, %replica, "agent does not respond");
                RankClient::new(replica, REMOTE_TIMEOUT)
            });
            self.refresh_remote(rank).await;
        }
    }

    async fn refresh_remote(&mut self, rank: u16) {
        let now = self.clock.now();
        let Some(remote) = self.remotes.get_mut(&rank) else { return };
        remote.refresh(now).await;
        if remote.status().is_none() {
            // Its host is frozen or cut off too, so the state of the rank is unknown.
            self.remotes.shift_remove(&rank);
            self.remote_read_at = now + REMOTE_RETRY_DELAY;
            return;
        }
        let Some(status) = remote.status().filter(|s| s.epoch == self.lead.epoch()) else { return };
        let tracker = remote.tracker();
        if let Some((report, at)) = self.reports.get_mut(&rank) {
            report.status = status.clone();
            (report.term, report.order_uncertain, *at) =
                (tracker.term, tracker.has_uncertain_order(), now);
        }
    }

    /// Plans as soon as new demand is known: until the switch, passes take as long as the old map
    /// makes them.
    pub(super) async fn plan_for_shift(&mut self, now: Duration) {
        let changed_at = self.popularity.as_ref().and_then(Popularity::changed_at);
        if matches!(self.lead.phase(), Phase::Idle | Phase::Preparing { .. })
            && changed_at != self.tried_for
        {
            self.propose_plan(now);
            self.run_lead(now).await;
        }
    }

    /// Plans a map for the present demand. A map in preparation for earlier demand is given up.
    pub(super) fn propose_plan(&mut self, now: Duration) {
        let Some(popularity) = self.popularity.as_ref().filter(|p| p.is_settled()) else { return };
        if popularity.changed_at() != self.planned_for {
            self.lead.abandon("demand has shifted", now);
        }
        let quiet = self.local.tracker().lost_at.is_some_and(|at| now < at + LOST_ORDER_COOLDOWN);
        let is_new = popularity.changed_at() != self.tried_for;
        let is_early = now < self.plan_at && !is_new;
        if *self.lead.phase() != Phase::Idle || is_early || quiet {
            return;
        }
        let Some(lists) = self.current_map() else {
            self.plan_at = now + PLAN_INTERVAL;
            return;
        };
        self.tried_for = popularity.changed_at();
        // Planning takes much of an agent's processor time, so an attempt in vain is not repeated soon.
        self.plan_at = now + PLAN_RETRY_INTERVAL;
        // A group starts with a map that ignores demand; it is replaced once demand is known, even
        // under low load.
        let first = self.local.status().is_some_and(|s| s.version == 0);
        let load = if first { self.load().max(INITIAL_LOAD) } else { self.load() };
        let slowdowns = self.slowdowns();
        let life = popularity.expected_life(now);
        let input = PlanInput { popularity, lists: &lists, slowdowns: &slowdowns, load, life };
        let Some(new_plan) = plan(input) else { return };
        let bound = skew_bound(popularity, self.size());
        self.planned_for = popularity.changed_at();
        self.plan_at = now + PLAN_INTERVAL;
        let epoch = self.lead.epoch();
        let base = self.local.status().map_or(0, |s| s.version);
        let seen =
            self.reports.values().map(|(r, _)| r.status.last_version()).max().unwrap_or_default();
        let (map, copy_ms) = (Arc::new(new_plan.map), new_plan.copy_time.as_millis() as u64);
        let map_changes = Arc::new(changes(base, &lists, &map));
        let bytes = encoded_size(map_changes.as_ref());
        let sizes = MapSizes { changes: bytes, whole: encoded_size(map.as_ref()) };
        let Some(version) = self.lead.propose(seen, map.clone(), sizes, now) else { return };
        let met = self.skew_meter.take_mean();
        self.map_changes = Some((version, map_changes));
        self.maps.insert(epoch, base, Arc::new(lists));
        self.maps.insert(epoch, version, map);
        tracing::info!(
            event = events::PLAN_MADE,
            version,
            copies = new_plan.copies,
            bytes,
            copy_ms,
            skew = new_plan.skew,
            planned = new_plan.planned_skew,
            bound,
            met,
            load,
            life_ms = life.as_millis() as u64,
            "new expert map planned"
        );
    }

    /// Notes what passes met in the last window of counts. While a switch is reported, the map in use
    /// is not known.
    pub(super) fn observe_skew(&mut self, now: Duration) {
        if *self.lead.phase() == Phase::Following {
            return;
        }
        let lists = self.current_map();
        if let Some((popularity, lists)) = self.popularity.as_ref().zip(lists) {
            self.skew_meter.observe(window_skew(popularity, &lists), now);
        }
    }

    /// The map in use; `None` unless all ranks report their experts of the same version.
    fn current_map(&self) -> Option<ExpertLists> {
        let version = self.local.status()?.version;
        let figures = self.figures?;
        let sets = usize::from(figures.sets);
        let mut lists: ExpertLists = vec![Vec::new(); sets];
        for rank in 0..self.size() {
            let (report, _) = self.reports.get(&rank)?;
            let (map_version, experts) = &report.experts;
            if *map_version != version || report.status.version != version || experts.len() != sets
            {
                return None;
            }
            for (set, experts) in lists.iter_mut().zip(experts) {
                set.push(experts.clone());
            }
        }
        is_well_formed(&lists, self.size(), &figures).then_some(lists)
    }

    /// Slowdown of each rank; at least 1, also for a rank without a report.
    fn slowdowns(&self) -> Vec<f32> {
        let slowdown =
            |rank| self.reports.get(&rank).map_or(1.0, |(r, _)| r.status.slowdown.max(1.0));
        (0..self.size()).map(slowdown).collect()
    }

    /// Running and waiting requests as a fraction of the group's slots; may exceed 1.
    fn load(&self) -> f64 {
        let sum: f64 = self.reports.values().map(|(r, _)| f64::from(requests(r))).sum();
        let slots = self.figures.map_or(1, |f| f.rank_requests.max(1));
        sum / (f64::from(self.size().max(1)) * f64::from(slots))
    }

    /// Advances the lead, and carries out or sends its commands.
    pub(super) async fn run_lead(&mut self, now: Duration) {
        let commands = self.lead.advance(&self.reports, self.pass_clock.pass_ms, now);
        let (term, epoch) = (self.lead.term(), self.lead.epoch());
        let own_rank = self.local.status().map(|s| s.rank);
        for (rank, command) in commands {
            let lead_command = LeadCommand { term, epoch, command };
            if Some(rank) == own_rank {
                self.execute(lead_command).await;
            } else if self.remotes.contains_key(&rank) {
                self.execute_remotely(rank, lead_command, now).await;
            } else if let Some(address) = self.contacts.agent(rank) {
                let lead_command = self.compact_command(rank, lead_command);
                let message = Message::Rank(RankMessage::Command(Box::new(lead_command)));
                self.send(&message, &[address]).await;
            }
        }
    }

    /// Carries out a command on the replica of a rank whose agent does not respond.
    async fn execute_remotely(&mut self, rank: u16, lead_command: LeadCommand, now: Duration) {
        let (size, figures) = (self.size(), self.figures);
        let Some(remote) = self.remotes.get_mut(&rank) else { return };
        let lead_command = match &lead_command.command {
            Command::Supersede { version } => {
                let lists = remote.replica().expert_lists(REMOTE_TIMEOUT).await;
                let map = lists.ok().zip(figures).and_then(|((_, own), figures)| {
                    map_keeping(rank, &own, size, &figures).map(Arc::new)
                });
                let Some(map) = map else { return };
                LeadCommand { command: Command::Prepare { version: *version, map }, ..lead_command }
            }
            _ => lead_command,
        };
        remote.execute(&lead_command, now).await;
        self.refresh_remote(rank).await;
    }

    /// Replaces a whole map by its changes, unless the rank lacks the map they refer to.
    fn compact_command(&self, rank: u16, mut lead_command: LeadCommand) -> LeadCommand {
        let wants_map = self.reports.get(&rank).is_some_and(|(r, _)| r.wants_map);
        if let (Command::Prepare { version, .. }, Some((of, changes))) =
            (&lead_command.command, &self.map_changes)
            && version == of
            && !wants_map
        {
            let (version, changes) = (*version, changes.clone());
            lead_command.command = Command::PrepareChanges { version, changes };
        }
        lead_command
    }

    /// Status of the group with all members that this rank has heard of.
    pub(super) fn group_status(&self) -> Option<GroupStatus> {
        let status = self.local.status()?;
        let member = |r: &AgentReport| GroupMember {
            address: r.replica,
            slowdown: r.status.slowdown,
            requests: Some(u8::try_from(requests(r)).unwrap_or(u8::MAX)),
        };
        let reports = (0..status.size).filter_map(|rank| self.reports.get(&rank));
        let members: Vec<GroupMember> = reports.map(|(r, _)| member(r)).collect();
        let sum: f64 = self.reports.values().map(|(r, _)| f64::from(requests(r))).sum();
        let now = self.clock.now();
        let ages = self.reports.values().map(|(_, at)| now.saturating_sub(*at));
        let age = ages.sum::<Duration>() / u32::try_from(self.reports.len().max(1)).unwrap_or(1);
        Some(GroupStatus {
            group: (self.service.clone(), status.group.clone()),
            open: status.open && !self.pass_clock.is_stalled(self.clock.now()),
            pass_ms: self.pass_clock.pass_ms as f32,
            requests: (sum / members.len().max(1) as f64) as f32,
            loads_ms: u16::try_from(age.as_millis()).unwrap_or(u16::MAX),
            members,
        })
    }

    /// Tells all entries how the group does: regularly from the lead; when it starts or stops
    /// running and repeatedly while it does not run, also from some other ranks, since the lead may
    /// be cut off.
    pub(super) async fn send_group_status(&mut self, now: Duration) {
        let Some(status) = self.local.status().cloned() else { return };
        let running = status.open && !self.pass_clock.is_stalled(now);
        let changed = self.was_running != running;
        self.was_running = running;
        let is_lead = *self.lead.phase() != Phase::Following;
        let leads = is_lead && self.tick_count.is_multiple_of(2);
        let share = u64::from(status.size).div_ceil(REMINDING_RANKS).max(1);
        let stands_in = u64::from(status.rank).is_multiple_of(share);
        let reminds = !running && self.tick_count.is_multiple_of(3);
        if !(leads || (stands_in && (changed || reminds))) {
            return;
        }
        let Some(group) = self.group_status() else { return };
        let is_slow = |m: &GroupMember| m.slowdown > 1.0;
        let slow = (0..).zip(&group.members).filter(|(_, m)| is_slow(m));
        let pulse = GroupPulse {
            // Only the lead hears of all members.
            members: if is_lead { members_digest(&group.members) } else { 0 },
            slow: if is_lead { slow.map(|(i, m)| (i, m.slowdown)).collect() } else { Vec::new() },
            // A rank that does not lead hears of the others' loads too late.
            loads: match is_lead {
                true => group.members.iter().filter_map(|m| m.requests).collect(),
                false => Vec::new(),
            },
            loads_ms: group.loads_ms,
            group: group.group,
            open: running,
            pass_ms: group.pass_ms,
            requests: group.requests,
        };
        self.send(&Message::Pulse(pulse), &self.contacts.entries()).await;
    }
}

/// Size of a part of a message in bytes.
fn encoded_size(part: &impl Serialize) -> usize {
    postcard::to_stdvec(part).map_or(0, |bytes| bytes.len())
}

/// Running and waiting requests of a rank.
fn requests(report: &AgentReport) -> u32 {
    report.status.running.saturating_add(report.status.waiting)
}
