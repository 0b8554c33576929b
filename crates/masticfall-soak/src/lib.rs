//! Randomized soak: the real programs as separate processes against the model of
//! the platform on loopback, with faults from outside of them.
//!
//! Clients, workers and store keep records of what they see; the promises are
//! checked against these while the processes run and once all is calm again.
//! A seed decides what is injected and when. Schedules repeat, the processes'
//! own timing does not.

pub mod play;
pub mod process;
pub mod proxy;
