//! Metrics of the gateway.

use crate::telemetry::Metrics;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};
use std::time::Duration;

/// Histogram bounds in seconds. They include the latency targets of the routes.
const DURATION_BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.4, 1.0, 2.5, 5.0, 8.0];

pub(crate) struct Meters {
    requests: Counter<u64>,
    duration: Histogram<f64>,
    first_event: Histogram<f64>,
    connections: Counter<u64>,
    lost_seats: Gauge<i64>,
    repeats: Counter<u64>,
    cold_upstreams: Gauge<u64>,
    held: Gauge<u64>,
    cuts: Counter<u64>,
    returns: Counter<u64>,
}

impl Meters {
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
                .with_boundaries(DURATION_BUCKETS.to_vec())
                .build(),
            first_event: meter
                .f64_histogram("papaya_gateway_first_event_seconds")
                .with_description("Time to the first event of a stream in seconds")
                .with_boundaries(DURATION_BUCKETS.to_vec())
                .build(),
            connections: meter
                .u64_counter("papaya_gateway_connections")
                .with_description("Connections opened to upstreams")
                .build(),
            lost_seats: meter
                .i64_gauge("papaya_gateway_lost_seats")
                .with_description("Seats counted at upstreams that no request holds; 0 if sound")
                .build(),
            returns: meter
                .u64_counter("papaya_gateway_returns")
                .with_description("Returning requests, by service and result")
                .build(),
            repeats: meter
                .u64_counter("papaya_gateway_repeats")
                .with_description("Further attempts decided on, by service and result")
                .build(),
            cold_upstreams: meter
                .u64_gauge("papaya_gateway_cold_upstreams")
                .with_description(
                    "Upstreams that count as cold, so that requests to them are limited",
                )
                .build(),
            held: meter
                .u64_gauge("papaya_gateway_held_bytes")
                .with_description("Bytes held for clients that have not read them")
                .build(),
            cuts: meter
                .u64_counter("papaya_gateway_readers_cut")
                .with_description("Clients cut since they read slowly and memory was short")
                .build(),
        }
    }

    /// Adds to the number of connections opened to upstreams.
    pub(crate) fn count_connections(&self, connections: u64) {
        self.connections.add(connections, &[]);
    }

    /// Records the bytes held for clients, and adds to the number of clients cut.
    pub(crate) fn record_clients(&self, held: u64, cuts: u64) {
        self.held.record(held, &[]);
        self.cuts.add(cuts, &[]);
    }

    /// Records the seats counted at upstreams that no request holds.
    pub(crate) fn record_lost_seats(&self, seats: i64) {
        self.lost_seats.record(seats, &[]);
    }

    /// Records the number of upstreams that count as cold.
    pub(crate) fn record_cold_upstreams(&self, upstreams: u64) {
        self.cold_upstreams.record(upstreams, &[]);
    }

    /// Records the decision on a further attempt of a request.
    pub(crate) fn record_repeat(&self, service: &str, result: &'static str) {
        let labels =
            [KeyValue::new("service", service.to_owned()), KeyValue::new("result", result)];
        self.repeats.add(1, &labels);
    }

    /// Records whether a returning request came on time, and whether it got a seat.
    pub(crate) fn record_return(&self, service: &str, result: &'static str) {
        let labels =
            [KeyValue::new("service", service.to_owned()), KeyValue::new("result", result)];
        self.returns.add(1, &labels);
    }

    /// Records a response and the time it took.
    pub(crate) fn record_response(&self, status: u16, took: Duration) {
        self.requests.add(1, &[KeyValue::new("status", i64::from(status))]);
        self.duration.record(took.as_secs_f64(), &[]);
    }

    /// Records the time to the first event of a stream.
    pub(crate) fn record_first_event(&self, took: Duration) {
        self.first_event.record(took.as_secs_f64(), &[]);
    }
}
