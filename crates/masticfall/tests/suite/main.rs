//! Tests of the operators' command line against a fleet on trial.

mod cli;
mod config;
mod fleet;
mod help;
mod init;
mod timeline;
