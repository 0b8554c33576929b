//! Metrics in the `OpenMetrics` format.

use std::sync::Arc;

use masticfall_core::error::ErrorKind;
use masticfall_platform::serve::ServeUsage;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::serve_metrics::ServeCollector;

/// How a request ended, as a label.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestEnd {
    /// A target's response was forwarded to the caller.
    Answered,
    /// An error of this kind was returned.
    Failed(ErrorKind),
}

impl EncodeLabelValue for RequestEnd {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), std::fmt::Error> {
        let text: &'static str = match self {
            Self::Answered => "answered",
            Self::Failed(kind) => kind.into(),
        };
        EncodeLabelValue::encode(&text, encoder)
    }
}

/// Labels of the request counter.
///
/// The queue is a configured name, never text from a caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Queue, or `-` when the request named no existing queue.
    pub queue: String,
    /// How the request ended.
    pub end: RequestEnd,
}

/// Metrics of a process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by queue and end.
    pub requests: Family<RequestLabels, Counter>,
    /// Retries sent to targets.
    pub retries: Counter,
    /// Requests admitted but not yet answered.
    pub in_flight: Gauge,
    /// Rows written to the platform.
    pub platform_writes: Gauge,
    /// Reads from the platform.
    pub platform_reads: Gauge,
    /// Units of team limits held.
    pub limit_units: Gauge,
    /// Revision of the configuration in force.
    pub revision: Gauge,
    /// Bytes sent to peers.
    pub peer_bytes: Counter,
    /// Messages to peers dropped because a channel was full.
    pub peer_dropped: Counter,
    /// Events dropped from the timeline.
    pub timeline_lost: Gauge,
    /// What callers and operators hold.
    pub callers: Arc<ServeUsage>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("masticfall");
        let metrics = Self {
            registry: Registry::default(),
            requests: Family::default(),
            retries: Counter::default(),
            in_flight: Gauge::default(),
            platform_writes: Gauge::default(),
            platform_reads: Gauge::default(),
            limit_units: Gauge::default(),
            revision: Gauge::default(),
            peer_bytes: Counter::default(),
            peer_dropped: Counter::default(),
            timeline_lost: Gauge::default(),
            callers: Arc::default(),
        };
        let m = &metrics;
        registry.register("requests", "Requests by queue and end", m.requests.clone());
        registry.register("retries", "Retries sent to targets", m.retries.clone());
        registry.register("requests_in_flight", "Requests not answered yet", m.in_flight.clone());
        let writes = m.platform_writes.clone();
        registry.register("platform_rows_written", "Rows written on the platform", writes);
        registry.register("platform_reads", "Reads of the platform", m.platform_reads.clone());
        registry.register("limit_units", "Units of team limits held", m.limit_units.clone());
        registry.register("config_revision", "Revision in force", m.revision.clone());
        registry.register("peer_sent_bytes", "Bytes sent to peers", m.peer_bytes.clone());
        registry.register("peer_dropped", "Messages to peers dropped", m.peer_dropped.clone());
        registry.register("timeline_lost", "Events dropped", m.timeline_lost.clone());
        registry.register_collector(Box::new(ServeCollector(Arc::clone(&m.callers))));
        Self { registry, ..metrics }
    }

    /// Counts a finished request.
    pub fn count_request(&self, queue: &str, end: RequestEnd) {
        let labels = RequestLabels { queue: queue.to_string(), end };
        self.requests.get_or_create(&labels).inc();
    }

    /// Encodes all metrics as `OpenMetrics` text.
    ///
    /// # Errors
    /// Returns the formatter's error, which does not occur when writing to a `String`.
    pub fn encode(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
