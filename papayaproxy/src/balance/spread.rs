//! Spreads requests over upstreams whose load is known late.
//!
//! Entries that all send to the least loaded upstream of the same old picture overload it. Each
//! entry therefore works out where the requests that nobody has seen yet would go if they filled
//! the least loaded upstreams up to one level, and draws its own upstream in those proportions.

/// An upstream that could take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Candidate {
    /// Its place in the caller's list.
    pub(crate) index: usize,
    /// How loaded it seems; the least is best.
    pub(crate) score: f64,
    /// By how much one request more raises the score.
    pub(crate) step: f64,
}

/// Chooses an upstream. `unseen` counts the requests of other entries since the picture was taken;
/// `draw` is uniform from 0 to 1.
pub(crate) fn choose(mut candidates: Vec<Candidate>, unseen: f64, draw: f64) -> Option<usize> {
    candidates.sort_by(|a, b| a.score.total_cmp(&b.score));
    let (mut room, mut cost, mut level) = (0.0, 0.0, 0.0);
    let mut filled = 0;
    for candidate in &candidates {
        // Requests that raise all better upstreams to this one's score.
        if filled > 0 && candidate.score * room - cost >= unseen {
            break;
        }
        room += 1.0 / candidate.step;
        cost += candidate.score / candidate.step;
        level = (unseen + cost) / room;
        filled += 1;
    }
    candidates.truncate(filled);
    let share = |c: &Candidate| (level - c.score).max(0.0) / c.step;
    let mut left = draw * candidates.iter().map(share).sum::<f64>();
    for candidate in &candidates {
        left -= share(candidate);
        if left < 0.0 {
            return Some(candidate.index);
        }
    }
    candidates.first().map(|c| c.index)
}
