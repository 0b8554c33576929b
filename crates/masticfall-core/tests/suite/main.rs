//! Invariants of the decisions, over generated schedules.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod config;
mod errors;
mod escrow;
mod guard;
mod instances;
mod jobs;
mod keys;
mod routing;
mod share;
mod timeline;
mod waves;
