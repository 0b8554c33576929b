//! What callers get while each partition of the store executes a few transactions a second.

use std::time::Duration;

use masticfall_core::fleet::progress::JobPhase;
use masticfall_standin::fleet::World;
use tokio::time::sleep;

use crate::fleet_world::{WORKERS, job, phase, start_settled, submit};

/// Time that a partition of a slow store takes for a transaction, in milliseconds.
const SLOW_WRITE_MS: u64 = 268;

/// Archived rows share their partitions with the submissions of new jobs. Archiving in a
/// slow store left submissions without an answer within their callers' deadline.
#[tokio::test(start_paused = true)]
async fn archiving_leaves_a_slow_store_to_submissions() {
    let world = World::new(WORKERS, "p");
    let processes = start_settled(&world, &["a"]).await;
    let fleet = &processes[0].fleet;
    world.set_part_write_ms(SLOW_WRITE_MS);
    let ids: Vec<_> = (1..=8).map(job).collect();
    for id in &ids {
        submit(&world, fleet, id).await.expect("accepted");
    }
    sleep(Duration::from_secs(5)).await;
    for id in &ids {
        assert_eq!(phase(fleet, id).await, Ok(JobPhase::Completed));
    }
    assert_eq!(world.count_rows("ended"), 0, "archived while the store is slow");
    world.set_part_write_ms(0);
    // The next batch shows that the store is fast again.
    submit(&world, fleet, &job(9)).await.expect("accepted");
    sleep(Duration::from_secs(3)).await;
    assert_eq!(world.count_rows("ended"), 9, "archived once the store is fast");
}
