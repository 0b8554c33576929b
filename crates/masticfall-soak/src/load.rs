//! Jobs that a seed submits, and how workers crash.

use masticfall_core::fleet::spec::{JobSpec, Resources, StepSpec};
use masticfall_standin::fleet::crash::CrashPlan;
use rand::Rng;
use rand::rngs::StdRng;

use crate::play::FaultKind;

/// Returns how a worker crashes that comes back under its identifier.
pub fn restart_plan(is_dark: bool) -> CrashPlan {
    CrashPlan { keeps_id: true, is_dark, ..CrashPlan::default() }
}

/// Probability that a job has long tasks.
const LONG_PROBABILITY: f64 = 0.15;

/// Duration of long tasks, in milliseconds: some outlast a change of owners, some a lease.
const LONG_TASK_MS: std::ops::Range<u64> = 2_000..7_500;

/// Probability that a job has long tasks if only restarts of workers are played.
const RESTART_LONG_PROBABILITY: f64 = 0.8;

/// Duration of long tasks if only restarts of workers are played, in milliseconds: longer than
/// the leases that the owner gives.
const RESTART_LONG_TASK_MS: std::ops::Range<u64> = 7_000..11_000;

/// Makes some jobs one step of long tasks.
pub fn lengthen(spec: &mut JobSpec, faults: FaultKind, random: &mut StdRng) {
    let (probability, long_task_ms) = match faults {
        FaultKind::All | FaultKind::Owner => (LONG_PROBABILITY, LONG_TASK_MS),
        FaultKind::Restarts => (RESTART_LONG_PROBABILITY, RESTART_LONG_TASK_MS),
    };
    if random.random_bool(probability) {
        spec.steps.truncate(1);
        spec.steps[0].tasks = spec.steps[0].tasks.min(3);
        spec.steps[0].estimate_ms = random.random_range(long_task_ms);
    }
}

/// Returns the specification of a job of one or two short steps.
pub fn random_spec(random: &mut StdRng) -> JobSpec {
    let step = StepSpec {
        tasks: random.random_range(1..5),
        needs: Resources { cpu_millis: 1_000, memory_mib: 100, accelerators: 0 },
        estimate_ms: random.random_range(100..900),
        ..StepSpec::default()
    };
    let second = StepSpec { after: vec![0], ..step.clone() };
    let steps = if random.random_bool(0.5) { vec![step, second] } else { vec![step] };
    JobSpec { payload: "payload".into(), steps, repeat: 0, first_due_wall_ms: 0, interval_ms: 0 }
}
