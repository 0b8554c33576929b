//! Counters and latency histograms of a process.

use std::time::Duration;

use masticfall_core::error::ErrorKind;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// First bucket of the latency histograms, in seconds; eleven more double up to 4 s.
const FIRST_BUCKET_S: f64 = 0.002;

/// Number of buckets of the latency histograms.
const BUCKET_COUNT: u16 = 12;

/// Labels of the request counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// HTTP method, which identifies the operation.
    pub method: String,
    /// `answered`, or the kind of error.
    pub end: &'static str,
}

/// Metrics of a process.
#[derive(Debug)]
pub struct FleetMetrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    latency: Histogram,
    /// Latency of transactions that store progress, in seconds.
    pub store_latency: Histogram,
    /// Transactions that stored progress.
    pub batches: Counter,
    /// Jobs dispatched by this process.
    pub jobs: Gauge,
    /// Start orders issued to workers.
    pub starts: Counter,
    /// Takeovers of the cell by this process.
    pub takeovers: Counter,
}

impl Default for FleetMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl FleetMetrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let histogram = || Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT));
        let metrics = Self {
            registry: Registry::default(),
            requests: Family::default(),
            latency: histogram(),
            store_latency: histogram(),
            batches: Counter::default(),
            jobs: Gauge::default(),
            starts: Counter::default(),
            takeovers: Counter::default(),
        };
        let mut registry = Registry::with_prefix("masticfall");
        let m = &metrics;
        registry.register("requests", "Requests by method and end", m.requests.clone());
        registry.register("request_seconds", "Time to answer a request", m.latency.clone());
        let stored = m.store_latency.clone();
        registry.register("store_seconds", "Time to store a batch of progress", stored);
        registry.register("batches", "Batches of progress stored", m.batches.clone());
        registry.register("jobs", "Jobs dispatched by this process", m.jobs.clone());
        registry.register("starts", "Starts ordered from workers", m.starts.clone());
        registry.register("takeovers", "Take-overs of the cell", m.takeovers.clone());
        Self { registry, ..metrics }
    }

    /// Records a request that was answered or refused.
    pub fn record_request(&self, method: &str, refused: Option<ErrorKind>, latency: Duration) {
        let end = refused.map_or("answered", Into::into);
        let labels = RequestLabels { method: method.to_string(), end };
        self.requests.get_or_create(&labels).inc();
        self.latency.observe(latency.as_secs_f64());
    }

    /// Encodes all metrics as `OpenMetrics` text.
    ///
    /// # Errors
    /// Never, since writing to a `String` can't fail.
    pub fn encode(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
