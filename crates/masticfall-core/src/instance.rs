//! Life of an instance: in exactly one pool at every moment.
//!
//! The state is one row per instance on the platform, changed by compare and
//! swap. The pool is a single field, which changes in one write while the
//! instance is drained.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::id::{DataCentre, InstanceName, Name, PoolName, WaveName};

/// What an instance does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceKind {
    /// Answers requests.
    Target,
    /// Runs tasks of long jobs.
    Worker,
}

/// Where an instance is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceState {
    /// Takes work for its pool.
    InPool,
    /// Gets no new work; what runs finishes.
    Leaving,
    /// Runs nothing.
    Drained,
    /// Is being rebooted by the platform.
    Rebooting,
}

/// Why an instance leaves its pool, and where it goes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Purpose {
    /// Moves to another pool.
    Move(PoolName),
    /// Is maintained by a wave and returns.
    Maintain(WaveName),
    /// Is taken out by the platform or an operator.
    Retire,
}

/// Sizes and address of an instance, as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceFacts {
    /// Target or worker.
    pub kind: InstanceKind,
    /// Data centre that holds it.
    pub data_centre: DataCentre,
    /// Rack: the failure domain inside the data centre.
    pub rack: Name,
    /// Address of its HTTP port, `ip:port`.
    pub address: Name,
    /// Processor cores.
    pub cores: u32,
    /// Memory, in MiB.
    pub memory_mib: u32,
    /// Accelerators.
    pub accelerators: u32,
}

/// The row of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// Its sizes and address.
    pub facts: InstanceFacts,
    /// The one pool it is in.
    pub pool: PoolName,
    /// Where it is in its life.
    pub state: InstanceState,
    /// Why it leaves, unless it is in its pool.
    pub purpose: Option<Purpose>,
    /// Boot identifier when a reboot was asked for.
    pub boot_before: Option<u64>,
}

/// A state change that the row does not allow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotAllowed;

impl InstanceRow {
    /// Makes the row of an instance that joins its first pool.
    pub fn joining(facts: InstanceFacts, pool: PoolName) -> Self {
        Self { facts, pool, state: InstanceState::InPool, purpose: None, boot_before: None }
    }

    /// Tells whether the instance takes new work.
    pub fn takes_work(&self) -> bool {
        self.state == InstanceState::InPool
    }

    /// Starts to leave the pool.
    ///
    /// # Errors
    /// [`NotAllowed`] when the instance is leaving already.
    pub fn leave(&mut self, purpose: Purpose) -> Result<(), NotAllowed> {
        if self.state != InstanceState::InPool {
            return Err(NotAllowed);
        }
        self.state = InstanceState::Leaving;
        self.purpose = Some(purpose);
        Ok(())
    }

    /// Records that nothing runs on the instance any more.
    ///
    /// # Errors
    /// [`NotAllowed`] unless the instance is leaving.
    pub fn drained(&mut self) -> Result<(), NotAllowed> {
        if self.state != InstanceState::Leaving {
            return Err(NotAllowed);
        }
        self.state = InstanceState::Drained;
        Ok(())
    }

    /// Takes the next step of a drained instance: joins the new pool, or reboots.
    ///
    /// # Errors
    /// [`NotAllowed`] unless the instance is drained and not retired.
    pub fn advance(&mut self, boot: u64) -> Result<(), NotAllowed> {
        if self.state != InstanceState::Drained {
            return Err(NotAllowed);
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
                return Err(NotAllowed);
            }
        }
        Ok(())
    }

    /// Records that the instance is back after a reboot.
    ///
    /// # Errors
    /// [`NotAllowed`] unless it was rebooting and its boot identifier changed.
    pub fn rebooted(&mut self, boot: u64) -> Result<(), NotAllowed> {
        if self.state != InstanceState::Rebooting || self.boot_before == Some(boot) {
            return Err(NotAllowed);
        }
        self.state = InstanceState::InPool;
        self.purpose = None;
        self.boot_before = None;
        Ok(())
    }
}

/// A named instance with its row, as systems pass it around.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedInstance {
    /// Its name.
    pub name: InstanceName,
    /// Its row.
    pub row: InstanceRow,
}
