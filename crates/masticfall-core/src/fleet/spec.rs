//! Jobs as submitted by callers: steps of identical tasks.

use std::fmt;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::id::{AccountName, JobId, Name, QueueName};

/// Maximum number of tasks per job, over all steps of one occurrence. Far above what
/// callers submit; it bounds the memory that one request can claim.
pub const MAX_TASKS: u64 = 5_000;

/// Maximum number of steps per job; bounds the search for its critical path.
pub const MAX_STEPS: usize = 256;

/// Maximum number of occurrences per job. The completed ones are listed in the job's row of
/// progress.
pub const MAX_OCCURRENCES: u32 = 5_000;

/// Maximum amount of each resource per task: a million cores, in thousandths.
pub const MAX_NEEDS: u64 = 1_000_000_000;

/// Maximum estimated run time of a task, in milliseconds: about four months.
pub const MAX_ESTIMATE_MS: u64 = 10_000_000_000;

/// Maximum number of members of a gang, which are placed together, each with its worker in
/// the job's row of progress.
pub const MAX_GANG_TASKS: u32 = 250;

/// Processor, memory and accelerators, as needed by a task or provided by a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in MiB.
    pub memory_mib: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Returns whether these needs fit into `capacity`.
    pub fn fits(&self, capacity: &Self) -> bool {
        self.cpu_millis <= capacity.cpu_millis
            && self.memory_mib <= capacity.memory_mib
            && self.accelerators <= capacity.accelerators
    }

    /// Returns the largest of the amounts.
    fn largest(&self) -> u64 {
        self.cpu_millis.max(self.memory_mib).max(self.accelerators)
    }

    /// Returns the sum, at most the largest number for each resource.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the product with `factor`, at most the largest number for each resource.
    pub fn times(&self, factor: u64) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_mul(factor),
            memory_mib: self.memory_mib.saturating_mul(factor),
            accelerators: self.accelerators.saturating_mul(factor),
        }
    }

    /// Returns the processor capacity that these needs use up on workers of size
    /// `worker`, by their dominant resource, in thousandths of a core.
    pub fn dominant_millis(&self, worker: &Self) -> u64 {
        let share = |needs: u64, available: u64| {
            if available == 0 {
                0
            } else {
                let millis = u128::from(needs) * u128::from(worker.cpu_millis);
                u64::try_from(millis / u128::from(available)).unwrap_or(u64::MAX)
            }
        };
        let memory = share(self.memory_mib, worker.memory_mib);
        let accelerators = share(self.accelerators, worker.accelerators);
        self.cpu_millis.max(memory).max(accelerators)
    }

    /// Returns this capacity in thousandths of a core of workers of size `worker`, by the
    /// resource of which there is least.
    pub fn equivalent_millis(&self, worker: &Self) -> u64 {
        let share = |capacity: u64, available: u64| {
            let millis = u128::from(capacity) * u128::from(worker.cpu_millis);
            let millis = millis.checked_div(u128::from(available))?;
            Some(u64::try_from(millis).unwrap_or(u64::MAX))
        };
        let shares = [
            share(self.cpu_millis, worker.cpu_millis),
            share(self.memory_mib, worker.memory_mib),
            share(self.accelerators, worker.accelerators),
        ];
        shares.into_iter().flatten().min().unwrap_or_default()
    }

    /// Returns the difference, at least zero for each resource.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// A step: a number of identical tasks.
#[expect(clippy::struct_excessive_bools, reason = "independent properties that callers set")]
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task needs.
    pub needs: Resources,
    /// Rough estimate of a task's run time.
    pub estimate_ms: u64,
    /// Earlier steps that must complete first.
    pub after: Vec<u32>,
    /// Whether a task can resume from a checkpoint.
    pub is_checkpointing: bool,
    /// Whether the tasks must all run at the same time (gang scheduling).
    pub is_gang: bool,
    /// Whether the tasks slow down when they run on more than one rack.
    pub wants_same_rack: bool,
    /// Label that a worker must have.
    pub required_label: Option<Name>,
    /// Rack that holds the data.
    pub data_rack: Option<Name>,
    /// Limit of the step's tasks on one worker; 0 means no limit.
    pub max_per_worker: u32,
    /// Whether several copies of a task may run at the same time.
    pub is_speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub is_long_running: bool,
    /// Image that the tasks run; tasks of one image behave alike.
    pub image: Option<Name>,
    /// Bound on the tail latency of a task that serves users; 0 for other tasks.
    pub target_tail_ms: u64,
    /// Whether the tasks are best-effort: they run on processor capacity that other
    /// tasks leave unused.
    pub is_filler: bool,
    /// Disruption budget: tasks of the step that the owner of the cell may make
    /// unavailable at once.
    pub max_unavailable: u32,
}

impl StepSpec {
    /// Returns the capacity that a task reserves on a worker; best-effort tasks
    /// reserve no processor capacity.
    pub fn reserved(&self) -> Resources {
        if self.is_filler { Resources { cpu_millis: 0, ..self.needs } } else { self.needs }
    }
}

/// A job as submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Payload passed to the workers with each task.
    pub payload: Name,
    /// Steps; each depends on earlier ones only.
    pub steps: Vec<StepSpec>,
    /// Number of scheduled occurrences; 0 for a job that runs once, immediately.
    pub repeat: u32,
    /// When the first occurrence is due, in milliseconds since the Unix epoch.
    pub first_due_wall_ms: u64,
    /// Time between two occurrences.
    pub interval_ms: u64,
}

/// Reason why a job specification is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SpecError {
    /// The job has no steps.
    #[snafu(display("the job has no steps"))]
    NoSteps,
    /// A step has no tasks.
    #[snafu(display("step {step} has no tasks"))]
    NoTasks {
        /// The step, from 0.
        step: usize,
    },
    /// A step depends on itself or on a later one.
    #[snafu(display("step {step} depends on step {dependency}, which is not an earlier one"))]
    BadDependency {
        /// The step, from 0.
        step: usize,
        /// The step that it depends on.
        dependency: u32,
    },
    /// The job has too many occurrences.
    #[snafu(display("the job has more than {MAX_OCCURRENCES} occurrences"))]
    TooManyOccurrences,
    /// A step needs more of a resource, or more time, than any fleet has.
    #[snafu(display(
        "a task of step {step} needs more than {MAX_NEEDS} of a resource or {MAX_ESTIMATE_MS} ms"
    ))]
    FigureTooLarge {
        /// The step, from 0.
        step: usize,
    },
    /// A gang has too many members.
    #[snafu(display("the gang of step {step} has more than {MAX_GANG_TASKS} tasks"))]
    GangTooLarge {
        /// The step, from 0.
        step: usize,
    },
    /// The job exceeds the limits of steps or tasks.
    #[snafu(display("the job has more than {MAX_STEPS} steps or {MAX_TASKS} tasks"))]
    TooLarge,
}

/// Result of the validation of a job specification.
pub type Result<T, E = SpecError> = std::result::Result<T, E>;

impl JobSpec {
    /// Checks the steps and their dependencies.
    ///
    /// # Errors
    /// Returns the first error found.
    pub fn check(&self) -> Result<()> {
        if self.steps.is_empty() {
            return Err(SpecError::NoSteps);
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        if self.steps.len() > MAX_STEPS || tasks > MAX_TASKS {
            return Err(SpecError::TooLarge);
        }
        if self.repeat > MAX_OCCURRENCES {
            return Err(SpecError::TooManyOccurrences);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 {
                return Err(SpecError::NoTasks { step: number });
            }
            if step.is_gang && step.tasks > MAX_GANG_TASKS {
                return Err(SpecError::GangTooLarge { step: number });
            }
            if step.needs.largest() > MAX_NEEDS || step.estimate_ms > MAX_ESTIMATE_MS {
                return Err(SpecError::FigureTooLarge { step: number });
            }
            if let Some(dependency) =
                step.after.iter().find(|dependency| **dependency as usize >= number)
            {
                return Err(SpecError::BadDependency { step: number, dependency: *dependency });
            }
        }
        Ok(())
    }

    /// Returns how many times the steps run.
    pub fn occurrences(&self) -> u32 {
        self.repeat.max(1)
    }

    /// Returns whether any task runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.is_long_running)
    }

    /// Returns the length of the critical path, by the estimated run times.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start =
                step.after.iter().filter_map(|dependency| ends.get(*dependency as usize)).max();
            ends.push(start.copied().unwrap_or(0) + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns the estimated work of one occurrence: resources times milliseconds
    /// of run time. Long-running steps don't count.
    pub fn work(&self) -> Resources {
        let steps = self.steps.iter().filter(|step| !step.is_long_running);
        steps.fold(Resources::default(), |sum, step| {
            sum.plus(&step.needs.times(u64::from(step.tasks) * step.estimate_ms))
        })
    }
}

/// An accepted job, as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Queue that it was submitted to.
    pub queue: QueueName,
    /// Client account of its API key; none on an open queue without a valid key.
    pub account: Option<AccountName>,
    /// Specification.
    pub spec: JobSpec,
    /// Wall clock at acceptance, in milliseconds since the Unix epoch.
    pub accepted_wall_ms: u64,
}

/// Key of one task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "TaskKeyTuple", from = "TaskKeyTuple")]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// Occurrence, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u32,
    /// Task within the step, from 0.
    pub index: u32,
}

/// The encoded form of a task's key: a tuple takes half of the space of a map.
type TaskKeyTuple = (JobId, u32, u32, u32);

impl From<TaskKey> for TaskKeyTuple {
    fn from(key: TaskKey) -> Self {
        (key.job, key.occurrence, key.step, key.index)
    }
}

impl From<TaskKeyTuple> for TaskKey {
    fn from((job, occurrence, step, index): TaskKeyTuple) -> Self {
        Self { job, occurrence, step, index }
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl TaskKey {
    /// Returns the task's name within its job, `OCCURRENCE.STEP.INDEX`.
    pub fn in_job(&self) -> String {
        format!("{}.{}.{}", self.occurrence, self.step, self.index)
    }

    /// Parses a task's name, `JOB.OCCURRENCE.STEP.INDEX`.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.rsplitn(4, '.');
        let index = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let occurrence = parts.next()?.parse().ok()?;
        let job = JobId::from(parts.next()?);
        Some(Self { job, occurrence, step, index })
    }
}
