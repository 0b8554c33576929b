//! Decision logic of the owner of a cell, the process that runs the jobs of steps and
//! tasks on pools of workers.
//!
//! [`board::Board`] holds the state of one cell and does no I/O: it returns its
//! decisions as plain values. `masticfall-entry` carries them out and reports the
//! outcomes back.

pub mod admission;
pub mod board;
pub mod config;
pub mod crashes;
pub mod evacuation;
pub mod failover;
pub mod locality;
pub mod machines;
pub mod open_set;
pub mod pacing;
pub mod passes;
pub mod placing;
pub mod pools;
pub mod progress;
pub mod relays;
pub mod report;
pub mod shares;
pub mod spec;
pub mod worker;
