//! Record of the decisions on further attempts: log lines and a counter.

use super::events;
use super::meters::Meters;
use crate::balance::BudgetDecision;

/// Records the budget's decision on a further attempt of a request, `None` if its service is
/// unknown. Returns whether the attempt is granted.
pub(crate) fn record(
    meters: &Meters,
    request: &str,
    service: &str,
    decision: Option<BudgetDecision>,
) -> bool {
    let Some(BudgetDecision { is_granted, requests, retries, entries, slack }) = decision else {
        meters.record_repeat(service, "denied");
        tracing::warn!(event = events::REPEAT_DENIED, request, service, "service unknown");
        return false;
    };
    meters.record_repeat(service, if is_granted { "granted" } else { "denied" });
    if is_granted {
        tracing::info!(
            event = events::REPEAT_GRANTED,
            request,
            service,
            requests,
            repeats = retries,
            entries,
            slack,
            "retry granted"
        );
    } else {
        tracing::warn!(
            event = events::REPEAT_DENIED,
            request,
            service,
            requests,
            repeats = retries,
            entries,
            slack,
            "retry budget exhausted"
        );
    }
    is_granted
}
