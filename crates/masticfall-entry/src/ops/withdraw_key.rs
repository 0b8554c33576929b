//! Withdraws a key: at once in this process and its peers, and in the platform's row.

use std::sync::Arc;

use indexmap::IndexMap;
use masticfall_core::error::ErrorKind;
use masticfall_core::id::{KeyId, Name};
use masticfall_wire::rows::Withdrawal;

use crate::context::{Node, wall_ms};
use crate::refusal::{Refusal, Result};
use crate::sync;

/// Withdraws a key, also while the platform is unreachable; the row is then written later.
///
/// # Errors
/// [`ErrorKind::NotFound`] for an unknown key.
pub fn run(node: &Arc<Node>, key: &KeyId, by: Name) -> Result<()> {
    let known = {
        let state = node.state();
        let issued = state.config.as_ref().is_some_and(|config| config.keys.contains_key(key));
        issued || state.withdrawals.contains_key(key)
    };
    if !known {
        return Err(Refusal::new(ErrorKind::NotFound, format!("no key `{key}`")));
    }
    let withdrawal = Withdrawal { by, wall_ms: wall_ms() };
    sync::adopt_withdrawals(node, IndexMap::from([(key.clone(), withdrawal)]));
    Ok(())
}
