//! One choice: which candidates are scored, and which may be given the request at all.

use super::cache::{Match, Matches};
use super::candidates::{Candidate, Pool};
use super::codes;
use super::constants::{DRAWS, HOME_TRUST, HOMES, HOT_PART, SAMPLES, SMALL_POOL, STRAY_TRUST};
use super::decision::{Reason, Refusal, Scored, ScoredList};
use super::home::{home_key, homes};
use super::request::{Moment, Request};
use super::router::Router;
use super::score::{Forecast, Input, forecast};
use rand::{Rng, RngExt};

/// One choice under way.
pub(crate) struct Choice<'a> {
    pub router: &'a Router,
    pub request: &'a Request<'a>,
    pub at: Moment,
    pub matches: Matches,
    pub homes: [Option<u32>; HOMES],
}

impl Choice<'_> {
    pub(crate) fn find_homes(&mut self, pool: &Pool) {
        let hot = HOT_PART * HOMES as f64 / pool.members.len().max(1) as f64;
        let is_hot = |key: u64| self.router.index.heat(key, self.at.now) > hot;
        let Some(key) = home_key(self.request.prefix, is_hot) else { return };
        self.homes = homes(&self.router.candidates, &pool.members, key, |i| self.fits(i));
        if pool.members.len() < SMALL_POOL {
            self.homes[HOMES - 1] = None;
        }
    }

    pub(crate) fn score_all(&self, pool: &Pool, scored: &mut ScoredList, rng: &mut impl Rng) {
        let (near, far) = pool.members.split_at(pool.near);
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
            // Liveness is a belief: a call tells more than a refusal would.
            self.scan(&pool.silent, Reason::Silent, scored);
        }
    }

    fn draw(&self, members: &[u32], reason: Reason, scored: &mut ScoredList, rng: &mut impl Rng) {
        let mut left = SAMPLES.min(members.len());
        for _ in 0..SAMPLES * DRAWS {
            if left == 0 {
                return;
            }
            let index = members[rng.random_range(0..members.len())];
            if self.fits(index) {
                self.score(index, reason, scored);
                left -= 1;
            }
        }
    }

    fn scan(&self, members: &[u32], reason: Reason, scored: &mut ScoredList) {
        let fitting = members.iter().filter(|&&i| self.fits(i));
        let best =
            fitting.min_by(|&&a, &&b| self.forecast(a).score.total_cmp(&self.forecast(b).score));
        if let Some(&index) = best {
            self.score(index, reason, scored);
        }
    }

    fn score(&self, index: u32, reason: Reason, scored: &mut ScoredList) {
        if scored.has(index) || !self.fits(index) {
            return;
        }
        let cached = self.cached(index);
        let found = self.forecast(index);
        scored.push(Scored {
            upstream: index,
            reason,
            score: found.score as f32,
            first: found.first as f32,
            cached: cached as u32,
        });
    }

    /// Tokens of the prompt that an upstream's cache is expected to hold. A home is expected to hold
    /// whatever this entry has seen before of the prefix, since the other entries send it there too.
    fn cached(&self, index: u32) -> f64 {
        let credit = |m: &Match| self.router.index.credit(m, self.at.now);
        let own = self.matches.find(index).map_or(0.0, credit);
        let shared = self.matches.iter().map(credit).fold(0.0, f64::max);
        let rank = self.homes.iter().position(|h| *h == Some(index));
        let home = rank.map_or(0.0, |r| HOME_TRUST.get(r).copied().unwrap_or(0.0) * shared);
        let own = if rank.is_some() { own } else { own * STRAY_TRUST };
        own.max(home).min(f64::from(self.request.prompt_tokens))
    }

    pub(crate) fn forecast(&self, index: u32) -> Forecast {
        let candidate = &self.router.candidates.upstreams[index as usize];
        let input = Input {
            load: &self.router.loads[index as usize],
            distance: candidate.distance,
            step: candidate.group.map(|g| self.router.groups[usize::from(g)]),
            cached: self.cached(index),
            peers: self.router.peers,
        };
        forecast(self.request, &input, &self.router.settings, self.at.now)
    }

    /// Tells whether an upstream may be given the request at all.
    fn fits(&self, index: u32) -> bool {
        let load = &self.router.loads[index as usize];
        load.circuit.allows(self.at.now) && self.could_serve(index)
    }

    fn could_serve(&self, index: u32) -> bool {
        let candidate = &self.router.candidates.upstreams[index as usize];
        let load = &self.router.loads[index as usize];
        let loaded =
            self.request.model.is_none_or(|key| !load.known() || load.models.contains(&key));
        let role =
            candidate.role == crate::fleet::Role::Mixed || candidate.role == self.request.role;
        loaded
            && role
            && self.takes_work(candidate)
            && !self.request.excluded.contains(&candidate.name)
    }

    fn takes_work(&self, candidate: &Candidate) -> bool {
        #[cfg(test)]
        if self.router.blind {
            return true;
        }
        candidate.takes_work(self.at.wall)
    }

    pub(crate) fn any_in_time(&self, pool: &Pool) -> bool {
        let left = self.request.time_left.as_secs_f64();
        pool.members.iter().any(|&i| self.fits(i) && self.forecast(i).last <= left)
    }

    pub(crate) fn refuse(&self, pool: &Pool) -> Refusal {
        let serving = pool.members.iter().filter(|&&i| self.could_serve(i));
        let wait = serving.map(|&i| self.router.loads[i as usize].circuit.retry(self.at.now)).min();
        let retry_after = wait.unwrap_or(crate::base::constants::LEAVE_LIMIT);
        Refusal { code: codes::NO_CANDIDATE, retry_after }
    }
}
