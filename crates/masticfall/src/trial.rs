//! The trial fleet: two entry processes with a stand-in platform, targets and workers.

pub mod once;
pub mod platform_only;

use std::fmt::Write;
use std::time::Duration;

use http::Method;
use masticfall_core::id::{DataCentre, InstanceName, Name, PoolName};
use masticfall_core::instance::{InstanceFacts, InstanceKind};
use masticfall_core::key::KeyHash;
use masticfall_entry::state::Phase;
use masticfall_entry::{RunningEntry, Settings};
use masticfall_standin::{Cloud, TargetServer};

use crate::client::ApiClient;
use crate::error::{CliError, Result};

/// Key of team `red` in the trial fleet.
pub const RED_KEY: &str = "mf_try_red";
/// Key of team `blue` in the trial fleet.
pub const BLUE_KEY: &str = "mf_try_blue";
/// Key of the operator in the trial fleet.
pub const OPERATOR_KEY: &str = "mf_try_operator";
/// Secret shared by the entry processes of the trial fleet.
pub const PEER_SECRET: &str = "trial-peer-secret";

/// Data centres of the trial fleet.
pub const DATA_CENTRES: [&str; 2] = ["dc-a", "dc-b"];

const TARGETS_PER_DATA_CENTRE: usize = 2;
const WORKERS_PER_DATA_CENTRE: usize = 2;

/// Timeout for the trial fleet to become ready.
const READY_TIMEOUT_MS: u64 = 10_000;

/// Returns the configuration of the trial fleet.
pub fn fleet_config() -> String {
    let hash = |key: &str| KeyHash::of(key).to_hex();
    format!(
        include_str!("../../../examples/try/fleet.ini.in"),
        red = hash(RED_KEY),
        blue = hash(BLUE_KEY),
        operator = hash(OPERATOR_KEY)
    )
}

/// Stand-in platform and instances of the trial fleet.
#[derive(Debug)]
pub struct Backends {
    /// The stand-in platform.
    pub cloud: Cloud,
    /// Targets, by instance name.
    pub targets: Vec<(InstanceName, TargetServer)>,
}

impl Backends {
    /// Starts the targets and registers them, and the workers, with a new platform.
    ///
    /// # Errors
    /// [`CliError::TrialStart`] when no port can be bound.
    pub async fn start() -> Result<Self> {
        let cloud = Cloud::new(1);
        let mut targets = Vec::new();
        for data_centre in DATA_CENTRES {
            for index in 0..TARGETS_PER_DATA_CENTRE {
                let server =
                    TargetServer::start().await.map_err(|error| trial_start_error(&error))?;
                let name = InstanceName::from(format!("{data_centre}-target-{index}"));
                let address = server.address.to_string();
                let facts = instance_facts(InstanceKind::Target, data_centre, index, &address);
                cloud.add_instance(name.clone(), facts, PoolName::from("preview"));
                targets.push((name, server));
            }
            for index in 0..WORKERS_PER_DATA_CENTRE {
                let name = InstanceName::from(format!("{data_centre}-worker-{index}"));
                let facts = instance_facts(InstanceKind::Worker, data_centre, index, "127.0.0.1:1");
                cloud.add_instance(name, facts, PoolName::from("workers"));
            }
        }
        Ok(Self { cloud, targets })
    }
}

fn instance_facts(
    kind: InstanceKind,
    data_centre: &str,
    index: usize,
    address: &str,
) -> InstanceFacts {
    InstanceFacts {
        kind,
        data_centre: DataCentre::from(data_centre),
        rack: Name::from(format!("rack-{index}")),
        address: Name::from(address),
        cores: 16,
        memory_mib: 32 * 1024,
        accelerators: 2,
    }
}

fn trial_start_error(error: &dyn std::error::Error) -> CliError {
    CliError::TrialStart { reason: error.to_string() }
}

/// A fleet that runs in this process.
#[derive(Debug)]
pub struct TrialFleet {
    /// Stand-in platform and instances.
    pub backends: Backends,
    /// Entry processes, one per data centre.
    pub entries: Vec<RunningEntry>,
}

impl TrialFleet {
    /// Starts the fleet, applies its configuration and waits until it is ready.
    ///
    /// # Errors
    /// [`CliError::TrialStart`] when it fails to start or is not ready in time, or the
    /// error of the request that applies the configuration.
    pub async fn start() -> Result<Self> {
        let backends = Backends::start().await?;
        let mut entries = Vec::new();
        for data_centre in DATA_CENTRES {
            let platform = backends.cloud.platform(&DataCentre::from(data_centre));
            let entry = masticfall_entry::start(entry_settings(data_centre), platform).await;
            entries.push(entry.map_err(|error| trial_start_error(&error))?);
        }
        let trial = Self { backends, entries };
        let bootstrap = ApiClient::new(trial.address(0), PEER_SECRET);
        let headers = [("if-match", "0"), ("masticfall-note", "trial")];
        let put = bootstrap.send(Method::PUT, "/admin/v1/config", &headers, fleet_config());
        put.await?.error_for_status()?;
        trial.wait_until_ready().await?;
        Ok(trial)
    }

    /// Returns the HTTP address of an entry process.
    pub fn address(&self, index: usize) -> String {
        self.entries[index].node.addresses.http.to_string()
    }

    /// Waits until every entry process is ready to serve; see [`is_ready`].
    async fn wait_until_ready(&self) -> Result<()> {
        let ready = async {
            while !self.entries.iter().all(|entry| is_ready(entry, self.entries.len())) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let waited = tokio::time::timeout(Duration::from_millis(READY_TIMEOUT_MS), ready).await;
        waited.map_err(|elapsed| CliError::TrialStart {
            reason: format!("the fleet was not ready in time: {elapsed}"),
        })
    }

    /// Lists the addresses, keys and queues of the fleet.
    pub fn describe(&self) -> String {
        let mut text = String::new();
        for (entry, data_centre) in self.entries.iter().zip(DATA_CENTRES) {
            let addresses = &entry.node.addresses;
            // Writing to a `String` cannot fail.
            writeln!(text, "entry   {data_centre}  http://{}", addresses.http).unwrap_or_default();
        }
        for (name, server) in &self.backends.targets {
            writeln!(text, "target  {name}  http://{}", server.address).unwrap_or_default();
        }
        let lines = [
            format!("team red      key {RED_KEY}"),
            format!("team blue     key {BLUE_KEY}"),
            format!("operator      key {OPERATOR_KEY}"),
            "queues        preview, walk-in (open to all), overnight (long)".to_string(),
        ];
        text.push_str(&lines.join("\n"));
        text.push('\n');
        text
    }

    /// Stops the fleet gracefully.
    pub async fn stop(self) {
        for entry in self.entries {
            entry.stop().await;
        }
    }
}

/// Returns whether an entry process is ready, knows all other processes, and has free
/// slots and units of team limits.
fn is_ready(entry: &RunningEntry, processes: usize) -> bool {
    let state = entry.node.state();
    let slots: u32 = state.services.values().map(|service| service.targets.free_slots()).sum();
    let units: u32 = state.limit_grants.values().map(|local_grant| local_grant.units.total()).sum();
    let all_members_known = state.members.len() + 1 == processes;
    state.phase == Phase::Ready && slots > 0 && units > 0 && all_members_known
}

fn entry_settings(data_centre: &str) -> Settings {
    let builder = Settings::builder(DataCentre::from(data_centre));
    builder.peer_secret(PEER_SECRET).leave_delay_ms(100).build()
}
