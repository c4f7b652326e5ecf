//! Intervals, timeouts and limits of the agreement on expert maps.

use std::time::Duration;

/// Interval between two reads of the local replica's status, which cost nothing on its own host.
pub(crate) const TICK: Duration = Duration::from_millis(100);
/// The same while the rank copies experts or a switch is in progress.
pub(crate) const FAST_TICK: Duration = Duration::from_millis(30);
/// Delay of a tick from which on it is logged.
pub(crate) const LATE_TICK: Duration = Duration::from_millis(100);
/// Bytes of expert counts that a lead receives per tick; each count takes one.
pub(crate) const COUNT_BYTES_PER_TICK: u64 = 12_000;
/// Least number of ranks that report their counts at a tick.
pub(crate) const COUNT_RANKS_MIN: u64 = 2;
/// Largest number of ranks that report their counts at a tick; all requests choose alike.
pub(crate) const COUNT_RANKS_MAX: u64 = 8;
/// Interval between two hellos to the entries, which pass on the contacts of the group.
pub(crate) const HELLO_INTERVAL: Duration = Duration::from_millis(500);
/// The same once all agents of the group are known.
pub(crate) const HELLO_INTERVAL_SETTLED: Duration = Duration::from_secs(3);
/// Time after which an entry that is no longer named counts as gone.
pub(crate) const CONTACT_TTL: Duration = Duration::from_secs(30);
/// Number of entries that an agent sends its hello to.
pub(crate) const HELLO_ENTRIES: usize = 5;
/// Group size up to which an agent sends a short report to all ranks at every tick; the interval grows
/// with the size. The lead gets the status more often, see [`STATUS_RANKS`].
pub(crate) const FULL_RATE_RANKS: u64 = 8;
/// Group size up to which a rank sends its status to the lead at every tick.
pub(crate) const STATUS_RANKS: u64 = 32;
/// Most ticks between two reports of an unchanged status; several fit into [`REPORT_MAX_AGE`].
pub(crate) const STATUS_TICKS_MAX: u64 = 4;
/// Ticks between two reports of a rank's unchanged lists.
pub(crate) const LISTS_TICKS: u64 = 20;
/// Maps that an agent remembers: the one in use, the one being prepared and one before.
pub(crate) const KNOWN_MAPS: usize = 3;
/// Bytes of a map on their way to ranks that have not confirmed it: the initial window of TCP (RFC 6928).
/// The lead's reports wait at most as long for its link, 20 ms at 6 Mbit/s.
pub(crate) const MAP_BYTES_UNCONFIRMED: usize = 14_600;
/// Most ticks between two reports of the lead to all ranks; several fit into [`REPORT_MAX_AGE`].
pub(crate) const LEAD_REPORT_TICKS: u64 = 2;
/// Timeout of a read from the local replica.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of an order to a replica; it answers within a few milliseconds, or not at all.
pub(crate) const ORDER_TIMEOUT: Duration = Duration::from_millis(60);
/// Attempts of one order in a row while no answer comes.
pub(crate) const ORDER_ATTEMPTS: u32 = 4;

/// Age past which a rank's report no longer counts; several ticks.
pub(crate) const REPORT_MAX_AGE: Duration = Duration::from_millis(1000);
/// Time that a rank waits after the reports of all lower ranks have expired before it leads.
pub(crate) const TAKEOVER_DELAY: Duration = Duration::from_millis(400);
/// Additional wait of a rank for each lower rank that was heard of lately, which may lead as well.
pub(crate) const TAKEOVER_STAGGER: Duration = Duration::from_millis(50);
/// Most lower ranks that a rank waits for.
pub(crate) const TAKEOVER_RANKS_MAX: u32 = 16;
/// Time without a report after which a lower rank is not waited for.
pub(crate) const RANK_GONE: Duration = Duration::from_secs(5);
/// Interval between two reads of a remote replica whose agent does not respond; each read has a
/// cost.
pub(crate) const REMOTE_READ_INTERVAL: Duration = Duration::from_millis(300);
/// Remote replicas read at a time.
pub(crate) const REMOTE_READS_MAX: usize = 3;
/// Delay before a remote replica that did not answer is read again.
pub(crate) const REMOTE_RETRY_DELAY: Duration = Duration::from_millis(1000);
/// Timeout of a read from a replica on another host: a round trip with a margin.
pub(crate) const REMOTE_TIMEOUT: Duration = Duration::from_millis(80);
/// Time without a tick after which an agent counts as having been frozen: the datagrams queued in
/// its socket are outdated.
pub(crate) const FREEZE_THRESHOLD: Duration = Duration::from_millis(600);
/// Interval at which a command is resent to a rank whose report does not show its effect.
pub(crate) const RESEND_INTERVAL: Duration = Duration::from_millis(120);
/// Timeout for all ranks to copy their experts; the largest plan takes little over a second.
pub(crate) const PREPARE_TIMEOUT: Duration = Duration::from_millis(4000);
/// Timeout for the lead's replica to report the hold.
pub(crate) const HOLD_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for all ranks to be armed; past it the switch is undone, since the group may be blocked.
pub(crate) const ARM_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest time from the end of preparation to the pass at which the ranks switch.
pub(crate) const SWITCH_DELAY: Duration = Duration::from_millis(250);
/// Shortest time of the same.
pub(crate) const SWITCH_DELAY_MIN: Duration = Duration::from_millis(60);
/// The same as a multiple of the usual time until all ranks are armed.
pub(crate) const SWITCH_DELAY_FACTOR: f64 = 2.0;
/// Weight of one switch in the usual time until all ranks are armed.
pub(crate) const SWITCH_DELAY_WEIGHT: f64 = 0.3;
/// Minimum of the same in passes.
pub(crate) const SWITCH_MIN_STEPS: u64 = 2;
/// Time within which an unanswered order may still take effect, with a margin.
pub(crate) const UNCERTAIN_ORDER_TTL: Duration = Duration::from_secs(13);
/// Time without new plans after an unanswered order.
pub(crate) const LOST_ORDER_COOLDOWN: Duration = Duration::from_millis(2500);

/// Ranks of a group that tell the entries when it starts or stops running.
pub(crate) const REMINDING_RANKS: u64 = 8;
/// Window over which the duration of passes is measured.
pub(crate) const PASS_WINDOW: Duration = Duration::from_millis(400);
/// Minimum time without a pass, with requests present, after which a group counts as stalled.
pub(crate) const STALL_MIN: Duration = Duration::from_millis(450);
/// The same in recent pass durations; the longer of the two applies.
pub(crate) const STALL_PASSES: f64 = 4.0;
/// Time for which a rank that has seen a stall reports it after its last request has left.
pub(crate) const STALL_MEMORY: Duration = Duration::from_millis(1000);

/// Minimum load assumed for a group that has just formed: its requests are about to return.
pub(crate) const INITIAL_LOAD: f64 = 0.6;
/// Choices that a window must count, on average for each expert of each set.
pub(crate) const MIN_COUNTS_PER_EXPERT: f64 = 20.0;
/// Shortest window in which choices are counted: about a pass. Windows of 30 ms differ so much by chance
/// that shifts of 0.65 of the demand were not noticed among streams, whose choices go together.
pub(crate) const WINDOW_LENGTH: Duration = Duration::from_millis(100);
/// Time since a shift was noticed for which counts may still be of the demand before it: a rank counts
/// for a tick before it reports.
pub(crate) const MIXED_TIME: Duration = Duration::from_millis(100);
/// Total variation distance, from 0 to 1, by which a window may always exceed the usual distance.
pub(crate) const CHANGE_MARGIN: f32 = 0.02;
/// The same in usual deviations from the usual distance.
pub(crate) const DEVIATION_FACTOR: f32 = 5.0;
/// The same for a window whose predecessor exceeded this as well.
pub(crate) const DEVIATION_FACTOR_AGAIN: f32 = 3.0;
/// Assumed distance between windows before the first two.
pub(crate) const NOISE_INITIAL: f32 = 0.08;
/// Assumed deviation of that distance before the first two windows.
pub(crate) const DEVIATION_INITIAL: f32 = 0.025;
/// Weight of a window in the usual distance.
pub(crate) const NOISE_WEIGHT: f32 = 0.1;
/// Assumed time between two shifts of demand before one has been seen.
pub(crate) const INITIAL_LIFE: Duration = Duration::from_secs(4);
/// Shortest time between two shifts that counts; the windows of one shift lie closer.
pub(crate) const LIFE_MIN: Duration = Duration::from_millis(600);
/// Longest time between two shifts that counts.
pub(crate) const LIFE_MAX: Duration = Duration::from_secs(60);
/// Weight of one time between shifts in their mean.
pub(crate) const LIFE_WEIGHT: f64 = 0.3;
/// Load, as a fraction of the slots, below which passes are short enough without a new map.
pub(crate) const MIN_PLAN_LOAD: f64 = 0.1;
/// Bytes that a plan may take to all ranks together; the lead's reports share its link.
pub(crate) const PLAN_BYTES_MAX: u64 = 120_000;
/// Bytes of one changed list of a map besides its experts: set, rank and length. Numbers up to 127 take
/// one byte.
pub(crate) const LIST_BYTES: u64 = 4;
/// Least reduction of a set's skew that is worth a copy, whose bytes have a cost too. With 0.015 a group
/// of 72 stayed at a skew of 1.33 where 1.23 was in reach.
pub(crate) const MIN_GAIN_PER_COPY: f64 = 0.008;
/// Least reduction of the mean skew that is worth a plan.
pub(crate) const MIN_PLAN_GAIN: f64 = 0.06;
/// Ratio of the longest sequence of copies on one rank to the mean over all ranks.
pub(crate) const COPY_IMBALANCE: f64 = 1.5;
/// Fraction by which passes take longer while experts are copied.
pub(crate) const COPY_SLOWDOWN: f64 = 0.15;
/// Time that a first plan after a shift may take for copies; the next plan makes the others. Two
/// copies on each rank of a group of 72 halve the skew; each further one gains less than its delay.
pub(crate) const QUICK_COPY_TIME: Duration = Duration::from_millis(80);
/// Copies on one rank that a first plan may take even so: with one, a switch gains too little.
pub(crate) const QUICK_COPIES_MIN: u32 = 2;
/// Time from a plan to its use, besides the copies.
pub(crate) const SWITCH_TIME: Duration = Duration::from_millis(350);
/// Time of the whole group that a switch costs: its orders may hold the group for a moment.
pub(crate) const SWITCH_COST: Duration = Duration::from_millis(50);
/// Most changes that the search makes in one set.
pub(crate) const SEARCH_STEPS: usize = 96;
/// Interval between two planning runs while demand stays and the last one found no plan worth its cost.
pub(crate) const PLAN_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between two planning runs otherwise.
pub(crate) const PLAN_INTERVAL: Duration = Duration::from_millis(100);
