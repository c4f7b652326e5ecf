//! Decides which moves are worth their bytes.

use super::constants::{
    FLIGHT_LAYERS, GAIN_MIN, HORIZON, HORIZON_SPAN, LOAD_SLOWDOWN, SEARCH_LAYERS, SEARCH_STEPS,
    SETTLED_DISTANCE, SETTLED_MIN, WARM_WINDOWS,
};
use super::events;
use super::layout::{lay_out, load_lower_bound};
use super::map::{ExpertMap, LayerMap, Move, Shape};
use super::popularity::Popularity;
use super::search::{Demand, Search};
use std::time::Duration;

/// What an operator weighs a group's placement by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Weight of step-time skew.
    pub skew: f64,
    /// Weight of moved bytes.
    pub moved: f64,
}

impl Weights {
    /// Time over which gains are weighed against the cost of moves: the more moves weigh, the
    /// longer a gain has to last.
    pub fn horizon(&self) -> Duration {
        let ratio = (self.moved / self.skew.max(f64::MIN_POSITIVE)).sqrt();
        HORIZON.mul_f64(ratio.min(HORIZON_SPAN)).clamp(HORIZON / 3, HORIZON * 2)
    }
}

/// What loads cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadCost {
    /// Bytes of one expert's weights.
    pub bytes: u64,
    /// Bytes a second that one rank may load.
    pub rate: f64,
}

/// What a decision is made from.
pub struct PlanInput<'a> {
    /// The map in force.
    pub map: &'a ExpertMap,
    /// Popularity of the experts.
    pub popularity: &'a Popularity,
    /// Slowdown of each rank.
    pub slowdowns: &'a [f32],
    /// The deployment's weights.
    pub weights: Weights,
    /// What loads cost.
    pub load: LoadCost,
}

/// Why no move is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeclineReason {
    /// Popularity is not known well enough yet.
    Warming,
    /// No layer could gain enough to be worth one load.
    Balanced,
    /// Moves would gain less than they cost under the weights.
    Unprofitable,
    /// Popularity changes too quickly for the moves to pay back.
    Unsettled,
}

/// Moves to be made under one switch.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The moves.
    pub moves: Vec<Move>,
    /// Bytes that they load.
    pub bytes: u64,
    /// Expected reduction of the step's skew over the horizon.
    pub gain: f64,
    /// Weighted cost, in units of weighted gain.
    pub cost: f64,
    /// Time in which the gain makes up for the delay by loading.
    pub payback: Duration,
    /// Further layers may still have their first layout before them.
    pub is_partial: bool,
}

/// A decision with its reason.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Make these moves.
    Move(Plan),
    /// Keep the map.
    Keep(DeclineReason),
}

/// Changes of one layer that stand or fall together.
struct Segment {
    layer: usize,
    /// It replaces the layout that the group started with, whatever the weights.
    first: bool,
    moves: Vec<Move>,
    gain: f64,
}

impl Segment {
    fn worth(&self) -> f64 {
        self.gain / self.moves.len().max(1) as f64
    }
}

/// Decides on moves for the present situation.
pub fn decide(now: Duration, at: &PlanInput<'_>) -> Decision {
    if at.popularity.counted_windows() < WARM_WINDOWS {
        return decline(DeclineReason::Warming, 0.0, 0.0);
    }
    let settled = at.popularity.settled(now, SETTLED_DISTANCE);
    let proven = settled.saturating_sub(SETTLED_MIN);
    let lasting = (proven.as_secs_f32() / at.weights.horizon().as_secs_f32()).min(1.0);
    let demand = |layer: usize| Demand {
        fast: at.popularity.fast(layer),
        slow: at.popularity.slow(layer),
        persistence: lasting,
        slowdowns: at.slowdowns,
    };
    let rooms: Vec<Room> =
        (0..at.map.layers.len()).map(|layer| Room::find(at, layer, demand(layer))).collect();
    let skew = rooms.iter().map(|r| r.skew).sum::<f64>() / rooms.len().max(1) as f64;
    let mut fresh = rooms.iter().filter(|r| r.first);
    let segments = match fresh.find_map(|r| lay_out_anew(at, r, demand(r.layer))) {
        Some(segment) => vec![segment],
        None => search_layers(at, rooms, demand),
    };
    choose(at, settled, skew, segments)
}

/// What a layer may gain.
struct Room {
    layer: usize,
    skew: f64,
    room: f64,
    first: bool,
}

impl Room {
    fn find(at: &PlanInput<'_>, layer: usize, demand: Demand<'_>) -> Self {
        let shape = at.map.shape;
        let placed = &at.map.layers[layer];
        let skew = f64::from(Search::new(layer as u16, placed, demand, shape).skew());
        let room = skew - floor(demand, shape);
        let first = *placed == LayerMap::initial(shape) && room > GAIN_MIN;
        Self { layer, skew, room, first }
    }

    fn is_worth(&self, at: &PlanInput<'_>) -> bool {
        self.room >= GAIN_MIN && self.room * at.weights.skew >= load_price(at)
    }
}

/// Searches the layers that have the most to gain.
fn search_layers<'a>(
    at: &PlanInput<'_>,
    mut rooms: Vec<Room>,
    demand: impl Fn(usize) -> Demand<'a>,
) -> Vec<Segment> {
    rooms.retain(|r| r.is_worth(at));
    rooms.sort_by(|a, b| b.room.total_cmp(&a.room).then(a.layer.cmp(&b.layer)));
    rooms.truncate(SEARCH_LAYERS);
    rooms.iter().flat_map(|r| search_layer(at, r, demand(r.layer))).collect()
}

fn search_layer(at: &PlanInput<'_>, room: &Room, demand: Demand<'_>) -> Vec<Segment> {
    let placed = &at.map.layers[room.layer];
    let mut search = Search::new(room.layer as u16, placed, demand, at.map.shape);
    let changes = search.run(SEARCH_STEPS, load_price(at) / at.weights.skew);
    let mut points = vec![(0usize, room.skew)];
    let mut loads = 0;
    for change in &changes {
        loads += change.moves.len();
        points.push((loads, f64::from(change.skew)));
    }
    let moves: Vec<Move> = changes.into_iter().flat_map(|c| c.moves).collect();
    hull(room.layer, &points, &moves)
}

/// The lowest skew that the layer's slots allow.
fn floor(demand: Demand<'_>, shape: Shape) -> f64 {
    let ranks = f32::from(shape.ranks);
    let low = |share: &[f32]| load_lower_bound(share, shape) * ranks;
    let mixed =
        demand.persistence * low(demand.fast) + (1.0 - demand.persistence) * low(demand.slow);
    f64::from(mixed)
}

/// Price of one load, in units of weighted skew of one layer.
fn load_price(at: &PlanInput<'_>) -> f64 {
    at.weights.moved / at.map.shape.layer_slots() as f64
}

/// The first layout of a layer that still has the one the group started with.
fn lay_out_anew(at: &PlanInput<'_>, room: &Room, demand: Demand<'_>) -> Option<Segment> {
    let shape = at.map.shape;
    let layer = room.layer;
    let lasting = demand.persistence;
    let pairs = demand.fast.iter().zip(demand.slow);
    let mixed: Vec<f32> = pairs.map(|(f, s)| lasting * f + (1.0 - lasting) * s).collect();
    let fresh = lay_out(&mixed, demand.slowdowns, shape);
    let mut search = Search::new(layer as u16, &fresh, demand, shape);
    let packed = search.skew();
    search.run(SEARCH_STEPS, 0.0);
    let skew = search.skew().min(packed);
    let better = if skew < packed { search.into_layer() } else { fresh };
    let gain = room.skew - f64::from(skew);
    let moves = difference(layer, &at.map.layers[layer], &better, shape);
    (gain > GAIN_MIN).then_some(Segment { layer, first: true, moves, gain })
}

/// The loads that turn one layout into another, without moving experts that a rank keeps.
fn difference(layer: usize, old: &LayerMap, new: &LayerMap, shape: Shape) -> Vec<Move> {
    let slots = usize::from(shape.slots);
    let mut moves = Vec::new();
    for (rank, (have, want)) in old.slots.chunks(slots).zip(new.slots.chunks(slots)).enumerate() {
        let mut missing: Vec<u16> = want.to_vec();
        let mut free = Vec::new();
        for (slot, expert) in have.iter().enumerate() {
            match missing.iter().position(|e| e == expert) {
                Some(at) => drop(missing.swap_remove(at)),
                None => free.push(slot),
            }
        }
        for (slot, expert) in free.into_iter().zip(missing) {
            let (layer, rank, slot) = (layer as u16, rank as u16, slot as u16);
            moves.push(Move { layer, rank, slot, expert });
        }
    }
    moves
}

/// Cuts a series of changes where its gain per load falls: the upper hull of gain over loads.
fn hull(layer: usize, points: &[(usize, f64)], moves: &[Move]) -> Vec<Segment> {
    let mut segments = Vec::new();
    let mut from = 0;
    while from + 1 < points.len() {
        let slope =
            |to: &usize| (points[from].1 - points[*to].1) / (points[*to].0 - points[from].0) as f64;
        let later = from + 1..points.len();
        let Some(to) = later.max_by(|a, b| slope(a).total_cmp(&slope(b)).then(b.cmp(a))) else {
            break;
        };
        let gain = points[from].1 - points[to].1;
        if gain <= 0.0 {
            break;
        }
        let part = moves[points[from].0..points[to].0].to_vec();
        segments.push(Segment { layer, first: false, moves: part, gain });
        from = to;
    }
    segments
}

fn choose(at: &PlanInput<'_>, settled: Duration, skew: f64, segments: Vec<Segment>) -> Decision {
    if segments.is_empty() {
        return decline(DeclineReason::Balanced, skew, 0.0);
    }
    let price = load_price(at);
    let best = segments.iter().map(|s| s.gain).fold(0.0, f64::max);
    let worthy = profitable(at, price, segments);
    if worthy.is_empty() {
        return decline(DeclineReason::Unprofitable, skew, best);
    }
    let layers = f64::from(at.map.shape.layers);
    let is_partial = worthy.iter().any(|s| s.first);
    let taken = within_flight(at.map.shape, worthy);
    let gain = taken.iter().map(|s| s.gain).sum::<f64>() / layers;
    let moves: Vec<Move> = taken.into_iter().flat_map(|s| s.moves).collect();
    let loading = loading_time(at, &moves);
    let payback = loading.mul_f64(LOAD_SLOWDOWN * skew / gain.max(f64::MIN_POSITIVE));
    if payback > settled {
        return decline(DeclineReason::Unsettled, skew, gain);
    }
    moves.iter().for_each(|m| log_move(at.map, m, payback));
    let cost = price * moves.len() as f64 / layers;
    let bytes = moves.len() as u64 * at.load.bytes;
    tracing::info!(
        event = events::MOVES_PLANNED,
        moves = moves.len(),
        bytes,
        gain,
        cost,
        skew,
        horizon_s = settled.as_secs(),
        "moves pay back"
    );
    Decision::Move(Plan { moves, bytes, gain, cost, payback, is_partial })
}

/// Keeps the segments that gain more than they cost, in layers that gain enough altogether.
fn profitable(at: &PlanInput<'_>, price: f64, segments: Vec<Segment>) -> Vec<Segment> {
    let pays = |s: &Segment| s.first || s.gain * at.weights.skew > price * s.moves.len() as f64;
    let mut kept: Vec<Segment> = segments.into_iter().filter(pays).collect();
    let mut total = vec![0.0; at.map.layers.len()];
    kept.iter().for_each(|s| total[s.layer] += s.gain);
    kept.retain(|s| total[s.layer] >= GAIN_MIN);
    kept.sort_by(|a, b| b.worth().total_cmp(&a.worth()).then(a.layer.cmp(&b.layer)));
    kept
}

/// Takes segments in order while no rank has more loads than it has buffers for.
fn within_flight(shape: Shape, segments: Vec<Segment>) -> Vec<Segment> {
    let limit = FLIGHT_LAYERS * usize::from(shape.slots);
    let mut loads = vec![0; usize::from(shape.ranks)];
    let mut blocked = vec![false; usize::from(shape.layers)];
    let mut taken = Vec::new();
    for segment in segments {
        let mut after = loads.clone();
        segment.moves.iter().for_each(|m| after[usize::from(m.rank)] += 1);
        if blocked[segment.layer] || after.iter().any(|l| *l > limit) {
            blocked[segment.layer] = true;
            continue;
        }
        loads = after;
        taken.push(segment);
    }
    taken
}

fn loading_time(at: &PlanInput<'_>, moves: &[Move]) -> Duration {
    let mut loads = vec![0u32; usize::from(at.map.shape.ranks)];
    moves.iter().for_each(|m| loads[usize::from(m.rank)] += 1);
    let most = loads.into_iter().max().unwrap_or_default();
    Duration::from_secs_f64(f64::from(most) * at.load.bytes as f64 / at.load.rate)
}

fn log_move(map: &ExpertMap, change: &Move, payback: Duration) {
    let Move { layer, rank, slot, expert } = *change;
    let evicted = map.expert(layer, rank, slot);
    let payback_s = payback.as_secs_f64();
    tracing::info!(
        event = events::MOVE_CHOSEN,
        layer,
        rank,
        slot,
        expert,
        evicted,
        payback_s,
        "lowers the skew"
    );
}

fn decline(reason: DeclineReason, skew: f64, gain: f64) -> Decision {
    tracing::info!(event = events::MOVES_DECLINED, ?reason, skew, gain, "the map stays");
    Decision::Keep(reason)
}
