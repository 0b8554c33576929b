//! Weighted max-min fair shares of client accounts in a full pool.
//!
//! Handles one account that sends many times its usual load and would crowd out
//! all others. Shares are proportional to the accounts' weights. Accounts with
//! more demand share what others leave unused, so that no capacity stays idle
//! while work waits.

use indexmap::{IndexMap, IndexSet};

use crate::id::AccountName;

/// Returns the accounts whose demand exceeds their share of `capacity`.
///
/// An account's share is its weight times the largest level at which all
/// demands, each capped at its share, still fit. No account is above its share
/// while all demands fit.
pub fn above_share(
    demands: &IndexMap<AccountName, u64>,
    weight: impl Fn(&AccountName) -> f64,
    capacity: u64,
) -> IndexSet<AccountName> {
    let mut remaining_capacity = capacity as f64;
    let mut remaining_weight = 0.0;
    // Sorted by demand per weight: accounts that use the least of their share come first.
    let mut by_relative_demand: Vec<(f64, f64, &AccountName)> = Vec::new();
    for (account, demand) in demands.iter().filter(|(_, demand)| **demand > 0) {
        let weight = weight(account).max(f64::MIN_POSITIVE);
        remaining_weight += weight;
        by_relative_demand.push((*demand as f64 / weight, weight, account));
    }
    by_relative_demand.sort_by(|(a, ..), (b, ..)| a.total_cmp(b));
    let mut above = IndexSet::new();
    for (per_weight, weight, account) in by_relative_demand {
        if per_weight * remaining_weight > remaining_capacity {
            above.insert(account.clone());
        } else {
            remaining_capacity -= per_weight * weight;
            remaining_weight -= weight;
        }
    }
    above
}
