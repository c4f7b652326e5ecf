//! Gauges computed from the status of a process.

use super::log::dropped_lines;
use super::metrics::Metrics;
use super::ops::StatusSource;
use super::status::Status;
use opentelemetry::KeyValue;

/// An observable gauge with its name, help text and source.
struct Gauge {
    name: &'static str,
    description: &'static str,
    value: fn(&Status) -> f64,
}

const GAUGES: [Gauge; 7] = [
    Gauge {
        name: "papaya_generation",
        description: "Generation of the fleet document in force",
        value: |s| s.generation as f64,
    },
    Gauge {
        name: "papaya_document_age_seconds",
        description: "Time since the document in force was last confirmed",
        value: |s| s.document_age,
    },
    Gauge {
        name: "papaya_ready",
        description: "1 while the process takes new work",
        value: |s| f64::from(u8::from(s.ready)),
    },
    Gauge { name: "papaya_calls", description: "Calls in progress", value: |s| s.calls as f64 },
    Gauge {
        name: "papaya_log_dropped",
        description: "Log lines dropped since the writer could not keep up",
        value: |_| dropped_lines() as f64,
    },
    Gauge { name: "papaya_peers", description: "Live peers", value: |s| s.peers as f64 },
    Gauge {
        name: "papaya_upstreams",
        description: "Live upstreams",
        value: |s| s.upstreams as f64,
    },
];

/// Registers all gauges; each reads `status` when the metrics are collected.
pub(crate) fn register(metrics: &Metrics, status: &StatusSource) {
    let meter = metrics.meter();
    for gauge in GAUGES {
        let status = status.clone();
        meter
            .f64_observable_gauge(gauge.name)
            .with_description(gauge.description)
            .with_callback(move |observer| observer.observe((gauge.value)(&status()), &[]))
            .build();
    }
    let status = status.clone();
    meter
        .u64_observable_gauge("papaya_evacuated_zone_calls")
        .with_description("Calls still in progress in an evacuated availability zone, by zone")
        .with_callback(move |observer| {
            for evacuation in status().evacuations {
                observer.observe(evacuation.calls, &[KeyValue::new("zone", evacuation.zone)]);
            }
        })
        .build();
}
