//! The operators' command line as a library.

pub mod cli;
pub mod client;
pub mod commands;
pub mod error;
pub mod questionnaire;
pub mod report;
pub mod trial;
