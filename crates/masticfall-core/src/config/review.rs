//! Reviews a configuration before it is sent: errors, entries that never take effect, and
//! limits that contradict each other.
//!
//! The reader refuses what it can't understand only. A configuration that it accepts can still
//! leave a queue without workers, or an operator without access, which shows once it is in force.

use indexmap::IndexMap;
use serde::Serialize;
use strum::Display;

use super::document::{ConfigError, Document, locate};
use super::model::{FleetConfig, QueueClass, QueueConfig, Role};
use super::read::read_fleet;
use crate::id::{PoolName, QueueName, TeamName};
use crate::key::KeyHash;
use crate::wave::Budget;

/// Hint of errors that have none of their own.
const SEE_MANUAL: &str = "docs/operators/configuration.md lists what is allowed";

/// How serious a finding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Severity {
    /// The configuration is refused, or part of it can't work.
    Error,
    /// Part of it has no effect, or not the one that it seems to have.
    Warning,
}

/// Something that is wrong with a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// Line number, starting at 1; 0 when it has no line.
    pub line: usize,
    /// Section header without brackets.
    pub section: String,
    /// Key; empty when the finding concerns the whole section.
    pub key: String,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub hint: String,
}

/// Numbers of instances in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PoolInstances {
    /// Targets, which answer requests.
    pub targets: u32,
    /// Workers, which run jobs.
    pub workers: u32,
}

/// Reviews the text of a configuration; `instances` are those of the running fleet by pool, if
/// they are known. Returns the findings in line order.
///
/// The model is reviewed only if it can be read without an error.
pub fn review(text: &str, instances: Option<&IndexMap<PoolName, PoolInstances>>) -> Vec<Finding> {
    let config = match read_fleet(text) {
        Ok(config) => config,
        Err(errors) => return errors.into_iter().map(finding_of).collect(),
    };
    let mut review = Review { text, config: &config, findings: Vec::new() };
    review.queues();
    review.teams();
    review.keys_and_operators();
    review.pools_and_services();
    review.data_centres();
    if let Some(instances) = instances {
        review.instances(instances);
    }
    review.findings.sort_by_key(|finding| finding.line);
    review.findings
}

/// Splits the error of a reader into what is wrong and what to do about it.
fn finding_of(error: ConfigError) -> Finding {
    let ConfigError { line, section, key, message } = error;
    let (message, hint) = match message.split_once("; ") {
        Some((message, hint)) => (message.to_string(), hint.to_string()),
        None => (message.clone(), hint_of(&message).to_string()),
    };
    Finding { severity: Severity::Error, line, section, key, message, hint }
}

fn hint_of(message: &str) -> &'static str {
    match message {
        "this key is required" | "this section is required" => "add it",
        "this section stands twice" => "merge the two sections",
        "this key stands twice in its section" => "keep one of the two",
        text if text.ends_with("is not configured") => "add its section, or correct the name",
        text if text.contains(" needs a ") => "set this key",
        _ => SEE_MANUAL,
    }
}

/// Returns whether a section has a key.
fn has_key(text: &str, section: &str, key: &str) -> bool {
    let place = (section.to_string(), key.to_string());
    Document::parse(text).is_ok_and(|document| document.entries().contains_key(&place))
}

struct Review<'a> {
    text: &'a str,
    config: &'a FleetConfig,
    findings: Vec<Finding>,
}

impl Review<'_> {
    fn add(&mut self, severity: Severity, place: (&str, &str), message: String, hint: &str) {
        let (section, key) = place;
        self.findings.push(Finding {
            severity,
            line: locate(self.text, section, key),
            section: section.to_string(),
            key: key.to_string(),
            message,
            hint: hint.to_string(),
        });
    }

    fn error(&mut self, place: (&str, &str), message: String, hint: &str) {
        self.add(Severity::Error, place, message, hint);
    }

    fn warning(&mut self, place: (&str, &str), message: String, hint: &str) {
        self.add(Severity::Warning, place, message, hint);
    }

    fn has_keys(&self, team: &TeamName) -> bool {
        self.config.keys.values().any(|key| key.team == *team)
    }

    fn queues(&mut self) {
        for (name, queue) in &self.config.queues {
            let section = format!("queue {name}");
            match queue.class {
                QueueClass::Interactive => self.interactive_queue(&section, queue),
                QueueClass::Long => self.long_queue(&section, queue),
            }
            if queue.teams.is_empty() {
                continue;
            }
            if queue.open {
                self.warning(
                    (&section, "teams"),
                    "callers without a key are accepted, those of other teams are not".to_string(),
                    "remove `teams`, or `open`",
                );
            } else if !queue.teams.iter().any(|team| self.has_keys(team)) {
                self.warning(
                    (&section, "teams"),
                    "none of these teams has a key, so nobody can use the queue".to_string(),
                    "give one of the teams a key, or add a team that has one",
                );
            }
        }
    }

    fn interactive_queue(&mut self, section: &str, queue: &QueueConfig) {
        let Some(service) = &queue.service else { return };
        if !self.config.pools.values().any(|pool| pool.service.as_ref() == Some(service)) {
            self.error(
                (section, "service"),
                format!("no pool runs service `{service}`, so no request is answered"),
                "set `service` in a pool",
            );
        }
        // Without the key, requests may take up to the maximum.
        let max_ms = self.config.max_deadline_ms;
        if queue.deadline_ms > max_ms && has_key(self.text, section, "deadline_ms") {
            self.error(
                (section, "deadline_ms"),
                format!("{} ms is above max_deadline_ms ({max_ms} ms)", queue.deadline_ms),
                "requests end after max_deadline_ms: raise that in [fleet], or lower this",
            );
        }
        if queue.pool.is_some() {
            self.warning(
                (section, "pool"),
                "an interactive queue uses all pools that run its service".to_string(),
                "remove `pool`, or set `class = long`",
            );
        }
    }

    fn long_queue(&mut self, section: &str, queue: &QueueConfig) {
        let Some(pool) = &queue.pool else { return };
        if let Some(service) = self.config.service_of(pool) {
            self.error(
                (section, "pool"),
                format!("pool `{pool}` runs service `{service}` and has no workers"),
                "name a pool without `service`",
            );
        }
        if self.config.spare_pool.as_ref() == Some(pool) {
            self.warning(
                (section, "pool"),
                "the spare pool's instances are moved to the pools that are short".to_string(),
                "name another pool of workers",
            );
        }
        if queue.service.is_some() {
            self.warning(
                (section, "service"),
                "a long queue uses no service".to_string(),
                "remove `service`, or set `class = interactive`",
            );
        }
    }

    fn teams(&mut self) {
        for (name, team) in &self.config.teams {
            let section = format!("team {name}");
            let has_keys = self.has_keys(name);
            if !has_keys {
                self.warning(
                    (&section, ""),
                    "the team has no key, so no request is its".to_string(),
                    "`masticfall keys give TEAM` adds one",
                );
            }
            if team.limit == 0 && has_keys {
                self.error(
                    (&section, "limit"),
                    "a limit of 0 admits no request and no job".to_string(),
                    "set at least 1, or remove the team's keys",
                );
            }
            let may_use =
                |queue: &QueueConfig| queue.teams.is_empty() || queue.teams.contains(name);
            if !self.config.queues.values().any(may_use) {
                self.warning(
                    (&section, ""),
                    "no queue admits the team".to_string(),
                    "add it to `teams` of a queue",
                );
            }
        }
    }

    fn keys_and_operators(&mut self) {
        let keys = self.config.keys.iter().map(|(id, key)| (format!("key {id}"), key.hash));
        self.duplicate_hashes(&keys.collect::<Vec<_>>());
        let operators = &self.config.operators;
        let hashes = operators.iter().map(|(name, o)| (format!("operator {name}"), o.hash));
        self.duplicate_hashes(&hashes.collect::<Vec<_>>());
        if !operators.values().any(|operator| operator.role == Role::Change) {
            self.error(
                ("fleet", ""),
                "no operator may change the configuration once it is in force".to_string(),
                "set `role = change` for an operator",
            );
        }
    }

    /// Reports entries that never match, since an earlier one has the same key.
    fn duplicate_hashes(&mut self, entries: &[(String, KeyHash)]) {
        for (index, (section, hash)) in entries.iter().enumerate() {
            let earlier = entries[..index].iter().find(|(_, other)| other == hash);
            if let Some((earlier, _)) = earlier {
                self.error(
                    (section, "hash"),
                    format!("[{earlier}] has the same key, so only one of them ever matches"),
                    "remove one of them, or give a key of its own",
                );
            }
        }
    }

    fn pools_and_services(&mut self) {
        let queues = &self.config.queues;
        for name in self.config.services.keys() {
            if !queues.values().any(|queue| queue.service.as_ref() == Some(name)) {
                self.warning(
                    (&format!("service {name}"), ""),
                    "no queue uses the service".to_string(),
                    "add a queue, or remove the service",
                );
            }
        }
        for (name, pool) in &self.config.pools {
            let section = format!("pool {name}");
            let is_used = match &pool.service {
                Some(service) => queues.values().any(|q| q.service.as_ref() == Some(service)),
                None => queues.values().any(|queue| queue.pool.as_ref() == Some(name)),
            };
            let is_spare = self.config.spare_pool.as_ref() == Some(name);
            if !is_used && !is_spare {
                self.warning(
                    (&section, ""),
                    "no queue uses the pool".to_string(),
                    "name it in a queue or as `spare_pool`, or remove it",
                );
            }
            if pool.min_available_percent == 100 {
                self.warning(
                    (&section, "min_available_percent"),
                    "with 100 no instance can be maintained or moved".to_string(),
                    "lower it",
                );
            }
        }
    }

    fn data_centres(&mut self) {
        for (name, data_centre) in &self.config.data_centres {
            if data_centre.near.contains(name) {
                self.warning(
                    (&format!("data_centre {name}"), "near"),
                    "a data centre is never near itself".to_string(),
                    "remove it from the list",
                );
            }
        }
    }

    fn instances(&mut self, instances: &IndexMap<PoolName, PoolInstances>) {
        let of = |pool: &PoolName| instances.get(pool).copied().unwrap_or_default();
        for (name, queue) in &self.config.queues {
            self.queue_instances(name, queue, &of);
        }
        for (name, pool) in &self.config.pools {
            let size = of(name).targets + of(name).workers;
            let percent = pool.min_available_percent;
            if size > 0 && percent < 100 && Budget::of(size as usize, percent).max_unavailable == 0
            {
                self.warning(
                    (&format!("pool {name}"), "min_available_percent"),
                    format!("of {size} instances, {percent} % leaves none for maintenance"),
                    "lower it, or add instances",
                );
            }
        }
        self.shares(&of);
    }

    fn queue_instances(
        &mut self,
        name: &QueueName,
        queue: &QueueConfig,
        of: &impl Fn(&PoolName) -> PoolInstances,
    ) {
        let section = format!("queue {name}");
        if let (QueueClass::Long, Some(pool)) = (queue.class, &queue.pool)
            && self.config.service_of(pool).is_none()
            && of(pool).workers == 0
        {
            self.error(
                (&section, "pool"),
                format!("pool `{pool}` has no workers in the running fleet"),
                "move workers to it with `masticfall instances move`",
            );
        }
        if let (QueueClass::Interactive, Some(service)) = (queue.class, &queue.service) {
            let mut pools = self.config.pools.iter();
            let runs = |pool: &Option<_>| pool.as_ref() == Some(service);
            let has_pool = self.config.pools.values().any(|pool| runs(&pool.service));
            if has_pool && !pools.any(|(name, pool)| runs(&pool.service) && of(name).targets > 0) {
                self.error(
                    (&section, "service"),
                    format!("no pool of service `{service}` has targets in the running fleet"),
                    "move targets to one with `masticfall instances move`",
                );
            }
        }
    }

    /// Reports teams whose limit is below their share of the fleet's slots: when it is full
    /// they get less than their weight promises.
    fn shares(&mut self, of: &impl Fn(&PoolName) -> PoolInstances) {
        let slots = self.config.pools.iter().filter_map(|(name, pool)| {
            let service = self.config.services.get(pool.service.as_ref()?)?;
            Some(u64::from(service.slots) * u64::from(of(name).targets))
        });
        let slots: u64 = slots.sum();
        let weights: u64 = self.config.teams.values().map(|team| u64::from(team.share)).sum();
        for (name, team) in &self.config.teams {
            let part = u64::from(team.share) * slots / weights.max(1);
            if team.limit > 0 && u64::from(team.limit) < part {
                self.warning(
                    (&format!("team {name}"), "limit"),
                    format!("{} is below the team's share of {part} of {slots} slots", team.limit),
                    "raise the limit, or lower the share",
                );
            }
        }
    }
}
