//! Metrics of an entry.

use crate::base::code::Code;
use crate::base::name::Name;
use crate::telemetry::Metrics;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};
use std::time::Duration;

/// Buckets of request durations, in seconds.
const DURATION_BUCKETS: [f64; 12] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.62, 1.0, 5.0, 30.0];

pub(crate) struct Meters {
    requests: Counter<u64>,
    duration: Histogram<f64>,
}

impl Meters {
    pub(crate) fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        let requests = meter.u64_counter("papaya_requests");
        let duration = meter.f64_histogram("papaya_request_seconds");
        Self {
            requests: requests.with_description("Requests answered, by service and code").build(),
            duration: duration
                .with_description("Time to the complete answer in seconds, by service")
                .with_boundaries(DURATION_BUCKETS.to_vec())
                .build(),
        }
    }

    /// Counts an admitted request and records its duration.
    pub(crate) fn record_ended(&self, service: &Name, code: Code, took: Duration) {
        let service = KeyValue::new("service", service.to_string());
        let code = KeyValue::new("code", code.to_string());
        self.duration.record(took.as_secs_f64(), std::slice::from_ref(&service));
        self.requests.add(1, &[service, code]);
    }

    /// Counts a request that was rejected; it has no service label.
    pub(crate) fn record_rejected(&self, code: Code) {
        self.requests.add(1, &[KeyValue::new("code", code.to_string())]);
    }
}
