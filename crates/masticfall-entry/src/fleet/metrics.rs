//! Counters and latency histograms of a process.

mod near;

use std::sync::Arc;
use std::time::Duration;

use masticfall_core::error::ErrorKind;
use masticfall_core::fleet::crashes::LossCause;
use masticfall_core::fleet::worker::BoundSource;
use masticfall_platform::serve::ServeUsage;
use masticfall_platform::traffic::{Traffic, TrafficCount};
use prometheus_client::collector::Collector;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{DescriptorEncoder, EncodeLabelSet, EncodeMetric};
use prometheus_client::metrics::counter::{ConstCounter, Counter};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use super::evacuation::EvacuationMetrics;
use crate::serve_metrics::ServeCollector;

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

/// Labels of the counter of lost workers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LossLabels {
    cause: &'static str,
}

/// Labels of the counter of runs whose leases expired.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BoundLabels {
    bound: &'static str,
}

/// Labels of the counter of predecessors.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PredecessorLabels {
    end: &'static str,
}

/// Exposes the traffic with the platform by kind of call.
#[derive(Debug)]
struct TrafficCollector(Arc<Traffic>);

impl TrafficCollector {
    fn encode_counter(
        &self,
        encoder: &mut DescriptorEncoder<'_>,
        name: &str,
        help: &str,
        value: fn(&TrafficCount) -> u64,
    ) -> Result<(), std::fmt::Error> {
        let total = ConstCounter::new(0_u64);
        let mut family = encoder.encode_descriptor(name, help, None, total.metric_type())?;
        for (kind, count) in self.0.counts() {
            let label: &'static str = kind.into();
            let counter = ConstCounter::new(value(&count));
            counter.encode(family.encode_family(&[("call", label)])?)?;
        }
        Ok(())
    }
}

impl Collector for TrafficCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        let encoder = &mut encoder;
        self.encode_counter(encoder, "calls", "Calls to the platform", |count| count.calls)?;
        let help = "Bytes of request bodies to the platform";
        self.encode_counter(encoder, "sent_bytes", help, |count| count.sent_bytes)?;
        let help = "Bytes of response bodies from the platform";
        self.encode_counter(encoder, "received_bytes", help, |count| count.received_bytes)
    }
}

/// Metrics of a process.
#[derive(Debug)]
pub struct FleetMetrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    latency: Histogram,
    /// Latency of transactions that store progress, in seconds.
    pub store_latency: Histogram,
    /// Duration of scheduling passes, in seconds.
    pub pass_duration: Histogram,
    /// Time after the pause between two passes until the process came back to scheduling, in
    /// seconds.
    pub pass_delay: Histogram,
    /// Transactions that stored progress.
    pub batches: Counter,
    /// Writes of progress that were rejected by the fence of a later owner.
    pub fenced_writes: Counter,
    /// Jobs dispatched by this process.
    pub jobs: Gauge,
    /// Start orders issued to workers.
    pub starts: Counter,
    /// Calls to workers that were made again since they had no answer.
    pub hedges: Counter,
    /// Stored submissions and cancellations received from other processes.
    pub notices: Counter,
    /// Takeovers of the cell by this process.
    pub takeovers: Counter,
    /// Start orders issued before their placements were stored.
    pub early_starts: Counter,
    /// Runs whose start orders were issued and whose placements aren't stored yet.
    pub unstored_runs: Gauge,
    /// Time after a takeover until all runs were known that the store may not know, in
    /// seconds.
    pub takeover_barrier: Histogram,
    lost_workers: Family<LossLabels, Counter>,
    expired_runs: Family<BoundLabels, Counter>,
    predecessors: Family<PredecessorLabels, Counter>,
    /// Jobs that failed since the store rejects their progress.
    pub rejected_jobs: Counter,
    jobs_given_up: Counter,
    attributed_crashes: Counter,
    /// Evacuated data centres.
    pub evacuation: EvacuationMetrics,
    /// Waits for near workers.
    pub near: near::NearMetrics,
    /// What callers hold.
    pub callers: Arc<ServeUsage>,
}

impl FleetMetrics {
    /// Creates and registers all metrics; `traffic` is counted by the platform's adapter.
    pub fn new(traffic: Arc<Traffic>) -> Self {
        let histogram = || Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT));
        let metrics = Self {
            registry: Registry::default(),
            requests: Family::default(),
            latency: histogram(),
            store_latency: histogram(),
            pass_duration: histogram(),
            pass_delay: histogram(),
            batches: Counter::default(),
            fenced_writes: Counter::default(),
            jobs: Gauge::default(),
            starts: Counter::default(),
            hedges: Counter::default(),
            notices: Counter::default(),
            takeovers: Counter::default(),
            early_starts: Counter::default(),
            unstored_runs: Gauge::default(),
            takeover_barrier: histogram(),
            lost_workers: Family::default(),
            expired_runs: Family::default(),
            predecessors: Family::default(),
            rejected_jobs: Counter::default(),
            jobs_given_up: Counter::default(),
            attributed_crashes: Counter::default(),
            evacuation: EvacuationMetrics::default(),
            near: near::NearMetrics::default(),
            callers: Arc::default(),
        };
        let mut registry = Registry::with_prefix("masticfall");
        registry.register_collector(Box::new(TrafficCollector(traffic)));
        let m = &metrics;
        registry.register("requests", "Requests by method and end", m.requests.clone());
        registry.register("request_seconds", "Time to answer a request", m.latency.clone());
        let stored = m.store_latency.clone();
        registry.register("store_seconds", "Time to store a batch of progress", stored);
        let help = "Duration of scheduling passes";
        registry.register("scheduling_pass_seconds", help, m.pass_duration.clone());
        let help = "Time by which a scheduling pass began late since the process was busy";
        registry.register("scheduling_delay_seconds", help, m.pass_delay.clone());
        registry.register("batches", "Batches of progress stored", m.batches.clone());
        let fenced = m.fenced_writes.clone();
        registry.register("fenced_writes", "Writes of progress rejected by the fence", fenced);
        registry.register("jobs", "Jobs dispatched by this process", m.jobs.clone());
        registry.register("starts", "Starts ordered from workers", m.starts.clone());
        let help = "Calls to workers made again since they had no answer";
        registry.register("hedged_calls", help, m.hedges.clone());
        let help = "Stored submissions and cancellations received from other processes";
        registry.register("submission_notices", help, m.notices.clone());
        registry.register("takeovers", "Take-overs of the cell", m.takeovers.clone());
        let help = "Starts ordered before their placements were stored";
        registry.register("early_starts", help, m.early_starts.clone());
        let help = "Runs ordered whose placements are not stored yet";
        registry.register("unstored_runs", help, m.unstored_runs.clone());
        let help = "Time from a take-over until all runs are known that may not be stored";
        registry.register("takeover_barrier_seconds", help, m.takeover_barrier.clone());
        let help = "Workers lost with tasks on them, by how that became known";
        registry.register("lost_workers", help, m.lost_workers.clone());
        let help = "Runs counted as ended by an expired lease, by where its bound came from";
        registry.register("expired_runs", help, m.expired_runs.clone());
        let help = "Claims of the cell, by how the previous owner had left";
        registry.register("predecessors", help, m.predecessors.clone());
        let help = "Jobs that failed since the store rejects their progress";
        registry.register("rejected_jobs", help, m.rejected_jobs.clone());
        let help = "Jobs given up since a task crashes the workers that start it";
        registry.register("jobs_given_up", help, m.jobs_given_up.clone());
        let help = "Crashes of workers attributed to the tasks of jobs given up";
        registry.register("attributed_crashes", help, m.attributed_crashes.clone());
        m.evacuation.register(&mut registry);
        m.near.register(&mut registry);
        registry.register_collector(Box::new(ServeCollector(Arc::clone(&m.callers))));
        Self { registry, ..metrics }
    }

    /// Records that a job was given up, whose task has crashed this number of workers.
    pub fn record_given_up(&self, crashes: usize) {
        self.jobs_given_up.inc();
        self.attributed_crashes.inc_by(crashes as u64);
    }

    /// Records that a worker was lost with tasks on it.
    pub fn record_lost_worker(&self, cause: LossCause) {
        self.lost_workers.get_or_create(&LossLabels { cause: cause.into() }).inc();
    }

    /// Records that runs count as ended since a lease expired.
    pub fn record_expired_runs(&self, bound: BoundSource, runs: usize) {
        if runs > 0 {
            let labels = BoundLabels { bound: bound.into() };
            self.expired_runs.get_or_create(&labels).inc_by(runs as u64);
        }
    }

    /// Records a claim of the cell.
    pub fn record_claim(&self, predecessor_end: &'static str) {
        self.predecessors.get_or_create(&PredecessorLabels { end: predecessor_end }).inc();
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
