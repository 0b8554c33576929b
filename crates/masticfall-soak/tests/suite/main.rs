//! The soak's own parts.

mod proxy;
