//! Messages between entry processes, and rows stored on the platform.
//!
//! Both are CBOR. Fields are only ever added, and with defaults, so that
//! processes of two versions can run side by side during a rollout.

pub mod codec;
pub mod peer;
pub mod rows;

pub use codec::{decode, encode};
