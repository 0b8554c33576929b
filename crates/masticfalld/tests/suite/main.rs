//! Tests of the entry process as a process: real sockets, signals and kills.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod answers;
mod edge;
mod fleet;
mod orders;
mod settings;
mod shutdown;
mod spill;
