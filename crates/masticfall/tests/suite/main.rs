//! Tests of the operators' command line against a trial fleet.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod cli;
mod config;
mod fleet;
mod handover;
mod help;
mod init;
mod timeline;
