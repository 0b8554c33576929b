//! Lifecycle of an instance, which is in exactly one pool at any time.
//!
//! The state is one row per instance on the platform, changed by
//! compare-and-swap. The pool is a single field, which changes in one write
//! while the instance is drained.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::id::{DataCentre, InstanceName, Name, PoolName, WaveName};

/// The kind of work that an instance does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceKind {
    /// Answers requests.
    Target,
    /// Runs the tasks of jobs.
    Worker,
}

/// The lifecycle state of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceState {
    /// Accepts work for its pool.
    InPool,
    /// Draining: gets no new work, and running work finishes.
    Leaving,
    /// Runs nothing.
    Drained,
    /// Being rebooted by the platform.
    Rebooting,
}

/// Why an instance leaves its pool, and what happens next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Purpose {
    /// Moves to another pool.
    Move(PoolName),
    /// Is maintained by a wave, then returns to its pool.
    Maintain(WaveName),
    /// Is taken out of service by the platform or an operator.
    Retire,
}

/// Resources and location of an instance, as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceFacts {
    /// Target or worker.
    pub kind: InstanceKind,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Rack, the failure domain within the data centre.
    pub rack: Name,
    /// Address of its HTTP port, `ip:port`.
    pub address: Name,
    /// Number of processor cores.
    pub cores: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

/// The stored row of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// Resources and location of the instance.
    pub facts: InstanceFacts,
    /// Pool of the instance.
    pub pool: PoolName,
    /// Lifecycle state.
    pub state: InstanceState,
    /// Why the instance leaves its pool; `None` in state [`InstanceState::InPool`].
    pub purpose: Option<Purpose>,
    /// Boot identifier at the time the reboot was requested.
    pub boot_before: Option<u64>,
}

/// A state transition that the current state does not allow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidTransition;

impl InstanceRow {
    /// Creates the row of an instance that joins its first pool.
    pub fn joining(facts: InstanceFacts, pool: PoolName) -> Self {
        Self { facts, pool, state: InstanceState::InPool, purpose: None, boot_before: None }
    }

    /// Returns whether the instance accepts new work.
    pub fn takes_work(&self) -> bool {
        self.state == InstanceState::InPool
    }

    /// Starts draining the instance.
    ///
    /// # Errors
    /// [`InvalidTransition`] unless the instance is in its pool.
    pub fn leave(&mut self, purpose: Purpose) -> Result<(), InvalidTransition> {
        if self.state != InstanceState::InPool {
            return Err(InvalidTransition);
        }
        self.state = InstanceState::Leaving;
        self.purpose = Some(purpose);
        Ok(())
    }

    /// Records that the instance has no running work.
    ///
    /// # Errors
    /// [`InvalidTransition`] unless the instance is leaving.
    pub fn drained(&mut self) -> Result<(), InvalidTransition> {
        if self.state != InstanceState::Leaving {
            return Err(InvalidTransition);
        }
        self.state = InstanceState::Drained;
        Ok(())
    }

    /// Advances a drained instance: it joins its new pool, or starts to reboot.
    ///
    /// # Errors
    /// [`InvalidTransition`] unless the instance is drained and not retired.
    pub fn advance(&mut self, boot: u64) -> Result<(), InvalidTransition> {
        if self.state != InstanceState::Drained {
            return Err(InvalidTransition);
        }
        match self.purpose.take() {
            Some(Purpose::Move(pool)) => {
                self.pool = pool;
                self.state = InstanceState::InPool;
            }
            Some(Purpose::Maintain(wave)) => {
                self.purpose = Some(Purpose::Maintain(wave));
                self.boot_before = Some(boot);
                self.state = InstanceState::Rebooting;
            }
            other => {
                self.purpose = other;
                return Err(InvalidTransition);
            }
        }
        Ok(())
    }

    /// Records that the instance has rebooted and returns it to its pool.
    ///
    /// # Errors
    /// [`InvalidTransition`] unless it was rebooting and its boot identifier changed.
    pub fn rebooted(&mut self, boot: u64) -> Result<(), InvalidTransition> {
        if self.state != InstanceState::Rebooting || self.boot_before == Some(boot) {
            return Err(InvalidTransition);
        }
        self.state = InstanceState::InPool;
        self.purpose = None;
        self.boot_before = None;
        Ok(())
    }
}

/// An instance's name and row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedInstance {
    /// Name of the instance.
    pub name: InstanceName,
    /// Row of the instance.
    pub row: InstanceRow,
}
