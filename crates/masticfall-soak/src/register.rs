//! Entries of workers that restart, which these write themselves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticfall_adapter_serve::write_worker_row;
use masticfall_standin::fleet::World;
use tokio::time::sleep;

/// Interval at which restarted workers write their entries, in milliseconds.
const REGISTER_INTERVAL_MS: u64 = 200;

/// Writes the entry of each worker that has restarted, at its address, for as long as it runs.
pub async fn keep_entries(world: Arc<World>, addresses: Vec<SocketAddr>) {
    let births = || world.worker_facts().into_iter().map(|facts| facts.born_wall_ms);
    let mut listed: Vec<u64> = births().collect();
    loop {
        sleep(Duration::from_millis(REGISTER_INTERVAL_MS)).await;
        let workers = world.worker_facts();
        for ((facts, address), listed) in workers.iter().zip(&addresses).zip(&mut listed) {
            // The store may not take the entry now.
            if facts.born_wall_ms != *listed
                && write_worker_row(&world, facts, Some(*address)).await.is_ok()
            {
                *listed = facts.born_wall_ms;
            }
        }
    }
}
