//! Jobs of steps and tasks on pools of workers: the decisions of a dispatcher.
//!
//! [`board::Board`] holds the tables of one cell and changes them through short
//! functions; everything it decides leaves it as plain values. The shell in
//! `masticfall-entry` carries those out and feeds the results back.

pub mod admission;
pub mod board;
pub mod config;
pub mod machines;
pub mod pacing;
pub mod placing;
pub mod pools;
pub mod progress;
pub mod report;
pub mod shares;
pub mod spec;
pub mod worker;
