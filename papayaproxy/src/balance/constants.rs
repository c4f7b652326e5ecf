//! Limits and times of load balancing.

use std::time::Duration;

/// Request limit of a plain upstream, as a multiple of its slots. Requests beyond the slots wait in
/// the upstream's own queue, which holds a few more than this.
pub(crate) const PLAIN_LIMIT_FACTOR: f64 = 2.0;
/// Time for which an upstream that reported being full gets no new request; one or two passes.
pub(crate) const FULL_BACKOFF: Duration = Duration::from_millis(150);
/// Time for which an upstream that reported being full under low load gets no request: its group
/// does not run passes.
pub(crate) const IDLE_FULL_BACKOFF: Duration = Duration::from_millis(500);
/// Fraction of the slots below which an upstream counts as under low load.
pub(crate) const LOW_LOAD_RATIO: f64 = 0.5;
/// Consecutive failed connections to one availability zone after which it counts as unreachable.
pub(crate) const ZONE_FAILURES: u32 = 2;
/// Time for which an unreachable availability zone gets no request; then it is tried again.
pub(crate) const ZONE_BACKOFF: Duration = Duration::from_millis(800);
/// Time for which an upstream gets no request after another replica answered at its address; its
/// catalog entry changes in the meantime.
pub(crate) const FOREIGN_BACKOFF: Duration = Duration::from_millis(1500);
/// Time for which an upstream that cannot be connected to gets no request.
pub(crate) const UNREACHED_BACKOFF: Duration = Duration::from_millis(600);
/// Time for which a group counts as broken after the last report that says so; agents repeat it.
pub(crate) const BROKEN_TTL: Duration = Duration::from_millis(1200);
/// Score penalty of an engine in another availability zone, as a fraction of the request limit.
pub(crate) const ZONE_PENALTY: f64 = 0.06;
/// The same for a plain service, whose requests are short compared to the latency between zones.
pub(crate) const ZONE_PENALTY_PLAIN: f64 = 0.3;
/// Weight of the time to the first event, relative to the load, in a score.
pub(crate) const FIRST_EVENT_WEIGHT: f64 = 0.4;
/// Range of the random part of a score, so that entries with the same load reports choose
/// different upstreams.
pub(crate) const SCORE_NOISE: f64 = 0.05;

/// Time constant of the send rate. It is about the age of the peers' load reports, so that a burst
/// at this entry predicts bursts at the others that no report shows yet.
pub(crate) const SEND_RATE_DECAY: Duration = Duration::from_millis(250);

/// Fraction of the gap target that a pass may take; the rest covers network and timer delays.
pub(crate) const GAP_TARGET_RATIO: f64 = 0.92;
/// Weight of one observed gap in the learned slowdown; it averages over some tens of events.
pub(crate) const GAP_WEIGHT: f64 = 0.03;
/// Weight of one report of a group's passes in the learned slowdown; reports come each 0.2 s.
pub(crate) const PASS_WEIGHT: f64 = 0.35;
/// Longest gap that counts as a pass, as a multiple of the modelled pass; longer ones are stalls.
pub(crate) const STALL_RATIO: f64 = 12.0;
/// Lowest request limit of a replica, as a fraction of its slots, however slow it is.
pub(crate) const LIMIT_MIN_RATIO: f64 = 0.25;

/// Fraction of the latency target for which a request may wait for a seat.
pub(crate) const WAIT_RATIO: f64 = 0.5;
/// Fraction of the latency target within which the first event must be expected.
pub(crate) const FIRST_EVENT_RATIO: f64 = 0.95;
/// Time for which a returning request may wait: it is already late and gets no further attempt.
pub(crate) const RETURNING_WAIT: Duration = Duration::from_millis(1500);
/// The same while every group that could take it is known to be broken; one may form again.
pub(crate) const BROKEN_WAIT: Duration = Duration::from_millis(500);
/// Silence after which callers abandon a stream, also before its first event.
pub(crate) const CALLER_SILENCE: Duration = Duration::from_millis(1900);
/// Silence of a stream, before its first event or between two events, after which it moves to
/// another upstream, where the state of its group is unknown.
pub(crate) const SILENCE_UNKNOWN: Duration = Duration::from_millis(1100);
/// The same where its group is known to run passes: the request is queued there.
pub(crate) const SILENCE_HEALTHY: Duration = Duration::from_millis(1800);
/// The same where its group is known to be broken; the report may be older than the last event.
pub(crate) const SILENCE_BROKEN: Duration = Duration::from_millis(300);
/// Age up to which a group's status or the start of an answer shows that an upstream runs.
pub(crate) const STATUS_MAX_AGE: Duration = Duration::from_millis(800);
/// Longest delay before a caller retries, as a fraction of the request's time limit.
pub(crate) const RETRY_AFTER_RATIO: f64 = 0.32;
/// Weight of one interval in the rate of freed seats.
pub(crate) const FREE_RATE_WEIGHT: f64 = 0.1;
/// Seats that may have been freed, unobserved, during a silence: a batch ends within moments.
pub(crate) const FREED_SEATS_MAX: f64 = 3.0;
/// Lowest assumed rate of freed seats, per second; no rate is known before the first.
pub(crate) const FREE_RATE_MIN: f64 = 0.2;
/// Time limit, as a fraction of the route's usual one, below which a request counts as returning.
pub(crate) const RETURNING_TIME_RATIO: f64 = 0.97;
/// Shortest delay before a caller retries; earlier, the same batch still runs.
pub(crate) const RETRY_AFTER_MIN: Duration = Duration::from_millis(700);
/// Longest delay before a caller retries; clients accept at most a third of their time limit.
pub(crate) const RETRY_AFTER_MAX: Duration = Duration::from_millis(2600);

/// Span by which capacity is promised to refused requests.
pub(crate) const PROMISE_QUARTER: Duration = Duration::from_millis(250);
/// Part of the seats that become free which is promised; the rest is for new requests. In the
/// overloads of the tests, 0.5 had 27% more requests refused at first and twice as many refused
/// again; 0.15 is like 0.25.
pub(crate) const PROMISE_RATIO: f64 = 0.25;
/// Counts of promises for one service in a message to the peers, so that it fits one datagram.
pub(crate) const PROMISES_MAX: usize = 96;
/// Precision of the time of a refusal by which a returning request is recognised.
pub(crate) const BOOKED_UNIT: Duration = Duration::from_millis(50);
/// Error of that time: the way to the client and back, and that of a peer's message.
pub(crate) const BOOKED_TOLERANCE: Duration = Duration::from_millis(75);
/// Peers whose promises are kept; the largest fleet has 98 entries.
pub(crate) const PROMISE_PEERS_MAX: usize = 256;
/// Difference to the promised time up to which a returning request is on time.
pub(crate) const ON_TIME_TOLERANCE: Duration = Duration::from_millis(300);
/// Time over which the free seats of a group that has formed again are promised, so that not all
/// prompts have to be read at once.
pub(crate) const REFILL_TIME: Duration = Duration::from_millis(1000);
/// Time constant of the rate at which seats become free; about the time of a request.
pub(crate) const FREED_RATE_DECAY: Duration = Duration::from_millis(2000);
/// Weight of one outage in the average duration of the outages of a service.
pub(crate) const OUTAGE_WEIGHT: f64 = 0.3;

/// Fraction of the allowed retries that is used, since entries may learn of each other late.
pub(crate) const BUDGET_RATIO: f64 = 0.8;
/// The same for retries by the ratio during the first window of a process, which has none of the
/// slack then. With [`BUDGET_RATIO`] for the run before, it must not exceed 1.
pub(crate) const FIRST_WINDOW_RATIO: f64 = 0.2;
/// Smallest number of entries that a budget or a rate limit is divided by, until more are known.
pub(crate) const SHARING_ENTRIES_MIN: usize = 6;

/// Fraction of an upstream's rate limit that is used, since the entries do not send evenly.
pub(crate) const RATE_LIMIT_RATIO: f64 = 0.9;
/// Longest time between two requests of one entry to an upstream with a rate limit, so that the
/// entry notices the end of a limit of 0.
pub(crate) const RATE_INTERVAL_MAX: Duration = Duration::from_secs(60);
/// Time for which heartbeats tell the peers of another rate limit; datagrams may be lost.
pub(crate) const LIMIT_NEWS_TIME: Duration = Duration::from_millis(1000);

/// Span in which requests to a cold upstream are counted: a second, and as much as the times that
/// requests take to arrive may differ.
pub(crate) const SEND_SPAN: Duration = Duration::from_millis(1100);
/// Delay of a request to a cold upstream that does not delay the next ones. Seats are assigned to
/// waiting requests each 40 ms.
pub(crate) const SEND_LATENESS: Duration = Duration::from_millis(40);
/// Time after its start in which an entry sends nothing to cold upstreams: 0.9 s in which the others
/// hear of it (a heartbeat interval and a half among 70 entries), and [`SEND_SPAN`], in which
/// requests count that they sent before, or that its own run before sent until its end.
pub(crate) const ENTRY_HOLD: Duration = Duration::from_millis(2000);
/// Time after its start in which an entry does not take upstreams that it finds for new ones.
pub(crate) const FOUND_AT_START_TIME: Duration = Duration::from_millis(2000);
/// Time after an upstream became cold in which a record of it may be read that was written before:
/// watches of the store lag by up to a second.
pub(crate) const RECORD_DELAY_MAX: Duration = Duration::from_millis(1000);
/// Shortest extension of the time for which an upstream counts as cold that is logged.
pub(crate) const COLD_LOG_MIN: Duration = Duration::from_millis(100);

/// Part of a service's upstreams whose circuits may be open at a time, but one at least: what is left
/// takes the load of the rest with half as much again.
pub(crate) const CIRCUITS_OPEN_RATIO: f64 = 1.0 / 3.0;
/// Range of the wait before the probe of a circuit, as a part of it, so that processes that opened
/// theirs together do not probe together.
pub(crate) const CIRCUIT_JITTER: f64 = 0.5;

/// Spreads the bits of a product over the whole word.
pub(super) const HASH_FACTOR: u32 = 0x9E37_79B9;

/// Time within which the load of a service is brought back to its limit; several times the age of load
/// reports, so that the correction does not overshoot.
pub(crate) const ADMISSION_CORRECTION: Duration = Duration::from_millis(1000);
/// Multiple of the computed rate up to which requests are admitted: the durations that it is computed
/// from are estimates, and a refusal costs a caller more than a slightly longer pass.
pub(crate) const ADMISSION_MARGIN: f64 = 1.05;
/// Requests at an engine's replica up to which new ones are admitted, as a multiple of its slots: a full
/// batch, and few that wait so that it stays full.
pub(crate) const ADMISSION_SLOTS: f64 = 1.1;
/// Time constant of the demand. A burst is noticed within it; single requests are averaged out over the
/// fleet.
pub(crate) const DEMAND_DECAY: Duration = Duration::from_millis(700);
/// Part of the room that each priority keeps at least, in proportion to its demand.
pub(crate) const PRIORITY_FLOOR: f64 = 0.1;
/// Time constant of the workspaces' shares; it covers some tens of requests of an entry in a large fleet.
pub(crate) const SHARE_DECAY: Duration = Duration::from_secs(10);
/// Age up to which a replica's reported load is used.
pub(crate) const LOAD_MAX_AGE: Duration = Duration::from_millis(1500);
