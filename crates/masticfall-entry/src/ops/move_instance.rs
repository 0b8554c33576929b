//! Moves an instance to another pool, within the availability budget.

use std::sync::Arc;

use masticfall_core::error::ErrorKind;
use masticfall_core::id::{InstanceName, PoolName};
use masticfall_core::instance::{InstanceState, Purpose};
use masticfall_platform::{Commit, Transaction};

use crate::context::Node;
use crate::planner::pools::FleetView;
use crate::refusal::{Refusal, Result};

/// Starts a move, which the planner completes.
///
/// # Errors
/// [`ErrorKind::NotFound`] for an unknown instance or pool, [`ErrorKind::Conflict`]
/// when the budget or the instance's state forbids it, or the platform's failure.
pub async fn run(node: &Arc<Node>, name: &InstanceName, to: PoolName) -> Result<()> {
    let known = node.state().config.as_ref().is_some_and(|config| config.pools.contains_key(&to));
    if !known {
        return Err(Refusal::new(ErrorKind::NotFound, format!("no pool `{to}`")));
    }
    let view = FleetView::read(node).await?;
    let Some(row) = view.instances.get(name) else {
        return Err(Refusal::new(ErrorKind::NotFound, format!("no instance `{name}`")));
    };
    if row.pool == to && row.state == InstanceState::InPool {
        return Ok(());
    }
    let headroom = view.wave_view(node.data_centre()).headroom(&row.pool);
    if headroom == 0 {
        let detail =
            format!("pool `{}` cannot lose an instance within its availability budget", row.pool);
        return Err(Refusal::new(ErrorKind::Conflict, detail));
    }
    let Some(transaction) =
        view.take_out_of_service(Transaction::new(), name, Purpose::Move(to))?
    else {
        let detail = format!("instance `{name}` is {}", row.state);
        return Err(Refusal::new(ErrorKind::Conflict, detail));
    };
    match (node.platform.tables.transact)(transaction).await? {
        Commit::Done(_) => {
            node.plan_wanted.notify_one();
            Ok(())
        }
        Commit::Conflict(key) => {
            let detail =
                format!("`{key}` was changed concurrently; check the instance and try again");
            Err(Refusal::new(ErrorKind::Conflict, detail))
        }
    }
}
