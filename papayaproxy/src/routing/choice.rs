//! A single choice: which candidates are eligible for the request, and which of them are scored.

use super::cache::{Match, Matches};
use super::candidates::{Candidate, Pool};
use super::codes;
use super::constants::{
    DRAWS_PER_SAMPLE, HOME_TRUST, HOMES_MAX, HOT_FRACTION, OTHER_TRUST, RANDOM_SAMPLES, SMALL_POOL,
};
use super::decision::{Reason, Refusal, ScoredCandidate, ScoredList};
use super::home::{home_key, homes};
use super::request::{Moment, Request};
use super::router::Router;
use super::score::{Forecast, ForecastInput, forecast};
use rand::{Rng, RngExt};

/// State of one choice.
pub(crate) struct Choice<'a> {
    pub router: &'a Router,
    pub request: &'a Request<'a>,
    pub at: Moment,
    /// Upstreams recorded as holding a prefix of the prompt.
    pub matches: Matches,
    /// Homes of the prompt's prefix, in descending order of weight.
    pub homes: [Option<u32>; HOMES_MAX],
}

impl Choice<'_> {
    pub(crate) fn find_homes(&mut self, pool: &Pool) {
        let threshold = HOT_FRACTION * HOMES_MAX as f64 / pool.members.len().max(1) as f64;
        let is_hot =
            |key: u64| self.router.prefix_index.request_share(key, self.at.now) > threshold;
        let Some(key) = home_key(self.request.prefix, is_hot) else { return };
        self.homes = homes(&self.router.candidates, &pool.members, key, |i| self.is_eligible(i));
        if pool.members.len() < SMALL_POOL {
            self.homes[HOMES_MAX - 1] = None;
        }
    }

    pub(crate) fn score_all(&self, pool: &Pool, scored: &mut ScoredList, rng: &mut impl Rng) {
        let (near, far) = pool.members.split_at(pool.near_count);
        self.homes.iter().flatten().for_each(|&i| self.score(i, Reason::Home, scored));
        if scored.best().is_some() {
            return;
        }
        self.draw(near, Reason::Drawn, scored, rng);
        self.draw(far, Reason::Spilled, scored, rng);
        if scored.iter().next().is_none() {
            self.scan(&pool.members, Reason::Scanned, scored);
        }
        if scored.iter().next().is_none() {
            // Missed heartbeats do not prove that an upstream is down, so an attempt is better than
            // a refusal.
            self.scan(&pool.silent, Reason::Silent, scored);
        }
    }

    fn draw(&self, members: &[u32], reason: Reason, scored: &mut ScoredList, rng: &mut impl Rng) {
        let mut remaining = RANDOM_SAMPLES.min(members.len());
        for _ in 0..RANDOM_SAMPLES * DRAWS_PER_SAMPLE {
            if remaining == 0 {
                return;
            }
            let index = members[rng.random_range(0..members.len())];
            if self.is_eligible(index) {
                self.score(index, reason, scored);
                remaining -= 1;
            }
        }
    }

    fn scan(&self, members: &[u32], reason: Reason, scored: &mut ScoredList) {
        let eligible = members.iter().filter(|&&i| self.is_eligible(i));
        let best =
            eligible.min_by(|&&a, &&b| self.forecast(a).score.total_cmp(&self.forecast(b).score));
        if let Some(&index) = best {
            self.score(index, reason, scored);
        }
    }

    fn score(&self, index: u32, reason: Reason, scored: &mut ScoredList) {
        if scored.contains(index) || !self.is_eligible(index) {
            return;
        }
        let cached_tokens = self.cached_tokens(index);
        let forecast = self.forecast(index);
        scored.push(ScoredCandidate {
            upstream: index,
            reason,
            score: forecast.score as f32,
            first_token: forecast.first_token as f32,
            cached_tokens: cached_tokens as u32,
        });
    }

    /// Prompt tokens that an upstream's cache is expected to hold. A home is also expected to hold
    /// part of the longest prefix recorded for any upstream, since other entries choose the same
    /// homes.
    fn cached_tokens(&self, index: u32) -> f64 {
        let expected = |m: &Match| self.router.prefix_index.expected_tokens(m, self.at.now);
        let own = self.matches.find(index).map_or(0.0, expected);
        let shared = self.matches.iter().map(expected).fold(0.0, f64::max);
        let position = self.homes.iter().position(|h| *h == Some(index));
        let home = position.map_or(0.0, |r| HOME_TRUST.get(r).copied().unwrap_or(0.0) * shared);
        let own = if position.is_some() { own } else { own * OTHER_TRUST };
        own.max(home).min(f64::from(self.request.prompt_tokens))
    }

    pub(crate) fn forecast(&self, index: u32) -> Forecast {
        let candidate = &self.router.candidates.upstreams[index as usize];
        let input = ForecastInput {
            load: &self.router.loads[index as usize],
            distance: candidate.distance,
            group_step: candidate.group.map(|g| self.router.group_steps[usize::from(g)]),
            cached_tokens: self.cached_tokens(index),
            entries_factor: self.router.entries_factor,
        };
        forecast(self.request, &input, &self.router.settings, self.at.now)
    }

    /// Whether the upstream can serve the request and its circuit allows it.
    fn is_eligible(&self, index: u32) -> bool {
        let load = &self.router.loads[index as usize];
        load.circuit.allows(self.at.now) && self.can_serve(index)
    }

    /// Whether the upstream can serve the request, apart from its circuit. Before the first load
    /// report, it is assumed to have every model.
    fn can_serve(&self, index: u32) -> bool {
        let candidate = &self.router.candidates.upstreams[index as usize];
        let load = &self.router.loads[index as usize];
        let has_model =
            self.request.model.is_none_or(|key| !load.has_report() || load.models.contains(&key));
        let has_role =
            candidate.role == crate::fleet::Role::Mixed || candidate.role == self.request.role;
        has_model
            && has_role
            && self.takes_work(candidate)
            && !self.request.excluded.contains(&candidate.name)
    }

    fn takes_work(&self, candidate: &Candidate) -> bool {
        #[cfg(test)]
        if self.router.skip_leave_check {
            return true;
        }
        candidate.takes_work(self.at.wall)
    }

    pub(crate) fn has_candidate_in_time(&self, pool: &Pool) -> bool {
        let time_left = self.request.time_left.as_secs_f64();
        pool.members
            .iter()
            .any(|&i| self.is_eligible(i) && self.forecast(i).last_token <= time_left)
    }

    pub(crate) fn refusal(&self, pool: &Pool) -> Refusal {
        let serving = pool.members.iter().filter(|&&i| self.can_serve(i));
        let wait =
            serving.map(|&i| self.router.loads[i as usize].circuit.retry_after(self.at.now)).min();
        let retry_after = wait.unwrap_or(crate::base::constants::LEAVE_LIMIT);
        Refusal { code: codes::NO_CANDIDATE, retry_after }
    }
}
