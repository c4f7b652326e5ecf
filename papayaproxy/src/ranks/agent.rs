//! The agent of one rank: reads its replica, reports to the other agents, and follows or leads.

use super::constants::{FAST_TICK, FREEZE_THRESHOLD, LATE_TICK, READ_TIMEOUT, TICK};
use super::contacts::Contacts;
use super::demand::Popularity;
use super::events;
use super::lead::{Lead, Phase, Reports, is_fresh};
use super::maps::{MapStore, first_map, map_keeping};
use super::message::{
    AgentHello, AgentReport, Command, CountSample, ExpertLists, GroupContacts, LeadCommand,
    MapChanges, MembersQuery, RankMessage, RankStatus,
};
use super::pass::PassClock;
use super::planner::SkewMeter;
use super::rank::RankClient;
use super::report::{ReportSchedule, ReportState, count_interval, decode_counts, encode_counts};
use super::settings::RankSettings;
use crate::base::clock::Clock;
use crate::base::name::Name;
use crate::catalog::ExpertFigures;
use crate::catalog::freshness::boot_time;
use crate::peers::message::{Message, send};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Size of the receive buffer in bytes: a map of the largest group with its envelope.
const DATAGRAM_BYTES: usize = 32 << 10;

/// The agent's state, owned by its single task.
pub(crate) struct Agent {
    pub(super) socket: Rc<UdpSocket>,
    pub(super) clock: Clock,
    pub(super) service: Name,
    pub(super) local: RankClient,
    pub(super) lead: Lead,
    pub(super) reports: Reports,
    pub(super) contacts: Contacts,
    pub(super) figures: Option<ExpertFigures>,
    pub(super) popularity: Option<Popularity>,
    pub(super) maps: MapStore,
    /// Version of the planned map, and its changes against the map in use.
    pub(super) map_changes: Option<(u64, Arc<MapChanges>)>,
    /// What passes have met since the last plan.
    pub(super) skew_meter: SkewMeter,
    /// When demand had last shifted as of the plan in progress.
    pub(super) planned_for: Option<Duration>,
    /// The same as of the last attempt to plan, whether or not a plan was worth it.
    pub(super) tried_for: Option<Duration>,
    /// The local replica's expert counts at the last read; empty if the tick before had no read.
    last_counts: Vec<u64>,
    /// Counts between the last two reads.
    recent_counts: Vec<u32>,
    /// Epoch, map version and the rank's experts of that version by set.
    experts: (u64, u64, Vec<Vec<u16>>),
    wants_map: bool,
    schedule: ReportSchedule,
    /// Clients of replicas whose agents do not respond, by rank.
    pub(super) remotes: IndexMap<u16, RankClient>,
    pub(super) remote_read_at: Duration,
    pub(super) plan_at: Duration,
    pub(super) pass_clock: PassClock,
    /// When the last tick ended, by the clock that also runs while the host is suspended.
    last_tick: Duration,
    /// Regular ticks so far.
    pub(super) tick_count: u64,
    next_regular: Duration,
    /// Since when this is the lowest rank with a fresh report; `None` while it is not.
    pub(super) lowest_since: Option<Duration>,
    /// Whether the last status sent to the entries had the group running.
    pub(super) was_running: bool,
}

impl Agent {
    /// An agent that knows only its seeds.
    pub(crate) fn new(socket: Rc<UdpSocket>, settings: &RankSettings) -> Self {
        Self {
            socket,
            clock: Clock::start(),
            service: settings.service.clone(),
            local: RankClient::new(settings.replica, READ_TIMEOUT),
            lead: Lead::new(0, 0, 0, rand::random()),
            reports: Reports::new(),
            contacts: Contacts::new(settings.seeds.clone()),
            figures: None,
            popularity: None,
            maps: MapStore::default(),
            map_changes: None,
            skew_meter: SkewMeter::default(),
            planned_for: None,
            tried_for: None,
            last_counts: Vec::new(),
            recent_counts: Vec::new(),
            experts: (0, 0, Vec::new()),
            wants_map: false,
            schedule: ReportSchedule::default(),
            remotes: IndexMap::new(),
            remote_read_at: Duration::ZERO,
            plan_at: Duration::ZERO,
            pass_clock: PassClock::default(),
            last_tick: boot_time(),
            tick_count: 0,
            next_regular: Duration::ZERO,
            lowest_since: None,
            was_running: false,
        }
    }

    /// Runs until it is dropped.
    pub(crate) async fn run(mut self, mut seeds: watch::Receiver<Vec<SocketAddr>>) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        let mut next = Instant::now();
        loop {
            tokio::select! {
                () = sleep_until(next) => {
                    let late = next.elapsed();
                    if late >= LATE_TICK {
                        let late_ms = late.as_millis() as u64;
                        tracing::info!(event = events::TICK_LATE, late_ms, "tick began late");
                    }
                    self.tick().await;
                    self.last_tick = boot_time();
                    next = Instant::now() + self.tick_interval();
                }
                Ok(()) = seeds.changed() => {
                    self.contacts.set_seeds(seeds.borrow_and_update().clone());
                }
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.receive(&buffer[..length], from).await,
                    // An unreachable peer is reported here, on the next receive.
                    Err(error) => tracing::debug!(%error, "receive failed"),
                },
            }
        }
    }

    /// While a switch is in progress, the lead waits for each rank's next status.
    fn tick_interval(&self) -> Duration {
        let is_copying = |s: &RankStatus| s.busy || s.copying.is_some();
        let is_switching =
            |s: &RankStatus| s.open && (is_copying(s) || s.armed.is_some() || s.held.is_some());
        if self.local.status().is_some_and(is_switching) { FAST_TICK } else { TICK }
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
        let is_regular = now >= self.next_regular;
        if is_regular {
            self.tick_count += 1;
            self.next_regular = now + TICK - FAST_TICK / 2;
        }
        self.local.refresh(now).await;
        self.sync_group().await;
        if is_regular {
            self.send_hello(now).await;
            self.read_counts().await;
        }
        self.send_report(is_regular).await;
        self.update_lead(now).await;
        self.control_silent_ranks(now).await;
        self.propose_plan(now);
        self.run_lead(now).await;
        if is_regular {
            self.send_group_status(now).await;
        }
    }

    pub(super) fn size(&self) -> u16 {
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
            self.lead = Lead::new(status.rank, status.size, status.epoch, rand::random());
            self.reports.clear();
            self.lowest_since = None;
            self.wants_map = false;
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

    /// Reads how often each expert was chosen since the last read. A rank whose counts are not due
    /// soon reads none.
    async fn read_counts(&mut self) {
        let Some(status) = self.local.status().filter(|s| s.open) else { return };
        let cells = self.cells();
        let interval = count_interval(status.size.into(), cells);
        let turn = (self.tick_count + u64::from(status.rank)) % interval;
        let is_lead = *self.lead.phase() != Phase::Following;
        self.recent_counts.clear();
        if !is_lead && turn != 0 && turn + 1 != interval {
            self.last_counts.clear();
            return;
        }
        match self.local.replica().expert_counts(READ_TIMEOUT).await {
            Ok(counts) => {
                if self.last_counts.len() == counts.selections.len() {
                    let pairs = counts.selections.iter().zip(&self.last_counts);
                    // The replica's counts restart from 0 with the rank.
                    let increments = pairs.map(|(new, old)| new.saturating_sub(*old) as u32);
                    self.recent_counts = increments.collect();
                }
                self.last_counts = counts.selections;
            }
            Err(error) => tracing::info!(%error, "cannot read the replica's expert counts"),
        }
    }

    /// Number of expert counts of a rank.
    fn cells(&self) -> usize {
        self.figures.map_or(0, |f| usize::from(f.sets) * usize::from(f.experts))
    }

    fn build_report(&self, lists: bool, counts: bool) -> Option<AgentReport> {
        let tracker = self.local.tracker();
        let sample = || encode_counts(&self.recent_counts);
        Some(AgentReport {
            status: self.local.status()?.clone(),
            replica: self.local.address(),
            term: tracker.term,
            order_uncertain: tracker.has_uncertain_order(),
            experts: if lists { (self.experts.1, self.experts.2.clone()) } else { (0, Vec::new()) },
            expert_counts: if counts { sample() } else { CountSample::default() },
            wants_map: self.wants_map,
        })
    }

    /// Sends what is due of the report to the lead, and a short one to the other ranks: they only
    /// need to know which ranks are live, above all the lead.
    async fn send_report(&mut self, is_regular: bool) {
        let Some(status) = self.local.status().cloned() else { return };
        let now = self.clock.now();
        let is_lead = *self.lead.phase() != Phase::Following;
        // Counts are read once per regular tick.
        if let Some(own) = self.build_report(is_lead, is_lead && is_regular) {
            self.record_report(own);
        }
        let own_rank = status.rank;
        let lead_rank = self.lowest_live_rank(now).unwrap_or(own_rank);
        let lead = self.contacts.agent(lead_rank).filter(|_| lead_rank != own_rank);
        let due = self.schedule.due(ReportState {
            status: &status,
            lead,
            is_lead,
            term: self.local.tracker().term,
            is_uncertain: self.local.tracker().has_uncertain_order(),
            wants_map: self.wants_map,
            cells: self.cells(),
            tick: self.tick_count,
            is_regular,
        });
        let report = |lists, counts| {
            let report = self.build_report(lists, counts)?;
            Some(Message::Rank(RankMessage::Report(Box::new(report))))
        };
        if let Some((lead, message)) =
            lead.filter(|_| due.status).zip(report(due.lists, due.counts))
        {
            self.send(&message, &[lead]).await;
        }
        if due.beat
            && let Some(message) = report(false, false)
        {
            self.send(&message, &self.contacts.other_agents(&[own_rank, lead_rank])).await;
        }
    }

    fn record_report(&mut self, mut report: AgentReport) {
        let now = self.clock.now();
        let Some(status) = self.local.status() else { return };
        let is_member = report.status.group == status.group
            && report.status.epoch == status.epoch
            && report.status.size == status.size
            && report.status.rank < status.size;
        if !is_member {
            return;
        }
        let mut is_window = false;
        if let Some(figures) = self.figures.filter(|_| !report.expert_counts.counts.is_empty()) {
            let counts = decode_counts(&std::mem::take(&mut report.expert_counts));
            let popularity = match &mut self.popularity {
                Some(known) if known.figures() == figures => known,
                other => other.insert(Popularity::new(figures, now)),
            };
            is_window = popularity.record(&counts, now);
        }
        if let Some((known, _)) = self.reports.get(&report.status.rank)
            && report.experts.1.is_empty()
        {
            report.experts = known.experts.clone();
        }
        self.reports.insert(report.status.rank, (report, now));
        if is_window {
            self.observe_skew(now);
        }
    }

    pub(super) fn lowest_live_rank(&self, now: Duration) -> Option<u16> {
        self.reports.iter().filter(|(_, (_, at))| is_fresh(*at, now)).map(|(rank, _)| *rank).min()
    }

    /// Carries out a command of the lead on the local replica.
    pub(super) async fn execute(&mut self, lead_command: LeadCommand) {
        let now = self.clock.now();
        if lead_command.term < self.local.tracker().term {
            return;
        }
        let is_new_term = lead_command.term > self.local.tracker().term;
        if let Some(lead_command) = self.resolve_map(lead_command)
            && (is_new_term || lead_command.command != Command::Follow)
        {
            self.local.execute(&lead_command, now).await;
        }
        self.sync_group().await;
        Box::pin(self.send_report(false)).await;
    }

    /// A map that leaves this rank's experts as they are; `None` while they are not known.
    fn map_in_place(&self) -> Option<Arc<ExpertLists>> {
        let status = self.local.status()?;
        let (epoch, version, own) = &self.experts;
        let is_current = (*epoch, *version) == (status.epoch, status.version) && !own.is_empty();
        let figures = self.figures.filter(|_| is_current)?;
        map_keeping(status.rank, own, status.size, &figures).map(Arc::new)
    }

    /// Replaces changes, or the request to keep the experts, by the whole map; `None` if this rank lacks
    /// what that takes.
    fn resolve_map(&mut self, mut lead_command: LeadCommand) -> Option<LeadCommand> {
        let epoch = lead_command.epoch;
        match &lead_command.command {
            Command::Prepare { version, map } => self.maps.insert(epoch, *version, map.clone()),
            Command::PrepareChanges { version, changes } => {
                let (size, figures) = (self.size(), self.figures);
                let first = || Some(first_map(size, &figures?));
                let map = self.maps.apply(epoch, changes, first);
                self.wants_map = map.is_none();
                let (version, map) = (*version, map?);
                self.maps.insert(epoch, version, map.clone());
                lead_command.command = Command::Prepare { version, map };
            }
            Command::Supersede { version } => {
                let (version, map) = (*version, self.map_in_place()?);
                lead_command.command = Command::Prepare { version, map };
                return Some(lead_command);
            }
            _ => return Some(lead_command),
        }
        self.wants_map = false;
        Some(lead_command)
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
                    self.contacts.set_agent(report.status.rank, from);
                    self.remotes.shift_remove(&report.status.rank);
                }
                self.record_report(*report);
                self.plan_for_shift(self.clock.now()).await;
                if !matches!(self.lead.phase(), Phase::Following | Phase::Idle) {
                    self.run_lead(self.clock.now()).await;
                }
            }
            Message::Rank(RankMessage::Command(lead_command)) => self.execute(*lead_command).await,
            Message::Contacts(contacts) => self.add_contacts(&contacts),
            Message::Members(query) => self.answer_members(query, from).await,
            _ => {}
        }
    }

    fn add_contacts(&mut self, contacts: &GroupContacts) {
        self.contacts.add(contacts, self.clock.now());
        if let Some(figures) = contacts.figures.filter(ExpertFigures::is_valid) {
            self.figures = Some(figures);
        }
    }

    async fn answer_members(&self, query: MembersQuery, from: SocketAddr) {
        if let Some(status) = self.group_status().filter(|s| s.group == query.group) {
            self.send(&Message::Group(status), &[from]).await;
        }
    }

    /// Sends a hello to some entries, which reply with the contacts of the group.
    async fn send_hello(&mut self, now: Duration) {
        let Some(status) = self.local.status() else { return };
        let (group, rank, size) = (status.group.clone(), status.rank, status.size);
        let entries = self.contacts.hello_targets(size, now);
        let hello = AgentHello { service: self.service.clone(), group, rank };
        self.send(&Message::Hello(hello), &entries).await;
    }

    pub(super) async fn send(&self, message: &Message, to: &[SocketAddr]) {
        send(&self.socket, message, to).await;
    }
}
