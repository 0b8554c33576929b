//! Tests of the soak's components.

mod proxy;
