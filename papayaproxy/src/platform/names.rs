//! Header names, paths and store keys of the platform.

use hyper::header::HeaderName;

/// Id of one attempt of a client. Replicas return it in their responses.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Milliseconds that the sender still waits for the response.
pub(crate) const DEADLINE_MS: HeaderName = HeaderName::from_static("x-request-deadline-ms");
/// API key of the client, in plain text and without an authentication scheme.
pub(crate) const API_KEY: HeaderName = HeaderName::from_static("x-key");
/// Name of the workspace. Entries set it for replicas; a client's own value is dropped.
pub(crate) const WORKSPACE: HeaderName = HeaderName::from_static("x-tenant");
/// Id of the only replica that may run the request.
pub(crate) const EXPECTED_REPLICA: HeaderName = HeaderName::from_static("x-expect-instance");
/// Signature of a replica on its response.
pub(crate) const SIGNATURE: HeaderName = HeaderName::from_static("x-server-stamp");
/// Present if a replica states that it did not run the request.
pub(crate) const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// Requests a second that a replica takes from all entries together, as a decimal number. Absent if
/// it does not limit them.
pub(crate) const RATE_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// Prompt tokens and largest number of response tokens, separated by a comma.
pub(crate) const TOKEN_USAGE: HeaderName = HeaderName::from_static("x-token-usage");
/// Parts of the prompt in order, separated by commas, each with its id, a colon and its tokens.
pub(crate) const PROMPT_PARTS: HeaderName = HeaderName::from_static("x-prompt-prefix");
/// Urgency of a request at the replica, from 0, the most urgent, to 9; a request without it counts as 5.
pub(crate) const URGENCY: HeaderName = HeaderName::from_static("x-request-urgency");
/// Id of the last event that the caller of a stream has received.
pub(crate) const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Number of times that the store has come back from a copy of its data, in each of its responses.
/// Absent if the store does not state it.
pub(crate) const STORE_ERA: HeaderName = HeaderName::from_static("store-era");

/// Readiness endpoint that the load balancer polls.
pub(crate) const READY_PATH: &str = "/readiness";
/// State of a replica and its rank.
pub(crate) const REPORT_PATH: &str = "/report";
/// Number of times that requests of the rank selected each expert.
pub(crate) const EXPERT_COUNTS_PATH: &str = "/picked";
/// Experts that the rank holds.
pub(crate) const EXPERT_LISTS_PATH: &str = "/picked?lists=1";
/// Orders to a replica.
pub(crate) const ORDER_PATH: &str = "/order";

/// Prefix of the keys that the operator writes.
pub(crate) const OPERATOR_PREFIX: &str = "op/";
/// Prefix of the keys of evacuations; the availability zone follows.
pub(crate) const EVACUATION_PREFIX: &str = "op/evacuate/";
/// Key of the configuration in the store.
pub(crate) const CONFIG_KEY: &str = "op/config";
/// Prefix of the upstream records in the store; the replica's id follows.
pub(crate) const UPSTREAM_PREFIX: &str = "servers/";
