//! Tests of the entry process as a separate process, with real sockets and signals.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod answers;
mod edge;
mod fleet;
mod odd_entries;
mod orders;
mod settings;
mod shutdown;
mod spill;
