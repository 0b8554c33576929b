//! The entry process: callers' requests, jobs, peers, planner and operators' API.
//!
//! All entry processes have the same role. [`masticfall_core`] decides on the
//! data in [`state`]; the modules here carry out the decisions.

pub mod context;
pub mod dispatch;
pub mod fleet;
pub mod grants;
pub mod guards;
pub mod http;
pub mod launch;
pub mod membership;
pub mod metrics;
pub mod ops;
pub mod orders;
pub mod peers;
pub mod planner;
pub mod reclaim;
pub mod refusal;
pub mod serve_metrics;
pub mod settings;
pub mod shutdown;
pub mod slots;
pub mod spill;
pub mod state;
pub mod sync;

pub use context::Node;
pub use launch::{RunningEntry, start};
pub use settings::Settings;
