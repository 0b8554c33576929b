//! Common types, for `use masticfall_core::prelude::*`.

pub use crate::error::{ErrorKind, RunState};
pub use crate::id::{
    DataCentre, Incarnation, InstanceName, JobId, KeyId, Name, PoolName, QueueName, Revision,
    ServiceName, TeamName, WaveName,
};
pub use indexmap::{IndexMap, IndexSet};
