//! Spreads requests over upstreams whose reported load is out of date.
//!
//! If every entry sends to the upstream with the lowest load in the same old reports, that upstream
//! is overloaded. Each entry therefore assumes that the requests not yet reported fill the least
//! loaded upstreams up to a common score (water-filling), and picks an upstream at random in
//! proportion to the requests that each would get.

/// An upstream that may take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Candidate {
    /// Index in the caller's list.
    pub(crate) index: usize,
    /// Estimated load and other costs; the lowest is best.
    pub(crate) score: f64,
    /// Rise of the score with each further request; above 0.
    pub(crate) step: f64,
}

/// Chooses an upstream; `None` if there are no candidates. `unseen` estimates the requests that
/// other entries sent since their load reports; `draw` is uniform from 0 to 1.
pub(crate) fn choose(mut candidates: Vec<Candidate>, unseen: f64, draw: f64) -> Option<usize> {
    candidates.sort_by(|a, b| a.score.total_cmp(&b.score));
    let (mut slope, mut base, mut level) = (0.0, 0.0, 0.0);
    let mut used = 0;
    for candidate in &candidates {
        // Stop if the unseen requests do not raise all better upstreams to this one's score.
        if used > 0 && candidate.score * slope - base >= unseen {
            break;
        }
        slope += 1.0 / candidate.step;
        base += candidate.score / candidate.step;
        level = (unseen + base) / slope;
        used += 1;
    }
    candidates.truncate(used);
    let share = |c: &Candidate| (level - c.score).max(0.0) / c.step;
    let mut target = draw * candidates.iter().map(share).sum::<f64>();
    for candidate in &candidates {
        target -= share(candidate);
        if target < 0.0 {
            return Some(candidate.index);
        }
    }
    candidates.first().map(|c| c.index)
}
