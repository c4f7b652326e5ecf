//! The agent of one rank: reads its replica, reports to the other agents, and follows or leads.

use super::constants::{
    COUNT_INTERVAL, FREEZE_THRESHOLD, FULL_LOAD_REQUESTS, FULL_RATE_RANKS, HELLO_ENTRIES,
    HELLO_INTERVAL, INITIAL_LOAD, LEAD_REPORT_TICKS, LOST_ORDER_COOLDOWN, PLAN_INTERVAL,
    READ_TIMEOUT, REMOTE_READ_INTERVAL, REMOTE_RETRY_DELAY, REMOTE_TIMEOUT, TAKEOVER_DELAY, TICK,
};
use super::demand::Popularity;
use super::events;
use super::lead::{Lead, Phase, Reports, is_fresh};
use super::message::{
    AgentHello, AgentReport, Command, ExpertLists, GroupContacts, GroupMember, GroupStatus,
    LeadCommand, RankMessage, RankStatus,
};
use super::pass::PassClock;
use super::planner::plan;
use super::rank::RankClient;
use super::settings::RankSettings;
use crate::base::clock::Clock;
use crate::base::name::Name;
use crate::catalog::ExpertFigures;
use crate::catalog::freshness::boot_time;
use crate::peers::message::{Message, send};
use indexmap::{IndexMap, IndexSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

/// Size of the receive buffer in bytes: a map of the largest group with its envelope.
const DATAGRAM_BYTES: usize = 16 << 10;

/// The agent's state, owned by its single task.
pub(crate) struct Agent {
    socket: UdpSocket,
    clock: Clock,
    service: Name,
    local: RankClient,
    lead: Lead,
    reports: Reports,
    /// Addresses of the group's agents by rank.
    agents: IndexMap<u16, SocketAddr>,
    entries: IndexSet<SocketAddr>,
    figures: Option<ExpertFigures>,
    popularity: Option<Popularity>,
    /// The local replica's expert counts at the last read.
    last_counts: Vec<u64>,
    /// Counts to send with the next report.
    pending_counts: Vec<u32>,
    /// Epoch, map version and the rank's experts of that version by set.
    experts: (u64, u64, Vec<Vec<u16>>),
    /// Clients of replicas whose agents do not respond, by rank.
    remotes: IndexMap<u16, RankClient>,
    pass_clock: PassClock,
    schedule: Schedule,
    /// When the last tick ended, by the clock that also runs while the host is suspended.
    last_tick: Duration,
    tick_count: u64,
    /// Since when this is the lowest rank with a fresh report; `None` while it is not.
    lowest_since: Option<Duration>,
    /// Whether the last status sent to the entries had the group running.
    was_running: bool,
}

/// Next time of each periodic task.
#[derive(Default)]
struct Schedule {
    counts: Duration,
    hello: Duration,
    plan: Duration,
    remote_read: Duration,
}

impl Agent {
    /// An agent that knows only its seeds.
    pub(crate) fn new(socket: UdpSocket, settings: &RankSettings) -> Self {
        Self {
            socket,
            clock: Clock::start(),
            service: settings.service.clone(),
            local: RankClient::new(settings.replica, READ_TIMEOUT),
            lead: Lead::new(0, 0, 0),
            reports: Reports::new(),
            agents: IndexMap::new(),
            entries: settings.seeds.iter().copied().collect(),
            figures: None,
            popularity: None,
            last_counts: Vec::new(),
            pending_counts: Vec::new(),
            experts: (0, 0, Vec::new()),
            remotes: IndexMap::new(),
            pass_clock: PassClock::default(),
            schedule: Schedule::default(),
            last_tick: boot_time(),
            tick_count: 0,
            lowest_since: None,
            was_running: false,
        }
    }

    /// Runs until it is dropped.
    pub(crate) async fn run(mut self, mut seeds: watch::Receiver<Vec<SocketAddr>>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.tick().await;
                    self.last_tick = boot_time();
                }
                Ok(()) = seeds.changed() => {
                    self.entries.extend(seeds.borrow_and_update().iter().copied());
                }
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.receive(&buffer[..length], from).await,
                    // An unreachable peer is reported here, on the next receive.
                    Err(error) => tracing::debug!(%error, "receive failed"),
                },
            }
        }
    }

    /// Drops datagrams queued while this process was frozen: a lead may have undone their commands.
    fn drop_stale_datagrams(&mut self) {
        let frozen = boot_time().saturating_sub(self.last_tick);
        if frozen < FREEZE_THRESHOLD {
            return;
        }
        let mut buffer = vec![0; DATAGRAM_BYTES];
        let mut dropped = 0u64;
        while self.socket.try_recv_from(&mut buffer).is_ok() {
            dropped += 1;
        }
        self.last_tick = boot_time();
        self.reports.clear();
        self.lead.stop("was frozen", self.clock.now());
        let frozen_ms = frozen.as_millis() as u64;
        tracing::warn!(
            event = events::WOKEN,
            frozen_ms,
            dropped,
            "agent was frozen; dropped queued datagrams"
        );
    }

    async fn tick(&mut self) {
        self.drop_stale_datagrams();
        let now = self.clock.now();
        self.tick_count += 1;
        self.local.refresh(now).await;
        self.sync_group().await;
        if now >= self.schedule.hello {
            self.schedule.hello = now + HELLO_INTERVAL;
            self.send_hello().await;
        }
        if now >= self.schedule.counts {
            self.schedule.counts = now + COUNT_INTERVAL;
            self.read_counts().await;
        }
        self.send_report().await;
        self.update_lead(now);
        self.control_silent_ranks(now).await;
        self.propose_plan(now);
        self.run_lead(now).await;
        self.send_group_status().await;
    }

    fn size(&self) -> u16 {
        self.local.status().map_or(0, |s| s.size)
    }

    /// Resets the lead when the group has formed again, and reads the rank's experts after a
    /// switch.
    async fn sync_group(&mut self) {
        let now = self.clock.now();
        let Some(status) = self.local.status().cloned() else { return };
        if status.epoch != self.lead.epoch() || !status.open {
            self.lead.stop("the group has broken or formed anew", now);
        }
        if status.epoch != self.lead.epoch() {
            self.lead = Lead::new(status.rank, status.size, status.epoch);
            self.reports.clear();
            self.lowest_since = None;
        }
        self.pass_clock.observe(&status, now);
        let known = (self.experts.0, self.experts.1) == (status.epoch, status.version);
        if known && !self.experts.2.is_empty() {
            return;
        }
        match self.local.replica().expert_lists(READ_TIMEOUT).await {
            Ok((version, experts)) => self.experts = (status.epoch, version, experts),
            Err(error) => tracing::info!(%error, "cannot read the replica's experts"),
        }
    }

    /// Reads how often each expert was chosen since the last read.
    async fn read_counts(&mut self) {
        if self.local.status().is_none_or(|s| !s.open) {
            return;
        }
        match self.local.replica().expert_counts(READ_TIMEOUT).await {
            Ok(counts) => {
                let first_read = self.last_counts.len() != counts.selections.len();
                let increments = counts.selections.iter().zip(&self.last_counts);
                // The replica's counts restart from 0 with the rank.
                let increments = increments.map(|(new, old)| new.saturating_sub(*old) as u32);
                self.pending_counts = if first_read { Vec::new() } else { increments.collect() };
                self.last_counts = counts.selections;
            }
            Err(error) => tracing::info!(%error, "cannot read the replica's expert counts"),
        }
    }

    fn build_report(&mut self) -> Option<AgentReport> {
        let status = self.local.status()?.clone();
        Some(AgentReport {
            status,
            replica: self.local.address(),
            term: self.local.tracker().term,
            order_uncertain: self.local.tracker().has_uncertain_order(),
            experts: (self.experts.1, self.experts.2.clone()),
            expert_counts: std::mem::take(&mut self.pending_counts),
        })
    }

    /// Sends the full report to the lead. The others get a short one, less often in large groups:
    /// they only need to know which ranks are live, above all the lead.
    async fn send_report(&mut self) {
        let Some(report) = self.build_report() else { return };
        let (own_rank, now) = (report.status.rank, self.clock.now());
        self.record_report(report.clone());
        let lead = self.lowest_live_rank(now).unwrap_or(own_rank);
        if let Some(address) = self.agents.get(&lead).filter(|_| lead != own_rank).copied() {
            let message = Message::Rank(RankMessage::Report(Box::new(report.clone())));
            self.send(&message, &[address]).await;
        }
        let follower_ticks = usize::from(self.size()).div_ceil(FULL_RATE_RANKS).max(1) as u64;
        let report_ticks =
            if lead == own_rank { follower_ticks.min(LEAD_REPORT_TICKS) } else { follower_ticks };
        if !self.tick_count.is_multiple_of(report_ticks) {
            return;
        }
        let others = self.agents.iter().filter(|(rank, _)| **rank != own_rank && **rank != lead);
        let to: Vec<SocketAddr> = others.map(|(_, address)| *address).collect();
        let summary = AgentReport { experts: (0, Vec::new()), expert_counts: Vec::new(), ..report };
        self.send(&Message::Rank(RankMessage::Report(Box::new(summary))), &to).await;
    }

    fn record_report(&mut self, mut report: AgentReport) {
        let now = self.clock.now();
        let Some(status) = self.local.status() else { return };
        if report.status.group != status.group || report.status.epoch != status.epoch {
            return;
        }
        if let Some(figures) = self.figures {
            let new = || Popularity::new(figures, now);
            let counts = std::mem::take(&mut report.expert_counts);
            self.popularity.get_or_insert_with(new).record(&counts, now);
        }
        if let Some((known, _)) = self.reports.get(&report.status.rank)
            && report.experts.1.is_empty()
        {
            report.experts = known.experts.clone();
        }
        self.reports.insert(report.status.rank, (report, now));
    }

    fn lowest_live_rank(&self, now: Duration) -> Option<u16> {
        self.reports.iter().filter(|(_, (_, at))| is_fresh(*at, now)).map(|(rank, _)| *rank).min()
    }

    /// Leads while this is the lowest rank with a fresh report.
    fn update_lead(&mut self, now: Duration) {
        let Some(status) = self.local.status().filter(|s| s.open) else { return };
        let rank = status.rank;
        if self.lowest_live_rank(now).is_some_and(|lowest| lowest < rank) {
            self.lowest_since = None;
            self.lead.stop("a lower rank is heard of", now);
            return;
        }
        let since = *self.lowest_since.get_or_insert(now);
        // Rank 0 has no lower rank to wait for.
        let waited = rank == 0 || now > since + TAKEOVER_DELAY;
        if waited && *self.lead.phase() == Phase::Following {
            let seen = self.reports.values().map(|(r, _)| r.term).max();
            self.lead.begin(seen.unwrap_or_default().max(self.local.tracker().term), now);
        }
    }

    /// Reads the replicas of agents that do not respond while the lead gathers or switches ranks, so
    /// that a missing agent cannot keep the group held.
    async fn control_silent_ranks(&mut self, now: Duration) {
        if matches!(self.lead.phase(), Phase::Following | Phase::Idle | Phase::Preparing { .. }) {
            self.remotes.clear();
            return;
        }
        if now < self.schedule.remote_read {
            return;
        }
        self.schedule.remote_read = now + REMOTE_READ_INTERVAL;
        let stale = |at: Duration| !is_fresh(at, now);
        let silent: Vec<(u16, SocketAddr)> = self
            .reports
            .iter()
            .filter(|(rank, (_, at))| stale(*at) || self.remotes.contains_key(*rank))
            .map(|(rank, (report, _))| (*rank, report.replica))
            .collect();
        for (rank, replica) in silent {
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
            self.schedule.remote_read = now + REMOTE_RETRY_DELAY;
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

    fn propose_plan(&mut self, now: Duration) {
        let quiet = self.local.tracker().lost_at.is_some_and(|at| now < at + LOST_ORDER_COOLDOWN);
        if *self.lead.phase() != Phase::Idle || now < self.schedule.plan || quiet {
            return;
        }
        self.schedule.plan = now + PLAN_INTERVAL;
        let Some(lists) = self.current_map() else { return };
        let Some(popularity) = &self.popularity else { return };
        // A group starts with a map that ignores demand; it is replaced once demand is known, even
        // under low load.
        let first = self.local.status().is_some_and(|s| s.version == 0);
        let load = if first { self.load().max(INITIAL_LOAD) } else { self.load() };
        let slowdowns = self.slowdowns();
        let Some(new_plan) = plan(popularity, &lists, &slowdowns, load) else { return };
        let versions = self
            .reports
            .values()
            .map(|(r, _)| r.status.version.max(r.status.prepared.unwrap_or_default()));
        let version = versions.max().unwrap_or_default() + 1;
        tracing::info!(
            event = events::PLAN_MADE,
            version,
            copies = new_plan.copies,
            skew = new_plan.skew,
            planned = new_plan.planned_skew,
            load,
            "new expert map planned"
        );
        self.lead.propose(version, new_plan.map, now);
    }

    /// The map in use; `None` unless all ranks report their experts of the same version.
    fn current_map(&self) -> Option<ExpertLists> {
        let version = self.local.status()?.version;
        let sets = usize::from(self.figures?.sets);
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
        Some(lists)
    }

    /// Slowdown of each rank; at least 1, also for a rank without a report.
    fn slowdowns(&self) -> Vec<f32> {
        let slowdown =
            |rank| self.reports.get(&rank).map_or(1.0, |(r, _)| r.status.slowdown.max(1.0));
        (0..self.size()).map(slowdown).collect()
    }

    /// Running and waiting requests as a fraction of the group's slots; may exceed 1.
    fn load(&self) -> f64 {
        let requests = |r: &AgentReport| f64::from(r.status.running + r.status.waiting);
        let sum: f64 = self.reports.values().map(|(r, _)| requests(r)).sum();
        sum / (f64::from(self.size().max(1)) * FULL_LOAD_REQUESTS)
    }

    /// Advances the lead, and carries out or sends its commands.
    async fn run_lead(&mut self, now: Duration) {
        let commands = self.lead.advance(&self.reports, self.pass_clock.pass_ms, now);
        let (term, epoch) = (self.lead.term(), self.lead.epoch());
        let own_rank = self.local.status().map(|s| s.rank);
        for (rank, command) in commands {
            let lead_command = LeadCommand { term, epoch, command };
            if Some(rank) == own_rank {
                self.execute(&lead_command).await;
            } else if let Some(remote) = self.remotes.get_mut(&rank) {
                remote.execute(&lead_command, now).await;
                self.refresh_remote(rank).await;
            } else if let Some(address) = self.agents.get(&rank).copied() {
                self.send(&Message::Rank(RankMessage::Command(Box::new(lead_command))), &[address])
                    .await;
            }
        }
    }

    async fn execute(&mut self, lead_command: &LeadCommand) {
        let now = self.clock.now();
        if lead_command.term < self.local.tracker().term {
            return;
        }
        if !matches!(lead_command.command, Command::Follow)
            || lead_command.term > self.local.tracker().term
        {
            self.local.execute(lead_command, now).await;
        }
        self.sync_group().await;
        Box::pin(self.send_report()).await;
    }

    async fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        // The datagram just received is the oldest one queued, so it is outdated too.
        if boot_time().saturating_sub(self.last_tick) >= FREEZE_THRESHOLD {
            self.drop_stale_datagrams();
            return;
        }
        let message = match postcard::from_bytes(bytes) {
            Ok(message) => message,
            Err(error) => {
                let event = crate::peers::events::DATAGRAM_REFUSED;
                tracing::warn!(event, peer = %from, %error, "datagram refused");
                return;
            }
        };
        match message {
            Message::Rank(RankMessage::Report(report)) => {
                let same = |s: &RankStatus| s.group == report.status.group;
                if self.local.status().is_some_and(same) {
                    self.agents.insert(report.status.rank, from);
                    self.remotes.shift_remove(&report.status.rank);
                }
                self.record_report(*report);
                if !matches!(self.lead.phase(), Phase::Following | Phase::Idle) {
                    self.run_lead(self.clock.now()).await;
                }
            }
            Message::Rank(RankMessage::Command(lead_command)) => self.execute(&lead_command).await,
            Message::Contacts(contacts) => self.add_contacts(contacts),
            _ => {}
        }
    }

    fn add_contacts(&mut self, contacts: GroupContacts) {
        self.agents.extend(contacts.agents);
        self.entries.extend(contacts.entries);
        if contacts.figures.is_some() {
            self.figures = contacts.figures;
        }
    }

    /// Sends a hello to some entries, which reply with the contacts of the group.
    async fn send_hello(&mut self) {
        let Some(status) = self.local.status() else { return };
        let (group, rank) = (status.group.clone(), status.rank);
        let hello = AgentHello { service: self.service.clone(), group, rank };
        // All agents contact the same entries, so that each entry knows all agents of a group.
        let mut entries: Vec<SocketAddr> = self.entries.iter().copied().collect();
        entries.sort_unstable();
        entries.truncate(HELLO_ENTRIES);
        self.send(&Message::Hello(hello), &entries).await;
    }

    /// Sends the group's status to the entries: regularly from the lead, at once from a rank that
    /// sees the group start or stop running, and repeatedly from each rank while it does not run.
    async fn send_group_status(&mut self) {
        let Some(status) = self.local.status().cloned() else { return };
        let running = status.open && !self.pass_clock.is_stalled(self.clock.now());
        let changed = self.was_running != running;
        self.was_running = running;
        let leads = *self.lead.phase() != Phase::Following && self.tick_count.is_multiple_of(2);
        let reminds = !running && self.tick_count.is_multiple_of(3);
        if !(changed || leads || reminds) {
            return;
        }
        let member = |r: &AgentReport| GroupMember {
            address: r.replica,
            requests: (r.status.running + r.status.waiting).min(u32::from(u16::MAX)) as u16,
            slowdown: r.status.slowdown,
        };
        let group_status = GroupStatus {
            group: (self.service.clone(), status.group.clone()),
            open: running,
            pass_ms: self.pass_clock.pass_ms as f32,
            members: self.reports.values().map(|(r, _)| member(r)).collect(),
        };
        let entries: Vec<SocketAddr> = self.entries.iter().copied().collect();
        self.send(&Message::Group(group_status), &entries).await;
    }

    async fn send(&self, message: &Message, to: &[SocketAddr]) {
        send(&self.socket, message, to).await;
    }
}
