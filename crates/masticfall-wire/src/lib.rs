//! Messages between entry processes, and rows kept on the platform.
//!
//! Both are CBOR. Fields are only ever added, with defaults, so that processes
//! of two versions can run side by side during a roll-out.

pub mod codec;
pub mod peer;
pub mod rows;

pub use codec::{decode, encode};
