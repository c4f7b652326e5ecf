//! Constants of the soak.

use std::time::Duration;

/// Time in which a machine is undisturbed before it counts as in touch.
pub(super) const STABLE_WINDOW: Duration = Duration::from_millis(4000);

/// Time after the last byte of a request in which a close may still cross it.
pub(super) const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Time from SIGTERM to SIGKILL.
pub(super) const GRACE: Duration = Duration::from_secs(8);

/// Time after the grace period in which a lost request still counts as lost in a stop.
pub(super) const GRACE_TAIL: Duration = Duration::from_secs(1);

/// Requests that are sent up to this time after SIGTERM, and still run in the last sixth of the
/// grace period, may be cut.
pub(super) const EXCUSED_SENT: Duration = Duration::from_secs(3);

/// Time in which a configuration takes effect.
pub(super) const CONFIG_LIMIT: Duration = Duration::from_secs(3);

/// Time after which a key that was removed may not be used any more.
pub(super) const REVOKE_LIMIT: Duration = Duration::from_secs(5);

/// Availability zones; entries and replicas are dealt to them in turn.
pub(super) const ZONES: [&str; 3] = ["a", "b", "c"];

/// Repeats allowed per request.
pub(super) const BUDGET_RATIO: f64 = 0.2;

/// Window of the budget.
pub(super) const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// Time by which a deadline that is handed on may exceed the client's.
pub(super) const DEADLINE_SLACK: Duration = Duration::from_millis(500);

/// Requests with a deadline that is too long that break the rule, beside a fifth of all.
pub(super) const DEADLINES_MAX: usize = 20;

/// Requests with more replicas than allowed, or closed without an answer, that break no rule yet.
pub(super) const STRAY_MAX: usize = 3;

/// Deadlines of a stream and of a plain call.
pub(super) const STREAM_DEADLINE: Duration = Duration::from_secs(8);
pub(super) const PLAIN_DEADLINE: Duration = Duration::from_millis(2500);

/// Timeout of the plain routes.
pub(super) const PLAIN_TIMEOUT: Duration = Duration::from_millis(2000);

/// Silence after which a client leaves a stream.
pub(super) const PATIENCE: Duration = Duration::from_secs(2);

/// Time that a client allows for a new connection.
pub(super) const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Wait between two questions of the load balancer, and the longest wait for an answer.
pub(super) const POLL: Duration = Duration::from_secs(1);

/// Misses in a row that take an entry out of rotation.
pub(super) const MISSES_MAX: u32 = 2;

/// Time in which all entries have to become ready at the start.
pub(super) const READY_LIMIT: Duration = Duration::from_secs(60);

/// Time for requests in progress and running faults to end after the load has stopped.
pub(super) const SETTLE: Duration = Duration::from_secs(12);

/// Tokens in an event of a stream.
pub(super) const EVENT_TOKENS: u64 = 6;

/// Length of a plain answer, in bytes.
pub(super) const PLAIN_BYTES: usize = 800;

/// Requests that run at once at a replica, and those that wait there.
pub(super) const STREAM_SLOTS: usize = 10;
pub(super) const PLAIN_SLOTS: usize = 6;
pub(super) const QUEUE_MAX: usize = 8;

/// Connections of a replica.
pub(super) const CONNECTIONS_MAX: usize = 400;

/// Silence after which the store removes the entry of a replica that sends nothing.
pub(super) const HEARTBEAT_LIMIT: Duration = Duration::from_millis(3600);

/// Time that a replica serves after it has said that it drains.
pub(super) const SERVES_ON: Duration = Duration::from_millis(1500);

/// Interval of the timer whose lateness is measured.
pub(super) const TICK: Duration = Duration::from_millis(10);

/// Breaches of one rule that are printed in full.
pub(super) const PRINTED_MAX: usize = 12;
