//! Limit of the requests to upstreams that are cold.

/// Limit of the requests to a cold upstream in one second, for all entries together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct WarmUpRule {
    /// Multiple of the requests a second that the service states for cold replicas; 0 for no limit.
    pub(crate) ratio: f64,
    /// Additional requests.
    pub(crate) slack: f64,
}
