//! Control-plane cost per entry process at fractions and multiples of the target fleet size.
//!
//! Runs the real background tasks on a paused clock for a minute with one change
//! of configuration, and counts bytes and platform operations. The counts are
//! reproducible and must stay within the bounds for the target size; processor
//! time and memory are only reported.

#[path = "../tests/suite/lab.rs"]
#[expect(dead_code, reason = "the benchmark uses a part of the test harness")]
#[expect(clippy::unwrap_used, reason = "the harness belongs to the tests")]
mod lab;

use std::fmt::Write;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use lab::{Lab, sleep_ms};
use masticfall_core::instance::InstanceKind;
use masticfall_core::key::KeyHash;

#[global_allocator]
static GLOBAL: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Bound on control-plane bytes per second and process.
const MAX_BYTES_PER_S: f64 = 17_000.0;
/// Part of a core that a process may use for the control plane, in percent.
const MAX_CORE_PERCENT: f64 = 2.3;
/// Bound on rows written per second by all processes together.
const MAX_WRITES_PER_S: f64 = 150.0;
/// Bound on reads per second by all processes together.
const MAX_READS_PER_S: f64 = 500.0;
/// Time within which a change has to be in force everywhere, in milliseconds.
const MAX_IN_FORCE_MS: u64 = 13_000;
/// Duration of the measurement on the paused clock, in seconds.
const MEASUREMENT_S: u64 = 60;

/// Size of a fleet.
#[derive(Debug, Clone, Copy)]
struct Size {
    name: &'static str,
    data_centres: usize,
    processes_per_data_centre: usize,
    workers: usize,
    pools: usize,
    teams: usize,
}

const SIZES: [Size; 4] = [
    Size {
        name: "1/4",
        data_centres: 4,
        processes_per_data_centre: 3,
        workers: 450,
        pools: 65,
        teams: 32,
    },
    Size {
        name: "1/2",
        data_centres: 8,
        processes_per_data_centre: 3,
        workers: 900,
        pools: 130,
        teams: 65,
    },
    Size {
        name: "1",
        data_centres: 16,
        processes_per_data_centre: 3,
        workers: 1_800,
        pools: 260,
        teams: 130,
    },
    Size {
        name: "2",
        data_centres: 32,
        processes_per_data_centre: 3,
        workers: 3_600,
        pools: 520,
        teams: 260,
    },
];

impl Size {
    fn processes(&self) -> usize {
        self.data_centres * self.processes_per_data_centre
    }
}

fn fleet_text(size: &Size, limit: u32) -> String {
    let mut text =
        String::from("[fleet]\nname = target\nspare_pool = pool-0\nmax_deadline_ms = 2000\n");
    for index in 0..size.data_centres {
        writeln!(text, "[data_centre dc-{index}]").unwrap_or_default();
    }
    for index in 0..size.pools {
        writeln!(text, "[pool pool-{index}]\nmin_available_percent = 80").unwrap_or_default();
        writeln!(text, "[queue queue-{index}]\nclass = long\npool = pool-{index}")
            .unwrap_or_default();
    }
    for index in 0..size.teams {
        writeln!(text, "[team team-{index}]\nlimit = {limit}\nshare = 3").unwrap_or_default();
        for key in 0..2 {
            let hash = KeyHash::of(&format!("mf_{index}_{key}"));
            let hash = hash.to_hex();
            writeln!(text, "[key team-{index}-{key}]\nteam = team-{index}\nhash = {hash}")
                .unwrap_or_default();
        }
    }
    text
}

async fn start(size: &Size) -> Lab {
    let names: Vec<(String, String)> = (0..size.processes())
        .map(|index| {
            let data_centre = index % size.data_centres;
            (format!("p{index}"), format!("dc-{data_centre}"))
        })
        .collect();
    let processes: Vec<(&str, &str)> =
        names.iter().map(|(name, dc)| (name.as_str(), dc.as_str())).collect();
    let lab = Lab::start(1, &processes, &fleet_text(size, 960)).await;
    for index in 0..size.workers {
        let (name, dc) = (format!("worker-{index}"), format!("dc-{}", index % size.data_centres));
        let (rack, pool) = (format!("rack-{}", index / 64), format!("pool-{}", index % size.pools));
        lab.add_instance(&name, InstanceKind::Worker, &dc, &rack, &pool);
    }
    lab
}

/// Counters of one process.
#[derive(Debug, Clone, Copy, Default)]
struct Counters {
    peer_bytes: u64,
    platform_bytes: u64,
    reads: u64,
    writes: u64,
}

fn counters(lab: &Lab) -> Vec<Counters> {
    let processes = lab.processes.values();
    let counters = processes.map(|process| {
        let counts = &process.node.counts;
        Counters {
            peer_bytes: process.node.metrics.peer_bytes.get(),
            platform_bytes: counts.read_bytes.load(Relaxed) + counts.written_bytes.load(Relaxed),
            reads: counts.reads.load(Relaxed),
            writes: counts.writes.load(Relaxed),
        }
    });
    counters.collect()
}

/// Returns each process's rate per second of one counter between two readings.
fn rates(before: &[Counters], after: &[Counters], count: fn(&Counters) -> u64) -> Vec<f64> {
    let pairs = before.iter().zip(after);
    pairs
        .map(|(before, after)| (count(after) - count(before)) as f64 / MEASUREMENT_S as f64)
        .collect()
}

/// Results for one fleet size.
#[derive(Debug)]
struct Figures {
    peer_bytes_per_s: f64,
    platform_bytes_per_s: f64,
    reads_per_s: f64,
    writes_per_s: f64,
    in_force_ms: u64,
    core_percent: f64,
    busiest_bytes_per_s: f64,
    rows: Vec<(&'static str, usize, usize)>,
}

/// Returns the number and bytes of the rows under each prefix.
fn row_sizes(lab: &Lab) -> Vec<(&'static str, usize, usize)> {
    let prefixes = ["config/", "head/", "instance/", "limit/", "member/", "planner/"];
    let counted = prefixes.into_iter().map(|prefix| {
        let rows = lab.cloud.rows(prefix);
        let bytes = rows.iter().map(|row| row.key.len() + row.value.len()).sum();
        (prefix, rows.len(), bytes)
    });
    counted.collect()
}

async fn measure(size: &Size) -> Figures {
    let lab = start(size).await;
    // Workers are registered one row at a time; wait for that before counting.
    sleep_ms(60_000).await;
    let (before, started) = (counters(&lab), Instant::now());
    lab.apply(0, 1, &fleet_text(size, 961)).await.unwrap_or_default();
    let in_force_ms = wait_in_force(&lab, 2).await;
    sleep_ms(MEASUREMENT_S * 1_000 - in_force_ms).await;
    let (after, elapsed) = (counters(&lab), started.elapsed());
    let processes = size.processes() as f64;
    let sum = |count| rates(&before, &after, count).iter().sum::<f64>();
    // Each byte is sent by one process and received by another.
    let peer_bytes_per_s = 2.0 * sum(|process| process.peer_bytes) / processes;
    let platform = rates(&before, &after, |process| process.platform_bytes);
    Figures {
        peer_bytes_per_s,
        platform_bytes_per_s: platform.iter().sum::<f64>() / processes,
        reads_per_s: sum(|process| process.reads),
        writes_per_s: sum(|process| process.writes),
        in_force_ms,
        core_percent: core_percent(elapsed, processes),
        rows: row_sizes(&lab),
        busiest_bytes_per_s: peer_bytes_per_s + platform.iter().copied().fold(0.0, f64::max),
    }
}

/// Returns the part of a core used per process.
///
/// Waiting takes no real time on the paused clock, so elapsed time is processor time.
fn core_percent(elapsed: Duration, processes: f64) -> f64 {
    100.0 * elapsed.as_secs_f64() / processes / MEASUREMENT_S as f64
}

async fn wait_in_force(lab: &Lab, revision: u64) -> u64 {
    const STEP_MS: u64 = 10;
    let mut waited_ms = 0;
    let is_behind = |lab: &Lab| {
        lab.processes.values().any(|process| process.node.state().revision().0 < revision)
    };
    while is_behind(lab) && waited_ms < 2 * MAX_IN_FORCE_MS {
        sleep_ms(STEP_MS).await;
        waited_ms += STEP_MS;
    }
    waited_ms
}

fn peak_memory_mib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kib.unwrap_or_default() / 1_024.0
}

fn main() {
    let only_size = std::env::var("CONTROL_SIZE").ok();
    println!(
        "{:<4} {:>9} {:>9} {:>12} {:>9} {:>9} {:>9} {:>10} {:>8} {:>10}",
        "size",
        "processes",
        "peer B/s",
        "platform B/s",
        "most B/s",
        "reads/s",
        "writes/s",
        "in force",
        "core %",
        "MiB/proc."
    );
    let mut failed = Vec::new();
    for size in
        SIZES.iter().filter(|size| only_size.as_deref().is_none_or(|name| name == size.name))
    {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("a runtime starts");
        let figures = runtime.block_on(measure(size));
        println!(
            "{:<4} {:>9} {:>9.0} {:>12.0} {:>9.0} {:>9.1} {:>9.1} {:>7} ms {:>8.3} {:>10.2}",
            size.name,
            size.processes(),
            figures.peer_bytes_per_s,
            figures.platform_bytes_per_s,
            figures.busiest_bytes_per_s,
            figures.reads_per_s,
            figures.writes_per_s,
            figures.in_force_ms,
            figures.core_percent,
            peak_memory_mib() / size.processes() as f64,
        );
        if size.name == "1" {
            failed = exceeded_bounds(&figures);
            for (prefix, count, bytes) in &figures.rows {
                println!("     rows {prefix:<10} {count:>6}  {bytes:>8} B");
            }
        }
    }
    for exceeded in &failed {
        println!("FAILED {exceeded}");
    }
    if !failed.is_empty() {
        std::process::exit(1);
    }
}

/// Returns the counts that exceed the bounds for the target size.
fn exceeded_bounds(figures: &Figures) -> Vec<String> {
    let bounds = [
        ("bytes per second of the busiest process", figures.busiest_bytes_per_s, MAX_BYTES_PER_S),
        ("rows written per second", figures.writes_per_s, MAX_WRITES_PER_S),
        ("reads per second", figures.reads_per_s, MAX_READS_PER_S),
        ("time until in force, ms", figures.in_force_ms as f64, MAX_IN_FORCE_MS as f64),
    ];
    let exceeded = bounds.iter().filter(|(_, figure, bound)| figure > bound);
    let lines =
        exceeded.map(|(name, figure, bound)| format!("{name}: {figure:.0}, bound {bound:.0}"));
    let mut lines: Vec<String> = lines.collect();
    if figures.core_percent > MAX_CORE_PERCENT {
        println!("core above its bound of {MAX_CORE_PERCENT} % (a time; reported, not enforced)");
    }
    lines.sort();
    lines
}
