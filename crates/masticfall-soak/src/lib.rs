//! Randomized soak test: runs the real programs as separate processes against the
//! simulated platform on loopback and injects faults from outside.
//!
//! Clients, workers and store record what they observe. The invariants are checked
//! against these records while faults are injected and again after recovery. A seed
//! determines which faults are injected and when, so the fault schedule is
//! reproducible, but the timing of the processes is not.

pub mod evacuate;
pub mod load;
pub mod play;
pub mod process;
pub mod proxy;
pub mod register;
