//! Takes instances out of service within the availability budgets of their pools.
//!
//! Planners of several data centres and operators may do so for one pool at the
//! same time. Each reads the pool's guard row first and the instances after it;
//! the write commits only if the guard row has not changed since.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use masticfall_core::id::{DataCentre, InstanceName, PoolName};
use masticfall_core::instance::{InstanceRow, Purpose};
use masticfall_core::wave::WaveView;
use masticfall_platform::{Condition, ListedState, Result, Row, Transaction};
use masticfall_wire::rows::{INSTANCE_PREFIX, instance_key, instances_head_key, pool_key};

use crate::context::Node;

/// All guard rows and instances, read in this order so that budget checks are sound.
#[derive(Debug)]
pub struct FleetView {
    /// Guard rows by pool.
    pub guards: IndexMap<PoolName, Option<Row>>,
    /// Instances of all data centres.
    pub instances: IndexMap<InstanceName, InstanceRow>,
    /// Rows of the instances, as read.
    pub rows: IndexMap<InstanceName, Row>,
    /// Instances that the platform lists as live.
    pub live: IndexSet<InstanceName>,
    /// Minimum part of each pool that must stay available, in percent.
    pub min_available_percent: IndexMap<PoolName, u32>,
}

impl FleetView {
    /// Reads the view.
    ///
    /// # Errors
    /// The platform's failure.
    pub async fn read(node: &Arc<Node>) -> Result<Self> {
        let config = node.state().config.clone();
        let mut view = Self {
            guards: IndexMap::new(),
            instances: IndexMap::new(),
            rows: IndexMap::new(),
            live: IndexSet::new(),
            min_available_percent: IndexMap::new(),
        };
        let Some(config) = config else {
            return Ok(view);
        };
        for (name, pool) in &config.pools {
            view.min_available_percent.insert(name.clone(), pool.min_available_percent);
        }
        let pools: Vec<PoolName> = config.pools.keys().cloned().collect();
        let keys = pools.iter().map(pool_key).collect();
        let guards = (node.platform.tables.read)(keys).await?;
        view.guards = pools.into_iter().zip(guards).collect();
        for row in (node.platform.tables.scan)(INSTANCE_PREFIX.to_string()).await? {
            let Some((_, name)) = row.key[INSTANCE_PREFIX.len()..].split_once('/') else {
                continue;
            };
            let name = InstanceName::from(name);
            view.instances.insert(name.clone(), row.decode()?);
            view.rows.insert(name, row);
        }
        for data_centre in config.data_centres.keys() {
            let list = (node.platform.instances.list)(data_centre.clone()).await?;
            let live = list.into_iter().filter(|entry| entry.state == ListedState::Live);
            view.live.extend(live.map(|entry| entry.name));
        }
        Ok(view)
    }

    /// Returns the part of the view that decisions of waves need.
    pub fn wave_view<'a>(&'a self, data_centre: &'a DataCentre) -> WaveView<'a> {
        WaveView {
            instances: &self.instances,
            live: &self.live,
            min_available_percent: &self.min_available_percent,
            data_centre,
        }
    }

    /// Adds the writes by which an instance starts to leave its pool.
    ///
    /// Returns `None` if the instance is unknown or already leaving.
    ///
    /// # Errors
    /// The platform's failure to encode a row.
    pub fn take_out_of_service(
        &self,
        transaction: Transaction,
        name: &InstanceName,
        purpose: Purpose,
    ) -> Result<Option<Transaction>> {
        let Some((mut row, stored)) = self.instances.get(name).cloned().zip(self.rows.get(name))
        else {
            return Ok(None);
        };
        if row.leave(purpose).is_err() {
            return Ok(None);
        }
        let guard = self.guards.get(&row.pool).and_then(Option::as_ref);
        let key = pool_key(&row.pool);
        let guarded = transaction.check(&key, Condition::unchanged(guard)).put(&key, &name)?;
        put_instance(guarded, name, Some(stored), &row).map(Some)
    }
}

/// Adds the write of an instance's row, and of the head row that announces the change.
///
/// # Errors
/// The platform's failure to encode a row.
pub fn put_instance(
    transaction: Transaction,
    name: &InstanceName,
    stored: Option<&Row>,
    row: &InstanceRow,
) -> Result<Transaction> {
    let data_centre = &row.facts.data_centre;
    transaction
        .replace(&instance_key(data_centre, name), stored, row)?
        .put(instances_head_key(data_centre), name)
}
