//! The policies that are compared.

use super::constants::{EXPERT_BYTES, FIRST_PLAN_S, FULL_PERIOD_S, LOAD_RATE};
use papayaproxy::experts::{
    Decision, ExpertMap, LoadCost, PlanInput, Popularity, StragglerDetector, Weights, decide,
    lay_out,
};
use std::time::Duration;

/// A placement policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Policy {
    /// One plan at the beginning, none afterwards.
    Static,
    /// Lays the whole map out anew each period.
    Full,
    /// Incremental plans under these weights.
    Planned(Weights),
}

/// Weights of a deployment that leans to low skew.
const CELLAR: Weights = Weights { skew: 16.0, moved: 1.0 };

/// Weights of a deployment that leans to few moves.
const ORDER_DESK: Weights = Weights { skew: 1.0, moved: 1.0 };

impl Policy {
    /// Every policy with its name.
    pub(crate) const ALL: [(&'static str, Self); 4] = [
        ("static", Self::Static),
        ("full", Self::Full),
        ("planned-cellar", Self::Planned(CELLAR)),
        ("planned-order-desk", Self::Planned(ORDER_DESK)),
    ];
}

/// What a policy may look at.
pub(crate) struct View<'a> {
    /// Virtual time in seconds.
    pub(crate) second: u64,
    /// The map in force.
    pub(crate) map: &'a ExpertMap,
    /// Popularity of the experts.
    pub(crate) popularity: &'a Popularity,
    /// Paces of the ranks.
    pub(crate) paces: &'a StragglerDetector,
}

/// A policy at work.
pub(crate) struct Planner {
    policy: Policy,
    target: Option<ExpertMap>,
    planned: Option<u64>,
    folds: u32,
    partial: bool,
}

impl Planner {
    /// Starts a policy.
    pub(crate) fn open(policy: Policy) -> Self {
        Self { policy, target: None, planned: None, folds: 0, partial: false }
    }

    /// The next map to switch to, if there is a reason to. Asked while no switch is on its way.
    pub(crate) fn next(&mut self, view: &View<'_>) -> Option<ExpertMap> {
        match self.policy {
            Policy::Planned(weights) => self.plan(view, weights),
            Policy::Static => self.lay_out(view, u64::MAX),
            Policy::Full => self.lay_out(view, FULL_PERIOD_S),
        }
    }

    fn plan(&mut self, view: &View<'_>, weights: Weights) -> Option<ExpertMap> {
        if self.folds == view.popularity.counted_windows() && !self.partial {
            return None;
        }
        self.folds = view.popularity.counted_windows();
        let situation = PlanInput {
            map: view.map,
            popularity: view.popularity,
            slowdowns: &view.paces.slowdowns(),
            weights,
            load: LoadCost { bytes: EXPERT_BYTES, rate: LOAD_RATE },
        };
        let decision = decide(Duration::from_secs(view.second), &situation);
        let Decision::Move(plan) = decision else {
            self.partial = false;
            return None;
        };
        self.partial = plan.is_partial;
        let mut map = view.map.clone();
        plan.moves.iter().for_each(|m| map.apply(*m));
        Some(map)
    }

    /// Lays every layer out anew each period, and gives them one layer at a time.
    fn lay_out(&mut self, view: &View<'_>, period: u64) -> Option<ExpertMap> {
        if view.second < FIRST_PLAN_S {
            return None;
        }
        let due = self.planned.is_none_or(|at| view.second - at >= period);
        if self.target.is_none() && due {
            self.planned = Some(view.second);
            self.target = Some(fresh(view));
        }
        let target = self.target.as_ref()?;
        let pairs = view.map.layers.iter().zip(&target.layers);
        let Some(layer) = pairs.into_iter().position(|(have, want)| have != want) else {
            self.target = None;
            return None;
        };
        let mut map = view.map.clone();
        map.layers[layer] = target.layers[layer].clone();
        Some(map)
    }
}

/// The greedy layout of every layer, longest first with replicas.
fn fresh(view: &View<'_>) -> ExpertMap {
    let shape = view.map.shape;
    let even = vec![1.0; shape.ranks.into()];
    let layer = |l| lay_out(view.popularity.fast(l), &even, shape);
    ExpertMap { shape, layers: (0..shape.layers.into()).map(layer).collect() }
}
