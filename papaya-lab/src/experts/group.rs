//! A stand-in of a lock-step group: ranks with their promises, barrier, loads and step times.

use super::constants::{EXPERT_BYTES, LOAD_RATE, STEP, STEPS_PER_SECOND};
use papayaproxy::experts::{
    Barrier, ExpertMap, Lead, MapId, Phase, Rank, Request, Shape, constants::LOAD_SLOWDOWN,
};
use std::time::Duration;

/// Steps by which the held step lies ahead.
const DISTANCE: u64 = 16;

/// A map that is being loaded.
struct Next {
    map: ExpertMap,
    id: Option<MapId>,
    loads: Vec<u32>,
    left: Vec<f64>,
}

/// How long one step takes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StepTime {
    /// Sum over layers of the slowest rank's time, relative to an even spread.
    pub(crate) slowest: f64,
    /// The same without the slowdown by loads.
    pub(crate) unloaded: f64,
    /// Sum over layers of the mean rank's time.
    pub(crate) mean: f64,
}

/// A lock-step group.
pub(crate) struct Group {
    shape: Shape,
    map: ExpertMap,
    id: MapId,
    next: Option<Next>,
    ranks: Vec<Rank>,
    barrier: Barrier,
    lead: Lead,
    now: Duration,
    /// Bytes loaded so far.
    pub(crate) bytes: u64,
    /// Loads so far.
    pub(crate) loads: u64,
    /// Switches so far.
    pub(crate) switches: u64,
}

impl Group {
    /// A group of this shape on its initial map.
    pub(crate) fn open(shape: Shape) -> Self {
        let map = ExpertMap::initial(shape);
        let id = MapId { number: 0, digest: map.digest() };
        let mut lead = Lead::new(0, shape.ranks, DISTANCE);
        lead.begin(Duration::ZERO);
        Self {
            shape,
            map,
            id,
            next: None,
            ranks: vec![Rank::new(id); shape.ranks.into()],
            barrier: Barrier::new(shape.ranks.into()),
            lead,
            now: Duration::ZERO,
            bytes: 0,
            loads: 0,
            switches: 0,
        }
    }

    /// The map of the present step.
    pub(crate) fn map(&self) -> &ExpertMap {
        &self.map
    }

    /// Whether a new map can be proposed.
    pub(crate) fn is_idle(&self) -> bool {
        self.next.is_none() && self.lead.phase() == Phase::Ready
    }

    /// Proposes a map; its missing experts are loaded, then all ranks switch in one step.
    pub(crate) fn propose(&mut self, map: ExpertMap) {
        assert!(map.check().is_ok(), "the map leaves an expert out");
        let loads = self.loads_of(&map);
        if !self.lead.propose(self.now, map.digest()) {
            return;
        }
        let count: u32 = loads.iter().sum();
        self.loads += u64::from(count);
        self.bytes += u64::from(count) * EXPERT_BYTES;
        let time = |l: &u32| f64::from(*l) * EXPERT_BYTES as f64 / LOAD_RATE;
        let left = loads.iter().map(time).collect();
        self.next = Some(Next { map, id: None, loads, left });
    }

    /// Runs the steps of one second. Every step asserts that all ranks use one map.
    pub(crate) fn advance(&mut self) {
        for _ in 0..STEPS_PER_SECOND {
            self.now += STEP;
            self.load();
            if self.lead.phase() != Phase::Ready {
                self.exchange();
            }
            self.step();
        }
    }

    /// Times a step with these token shares for each layer.
    pub(crate) fn time(&self, shares: &[Vec<f32>], pace: &[f32]) -> StepTime {
        let slots = usize::from(self.shape.slots);
        let ranks = f64::from(self.shape.ranks);
        let loading = self.slowdowns();
        let mut time = StepTime::default();
        for (layer, share) in self.map.layers.iter().zip(shares) {
            let replicas = layer.replicas(share.len());
            let part = |e: &u16| share[usize::from(*e)] / f32::from(replicas[usize::from(*e)]);
            let (mut slowest, mut unloaded, mut sum) = (0.0f64, 0.0f64, 0.0f64);
            for (rank, experts) in layer.slots.chunks(slots).enumerate() {
                let load: f32 = experts.iter().map(part).sum();
                let own = f64::from(load * pace[rank]) * ranks;
                let whole = own * loading[rank];
                slowest = slowest.max(whole);
                unloaded = unloaded.max(own);
                sum += whole;
            }
            time.slowest += slowest;
            time.unloaded += unloaded;
            time.mean += sum / ranks;
        }
        time
    }

    fn loads_of(&self, map: &ExpertMap) -> Vec<u32> {
        let slots = usize::from(self.shape.slots);
        let mut loads = vec![0; self.shape.ranks.into()];
        for (old, new) in self.map.layers.iter().zip(&map.layers) {
            let pairs = old.slots.chunks(slots).zip(new.slots.chunks(slots));
            for (rank, (have, want)) in pairs.enumerate() {
                loads[rank] += want.iter().filter(|e| !have.contains(e)).count() as u32;
            }
        }
        loads
    }

    /// Mean slowdown of each rank by its loads over the second that begins.
    fn slowdowns(&self) -> Vec<f64> {
        let mut factors = vec![1.0; self.shape.ranks.into()];
        if let Some(next) = &self.next {
            for (factor, left) in factors.iter_mut().zip(&next.left) {
                *factor += LOAD_SLOWDOWN * left.clamp(0.0, 1.0);
            }
        }
        factors
    }

    fn load(&mut self) {
        let Some(next) = &mut self.next else { return };
        next.left.iter_mut().for_each(|l| *l -= STEP.as_secs_f64());
        let Some(id) = next.id else { return };
        for (rank, left) in self.ranks.iter_mut().zip(&next.left) {
            if *left <= 0.0 && rank.state().staged != Some(id) && rank.state().switch.map != id {
                rank.mark_staged(id);
            }
        }
    }

    /// Delivers what the lead and the ranks have to say within one step.
    fn exchange(&mut self) {
        self.lead.tick(self.now);
        for send in self.lead.take_requests() {
            if let (Request::Stage { map, .. }, Some(next)) = (send.request, &mut self.next) {
                next.id = Some(map);
            }
            let reply = self.ranks[usize::from(send.rank)].receive(send.request);
            self.lead.receive(self.now, send.rank, reply);
        }
    }

    fn step(&mut self) {
        let mut id = self.id;
        for (index, rank) in self.ranks.iter_mut().enumerate() {
            if let Some(step) = rank.begin_step() {
                self.barrier.join(index, step);
                id = step.map;
            }
        }
        if id != self.id
            && let Some(next) = self.next.take()
        {
            self.map = next.map;
            self.id = id;
            self.switches += 1;
        }
    }

    /// Loads of the map on its way.
    pub(crate) fn loading(&self) -> u32 {
        self.next.as_ref().map_or(0, |n| n.loads.iter().sum())
    }
}
