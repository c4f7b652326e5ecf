//! Metrics of the gateway.

use crate::telemetry::Metrics;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};
use std::time::Duration;

/// Buckets of durations, in seconds; the latency targets of the routes fall on bounds.
const BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.4, 1.0, 2.5, 5.0, 8.0];

/// Instruments of the gateway.
pub(crate) struct Meters {
    requests: Counter<u64>,
    duration: Histogram<f64>,
    first: Histogram<f64>,
    opened: Counter<u64>,
}

impl Meters {
    /// Makes the instruments.
    pub(crate) fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        Self {
            requests: meter
                .u64_counter("papaya_gateway_requests")
                .with_description("Requests answered, by status")
                .build(),
            duration: meter
                .f64_histogram("papaya_gateway_seconds")
                .with_description("Time to the whole answer in seconds")
                .with_boundaries(BUCKETS.to_vec())
                .build(),
            first: meter
                .f64_histogram("papaya_gateway_first_event_seconds")
                .with_description("Time to the first event of a stream in seconds")
                .with_boundaries(BUCKETS.to_vec())
                .build(),
            opened: meter
                .u64_counter("papaya_gateway_connections")
                .with_description("Connections opened to upstreams")
                .build(),
        }
    }

    /// Counts connections opened to upstreams.
    pub(crate) fn opened(&self, connections: u64) {
        self.opened.add(connections, &[]);
    }

    /// Counts an answer.
    pub(crate) fn answered(&self, status: u16, took: Duration) {
        self.requests.add(1, &[KeyValue::new("status", i64::from(status))]);
        self.duration.record(took.as_secs_f64(), &[]);
    }

    /// Records the first event of a stream.
    pub(crate) fn began(&self, took: Duration) {
        self.first.record(took.as_secs_f64(), &[]);
    }
}
