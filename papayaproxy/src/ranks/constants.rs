//! Times and limits of the agreement on expert maps.

use std::time::Duration;

/// Pause between two reads of the own replica's report, which is free on its own host.
pub(crate) const TICK: Duration = Duration::from_millis(100);
/// Pause between two reads of the expert counts; the popularity of experts shifts within seconds.
pub(crate) const COUNT_INTERVAL: Duration = Duration::from_millis(200);
/// Pause between two words to the entries that introduce agents to each other.
pub(crate) const HERE_INTERVAL: Duration = Duration::from_millis(500);
/// Entries that an agent introduces itself to.
pub(crate) const HERE_ENTRIES: usize = 5;
/// Ranks up to which states are told to all at each tick, and not only to the lead; the pause grows
/// in proportion beyond.
pub(crate) const TELL_RANKS: usize = 8;
/// Ticks after which the lead tells all ranks that it is there, at most; several within the age at
/// which its word no longer counts.
pub(crate) const LEAD_TICKS: u64 = 2;
/// Time for a read of the own replica.
pub(crate) const READ_LIMIT: Duration = Duration::from_millis(300);
/// Time for an order to the own replica; it answers within a few milliseconds, or not at all.
pub(crate) const ORDER_LIMIT: Duration = Duration::from_millis(60);
/// Sends of one order in a row where no answer comes.
pub(crate) const ORDER_TRIES: u32 = 4;

/// Age at which a rank's state no longer counts; several ticks.
pub(crate) const STATE_AGE: Duration = Duration::from_millis(700);
/// Time that a rank waits, once the states of all lower ranks are outdated, before it leads.
pub(crate) const LEAD_SILENCE: Duration = Duration::from_millis(400);
/// Pause between two reads from afar of a replica whose agent is silent; each has its price.
pub(crate) const STAND_IN_INTERVAL: Duration = Duration::from_millis(300);
/// Pause before a replica that did not answer from afar is read again.
pub(crate) const LATE_STAND_IN: Duration = Duration::from_millis(1000);
/// Time for a call to a replica on another host; the way there and back, and some.
pub(crate) const AFAR_LIMIT: Duration = Duration::from_millis(80);
/// Time without a tick after which an agent was frozen: what waits in its socket is outdated.
pub(crate) const FROZEN: Duration = Duration::from_millis(600);
/// Pause before a command is sent again to a rank whose state does not show it.
pub(crate) const RESEND: Duration = Duration::from_millis(120);
/// Time for all ranks to copy; the largest plan takes little over a second.
pub(crate) const PREPARE_LIMIT: Duration = Duration::from_millis(4000);
/// Time for the hold to show.
pub(crate) const HOLD_LIMIT: Duration = Duration::from_millis(400);
/// Time for all ranks to be armed; past it the switch is undone, since the group may stand still.
pub(crate) const ARM_LIMIT: Duration = Duration::from_millis(900);
/// Time by which the switch lies ahead when ranks are asked to arm.
pub(crate) const SWITCH_AHEAD: Duration = Duration::from_millis(200);
/// Least passes by which it lies ahead.
pub(crate) const SWITCH_STEPS: u64 = 2;
/// Passes by which the hold that moves a rank's order count on lies ahead: never reached.
pub(crate) const FAR_STEPS: u64 = 10_000_000;
/// Time within which an order without answer may still be carried out, with a margin.
pub(crate) const LATE_ORDER: Duration = Duration::from_secs(13);
/// Time without plans after an order without answer.
pub(crate) const QUIET_AFTER_LOSS: Duration = Duration::from_millis(2500);

/// Span over which passes are measured.
pub(crate) const PASS_SPAN: Duration = Duration::from_millis(400);
/// Least time without a pass, with work to do, after which a group counts as stalled.
pub(crate) const STALL_LEAST: Duration = Duration::from_millis(450);
/// The same in passes of the usual duration.
pub(crate) const STALL_PASSES: f64 = 4.0;

/// Requests of a replica at which it counts as fully loaded.
pub(crate) const SLOTS_USUAL: f64 = 10.0;
/// Load that is assumed where a group has just formed: its requests are about to come back.
pub(crate) const FIRST_LOAD: f64 = 0.6;
/// Pause between two decisions on moves.
pub(crate) const PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Choices of experts that must be counted before the first plan, for each expert of a set.
pub(crate) const COUNTS_LEAST: f64 = 20.0;
/// Time constant of the popularity of the moment; longer ones lag behind on recorded demand.
pub(crate) const FAST_TIME: Duration = Duration::from_millis(400);
/// Time constant of the lasting popularity.
pub(crate) const SLOW_TIME: Duration = Duration::from_secs(12);
/// Weight of the moment's popularity against the lasting one.
pub(crate) const MOMENT_PART: f32 = 0.7;
/// Least gain in a set's skew for each copied expert, under full load; a copy slows passes and has
/// its price.
pub(crate) const GAIN_PER_COPY: f64 = 0.02;
/// Load, as a part of the slots, below which passes are short enough as they are.
pub(crate) const LOAD_LEAST: f64 = 0.1;
/// Least gain of a whole plan in the mean skew of the sets; a switch takes all ranks' attention.
pub(crate) const PLAN_GAIN: f64 = 0.06;
/// Changes that the search makes in one set at most.
pub(crate) const SEARCH_STEPS: usize = 96;
