//! In-memory stand-ins for the platform, targets and workers, for use in tests.
//!
//! They support fault injection, and they record what actually ran, so that
//! tests can check the system's invariants independently of its own reports.

pub mod cloud;
pub mod fault;
pub mod fleet;
pub mod platform;
pub mod server;
pub mod target;
pub mod worker;

pub use cloud::{Cloud, CloudInstance};
pub use fault::Faults;
pub use target::{TargetRecord, TargetServer};
