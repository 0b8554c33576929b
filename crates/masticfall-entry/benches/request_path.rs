//! Throughput and latency of one entry process, compared in one run with direct
//! calls and with a bare pass-through proxy built on the same libraries.
//!
//! The entry process and the pass-through have one worker thread each, the
//! target and the callers two each. Times are reported without a bound.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use http_body_util::BodyExt;
use masticfall_core::id::{DataCentre, InstanceName, Name, PoolName};
use masticfall_core::instance::{InstanceFacts, InstanceKind};
use masticfall_core::key::KeyHash;
use masticfall_entry::Settings;
use masticfall_entry::ops::apply_config::{self, ApplyConfig};
use masticfall_platform::serve::{ServePhase, bind, serve};
use masticfall_standin::{Cloud, TargetServer};
use motore::service::Service;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;

#[global_allocator]
static GLOBAL: mimalloc::MiMalloc = mimalloc::MiMalloc;

const KEY: &str = "mf_bench";
const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const WARM_UP: Duration = Duration::from_millis(500);

fn runtime(threads: usize, name: &str) -> Runtime {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .expect("a runtime starts")
}

/// Forwards requests to one target and does nothing else.
#[derive(Clone)]
struct PassThrough {
    client: Client,
    target: SocketAddr,
}

impl Service<ServerContext, Request> for PassThrough {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, request: Request) -> Result<Response, Infallible> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.map(http_body_util::Collected::to_bytes);
        let uri = format!("http://{}{}", self.target, parts.uri.path());
        let sent =
            self.client.request(parts.method, uri).body(Body::from(body.unwrap_or_default()));
        Ok(sent.send::<Body>().await.unwrap_or_default())
    }
}

async fn start_pass_through(target: SocketAddr) -> (SocketAddr, watch::Sender<ServePhase>) {
    let listener = bind(LOOPBACK).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (phase, phase_receiver) = watch::channel(ServePhase::Open);
    drop(serve(listener, PassThrough { client: Client::default(), target }, phase_receiver));
    (address, phase)
}

fn settings() -> Settings {
    let builder = Settings::builder(DataCentre::from("a"));
    builder.peer_secret("benchmark-secret").leave_delay_ms(0).build()
}

fn fleet_text() -> String {
    let hash = KeyHash::of(KEY);
    format!(
        "[fleet]\nname = bench\n[data_centre a]\n[service web]\nslots = 32\n[pool web]\nservice = web\n\
         [queue web]\nservice = web\n[team t]\nlimit = 10000\n[key k]\nteam = t\nhash = {}\n",
        hash.to_hex()
    )
}

async fn start_entry(target: SocketAddr) -> masticfall_entry::RunningEntry {
    let cloud = Cloud::new(1);
    let facts = InstanceFacts {
        kind: InstanceKind::Target,
        data_centre: DataCentre::from("a"),
        rack: Name::from("r"),
        address: Name::from(target.to_string()),
        cores: 1,
        memory_mib: 1,
        accelerators: 0,
    };
    cloud.add_instance(InstanceName::from("t"), facts, PoolName::from("web"));
    let platform = cloud.platform(&DataCentre::from("a"));
    let entry = masticfall_entry::start(settings(), platform).await.expect("the entry starts");
    let apply = ApplyConfig {
        expected: masticfall_core::id::Revision(0),
        text: Name::from(fleet_text()),
        by: Name::from("bench"),
        note: Name::from(""),
    };
    apply_config::run(&entry.node, apply).await.expect("the configuration is accepted");
    entry
}

/// Sorted latencies, failures and rate of one run.
struct Figures {
    latencies_us: Vec<u64>,
    failed: u64,
    per_second: f64,
}

impl Figures {
    fn quantile_us(&self, quantile: f64) -> u64 {
        let last = self.latencies_us.len().saturating_sub(1);
        let index = (last as f64 * quantile) as usize;
        self.latencies_us.get(index).copied().unwrap_or_default()
    }
}

#[derive(Clone, Copy)]
struct Load {
    callers: usize,
    body_bytes: usize,
    duration: Duration,
    /// Requests per second over all callers; `None` for an unpaced load.
    rate: Option<f64>,
}

fn measure(callers: &Runtime, url: &str, load: Load) -> Figures {
    let client = Client::default();
    let failed = Arc::new(AtomicU64::new(0));
    let started = Instant::now();
    let tasks: Vec<_> = (0..load.callers)
        .map(|index| {
            let (client, url, failed) = (client.clone(), url.to_string(), Arc::clone(&failed));
            callers.spawn(call_repeatedly(client, url, load, index, failed))
        })
        .collect();
    let mut latencies_us = Vec::new();
    for task in tasks {
        latencies_us.extend(callers.block_on(task).expect("a caller ends"));
    }
    latencies_us.sort_unstable();
    let seconds = started.elapsed().saturating_sub(WARM_UP).as_secs_f64();
    let per_second = latencies_us.len() as f64 / seconds;
    Figures { latencies_us, failed: failed.load(Ordering::Relaxed), per_second }
}

async fn call_repeatedly(
    client: Client,
    url: String,
    load: Load,
    index: usize,
    failed: Arc<AtomicU64>,
) -> Vec<u64> {
    let body = Bytes::from(vec![b'x'; load.body_bytes]);
    let started = Instant::now();
    let mut latencies_us = Vec::new();
    // Callers start staggered, so that a paced load does not arrive in bursts.
    let offset_s = load.rate.map_or(0.0, |rate| index as f64 / rate);
    let mut due = tokio::time::Instant::now() + Duration::from_secs_f64(offset_s);
    while started.elapsed() < WARM_UP + load.duration {
        if let Some(rate) = load.rate {
            due += Duration::from_secs_f64(load.callers as f64 / rate);
            tokio::time::sleep_until(due).await;
        }
        let sent = Instant::now();
        let request = client
            .request(Method::PUT, url.as_str())
            .header("authorization", format!("Bearer {KEY}"))
            .body(Body::from(body.clone()));
        let succeeded = match request.send::<Body>().await {
            Ok(response) if response.status().is_success() => {
                response.into_body().collect().await.is_ok()
            }
            _ => false,
        };
        if !succeeded {
            failed.fetch_add(1, Ordering::Relaxed);
        } else if started.elapsed() > WARM_UP {
            latencies_us.push(sent.elapsed().as_micros() as u64);
        }
    }
    latencies_us
}

/// Returns the processor time used by the threads with this name.
fn cpu_time_of_threads(thread_name: &str) -> Duration {
    let tasks = std::fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let nanos = tasks.filter_map(|task| {
        let name = std::fs::read_to_string(task.path().join("comm")).ok()?;
        let stat = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        let used_ns: u64 = stat.split_whitespace().next()?.parse().ok()?;
        (name.trim() == thread_name).then_some(used_ns)
    });
    Duration::from_nanos(nanos.sum())
}

fn print(name: &str, load: Load, figures: &Figures) {
    println!(
        "{name:<13} callers {:>3}  body {:>7} B  {:>8.0} req/s  p50 {:>6} us  p99 {:>6} us  p999 {:>6} us  failed {}",
        load.callers,
        load.body_bytes,
        figures.per_second,
        figures.quantile_us(0.5),
        figures.quantile_us(0.99),
        figures.quantile_us(0.999),
        figures.failed,
    );
}

fn main() {
    let seconds: f64 =
        std::env::var("BENCH_SECONDS").ok().and_then(|text| text.parse().ok()).unwrap_or(0.5);
    let duration = Duration::from_secs_f64(seconds);
    let (targets, callers) = (runtime(2, "target"), runtime(2, "caller"));
    let (bare_runtime, entry_runtime) = (runtime(1, "pass-through"), runtime(1, "entry"));
    let target = targets.block_on(TargetServer::start()).expect("a target");
    let (bare, _bare_phase) = bare_runtime
        .block_on(bare_runtime.spawn(start_pass_through(target.address)))
        .expect("bare");
    let entry =
        entry_runtime.block_on(entry_runtime.spawn(start_entry(target.address))).expect("entry");
    std::thread::sleep(Duration::from_secs(3));
    let urls = [
        ("direct", format!("http://{}/echo", target.address)),
        ("pass-through", format!("http://{bare}/echo")),
        ("entry", format!("http://{}/v1/queues/web/requests/echo", entry.node.addresses.http)),
    ];
    let (mut rates, mut per_cpu_second, mut entry_rate) = ([0.0; 3], [0.0; 3], 0.0);
    let only_small = std::env::var("BENCH_SMALL").is_ok();
    let bodies: &[usize] = if only_small { &[5] } else { &[5, 1024 * 1024] };
    for body_bytes in bodies.iter().copied() {
        for caller_count in caller_counts() {
            let load = Load { callers: caller_count, body_bytes, duration, rate: None };
            for (index, (name, url)) in urls.iter().enumerate() {
                let before = cpu_time_of_threads(name);
                let figures = measure(&callers, url, load);
                print(name, load, &figures);
                let cpu = cpu_time_of_threads(name).saturating_sub(before).as_secs_f64();
                // Latencies exclude the warm-up's requests, but its processor time is counted.
                let warm_up_factor = (duration + WARM_UP).as_secs_f64() / duration.as_secs_f64();
                per_cpu_second[index] =
                    figures.latencies_us.len() as f64 * warm_up_factor / cpu.max(1e-9);
                rates[index] = figures.per_second;
            }
            println!(
                "entry / pass-through at {caller_count} callers, {body_bytes} B: requests per second and core {:.0} / {:.0} = {:.3}",
                per_cpu_second[2],
                per_cpu_second[1],
                per_cpu_second[2] / per_cpu_second[1]
            );
            if caller_count == 32 && body_bytes == 5 {
                entry_rate = rates[2];
            }
        }
    }
    measure_half_load(&callers, &urls, entry_rate / 2.0, duration);
}

/// Reports the latency added at half of the entry's measured rate.
fn measure_half_load(callers: &Runtime, urls: &[(&str, String); 3], rate: f64, duration: Duration) {
    let load = Load { callers: 32, body_bytes: 5, duration, rate: Some(rate) };
    let mut p99_us = [0; 3];
    for (index, (name, url)) in urls.iter().enumerate() {
        let figures = measure(callers, url, load);
        print(name, load, &figures);
        p99_us[index] = figures.quantile_us(0.99);
    }
    println!("added p99 at half load: {} us", p99_us[2].saturating_sub(p99_us[0]));
}

/// Returns the numbers of callers, or only that in `BENCH_CALLERS`, for use with a profiler.
fn caller_counts() -> Vec<usize> {
    let requested = std::env::var("BENCH_CALLERS").ok().and_then(|text| text.parse().ok());
    requested.map_or_else(|| vec![1, 32, 256], |count| vec![count])
}
