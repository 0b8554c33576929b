//! The planner lease: one row per data centre, whose version fences the holder's writes.

use std::sync::Arc;

use masticfall_core::lease::{HeldLease, LEASE_MS, ObservedLease, RENEWAL_MS};
use masticfall_core::timeline::EventKind;
use masticfall_platform::{Commit, Condition, PlatformError, Result, Row, Transaction};
use masticfall_wire::rows::{PlannerRow, planner_key};

use crate::context::Node;

/// The planner lease as this process holds or observes it.
#[derive(Debug)]
pub struct PlannerLease {
    held: HeldLease,
    version: Option<u64>,
    row: Option<PlannerRow>,
    renewed_ms: u64,
    observed: Option<ObservedLease>,
}

impl Default for PlannerLease {
    fn default() -> Self {
        let held = HeldLease::new(LEASE_MS);
        Self { held, version: None, row: None, renewed_ms: 0, observed: None }
    }
}

impl PlannerLease {
    /// Takes or renews the lease, and returns whether this process holds it.
    ///
    /// # Errors
    /// The platform's failure.
    pub async fn acquire(&mut self, node: &Arc<Node>) -> Result<bool> {
        let now_ms = node.now_ms();
        if self.held.is_held(now_ms) && now_ms < self.renewed_ms + RENEWAL_MS {
            return Ok(true);
        }
        let key = planner_key(node.data_centre());
        let stored = node.platform.tables.get(&key).await?;
        let current: Option<PlannerRow> = stored.as_ref().map(Row::decode).transpose()?;
        let is_holder = current.as_ref().is_some_and(|row| row.holder == node.incarnation);
        if !is_holder && !self.can_take(stored.as_ref(), node.now_ms()) {
            self.held.release();
            return Ok(false);
        }
        self.write_row(node, &key, stored.as_ref(), current, is_holder).await
    }

    fn can_take(&mut self, stored: Option<&Row>, now_ms: u64) -> bool {
        let Some(row) = stored else { return true };
        let observed = self.observed.get_or_insert(ObservedLease::new(row.version, now_ms));
        observed.observe(row.version, now_ms);
        observed.is_expired(LEASE_MS)
    }

    async fn write_row(
        &mut self,
        node: &Arc<Node>,
        key: &str,
        stored: Option<&Row>,
        current: Option<PlannerRow>,
        is_holder: bool,
    ) -> Result<bool> {
        let (epoch, renewals) = current.map_or((0, 0), |row| (row.epoch, row.renewals));
        let epoch = if is_holder { epoch } else { epoch + 1 };
        let row = PlannerRow { holder: node.incarnation.clone(), epoch, renewals: renewals + 1 };
        let sent_ms = node.now_ms();
        let transaction = Transaction::new().replace(key, stored, &row)?;
        let commit = (node.platform.tables.transact)(transaction).await?;
        let Commit::Done(version) = commit else {
            return Ok(false);
        };
        self.held.renewed(sent_ms);
        self.renewed_ms = sent_ms;
        self.version = Some(version);
        self.row = Some(row);
        if !is_holder {
            let text = epoch.to_string();
            let labels = [("epoch", text.as_str())];
            node.record(EventKind::LeaseTaken, &labels);
        }
        Ok(true)
    }

    /// Starts a transaction that commits only while this lease is current.
    ///
    /// # Errors
    /// [`PlatformError::Unavailable`] when the lease is no longer held.
    pub fn transaction(&self, node: &Node) -> Result<Transaction> {
        match self.version {
            Some(version) if self.held.is_held(node.now_ms()) => {
                let key = planner_key(node.data_centre());
                Ok(Transaction::new().check(key, Condition::Version(version)))
            }
            _ => Err(PlatformError::Unavailable { reason: "planner lease expired".to_string() }),
        }
    }

    /// Releases the lease, so that another process can take it at once.
    ///
    /// # Errors
    /// The platform's failure; the lease then expires on its own.
    pub async fn release(&mut self, node: &Arc<Node>) -> Result<()> {
        if !self.held.is_held(node.now_ms()) {
            return Ok(());
        }
        let transaction = self.transaction(node)?.delete(planner_key(node.data_centre()));
        self.held.release();
        (node.platform.tables.transact)(transaction).await?;
        Ok(())
    }
}
