//! Metrics of what callers hold.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use masticfall_platform::serve::ServeUsage;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;

/// Exposes what the callers of a server hold, and how often something gave way.
#[derive(Debug)]
pub struct ServeCollector(pub Arc<ServeUsage>);

impl Collector for ServeCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        let usage = &self.0;
        let gauges: [(&str, &str, &AtomicU64); 2] = [
            ("callers_connections", "Open connections of callers", &usage.connections),
            ("callers_held_bytes", "Memory that callers hold", &usage.held_bytes),
        ];
        for (name, help, value) in gauges {
            let gauge = ConstGauge::new(value.load(Ordering::Relaxed) as i64);
            gauge.encode(encoder.encode_descriptor(name, help, None, gauge.metric_type())?)?;
        }
        let counters: [(&str, &str, &AtomicU64); 4] = [
            (
                "callers_shed_connections",
                "Connections of callers closed to make room",
                &usage.shed_connections,
            ),
            (
                "callers_shed_bodies",
                "Requests refused to make room, since their bodies were stored",
                &usage.shed_bodies,
            ),
            (
                "callers_refused_connections",
                "Connections of callers closed at once, since none gave way",
                &usage.refused_connections,
            ),
            (
                "callers_failed_accepts",
                "Connections of callers that the system could not hand over",
                &usage.failed_accepts,
            ),
        ];
        for (name, help, value) in counters {
            let counter = ConstCounter::new(value.load(Ordering::Relaxed));
            counter.encode(encoder.encode_descriptor(
                name,
                help,
                None,
                counter.metric_type(),
            )?)?;
        }
        Ok(())
    }
}
