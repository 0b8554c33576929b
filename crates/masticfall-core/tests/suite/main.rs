//! Tests of the decision logic, mostly properties over generated inputs.

mod blame;
mod config;
mod errors;
mod escrow;
mod fleet_capacity;
mod fleet_counts;
mod fleet_crashes;
mod fleet_leases;
mod fleet_maintenance;
mod fleet_order;
mod fleet_pools;
mod fleet_relays;
mod fleet_rig;
mod fleet_shares;
mod fleet_sharing;
mod fleet_takeover;
mod guard;
mod instances;
mod jobs;
mod keys;
mod lease;
mod routing;
mod share;
mod sizing;
mod timeline;
mod waves;
