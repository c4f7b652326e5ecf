//! Gauges that follow the state of a process.

use super::log::dropped_lines;
use super::metrics::Metrics;
use super::ops::StatusSource;
use super::status::Status;

/// One gauge: its name, what it shows, and where the state holds it.
struct Gauge {
    name: &'static str,
    meaning: &'static str,
    value: fn(&Status) -> f64,
}

const GAUGES: [Gauge; 7] = [
    Gauge {
        name: "papaya_generation",
        meaning: "Generation of the fleet document in force",
        value: |s| s.generation as f64,
    },
    Gauge {
        name: "papaya_document_age_seconds",
        meaning: "Time since the document in force was last confirmed",
        value: |s| s.document_age,
    },
    Gauge {
        name: "papaya_ready",
        meaning: "1 while the process takes new work",
        value: |s| f64::from(u8::from(s.ready)),
    },
    Gauge { name: "papaya_calls", meaning: "Calls in progress", value: |s| s.calls as f64 },
    Gauge {
        name: "papaya_log_dropped",
        meaning: "Log lines dropped since the writer could not keep up",
        value: |_| dropped_lines() as f64,
    },
    Gauge { name: "papaya_peers", meaning: "Live peers", value: |s| s.peers as f64 },
    Gauge { name: "papaya_upstreams", meaning: "Live upstreams", value: |s| s.upstreams as f64 },
];

/// Has every gauge follow `status`.
pub(crate) fn follow(metrics: &Metrics, status: &StatusSource) {
    let meter = metrics.meter();
    for gauge in GAUGES {
        let status = status.clone();
        meter
            .f64_observable_gauge(gauge.name)
            .with_description(gauge.meaning)
            .with_callback(move |observer| observer.observe((gauge.value)(&status()), &[]))
            .build();
    }
}
