//! Crowds of clients that don't behave, against a process on an instance with little memory or
//! few descriptors.
//!
//! The checks don't depend on the speed of the machine: the process lives, its memory and its
//! descriptors stay within the instance's, and an ordinary caller is answered beside the crowd
//! and after it. One test runs at a time.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod bodies;
mod calm;
mod connections;
mod crowd;
mod entry;
mod heads;
mod testbed;
