//! Header names and paths on the wire.

use hyper::header::HeaderName;

/// Id of one attempt of a client; replicas echo it.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Milliseconds that the sender is still willing to wait.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("x-request-deadline-ms");
/// A client's key, in the clear and alone.
pub(crate) const KEY: HeaderName = HeaderName::from_static("x-key");
/// Name of the workspace, set by us for replicas.
pub(crate) const WORKSPACE: HeaderName = HeaderName::from_static("x-tenant");
/// Id of the one replica that may run the request.
pub(crate) const EXPECTED_REPLICA: HeaderName = HeaderName::from_static("x-expect-instance");
/// Signature of a replica under its answer.
pub(crate) const SIGNATURE: HeaderName = HeaderName::from_static("x-server-stamp");
/// Present where a replica states that it did not run the request.
pub(crate) const NOT_RUN: HeaderName = HeaderName::from_static("x-not-executed");
/// Tokens of the prompt and most tokens of the answer, with a comma.
pub(crate) const TOKENS: HeaderName = HeaderName::from_static("x-token-usage");
/// Id of the last event that the caller of a stream has.
pub(crate) const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");

/// Where the balancer asks whether an entry takes new connections.
pub(crate) const READY_PATH: &str = "/readiness";
/// A replica's report of its own state.
pub(crate) const REPORT_PATH: &str = "/report";
/// How often a rank's requests chose each expert.
pub(crate) const COUNTS_PATH: &str = "/picked";
/// The experts of a rank.
pub(crate) const LISTS_PATH: &str = "/picked?lists=1";
/// Orders to a replica.
pub(crate) const ORDER_PATH: &str = "/order";

/// Key of the configuration in the store.
pub(crate) const CONFIG_KEY: &str = "op/config";
/// Prefix of the replicas' entries in the store; the replica's id follows.
pub(crate) const UPSTREAM_PREFIX: &str = "servers/";
