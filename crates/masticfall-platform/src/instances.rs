//! The lagging list of instances, and the pools that drain and reboot.

use std::fmt;

use masticfall_core::id::{DataCentre, InstanceName, PoolName};
use masticfall_core::instance::InstanceFacts;
use serde::{Deserialize, Serialize};

use crate::Operation;

/// What the list says of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// It runs.
    Live,
    /// The platform is about to take it away.
    Leaving,
}

/// An entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Its name.
    pub name: InstanceName,
    /// Its sizes and address.
    pub facts: InstanceFacts,
    /// Pool in which the platform started it.
    pub first_pool: PoolName,
    /// Identifier of its boot; a reboot changes it.
    pub boot: u64,
    /// Whether it runs.
    pub state: ListedState,
}

/// The list of instances.
#[derive(Clone)]
pub struct InstanceList {
    /// Reads the list of one data centre.
    pub list: Operation<DataCentre, Vec<ListedInstance>>,
    /// Asks for a reboot; repeating the request for the same boot is harmless.
    pub reboot: Operation<(InstanceName, u64), ()>,
}

impl fmt::Debug for InstanceList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("InstanceList").finish_non_exhaustive()
    }
}
