//! Common types, for `use masticfall_core::prelude::*`.

pub use crate::error::{ErrorKind, RunState};
pub use crate::id::{
    AccountName, DataCentre, Incarnation, InstanceName, JobId, KeyId, Name, PoolName, QueueName,
    Revision, ServiceName, TeamName, WaveName, WorkerId,
};
pub use indexmap::{IndexMap, IndexSet};
