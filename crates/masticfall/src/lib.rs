//! Library of `masticfall`, the operators' command line.

pub mod cli;
pub mod client;
pub mod commands;
pub mod error;
pub mod questionnaire;
pub mod report;
pub mod trial;
