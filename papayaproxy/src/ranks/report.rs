//! What an agent reports, to whom and when. Without I/O or clock.
//!
//! The reports of all ranks share the lead's link, so in large groups a rank repeats an unchanged
//! status less often, and only some ranks at a time send their expert counts.

use super::constants::{
    COUNT_BYTES_PER_TICK, COUNT_RANKS_MAX, COUNT_RANKS_MIN, FULL_RATE_RANKS, LEAD_REPORT_TICKS,
    LISTS_TICKS, STATUS_RANKS, STATUS_TICKS_MAX,
};
use super::message::{ArmedMap, CountSample, RankStatus};
use std::net::SocketAddr;

/// State of a rank whose changes the lead waits for.
#[derive(Clone, Debug, PartialEq)]
struct LeadState {
    lead: Option<SocketAddr>,
    epoch: u64,
    term: u64,
    is_open: bool,
    is_busy: bool,
    copying: Option<u64>,
    version: u64,
    prepared: Option<u64>,
    armed: Option<ArmedMap>,
    held: Option<u64>,
    is_uncertain: bool,
    wants_map: bool,
}

/// The lists that a lead has of a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ListsKey {
    lead: Option<SocketAddr>,
    epoch: u64,
    version: u64,
}

/// Decides when which parts of a report are due.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportSchedule {
    /// The state last sent to the lead.
    sent: Option<LeadState>,
    /// The lists last sent, and at which tick.
    lists_sent: Option<(ListsKey, u64)>,
}

/// Parts of a report that are due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DueParts {
    /// The status, to the lead.
    pub(crate) status: bool,
    /// The experts of the rank, with the status.
    pub(crate) lists: bool,
    /// The expert counts, with the status.
    pub(crate) counts: bool,
    /// A short report to all other ranks.
    pub(crate) beat: bool,
}

/// What the schedule depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportState<'a> {
    pub(crate) status: &'a RankStatus,
    /// Address of the lead; `None` if this rank leads or the lead is not known.
    pub(crate) lead: Option<SocketAddr>,
    pub(crate) is_lead: bool,
    pub(crate) term: u64,
    pub(crate) is_uncertain: bool,
    /// Whether the rank lacks the map that the lead's changes refer to.
    pub(crate) wants_map: bool,
    /// Number of expert counts of a rank.
    pub(crate) cells: usize,
    pub(crate) tick: u64,
    /// Whether this is a regular tick, not one in between.
    pub(crate) is_regular: bool,
}

impl ReportSchedule {
    /// The parts due now, which count as sent.
    pub(crate) fn due(&mut self, state: ReportState<'_>) -> DueParts {
        let status = state.status;
        let (rank, size) = (u64::from(status.rank), u64::from(status.size.max(1)));
        let current = LeadState {
            lead: state.lead,
            epoch: status.epoch,
            term: state.term,
            is_open: status.open,
            is_busy: status.busy,
            copying: status.copying,
            version: status.version,
            prepared: status.prepared,
            armed: status.armed,
            held: status.held,
            is_uncertain: state.is_uncertain,
            wants_map: state.wants_map,
        };
        let is_turn =
            |interval: u64| state.is_regular && (state.tick + rank).is_multiple_of(interval.max(1));
        let changed = self.sent.as_ref() != Some(&current);
        let counts = is_turn(count_interval(size, state.cells));
        let key = ListsKey { lead: state.lead, epoch: status.epoch, version: status.version };
        let lists =
            self.lists_sent.is_none_or(|(sent, at)| sent != key || state.tick >= at + LISTS_TICKS);
        let repeats = is_turn(size.div_ceil(STATUS_RANKS).min(STATUS_TICKS_MAX));
        let beat_interval = match state.is_lead {
            true => LEAD_REPORT_TICKS.min(size.div_ceil(FULL_RATE_RANKS)),
            false => size.div_ceil(FULL_RATE_RANKS),
        };
        let due = DueParts {
            status: changed || counts || lists || repeats,
            lists,
            counts,
            beat: is_turn(beat_interval) || (state.is_lead && changed),
        };
        self.sent = Some(current);
        if lists {
            self.lists_sent = Some((key, state.tick));
        }
        due
    }
}

/// Ticks between two reports of a rank's counts.
pub(crate) fn count_interval(size: u64, cells: usize) -> u64 {
    let ranks = COUNT_BYTES_PER_TICK / cells.max(1) as u64;
    size.div_ceil(ranks.clamp(COUNT_RANKS_MIN, COUNT_RANKS_MAX))
}

/// Scales counts down so that each takes one byte.
pub(crate) fn encode_counts(counts: &[u32]) -> CountSample {
    let largest = counts.iter().copied().max().unwrap_or_default();
    let shift = (u32::BITS - largest.leading_zeros()).saturating_sub(u8::BITS);
    CountSample { shift: shift as u8, counts: counts.iter().map(|c| (c >> shift) as u8).collect() }
}

/// The counts of a sample, up to its precision.
pub(crate) fn decode_counts(sample: &CountSample) -> Vec<u32> {
    let shift = u32::from(sample.shift).min(u32::BITS - u8::BITS);
    sample.counts.iter().map(|c| u32::from(*c) << shift).collect()
}
