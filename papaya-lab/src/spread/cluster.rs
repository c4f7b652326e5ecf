//! The processes of the run and the platform's stand-in.

use super::cuts::Cuts;
use super::document::{address, first, next, process_name, text, zone_name};
use super::plan::Plan;
use crate::platform::{self, ListedHost, Platform, PlatformSettings};
use papayaproxy::fleet::Document;
use papayaproxy::membership::{LoadReport, Node, NodeSettings, Process, ProcessRole};
use papayaproxy::wire::{Secret, Secrets};
use papayaproxy::{Clock, Incarnation};
use std::io;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Pause between two looks at the processes.
pub(crate) const LOOK_PAUSE: Duration = Duration::from_millis(2);

/// Pause before an address is bound again.
const BIND_PAUSE: Duration = Duration::from_millis(5);

/// Missing reports that are shown.
const SHOWN: usize = 6;

/// Attempts to bind an address again.
const BIND_TRIES: u32 = 400;

/// Longest wait for processes to agree.
const AGREE_LIMIT: Duration = Duration::from_secs(60);

/// One process.
struct Slot {
    zone: usize,
    place: usize,
    node: Option<Node>,
    /// The highest generation that was seen in force.
    seen: u64,
}

/// The processes and the platform.
pub(crate) struct Cluster {
    pub(crate) plan: Plan,
    pub(crate) platform: Platform,
    pub(crate) cuts: Cuts,
    pub(crate) document: Document,
    previous: Document,
    slots: Vec<Slot>,
    clock: Clock,
}

impl Cluster {
    /// Starts the platform with the first document, then every process.
    pub(crate) async fn spawn(plan: Plan) -> io::Result<Self> {
        let settings = PlatformSettings { calls: 100_000, ..PlatformSettings::default() };
        let platform = platform::bind(settings).await?;
        let document = first(&plan);
        platform.publish(text(&document));
        let cuts = Cuts::new(plan.port, plan.entries + plan.agents, plan.zones);
        let places = (0..plan.zones).flat_map(|z| {
            (0..plan.entries + plan.agents).map(move |place| Slot {
                zone: z,
                place,
                node: None,
                seen: 0,
            })
        });
        let slots: Vec<Slot> = places.collect();
        platform.list(slots.iter().map(|s| listed(&plan, s)).collect());
        let clock = Clock::start();
        let previous = document.clone();
        let mut cluster = Self { plan, platform, cuts, document, previous, slots, clock };
        for at in 0..cluster.slots.len() {
            cluster.start(at).await?;
        }
        Ok(cluster)
    }

    /// Starts the process `at`, once its address is free.
    pub(crate) async fn start(&mut self, at: usize) -> io::Result<()> {
        let slot = &self.slots[at];
        let role =
            if slot.place < self.plan.entries { ProcessRole::Entry } else { ProcessRole::Agent };
        let process = Process {
            name: process_name(&self.plan, slot.zone, slot.place).into(),
            zone: zone_name(slot.zone).into(),
            role,
            address: address(&self.plan, slot.zone, slot.place),
            incarnation: Incarnation::generate(),
        };
        let secrets = Secrets { current: Secret::new(1, &[7; 32]), other: None };
        let mut settings = NodeSettings::new(process, secrets, self.clock);
        settings.platform = Some(self.platform.addr());
        settings.address_filter = self.cuts.allow(slot.zone);
        let mut tries = 0;
        let node = loop {
            match Node::spawn(settings.clone()).await {
                Ok(node) => break node,
                Err(error) if tries == BIND_TRIES => return Err(io::Error::other(error)),
                Err(_) => sleep(BIND_PAUSE).await,
            }
            tries += 1;
        };
        self.slots[at].seen = 0;
        self.slots[at].node = Some(node);
        Ok(())
    }

    /// Ends the process `at`.
    pub(crate) fn kill(&mut self, at: usize) {
        self.slots[at].node = None;
    }

    /// The running processes.
    pub(crate) fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.slots.iter().filter_map(|s| s.node.as_ref())
    }

    /// The process `at`.
    pub(crate) fn node(&self, at: usize) -> Option<&Node> {
        self.slots[at].node.as_ref()
    }

    /// The zone of the process `at`.
    pub(crate) fn zone(&self, at: usize) -> usize {
        self.slots[at].zone
    }

    /// The numbers of the entries.
    pub(crate) fn entries(&self) -> Vec<usize> {
        let entry = |at: &usize| self.slots[*at].place < self.plan.entries;
        (0..self.slots.len()).filter(entry).collect()
    }

    /// Calls that the processes have made to the platform, while it was down too.
    pub(crate) fn platform_calls(&self) -> u64 {
        self.platform.counts().calls
    }

    /// Has the platform serve the document before the last one again.
    pub(crate) fn publish_previous(&self) {
        self.platform.publish(text(&self.previous));
    }

    /// Publishes the next document.
    pub(crate) fn publish(&mut self) {
        self.previous = self.document.clone();
        self.document = next(&self.document);
        self.platform.publish(text(&self.document));
    }

    /// The lowest generation in force in a zone, or everywhere.
    pub(crate) fn lowest(&mut self, zone: Option<usize>) -> u64 {
        let mut lowest = u64::MAX;
        for slot in &mut self.slots {
            let Some(node) = &slot.node else { continue };
            let generation = node.feed().document.load().generation;
            assert!(generation >= slot.seen, "a process went back to generation {generation}");
            slot.seen = generation;
            if zone.is_none_or(|z| z == slot.zone) {
                lowest = lowest.min(generation);
            }
        }
        lowest
    }

    /// The highest generation in force in a zone.
    pub(crate) fn highest(&self, zone: usize) -> u64 {
        let near = self.slots.iter().filter(|s| s.zone == zone).filter_map(|s| s.node.as_ref());
        near.map(|n| n.feed().document.load().generation).max().unwrap_or(0)
    }

    /// Waits until the chosen processes have `generation` in force; `None` where they do not.
    pub(crate) async fn agree(&mut self, zone: Option<usize>, generation: u64) -> Option<Duration> {
        let started = Instant::now();
        while self.lowest(zone) < generation {
            if started.elapsed() > AGREE_LIMIT {
                return None;
            }
            sleep(LOOK_PAUSE).await;
        }
        Some(started.elapsed())
    }

    /// Whether every entry has a report of `sequence` from every agent of its zone, or of all.
    pub(crate) fn has_reports(&self, sequence: u64, near: bool) -> bool {
        let entries = self.slots.iter().filter(|s| s.place < self.plan.entries);
        entries.into_iter().all(|slot| {
            let Some(node) = &slot.node else { return true };
            let feed = node.feed();
            let view = feed.view.load();
            let prefix = if near {
                process_name(&self.plan, slot.zone, self.plan.entries)
            } else {
                String::new()
            };
            let prefix = prefix.rsplit_once('-').map_or("", |p| p.0);
            let known = view.upstreams.iter().filter(|(name, _)| name.starts_with(prefix));
            let reports = known.map(|(_, u)| u.report.as_ref().map_or(0, |r| r.sequence));
            reports.min().unwrap_or(0) >= sequence
        })
    }

    /// The first few reports that entries lack, for a round that is given up.
    pub(crate) fn missing_reports(&self, sequence: u64) -> Vec<String> {
        let entries = self.slots.iter().filter(|s| s.place < self.plan.entries);
        let missing = entries.flat_map(|slot| {
            let view = slot.node.as_ref().map(|n| n.feed().view.load_full());
            let name = process_name(&self.plan, slot.zone, slot.place);
            let rows = view.into_iter().flat_map(move |v| {
                let late = v.upstreams.clone().into_iter().filter_map(|(upstream, u)| {
                    let found = u.report.as_ref().map_or(0, |r| r.sequence);
                    (found < sequence).then_some((upstream, found, u.live))
                });
                late.map(|(upstream, found, live)| (upstream, found, live, v.entries, v.peers))
                    .collect::<Vec<_>>()
            });
            rows.map(move |row| format!("{name} {row:?}"))
        });
        let all: Vec<String> = missing.collect();
        let count = format!("{} in all", all.len());
        all.into_iter().take(SHOWN).chain(std::iter::once(count)).collect()
    }

    /// Has every agent report a load with changing figures.
    pub(crate) fn report(&self, sequence: u64) {
        let agents = self.slots.iter().filter(|s| s.place >= self.plan.entries);
        for (number, slot) in agents.enumerate() {
            let report = LoadReport {
                sequence,
                running: (sequence as u32 + number as u32) % 64,
                slots: 64,
                kv_permille: (sequence % 1000) as u16,
                step: Duration::from_millis(25),
                ..LoadReport::default()
            };
            slot.node.iter().for_each(|n| n.report(report.clone()));
        }
    }
}

fn listed(plan: &Plan, slot: &Slot) -> ListedHost {
    ListedHost {
        name: process_name(plan, slot.zone, slot.place),
        address: address(plan, slot.zone, slot.place).to_string(),
        zone: zone_name(slot.zone),
        state: "live".to_owned(),
    }
}
