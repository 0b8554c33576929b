//! Removal of ended jobs' rows once nobody asks for them any more.

use std::sync::Arc;
use std::time::Duration;

use masticfall_core::id::JobId;
use masticfall_platform::Result;
use tokio::time::sleep;

use super::context::{Fleet, Ownership};
use super::rows::{ENDED, place};
use super::{follow, leadership};

/// Period of the removals, in milliseconds: short beside the time for which an
/// ended job is kept, long beside the owner's other work.
const PERIOD_MS: u64 = 5_000;

/// Most rows removed in one transaction; the store allows 100 entries.
const MAX_ROWS: usize = 96;

/// Removes rows of jobs that ended long enough ago, until the cell is lost.
///
/// The board knows the jobs that ended under this owner. Those of earlier ones
/// are looked for once, when all of them are old enough.
pub async fn forget(fleet: Arc<Fleet>, ownership: Ownership) {
    let epoch = ownership.epoch;
    let keep_ms = fleet.settings.keep_ended_ms;
    let sweep_ms = fleet.now_ms() + keep_ms;
    let mut expired: Vec<JobId> = Vec::new();
    let mut has_swept = false;
    loop {
        sleep(Duration::from_millis(PERIOD_MS)).await;
        let now_ms = fleet.now_ms();
        let mine = fleet.on_board(epoch, |board| board.take_expired(now_ms, keep_ms));
        let Some(mine) = mine else { return };
        expired.extend(mine);
        if !has_swept && now_ms >= sweep_ms {
            match follow::read_table(&fleet, ENDED).await {
                Ok((rows, _)) => {
                    has_swept = true;
                    let found = rows.into_iter().map(|row| JobId::from(&*row.key));
                    let is_kept = |id: &JobId| {
                        fleet.on_board(epoch, |board| board.is_kept(id)) != Some(false)
                    };
                    expired.extend(found.filter(|id| !is_kept(id)));
                }
                Err(error) => {
                    tracing::info!(name: "ended.not_read", %error, "trying again");
                }
            }
        }
        if let Err(error) = remove(&fleet, ownership, &mut expired).await {
            tracing::info!(name: "ended.not_removed", rows = expired.len(), %error, "trying again");
        }
    }
}

async fn remove(fleet: &Fleet, ownership: Ownership, expired: &mut Vec<JobId>) -> Result<()> {
    while !expired.is_empty() {
        let from = expired.len().saturating_sub(MAX_ROWS);
        let writes = expired[from..].iter().map(|id| (place(ENDED, id.as_str()), None)).collect();
        if !leadership::write(fleet, ownership, writes).await? {
            return Ok(());
        }
        expired.truncate(from);
    }
    Ok(())
}
