//! The platform's list of instances, which lags behind their actual state, and reboot requests.

use std::fmt;

use masticfall_core::id::{DataCentre, InstanceName, PoolName};
use masticfall_core::instance::InstanceFacts;
use serde::{Deserialize, Serialize};

use crate::Operation;

/// State of an instance according to the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The instance is running.
    Live,
    /// The platform is about to remove the instance.
    Leaving,
}

/// An entry in the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: InstanceName,
    /// Kind, location, address and size.
    pub facts: InstanceFacts,
    /// Pool in which the platform started the instance.
    pub first_pool: PoolName,
    /// Boot identifier; changes with every reboot.
    pub boot: u64,
    /// Listed state.
    pub state: ListedState,
}

/// Operations on the instance list.
#[derive(Clone)]
pub struct InstanceList {
    /// Lists the instances of a data centre.
    pub list: Operation<DataCentre, Vec<ListedInstance>>,
    /// Requests a reboot; idempotent for the same boot identifier.
    pub reboot: Operation<(InstanceName, u64), ()>,
}

impl fmt::Debug for InstanceList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("InstanceList").finish_non_exhaustive()
    }
}
