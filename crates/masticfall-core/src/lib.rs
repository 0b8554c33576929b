//! The decision logic of masticfall as pure functions and state machines.
//!
//! No code in this crate does I/O, reads a clock or draws random numbers: time
//! and randomness are arguments. Each decision can therefore be tested,
//! benchmarked and fuzzed without a network.

pub mod blame;
pub mod config;
pub mod error;
pub mod escrow;
pub mod fleet;
pub mod guard;
pub mod hash;
pub mod id;
pub mod instance;
pub mod job;
pub mod key;
pub mod lease;
pub mod placement;
pub mod prelude;
pub mod routing;
pub mod share;
pub mod shedding;
pub mod sizing;
pub mod timeline;
pub mod wave;
