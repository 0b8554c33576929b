//! Which client accounts ask for more than their share of a full pool.
//!
//! Load answered: one account sends many times its usual, and would take the
//! pool from all others. Shares go by the accounts' weights; what some leave is
//! the others', so that nothing stays free while somebody waits.

use indexmap::{IndexMap, IndexSet};

use crate::id::AccountName;

/// Returns the accounts whose demand is above their share of `capacity`.
///
/// The share is the largest level per weight at which all demands, each cut at
/// its share, still fit. Nobody is above it while all demands fit.
pub fn above_share(
    demands: &IndexMap<AccountName, u64>,
    weight: impl Fn(&AccountName) -> f64,
    capacity: u64,
) -> IndexSet<AccountName> {
    let mut left = capacity as f64;
    let mut weights = 0.0;
    // By demand per weight: whoever asks for least of its share comes first.
    let mut open: Vec<(f64, f64, &AccountName)> = Vec::new();
    for (account, demand) in demands.iter().filter(|(_, demand)| **demand > 0) {
        let weight = weight(account).max(f64::MIN_POSITIVE);
        weights += weight;
        open.push((*demand as f64 / weight, weight, account));
    }
    open.sort_by(|(a, ..), (b, ..)| a.total_cmp(b));
    let mut above = IndexSet::new();
    for (per_weight, weight, account) in open {
        if per_weight * weights > left {
            above.insert(account.clone());
        } else {
            left -= per_weight * weight;
            weights -= weight;
        }
    }
    above
}
