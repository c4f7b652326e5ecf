//! Result codes of this slice: P1200 to P1299.

use crate::base::code::codes;

codes! {
    KEY_FOREIGN = 1200, NotRun, 400, "The idempotency key was not issued by this fleet. Get one with POST /v1/keys.";
    KEY_ALTERED = 1201, NotRun, 400, "The idempotency key was altered after it was issued.";
    KEY_SECRET_RETIRED = 1202, Unknown, 409, "The link key that this idempotency key was issued under is no longer in force, so its outcome is unknown.";
    KEY_WORKSPACE = 1203, NotRun, 403, "The idempotency key belongs to another workspace.";
    KEY_SERVICE = 1204, NotRun, 422, "The idempotency key was issued for another service.";
    KEY_ELSEWHERE = 1205, Unknown, 421, "The idempotency key belongs to another upstream, and only that upstream's agent knows its outcome.";
    KEY_INCARNATION_GONE = 1206, Unknown, 410, "The agent that issued the idempotency key has restarted; the request may have run before.";
    KEY_BODY_CLASH = 1207, Unknown, 422, "The idempotency key was already used with another request; GET /v1/keys returns the outcome of that request.";
    KEY_EXPIRED = 1208, NotRun, 410, "The idempotency key was not used in time; it never ran and never will.";
    KEY_FORGOTTEN = 1209, Unknown, 410, "The outcome of the idempotency key is no longer stored.";
    KEY_REVOKED = 1210, NotRun, 409, "The idempotency key was revoked before it started; it never ran and never will.";
    KEY_REPLY_DROPPED = 1211, Unknown, 410, "The request completed, but its reply is no longer stored.";
    KEY_STARTED = 1212, Unknown, 409, "The request has started and can no longer be revoked.";
    KEYS_FULL = 1213, NotRun, 503, "The agent has issued as many idempotency keys as it can store; retry later.";
    KEY_COUNT = 1214, NotRun, 400, "The number of requested keys is out of range.";
    KEY_DEADLINE = 1215, NotRun, 504, "The deadline had passed before the request started; its key is revoked.";
    KEY_PENDING = 1216, Unknown, 202, "The idempotency key has not been used yet and may still start.";
    KEY_RUNNING = 1217, Unknown, 202, "The request has started and its outcome is not known yet.";
    RUN_ABANDONED = 1218, Unknown, 502, "The agent lost its call to the upstream after the request had started.";
    KEY_NEEDED = 1219, NotRun, 400, "The agent accepts calls of this service only with an issued idempotency key.";
    KEY_UNISSUED = 1220, Unknown, 500, "The idempotency key is authentic, but this incarnation of the agent has not issued it.";
    KEYS_WORKSPACE_FULL = 1221, NotRun, 429, "The workspace has as many idempotency keys of this agent as one workspace may have; retry later.";
    INVARIANT_SECOND_START = 1230, Unknown, 500, "Invariant: an idempotency key would have started twice.";
    INVARIANT_FALSE_NOT_RUN = 1231, Unknown, 500, "Invariant: not-run would have been reported for a key that has started or may start.";
    INVARIANT_OUTCOME_CHANGED = 1232, Unknown, 500, "Invariant: the outcome of a finished key would have changed.";
    INVARIANT_SIZE = 1233, Unknown, 500, "Invariant: the stored replies would exceed their size limit.";
    DEADLINE_BEFORE_SEND = 1240, NotRun, 504, "The deadline passed before anything was sent to an upstream.";
    DEADLINE_AFTER_SEND = 1241, Unknown, 504, "The deadline passed while the request may have been running.";
    ATTEMPTS_SPENT = 1242, NotRun, 503, "No upstream accepted the request within the allowed attempts.";
    BUDGET_SPENT = 1243, NotRun, 503, "The workspace's retry budget is spent and the last attempt did not run.";
    OUTCOME_LOST = 1244, Unknown, 502, "The upstream became unreachable after the request may have been sent to it.";
    KEY_HOME_UNREACHABLE = 1245, Unknown, 503, "The agent that issued the idempotency key is unreachable; retry the request with the same key.";
}
