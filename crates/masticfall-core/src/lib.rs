//! Decisions of masticfall as pure code over tables.
//!
//! Nothing here does I/O, reads a clock or draws a random number: time and
//! randomness are arguments. Each decision can therefore be run, measured and
//! attacked without a network.

pub mod blame;
pub mod config;
pub mod error;
pub mod escrow;
pub mod fleet;
pub mod guard;
pub mod id;
pub mod instance;
pub mod job;
pub mod key;
pub mod lease;
pub mod placement;
pub mod prelude;
pub mod routing;
pub mod share;
pub mod sizing;
pub mod timeline;
pub mod wave;
