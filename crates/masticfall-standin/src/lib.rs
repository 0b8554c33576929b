//! Small in-memory stand-ins of the platform, of targets and of workers.
//!
//! They keep their own record of what really happened, against which tests
//! hold the system's promises, and have faults that can be switched.

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
