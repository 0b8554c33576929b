//! Jobs of steps and tasks on a platform that runs fleets of workers.
//!
//! Every process accepts jobs and serves requests about them; one of them owns the
//! cell and runs its [`Board`](masticfall_core::fleet::board::Board). All durable
//! state is kept in the platform's store.

mod cancellations;
pub mod context;
mod dispatch;
mod ended;
mod evacuation;
pub mod fence;
mod follow;
pub mod hedge;
pub mod jobs;
mod leadership;
mod machines;
pub mod metrics;
mod notices;
pub mod peers;
pub mod relay;
pub mod rows;
mod run;
pub mod settings;
pub mod submissions;

pub use context::{Fleet, FleetPhase};
pub use run::{RunningFleet, start};
pub use settings::FleetSettings;
