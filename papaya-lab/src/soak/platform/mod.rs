//! The platform's names that the stand-ins speak: headers, paths and keys.

/// Id of the replica that a request is meant for.
pub(super) const EXPECTED_REPLICA: &str = "X-Expect-Instance";
/// States that the replica did not run the request.
pub(super) const NOT_EXECUTED: &str = "X-Not-Executed";
/// Signature of the replica under its response.
pub(super) const SIGNATURE: &str = "X-Server-Stamp";
/// Parts of the prompt with their tokens, in order.
pub(super) const PROMPT_PARTS: &str = "X-Prompt-Prefix";

/// Reads one item of the store.
pub(super) const READ_ITEM: &str = "/kv-key";
/// Reads the items whose keys have a prefix.
pub(super) const READ_RANGE: &str = "/kv-range";
/// Waits for changes of the items whose keys have a prefix.
pub(super) const WATCH: &str = "/kv-watch";

/// Key of the configuration in the store.
pub(super) const CONFIG_KEY: &str = "op/config";
