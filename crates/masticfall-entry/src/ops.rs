//! Operations of callers and operators, one module per operation.

pub mod apply_config;
pub mod cancel_job;
pub mod give_key;
pub mod handover;
pub mod move_instance;
pub mod show_job;
pub mod submit_job;
pub mod waves;
pub mod withdraw_key;
