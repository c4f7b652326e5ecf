//! Selection of expert moves whose gain in step time outweighs the cost of loading the experts.

use super::constants::{
    BUFFERED_LAYERS, HORIZON, HORIZON_FACTOR_MAX, LAYER_GAIN_MIN, LOAD_SLOWDOWN,
    SEARCH_CHANGES_MAX, SEARCH_LAYERS_MAX, SETTLED_DISTANCE, SETTLED_MIN, WARMUP_WINDOWS,
};
use super::events;
use super::layout::{lay_out, load_lower_bound};
use super::map::{ExpertMap, LayerMap, Move, Shape};
use super::popularity::Popularity;
use super::search::{Demand, Search};
use std::time::Duration;

/// Operator's weights for planning the placement of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Weight of step-time skew.
    pub skew: f64,
    /// Weight of moved bytes.
    pub moved: f64,
}

impl Weights {
    /// Planning horizon over which gains are weighed against the cost of moves. It grows with the
    /// weight of moves, so that a gain has to last longer.
    pub fn horizon(&self) -> Duration {
        let ratio = (self.moved / self.skew.max(f64::MIN_POSITIVE)).sqrt();
        HORIZON.mul_f64(ratio.min(HORIZON_FACTOR_MAX)).clamp(HORIZON / 3, HORIZON * 2)
    }
}

/// Cost of loading experts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadCost {
    /// Size of one expert's weights in bytes.
    pub bytes: u64,
    /// Bytes per second that one rank may load.
    pub rate: f64,
}

/// Input of a planning decision.
pub struct PlanInput<'a> {
    /// The map in force.
    pub map: &'a ExpertMap,
    /// Popularity of the experts.
    pub popularity: &'a Popularity,
    /// Slowdown of each rank; 1 is usual.
    pub slowdowns: &'a [f32],
    /// The operator's weights.
    pub weights: Weights,
    /// Cost of loading experts.
    pub load: LoadCost,
}

/// Reason for which no move is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeclineReason {
    /// Too few windows of popularity have been counted.
    Warming,
    /// No layer can gain enough to justify a single load.
    Balanced,
    /// All moves would cost more than they gain under the weights.
    Unprofitable,
    /// Popularity changes too fast for the moves to pay back.
    Unsettled,
}

/// Moves to be made in one switch.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Moves in the order in which they apply to the map.
    pub moves: Vec<Move>,
    /// Bytes to be loaded for the moves.
    pub bytes: u64,
    /// Expected reduction of the step's skew over the horizon, as mean over all layers.
    pub gain: f64,
    /// Weighted cost, in the unit of the weighted gain.
    pub cost: f64,
    /// Time after which the gain has made up for the slowdown while loading.
    pub payback: Duration,
    /// Whether the plan replaces the initial placement of a layer; others may still have theirs.
    pub is_partial: bool,
}

/// Decision on the expert map.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Make these moves.
    Move(Plan),
    /// Keep the map.
    Keep(DeclineReason),
}

/// Changes of one layer that are selected or rejected as a unit.
struct Segment {
    layer: usize,
    /// The segment replaces the initial placement of the layer, whatever the weights.
    is_initial: bool,
    moves: Vec<Move>,
    gain: f64,
}

impl Segment {
    fn gain_per_load(&self) -> f64 {
        self.gain / self.moves.len().max(1) as f64
    }
}

/// Decides which moves to make, if any.
pub fn decide(now: Duration, input: &PlanInput<'_>) -> Decision {
    if input.popularity.counted_windows() < WARMUP_WINDOWS {
        return decline(DeclineReason::Warming, 0.0, 0.0);
    }
    let settled = input.popularity.settled_time(now, SETTLED_DISTANCE);
    let excess = settled.saturating_sub(SETTLED_MIN);
    let persistence = (excess.as_secs_f32() / input.weights.horizon().as_secs_f32()).min(1.0);
    let demand = |layer: usize| Demand {
        fast: input.popularity.fast(layer),
        slow: input.popularity.slow(layer),
        persistence,
        slowdowns: input.slowdowns,
    };
    let headrooms: Vec<Headroom> = (0..input.map.layers.len())
        .map(|layer| Headroom::measure(input, layer, demand(layer)))
        .collect();
    let skew = headrooms.iter().map(|r| r.skew).sum::<f64>() / headrooms.len().max(1) as f64;
    let mut initial = headrooms.iter().filter(|r| r.is_initial);
    let segments = match initial.find_map(|r| initial_segment(input, r, demand(r.layer))) {
        Some(segment) => vec![segment],
        None => search_layers(input, headrooms, demand),
    };
    select_moves(input, settled, skew, segments)
}

/// Upper limit of what a layer may gain.
struct Headroom {
    layer: usize,
    skew: f64,
    gain_max: f64,
    is_initial: bool,
}

impl Headroom {
    fn measure(input: &PlanInput<'_>, layer: usize, demand: Demand<'_>) -> Self {
        let shape = input.map.shape;
        let placed = &input.map.layers[layer];
        let skew = f64::from(Search::new(layer as u16, placed, demand, shape).skew());
        let gain_max = skew - min_skew(demand, shape);
        let is_initial = *placed == LayerMap::initial(shape) && gain_max > LAYER_GAIN_MIN;
        Self { layer, skew, gain_max, is_initial }
    }

    fn may_pay(&self, input: &PlanInput<'_>) -> bool {
        self.gain_max >= LAYER_GAIN_MIN && self.gain_max * input.weights.skew >= load_price(input)
    }
}

/// Searches the layers with the highest possible gain.
fn search_layers<'a>(
    input: &PlanInput<'_>,
    mut headrooms: Vec<Headroom>,
    demand: impl Fn(usize) -> Demand<'a>,
) -> Vec<Segment> {
    headrooms.retain(|r| r.may_pay(input));
    headrooms.sort_by(|a, b| b.gain_max.total_cmp(&a.gain_max).then(a.layer.cmp(&b.layer)));
    headrooms.truncate(SEARCH_LAYERS_MAX);
    headrooms.iter().flat_map(|r| search_layer(input, r, demand(r.layer))).collect()
}

fn search_layer(input: &PlanInput<'_>, headroom: &Headroom, demand: Demand<'_>) -> Vec<Segment> {
    let placed = &input.map.layers[headroom.layer];
    let mut search = Search::new(headroom.layer as u16, placed, demand, input.map.shape);
    let changes = search.run(SEARCH_CHANGES_MAX, load_price(input) / input.weights.skew);
    let mut points = vec![(0usize, headroom.skew)];
    let mut loads = 0;
    for change in &changes {
        loads += change.moves.len();
        points.push((loads, f64::from(change.skew)));
    }
    let moves: Vec<Move> = changes.into_iter().flat_map(|c| c.moves).collect();
    split_at_hull(headroom.layer, &points, &moves)
}

/// Lower bound of the skew over all placements of the layer.
fn min_skew(demand: Demand<'_>, shape: Shape) -> f64 {
    let ranks = f32::from(shape.ranks);
    let low = |share: &[f32]| load_lower_bound(share, shape) * ranks;
    let mixed =
        demand.persistence * low(demand.fast) + (1.0 - demand.persistence) * low(demand.slow);
    f64::from(mixed)
}

/// Price of one load, in the unit of the weighted skew of one layer.
fn load_price(input: &PlanInput<'_>) -> f64 {
    input.weights.moved / input.map.shape.layer_slots() as f64
}

/// Placement from scratch of a layer that still has its initial one; `None` if it gains too little.
fn initial_segment(
    input: &PlanInput<'_>,
    headroom: &Headroom,
    demand: Demand<'_>,
) -> Option<Segment> {
    let shape = input.map.shape;
    let layer = headroom.layer;
    let persistence = demand.persistence;
    let pairs = demand.fast.iter().zip(demand.slow);
    let mixed: Vec<f32> = pairs.map(|(f, s)| persistence * f + (1.0 - persistence) * s).collect();
    let greedy = lay_out(&mixed, demand.slowdowns, shape);
    let mut search = Search::new(layer as u16, &greedy, demand, shape);
    let greedy_skew = search.skew();
    search.run(SEARCH_CHANGES_MAX, 0.0);
    let skew = search.skew().min(greedy_skew);
    let layout = if skew < greedy_skew { search.into_layer() } else { greedy };
    let gain = headroom.skew - f64::from(skew);
    let moves = diff_layouts(layer, &input.map.layers[layer], &layout, shape);
    (gain > LAYER_GAIN_MIN).then_some(Segment { layer, is_initial: true, moves, gain })
}

/// Moves that turn one placement into another. An expert that its rank keeps stays in its slot.
fn diff_layouts(layer: usize, old: &LayerMap, new: &LayerMap, shape: Shape) -> Vec<Move> {
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

/// Splits a series of changes into segments of decreasing gain per load, along the upper convex
/// hull of the gain over the number of loads.
fn split_at_hull(layer: usize, points: &[(usize, f64)], moves: &[Move]) -> Vec<Segment> {
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
        segments.push(Segment { layer, is_initial: false, moves: part, gain });
        from = to;
    }
    segments
}

fn select_moves(
    input: &PlanInput<'_>,
    settled: Duration,
    skew: f64,
    segments: Vec<Segment>,
) -> Decision {
    if segments.is_empty() {
        return decline(DeclineReason::Balanced, skew, 0.0);
    }
    let price = load_price(input);
    let best = segments.iter().map(|s| s.gain).fold(0.0, f64::max);
    let profitable = retain_profitable(input, price, segments);
    if profitable.is_empty() {
        return decline(DeclineReason::Unprofitable, skew, best);
    }
    let layers = f64::from(input.map.shape.layers);
    let is_partial = profitable.iter().any(|s| s.is_initial);
    let taken = fit_buffers(input.map.shape, profitable);
    let gain = taken.iter().map(|s| s.gain).sum::<f64>() / layers;
    let moves: Vec<Move> = taken.into_iter().flat_map(|s| s.moves).collect();
    let loading = loading_time(input, &moves);
    let payback = loading.mul_f64(LOAD_SLOWDOWN * skew / gain.max(f64::MIN_POSITIVE));
    if payback > settled {
        return decline(DeclineReason::Unsettled, skew, gain);
    }
    moves.iter().for_each(|m| log_move(input.map, m, payback));
    let cost = price * moves.len() as f64 / layers;
    let bytes = moves.len() as u64 * input.load.bytes;
    tracing::info!(
        event = events::MOVES_PLANNED,
        moves = moves.len(),
        bytes,
        gain,
        cost,
        skew,
        horizon_s = settled.as_secs(),
        "expert moves planned"
    );
    Decision::Move(Plan { moves, bytes, gain, cost, payback, is_partial })
}

/// Keeps the segments that gain more than they cost or replace an initial placement, in layers
/// whose total gain is at least [`LAYER_GAIN_MIN`]. Sorts them by descending gain per load.
fn retain_profitable(input: &PlanInput<'_>, price: f64, segments: Vec<Segment>) -> Vec<Segment> {
    let pays =
        |s: &Segment| s.is_initial || s.gain * input.weights.skew > price * s.moves.len() as f64;
    let mut kept: Vec<Segment> = segments.into_iter().filter(pays).collect();
    let mut total = vec![0.0; input.map.layers.len()];
    kept.iter().for_each(|s| total[s.layer] += s.gain);
    kept.retain(|s| total[s.layer] >= LAYER_GAIN_MIN);
    kept.sort_by(|a, b| {
        b.gain_per_load().total_cmp(&a.gain_per_load()).then(a.layer.cmp(&b.layer))
    });
    kept
}

/// Selects segments in order as long as no rank has more loads than buffers. Once a segment of a
/// layer does not fit, the layer's later segments are skipped, since they build on it.
fn fit_buffers(shape: Shape, segments: Vec<Segment>) -> Vec<Segment> {
    let limit = BUFFERED_LAYERS * usize::from(shape.slots);
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

fn loading_time(input: &PlanInput<'_>, moves: &[Move]) -> Duration {
    let mut loads = vec![0u32; usize::from(input.map.shape.ranks)];
    moves.iter().for_each(|m| loads[usize::from(m.rank)] += 1);
    let max_loads = loads.into_iter().max().unwrap_or_default();
    Duration::from_secs_f64(f64::from(max_loads) * input.load.bytes as f64 / input.load.rate)
}

fn log_move(map: &ExpertMap, change: &Move, payback: Duration) {
    let Move { layer, rank, slot, expert } = *change;
    let evicted = map.expert_at(layer, rank, slot);
    let payback_s = payback.as_secs_f64();
    tracing::info!(
        event = events::MOVE_CHOSEN,
        layer,
        rank,
        slot,
        expert,
        evicted,
        payback_s,
        "expert move chosen"
    );
}

fn decline(reason: DeclineReason, skew: f64, gain: f64) -> Decision {
    tracing::info!(event = events::MOVES_DECLINED, ?reason, skew, gain, "no expert move planned");
    Decision::Keep(reason)
}
