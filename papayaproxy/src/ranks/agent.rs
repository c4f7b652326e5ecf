//! The agent of one rank: reads its replica, tells the others, and obeys or leads.

use super::constants::{
    AFAR_LIMIT, COUNT_INTERVAL, FIRST_LOAD, FROZEN, HERE_ENTRIES, HERE_INTERVAL, LATE_STAND_IN,
    LEAD_SILENCE, LEAD_TICKS, PLAN_INTERVAL, QUIET_AFTER_LOSS, READ_LIMIT, SLOTS_USUAL,
    STAND_IN_INTERVAL, TELL_RANKS, TICK,
};
use super::demand::Popularity;
use super::events;
use super::lead::{Lead, Phase, States, is_fresh};
use super::message::{
    AgentHello, Command, Directed, GroupContacts, GroupMember, GroupStatus, Lists, RankMessage,
    RankStatus, State,
};
use super::pass::PassClock;
use super::planner::plan;
use super::rank::OwnRank;
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

/// Largest datagram that is taken, in bytes: a map of the largest group and its frame.
const DATAGRAM_BYTES: usize = 16 << 10;

/// The agent's state, owned by its one task.
pub(crate) struct Agent {
    socket: UdpSocket,
    clock: Clock,
    service: Name,
    own: OwnRank,
    lead: Lead,
    states: States,
    /// Agents of the group by rank.
    agents: IndexMap<u16, SocketAddr>,
    entries: IndexSet<SocketAddr>,
    figures: Option<ExpertFigures>,
    popularity: Option<Popularity>,
    /// The own counts at the last read.
    counted: Vec<u64>,
    chosen: Vec<u32>,
    /// The own experts, with the epoch and version that they belong to.
    experts: (u64, u64, Vec<Vec<u16>>),
    /// Replicas whose agents are silent, while something is under way.
    stand_ins: IndexMap<u16, OwnRank>,
    pass: PassClock,
    due: Due,
    /// When the last tick ended, by the clock that counts suspension.
    ticked: Duration,
    ticks: u64,
    /// Since when lower ranks are silent.
    lowest: Option<Duration>,
    was_open: bool,
}

/// When things are due next.
#[derive(Default)]
struct Due {
    count: Duration,
    here: Duration,
    plan: Duration,
    stand_in: Duration,
}

impl Agent {
    /// An agent that knows nothing yet.
    pub(crate) fn new(socket: UdpSocket, settings: &RankSettings) -> Self {
        Self {
            socket,
            clock: Clock::start(),
            service: settings.service.clone(),
            own: OwnRank::new(settings.replica, READ_LIMIT),
            lead: Lead::new(0, 0, 0),
            states: States::new(),
            agents: IndexMap::new(),
            entries: settings.seeds.iter().copied().collect(),
            figures: None,
            popularity: None,
            counted: Vec::new(),
            chosen: Vec::new(),
            experts: (0, 0, Vec::new()),
            stand_ins: IndexMap::new(),
            pass: PassClock::default(),
            due: Due::default(),
            ticked: boot_time(),
            ticks: 0,
            lowest: None,
            was_open: false,
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
                    self.ticked = boot_time();
                }
                Ok(()) = seeds.changed() => {
                    self.entries.extend(seeds.borrow_and_update().iter().copied());
                }
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.receive(&buffer[..length], from).await,
                    // A peer that is away is reported here, on the next receive.
                    Err(error) => tracing::debug!(%error, "receive failed"),
                },
            }
        }
    }

    /// Drops what waited while this process was frozen: its commands may have been undone since.
    fn drop_outdated(&mut self) {
        let frozen = boot_time().saturating_sub(self.ticked);
        if frozen < FROZEN {
            return;
        }
        let mut buffer = vec![0; DATAGRAM_BYTES];
        let mut dropped = 0u64;
        while self.socket.try_recv_from(&mut buffer).is_ok() {
            dropped += 1;
        }
        self.ticked = boot_time();
        self.states.clear();
        self.lead.stop("was frozen", self.clock.now());
        let frozen_ms = frozen.as_millis() as u64;
        tracing::warn!(event = events::WOKEN, frozen_ms, dropped, "woken");
    }

    async fn tick(&mut self) {
        self.drop_outdated();
        let now = self.clock.now();
        self.ticks += 1;
        self.own.refresh(now).await;
        self.follow_group().await;
        if now >= self.due.here {
            self.due.here = now + HERE_INTERVAL;
            self.introduce().await;
        }
        if now >= self.due.count {
            self.due.count = now + COUNT_INTERVAL;
            self.count().await;
        }
        self.tell_state().await;
        self.judge_lead(now);
        self.stand_in(now).await;
        self.plan(now);
        self.act(now).await;
        self.tell_entries().await;
    }

    fn size(&self) -> u16 {
        self.own.view().map_or(0, |v| v.size)
    }

    /// Starts anew where the group has formed anew, and reads the own experts where they changed.
    async fn follow_group(&mut self) {
        let now = self.clock.now();
        let Some(view) = self.own.view().cloned() else { return };
        if view.epoch != self.lead.epoch() || !view.open {
            self.lead.stop("the group has broken or formed anew", now);
        }
        if view.epoch != self.lead.epoch() {
            self.lead = Lead::new(view.rank, view.size, view.epoch);
            self.states.clear();
            self.lowest = None;
        }
        self.pass.observe(&view, now);
        let known = (self.experts.0, self.experts.1) == (view.epoch, view.version);
        if known && !self.experts.2.is_empty() {
            return;
        }
        match self.own.replica().lists(READ_LIMIT).await {
            Ok((version, experts)) => self.experts = (view.epoch, version, experts),
            Err(error) => tracing::info!(%error, "the replica does not tell its experts"),
        }
    }

    /// Reads how often requests chose each expert since the last read.
    async fn count(&mut self) {
        if self.own.view().is_none_or(|v| !v.open) {
            return;
        }
        match self.own.replica().counts(READ_LIMIT).await {
            Ok(counts) => {
                let fresh = self.counted.len() != counts.chosen.len();
                let deltas = counts.chosen.iter().zip(&self.counted);
                // Counts start anew with the rank.
                let deltas = deltas.map(|(new, old)| new.saturating_sub(*old) as u32);
                self.chosen = if fresh { Vec::new() } else { deltas.collect() };
                self.counted = counts.chosen;
            }
            Err(error) => tracing::info!(%error, "the replica does not tell its counts"),
        }
    }

    fn state(&mut self) -> Option<State> {
        let view = self.own.view()?.clone();
        Some(State {
            view,
            replica: self.own.address(),
            term: self.own.memory().term,
            doubt: self.own.memory().doubt(),
            experts: (self.experts.1, self.experts.2.clone()),
            chosen: std::mem::take(&mut self.chosen),
        })
    }

    /// Tells the lead all of it. The others only need to know who is there, above all the lead.
    async fn tell_state(&mut self) {
        let Some(state) = self.state() else { return };
        let (own, now) = (state.view.rank, self.clock.now());
        self.take_state(state.clone());
        let lead = self.lowest_heard(now).unwrap_or(own);
        if let Some(address) = self.agents.get(&lead).filter(|_| lead != own).copied() {
            let message = Message::Rank(RankMessage::State(Box::new(state.clone())));
            self.send(&message, &[address]).await;
        }
        let share = usize::from(self.size()).div_ceil(TELL_RANKS).max(1) as u64;
        let every = if lead == own { share.min(LEAD_TICKS) } else { share };
        if !self.ticks.is_multiple_of(every) {
            return;
        }
        let others = self.agents.iter().filter(|(rank, _)| **rank != own && **rank != lead);
        let to: Vec<SocketAddr> = others.map(|(_, address)| *address).collect();
        let brief = State { experts: (0, Vec::new()), chosen: Vec::new(), ..state };
        self.send(&Message::Rank(RankMessage::State(Box::new(brief))), &to).await;
    }

    fn take_state(&mut self, mut state: State) {
        let now = self.clock.now();
        let Some(view) = self.own.view() else { return };
        if state.view.group != view.group || state.view.epoch != view.epoch {
            return;
        }
        if let Some(figures) = self.figures {
            let new = || Popularity::new(figures, now);
            let chosen = std::mem::take(&mut state.chosen);
            self.popularity.get_or_insert_with(new).take(&chosen, now);
        }
        if let Some((known, _)) = self.states.get(&state.view.rank)
            && state.experts.1.is_empty()
        {
            state.experts = known.experts.clone();
        }
        self.states.insert(state.view.rank, (state, now));
    }

    fn lowest_heard(&self, now: Duration) -> Option<u16> {
        self.states.iter().filter(|(_, (_, at))| is_fresh(*at, now)).map(|(rank, _)| *rank).min()
    }

    /// The lowest rank that is heard of leads.
    fn judge_lead(&mut self, now: Duration) {
        let Some(view) = self.own.view().filter(|v| v.open) else { return };
        let rank = view.rank;
        if self.lowest_heard(now).is_some_and(|lowest| lowest < rank) {
            self.lowest = None;
            self.lead.stop("a lower rank is heard of", now);
            return;
        }
        let since = *self.lowest.get_or_insert(now);
        // Nobody is below rank 0, so that it has nobody to wait for.
        let waited = rank == 0 || now > since + LEAD_SILENCE;
        if waited && *self.lead.phase() == Phase::Following {
            let seen = self.states.values().map(|(s, _)| s.term).max();
            self.lead.begin(seen.unwrap_or_default().max(self.own.memory().term), now);
        }
    }

    /// Reads the replicas of silent agents while something is under way, so that no group is held
    /// for want of an agent.
    async fn stand_in(&mut self, now: Duration) {
        if matches!(self.lead.phase(), Phase::Following | Phase::Idle | Phase::Preparing { .. }) {
            self.stand_ins.clear();
            return;
        }
        if now < self.due.stand_in {
            return;
        }
        self.due.stand_in = now + STAND_IN_INTERVAL;
        let stale = |at: Duration| !is_fresh(at, now);
        let silent: Vec<(u16, SocketAddr)> = self
            .states
            .iter()
            .filter(|(rank, (_, at))| stale(*at) || self.stand_ins.contains_key(*rank))
            .map(|(rank, (state, _))| (*rank, state.replica))
            .collect();
        for (rank, replica) in silent {
            self.stand_ins.entry(rank).or_insert_with(|| {
                tracing::warn!(event = events::STAND_IN, rank, %replica, "stand in");
                OwnRank::new(replica, AFAR_LIMIT)
            });
            self.read_stand_in(rank).await;
        }
    }

    async fn read_stand_in(&mut self, rank: u16) {
        let now = self.clock.now();
        let Some(stand_in) = self.stand_ins.get_mut(&rank) else { return };
        stand_in.refresh(now).await;
        if stand_in.view().is_none() {
            // Its host is frozen or cut off as well; nothing is known of the rank.
            self.stand_ins.shift_remove(&rank);
            self.due.stand_in = now + LATE_STAND_IN;
            return;
        }
        let Some(view) = stand_in.view().filter(|v| v.epoch == self.lead.epoch()) else { return };
        let memory = stand_in.memory();
        if let Some((state, at)) = self.states.get_mut(&rank) {
            state.view = view.clone();
            (state.term, state.doubt, *at) = (memory.term, memory.doubt(), now);
        }
    }

    fn plan(&mut self, now: Duration) {
        let quiet = self.own.memory().lost.is_some_and(|at| now < at + QUIET_AFTER_LOSS);
        if *self.lead.phase() != Phase::Idle || now < self.due.plan || quiet {
            return;
        }
        self.due.plan = now + PLAN_INTERVAL;
        let Some(lists) = self.lists() else { return };
        let Some(popularity) = &self.popularity else { return };
        // The map that a group starts with is poor: where demand is known, it is replaced at once.
        let first = self.own.view().is_some_and(|v| v.version == 0);
        let load = if first { self.load().max(FIRST_LOAD) } else { self.load() };
        let paces = self.paces();
        let Some(planned) = plan(popularity, &lists, &paces, load) else { return };
        let versions = self
            .states
            .values()
            .map(|(s, _)| s.view.version.max(s.view.prepared.unwrap_or_default()));
        let version = versions.max().unwrap_or_default() + 1;
        tracing::info!(
            event = events::PLAN_MADE,
            version,
            copies = planned.copies,
            skew = planned.skew,
            planned = planned.planned,
            load,
            "plan"
        );
        self.lead.propose(version, planned.map, now);
    }

    /// The map in use, by set and rank, if all ranks tell theirs of one version.
    fn lists(&self) -> Option<Lists> {
        let version = self.own.view()?.version;
        let sets = usize::from(self.figures?.sets);
        let mut lists: Lists = vec![Vec::new(); sets];
        for rank in 0..self.size() {
            let (state, _) = self.states.get(&rank)?;
            let (of, experts) = &state.experts;
            if *of != version || state.view.version != version || experts.len() != sets {
                return None;
            }
            for (set, experts) in lists.iter_mut().zip(experts) {
                set.push(experts.clone());
            }
        }
        Some(lists)
    }

    /// Slowness of each rank; none counts as faster than usual.
    fn paces(&self) -> Vec<f32> {
        let pace = |rank| self.states.get(&rank).map_or(1.0, |(s, _)| s.view.slowdown.max(1.0));
        (0..self.size()).map(pace).collect()
    }

    /// Part of the group's slots that is taken, the requests that wait included.
    fn load(&self) -> f64 {
        let requests = |s: &State| f64::from(s.view.running + s.view.waiting);
        let sum: f64 = self.states.values().map(|(s, _)| requests(s)).sum();
        sum / (f64::from(self.size().max(1)) * SLOTS_USUAL)
    }

    /// Has the lead decide, and gives its commands.
    async fn act(&mut self, now: Duration) {
        let commands = self.lead.advance(&self.states, self.pass.pass_ms, now);
        let (term, epoch) = (self.lead.term(), self.lead.epoch());
        let own = self.own.view().map(|v| v.rank);
        for (rank, command) in commands {
            let directed = Directed { term, epoch, command };
            if Some(rank) == own {
                self.obey(&directed).await;
            } else if let Some(stand_in) = self.stand_ins.get_mut(&rank) {
                stand_in.obey(&directed, now).await;
                self.read_stand_in(rank).await;
            } else if let Some(address) = self.agents.get(&rank).copied() {
                self.send(&Message::Rank(RankMessage::Do(Box::new(directed))), &[address]).await;
            }
        }
    }

    async fn obey(&mut self, directed: &Directed) {
        let now = self.clock.now();
        if directed.term < self.own.memory().term {
            return;
        }
        if !matches!(directed.command, Command::Follow) || directed.term > self.own.memory().term {
            self.own.obey(directed, now).await;
        }
        self.follow_group().await;
        Box::pin(self.tell_state()).await;
    }

    async fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        // The datagram in hand is the oldest of those that waited.
        if boot_time().saturating_sub(self.ticked) >= FROZEN {
            self.drop_outdated();
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
            Message::Rank(RankMessage::State(state)) => {
                let same = |v: &RankStatus| v.group == state.view.group;
                if self.own.view().is_some_and(same) {
                    self.agents.insert(state.view.rank, from);
                    self.stand_ins.shift_remove(&state.view.rank);
                }
                self.take_state(*state);
                if !matches!(self.lead.phase(), Phase::Following | Phase::Idle) {
                    self.act(self.clock.now()).await;
                }
            }
            Message::Rank(RankMessage::Do(directed)) => self.obey(&directed).await,
            Message::Contacts(around) => self.meet(around),
            _ => {}
        }
    }

    fn meet(&mut self, around: GroupContacts) {
        self.agents.extend(around.agents);
        self.entries.extend(around.entries);
        if around.figures.is_some() {
            self.figures = around.figures;
        }
    }

    /// Tells some entries who is here; they answer who else is.
    async fn introduce(&mut self) {
        let Some(view) = self.own.view() else { return };
        let (group, rank) = (view.group.clone(), view.rank);
        let here = AgentHello { service: self.service.clone(), group, rank };
        // All agents ask the same entries, so that they meet.
        let mut entries: Vec<SocketAddr> = self.entries.iter().copied().collect();
        entries.sort_unstable();
        entries.truncate(HERE_ENTRIES);
        self.send(&Message::Hello(here), &entries).await;
    }

    /// Tells the entries how the group is: the lead at times, and whoever sees it break at once.
    async fn tell_entries(&mut self) {
        let Some(view) = self.own.view().cloned() else { return };
        let running = view.open && !self.pass.is_stalled(self.clock.now());
        let changed = self.was_open != running;
        self.was_open = running;
        let leads = *self.lead.phase() != Phase::Following && self.ticks.is_multiple_of(2);
        let reminds = !running && self.ticks.is_multiple_of(3);
        if !(changed || leads || reminds) {
            return;
        }
        let member = |s: &State| GroupMember {
            address: s.replica,
            requests: (s.view.running + s.view.waiting).min(u32::from(u16::MAX)) as u16,
            slowdown: s.view.slowdown,
        };
        let picture = GroupStatus {
            group: (self.service.clone(), view.group.clone()),
            open: running,
            pass_ms: self.pass.pass_ms as f32,
            members: self.states.values().map(|(s, _)| member(s)).collect(),
        };
        let entries: Vec<SocketAddr> = self.entries.iter().copied().collect();
        self.send(&Message::Group(picture), &entries).await;
    }

    async fn send(&self, message: &Message, to: &[SocketAddr]) {
        send(&self.socket, message, to).await;
    }
}
