//! Intervals, timeouts and limits of the agreement on expert maps.

use std::time::Duration;

/// Interval between two reads of the local replica's status, which cost nothing on its own host.
pub(crate) const TICK: Duration = Duration::from_millis(100);
/// Interval between two reads of the expert counts; popularity shifts within seconds.
pub(crate) const COUNT_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two hellos to the entries, which pass on the contacts of the group.
pub(crate) const HELLO_INTERVAL: Duration = Duration::from_millis(500);
/// Number of entries that an agent sends its hello to.
pub(crate) const HELLO_ENTRIES: usize = 5;
/// Group size up to which an agent sends its report to all ranks at every tick. In larger groups
/// only the lead gets it at every tick, and the interval for the others grows with the size.
pub(crate) const FULL_RATE_RANKS: usize = 8;
/// Most ticks between two reports of the lead to all ranks; several fit into [`REPORT_MAX_AGE`].
pub(crate) const LEAD_REPORT_TICKS: u64 = 2;
/// Timeout of a read from the local replica.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of an order to a replica; it answers within a few milliseconds, or not at all.
pub(crate) const ORDER_TIMEOUT: Duration = Duration::from_millis(60);
/// Attempts of one order in a row while no answer comes.
pub(crate) const ORDER_ATTEMPTS: u32 = 4;

/// Age past which a rank's report no longer counts; several ticks.
pub(crate) const REPORT_MAX_AGE: Duration = Duration::from_millis(700);
/// Time that a rank waits after the reports of all lower ranks have expired before it leads.
pub(crate) const TAKEOVER_DELAY: Duration = Duration::from_millis(400);
/// Interval between two reads of a remote replica whose agent does not respond; each read has a
/// cost.
pub(crate) const REMOTE_READ_INTERVAL: Duration = Duration::from_millis(300);
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
/// Time from the end of preparation to the pass at which the ranks switch.
pub(crate) const SWITCH_DELAY: Duration = Duration::from_millis(200);
/// Minimum of the same in passes.
pub(crate) const SWITCH_MIN_STEPS: u64 = 2;
/// Distance in passes of the hold that only advances a replica's order sequence: never reached.
pub(crate) const UNREACHABLE_STEPS: u64 = 10_000_000;
/// Time within which an unanswered order may still take effect, with a margin.
pub(crate) const UNCERTAIN_ORDER_TTL: Duration = Duration::from_secs(13);
/// Time without new plans after an unanswered order.
pub(crate) const LOST_ORDER_COOLDOWN: Duration = Duration::from_millis(2500);

/// Window over which the duration of passes is measured.
pub(crate) const PASS_WINDOW: Duration = Duration::from_millis(400);
/// Minimum time without a pass, with requests present, after which a group counts as stalled.
pub(crate) const STALL_MIN: Duration = Duration::from_millis(450);
/// The same in recent pass durations; the longer of the two applies.
pub(crate) const STALL_PASSES: f64 = 4.0;

/// Number of requests at which a replica counts as fully loaded.
pub(crate) const FULL_LOAD_REQUESTS: f64 = 10.0;
/// Minimum load assumed for a group that has just formed: its requests are about to return.
pub(crate) const INITIAL_LOAD: f64 = 0.6;
/// Interval between two planning runs.
pub(crate) const PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Choices that must be counted before the first plan, on average for each expert of each set.
pub(crate) const MIN_COUNTS_PER_EXPERT: f64 = 20.0;
/// Time constant of the short-term popularity; longer ones lag behind on recorded demand.
pub(crate) const FAST_TIME_CONSTANT: Duration = Duration::from_millis(400);
/// Time constant of the long-term popularity.
pub(crate) const SLOW_TIME_CONSTANT: Duration = Duration::from_secs(12);
/// Weight of the short-term popularity, from 0 to 1; the long-term one has the rest.
pub(crate) const FAST_WEIGHT: f32 = 0.7;
/// Minimum reduction of a set's skew for each copied expert under full load; a copy slows passes
/// and has a cost.
pub(crate) const MIN_GAIN_PER_COPY: f64 = 0.02;
/// Load, as a fraction of the slots, below which passes are short enough without a new map.
pub(crate) const MIN_PLAN_LOAD: f64 = 0.1;
/// Minimum reduction of the mean skew over all sets by a whole plan; a switch involves all ranks.
pub(crate) const MIN_PLAN_GAIN: f64 = 0.06;
/// Most changes that the search makes in one set.
pub(crate) const SEARCH_STEPS: usize = 96;
