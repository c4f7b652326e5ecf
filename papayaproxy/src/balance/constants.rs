//! Limits and times of the balance.

use std::time::Duration;

/// Part of a service's requests on a plain upstream beyond its slots; its queue holds a few more.
pub(crate) const PLAIN_QUEUE: f64 = 2.0;
/// Time in which an upstream that said it is full gets nothing new; a pass or two.
pub(crate) const FULL_TIME: Duration = Duration::from_millis(150);
/// Time in which an upstream that said it is full though it has little to do gets nothing: its group
/// does not run passes.
pub(crate) const CLOSED_TIME: Duration = Duration::from_millis(500);
/// Part of the slots below which an upstream has little to do.
pub(crate) const CLOSED_PART: f64 = 0.5;
/// Connections in a row to one availability zone that fail before it counts as cut off.
pub(crate) const ZONE_FAILURES: u32 = 2;
/// Time in which an availability zone that is cut off gets nothing; then it is tried again.
pub(crate) const ZONE_TIME: Duration = Duration::from_millis(800);
/// Time in which an upstream that is not the expected one gets nothing; its entry changes meanwhile.
pub(crate) const FOREIGN_TIME: Duration = Duration::from_millis(1500);
/// Time in which an upstream that cannot be reached gets nothing.
pub(crate) const UNREACHED_TIME: Duration = Duration::from_millis(600);
/// Time for which a group counts as broken after its agents said so last; they repeat it.
pub(crate) const BROKEN_TIME: Duration = Duration::from_millis(1200);
/// Load, in parts of the limit, by which another availability zone has to be better for an engine.
pub(crate) const ZONE_BIAS: f64 = 0.06;
/// The same for a plain service, whose work is short against the way between zones.
pub(crate) const ZONE_BIAS_PLAIN: f64 = 0.3;
/// Weight, in a score, of the time to the first event against the load.
pub(crate) const FIRST_WEIGHT: f64 = 0.4;
/// Range of the random part of a score, so that entries with the same picture spread.
pub(crate) const SCORE_NOISE: f64 = 0.05;

/// Span over which the rate of sends is learned: about the age of a picture, so that a burst of this
/// entry stands for bursts of the others that no picture shows yet.
pub(crate) const SEND_SPAN: Duration = Duration::from_millis(250);

/// Part of the gap target that a pass may take; the rest is for the way and the timers.
pub(crate) const GAP_PART: f64 = 0.92;
/// Weight of one observed gap in the learned factor: some tens of events.
pub(crate) const GAP_WEIGHT: f64 = 0.03;
/// Weight of one picture of a group's passes in the learned factor; pictures come each 0.2 s.
pub(crate) const PASS_WEIGHT: f64 = 0.35;
/// Longest gap that is taken for a pass, in multiples of the model; longer ones are stalls.
pub(crate) const GAP_STALL: f64 = 12.0;
/// Lowest limit of requests on a replica, as a part of its slots, however slow it is.
pub(crate) const SEATS_LEAST: f64 = 0.25;

/// Part of the latency target for which a request may wait for a seat.
pub(crate) const WAIT_PART: f64 = 0.5;
/// Part of the latency target within which the first event has to be expected.
pub(crate) const FIRST_PART: f64 = 0.95;
/// Time for which a request that came back may wait: it is late anyway, and has no further try.
pub(crate) const WAIT_BACK: Duration = Duration::from_millis(1500);
/// The same where every group that could take it is known not to run; it may form again meanwhile.
pub(crate) const WAIT_BROKEN: Duration = Duration::from_millis(500);
/// Silence after which callers leave a stream, also before its first event.
pub(crate) const CALLER_SILENCE: Duration = Duration::from_millis(1900);
/// Silence of a stream, before its first event or between two, after which it goes on elsewhere,
/// where nothing else is known of its group.
pub(crate) const SILENCE_UNKNOWN: Duration = Duration::from_millis(1100);
/// The same where its group is known to run passes: it waits its turn there.
pub(crate) const SILENCE_HEALTHY: Duration = Duration::from_millis(1800);
/// The same where its group is known to be broken; the news may be older than the event before.
pub(crate) const SILENCE_BROKEN: Duration = Duration::from_millis(300);
/// Age up to which the picture of a group counts.
pub(crate) const PICTURE_AGE: Duration = Duration::from_millis(800);
/// Part of the time left that callers wait at most before they come back.
pub(crate) const RETURN_PART: f64 = 0.32;
/// Weight of one interval in the rate of freed seats.
pub(crate) const RATE_WEIGHT: f64 = 0.1;
/// Seats that can have come free, unseen, in a silence: a batch ends within moments.
pub(crate) const FREED_MOST: f64 = 3.0;
/// Least rate of freed seats that is assumed, a second; before the first none is known.
pub(crate) const FREED_LEAST: f64 = 0.2;
/// Patience, as a part of the usual one, below which a request has been refused before.
pub(crate) const RETURNING_TIME_RATIO: f64 = 0.97;
/// Earliest time to come back; sooner the same batch still runs.
pub(crate) const RETURN_LEAST: Duration = Duration::from_millis(700);
/// Latest time to come back; clients heed at most a third of their time.
pub(crate) const RETRY_AFTER_MAX: Duration = Duration::from_millis(2600);

/// Part of the allowed repeats that is used, since entries may know each other late.
pub(crate) const BUDGET_PART: f64 = 0.8;
/// Entries that share a budget at least, until more are known.
pub(crate) const BUDGET_ENTRIES: usize = 6;
