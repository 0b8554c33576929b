//! The fleet configuration: one INI document per revision.
//!
//! The document is the only source. The model is read from it and validated as
//! a whole, so that an operator sees all errors at once.

pub mod compare;
pub mod document;
pub mod model;
pub mod read;
pub mod review;
pub mod suggest;

pub use document::{ConfigError, Document};
pub use model::{
    DataCentreConfig, FleetConfig, KeyConfig, OperatorConfig, PoolConfig, QueueClass, QueueConfig,
    Role, ServiceConfig, TeamConfig, Weighting, WhenIsolated,
};
pub use read::read_fleet;
