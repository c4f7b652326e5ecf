//! OpenTelemetry metrics, exported in the Prometheus text format.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Meter provider and Prometheus registry of one process.
#[derive(Clone)]
pub struct Metrics {
    provider: SdkMeterProvider,
    registry: Registry,
}

impl Metrics {
    /// Sets up the exporter.
    ///
    /// # Errors
    /// The error of the exporter as text.
    pub fn open() -> Result<Self, String> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|e| e.to_string())?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { provider, registry })
    }

    /// Meter from which instruments are created.
    pub fn meter(&self) -> Meter {
        self.provider.meter("papayaproxy")
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let families = self.registry.gather();
        // Encoding to memory fails only for a family without metrics, which is omitted.
        let _ = TextEncoder::new().encode(&families, &mut text);
        text
    }
}
