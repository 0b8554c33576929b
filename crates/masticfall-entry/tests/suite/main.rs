//! Failure tests of the entry process's background tasks.
//!
//! The real tasks run against the stand-in platform on a paused clock, with
//! messages between processes delivered in memory. The invariants are checked on
//! records that the code under test does not write.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod config;
mod eject;
mod fleet;
mod fleet_checks;
mod fleet_crashes;
mod fleet_early;
mod fleet_evacuation;
mod fleet_evidence;
mod fleet_faults;
mod fleet_fence;
mod fleet_hedge;
mod fleet_hostile;
mod fleet_late_writes;
mod fleet_owners;
mod fleet_relays;
mod fleet_removed_queues;
mod fleet_settings;
mod fleet_silence;
mod fleet_slow_store;
mod fleet_submissions;
mod fleet_succession;
mod fleet_waves;
mod fleet_world;
mod jobs;
mod keys;
mod lab;
mod limits;
mod pools;
mod shares;
mod targets;
mod timeline;
