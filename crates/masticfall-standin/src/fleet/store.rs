//! The model's store.

use std::sync::Arc;
use std::time::Duration;

use masticfall_core::id::Name;
use masticfall_platform::error::{Result, UnavailableSnafu, UnknownSnafu};
use masticfall_platform::fleet::{
    FleetRow, Follow, Followed, OperatorNews, RowCommit, RowPage, RowRange, RowTransaction,
    WorkerNews,
};
use masticfall_platform::{Operation, operation_on};
use tokio::time::{Instant, timeout_at};

use super::{CALL_MS, GIVE_UP_MS, LATE_MS, StoreMode, World, WorldState, pause};

/// Largest value of a row, in bytes; as on the platform.
const ROW_BYTES: usize = 65_536;

/// Waits for a call's way to the store, and fails as the store does.
async fn reach(world: &World, process: &Name) -> Result<()> {
    pause(CALL_MS).await;
    let mode = world.state.lock().mode_of(process);
    match mode {
        StoreMode::Up | StoreMode::LosesResponses | StoreMode::DelaysWrites => Ok(()),
        StoreMode::Unavailable => UnavailableSnafu { reason: "the store refuses" }.fail(),
        StoreMode::Unresponsive => {
            pause(GIVE_UP_MS).await;
            UnavailableSnafu { reason: "the store is silent" }.fail()
        }
    }
}

pub(super) fn transact(world: &Arc<World>, process: &Name) -> Operation<RowTransaction, RowCommit> {
    let context = (Arc::clone(world), Name::clone(process));
    operation_on(&context, move |(world, process), transaction: RowTransaction| async move {
        if world.state.lock().mode_of(&process) == StoreMode::Unresponsive {
            pause(GIVE_UP_MS).await;
            return UnknownSnafu { reason: "the store is silent" }.fail();
        }
        reach(&world, &process).await?;
        let largest = transaction.writes.iter().filter_map(|(_, value)| value.as_ref());
        if largest.map(Vec::len).max().unwrap_or_default() > ROW_BYTES {
            return UnknownSnafu { reason: "a row is too large" }.fail();
        }
        wait_for_part(&world, &transaction).await;
        let (mode, is_lost) = {
            let mut state = world.state.lock();
            let mode = state.mode_of(&process);
            let is_losing = matches!(mode, StoreMode::LosesResponses | StoreMode::DelaysWrites);
            state.lost += u64::from(is_losing);
            (mode, is_losing && state.lost.is_multiple_of(2))
        };
        if is_lost && mode == StoreMode::DelaysWrites {
            let world = Arc::clone(&world);
            drop(tokio::spawn(async move {
                pause(LATE_MS).await;
                world.state.lock().apply(transaction);
                world.changed.notify_waiters();
            }));
            pause(GIVE_UP_MS).await;
            return UnknownSnafu { reason: "the answer is lost" }.fail();
        }
        let commit = world.state.lock().apply(transaction);
        world.changed.notify_waiters();
        if is_lost {
            pause(GIVE_UP_MS).await;
            return UnknownSnafu { reason: "the answer is lost" }.fail();
        }
        pause(CALL_MS).await;
        Ok(commit)
    })
}

/// Waits until a transaction's part has carried out the ones before.
async fn wait_for_part(world: &World, transaction: &RowTransaction) {
    let now_ms = world.now_ms();
    let until_ms = {
        let mut state = world.state.lock();
        let write_ms = state.part_write_ms;
        let Some((place, _)) = transaction.writes.first().filter(|_| write_ms > 0) else { return };
        let free_ms = state.part_free_ms.entry(Name::clone(&place.part)).or_default();
        *free_ms = (*free_ms).max(now_ms) + write_ms;
        *free_ms
    };
    pause(until_ms - now_ms).await;
}

impl WorldState {
    fn apply(&mut self, transaction: RowTransaction) -> RowCommit {
        let mut conflicts = Vec::new();
        let mut holds = true;
        for (place, version) in &transaction.checks {
            let key = (place.table, Name::clone(&place.part), Name::clone(&place.key));
            let row = self.rows.get(&key);
            holds &= row.map_or(0, |(_, version)| *version) == *version;
            conflicts.extend(row.map(|(value, version)| FleetRow {
                part: Name::clone(&place.part),
                key: Name::clone(&place.key),
                value: Some(value.clone()),
                version: *version,
            }));
        }
        if !holds {
            return RowCommit::Conflict(conflicts);
        }
        self.version += 1;
        let version = self.version;
        for (place, value) in transaction.writes {
            let key = (place.table, Name::clone(&place.part), Name::clone(&place.key));
            match &value {
                Some(value) => drop(self.rows.insert(key, (value.clone(), version))),
                None => drop(self.rows.remove(&key)),
            }
            let row = FleetRow { part: place.part, key: place.key, value, version };
            self.log.push((place.table, row));
        }
        RowCommit::Done(version)
    }
}

pub(super) fn range(world: &Arc<World>, process: &Name) -> Operation<RowRange, RowPage> {
    let context = (Arc::clone(world), Name::clone(process));
    operation_on(&context, move |(world, process), range: RowRange| async move {
        reach(&world, &process).await?;
        let page = {
            let state = world.state.lock();
            let rows = state.rows.iter().filter(|((table, part, key), _)| {
                *table == range.table
                    && *part == range.part
                    && **key >= *range.from
                    && (range.to.is_empty() || **key < *range.to)
            });
            let rows = rows.map(|((_, part, key), (value, version))| FleetRow {
                part: Name::clone(part),
                key: Name::clone(key),
                value: Some(value.clone()),
                version: *version,
            });
            RowPage { rows: rows.collect(), has_more: false, version: state.version }
        };
        pause(CALL_MS).await;
        Ok(page)
    })
}

/// Waits until `read` finds something that is newer, or the time is over.
async fn wait_for<T>(
    world: &World,
    process: &Name,
    wait_ms: u64,
    read: impl Fn(&WorldState) -> Vec<T>,
) -> Result<(Vec<T>, u64)> {
    reach(world, process).await?;
    let until = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let changed = world.changed.notified();
        let (found, version) = {
            let state = world.state.lock();
            (read(&state), state.version)
        };
        if !found.is_empty() || Instant::now() >= until {
            // A feed that was open when the store failed ends as a new call would.
            reach(world, process).await?;
            return Ok((found, version));
        }
        // An elapsed time is found by the loop.
        drop(timeout_at(until, changed).await);
    }
}

pub(super) fn follow(world: &Arc<World>, process: &Name) -> Operation<Follow, Followed<FleetRow>> {
    let context = (Arc::clone(world), Name::clone(process));
    operation_on(&context, move |(world, process), follow: Follow| async move {
        let read = |state: &WorldState| {
            let newer = |row: &FleetRow| row.version > follow.after;
            let rows = state.log.iter().filter(|(table, row)| *table == follow.table && newer(row));
            rows.map(|(_, row)| row.clone()).collect::<Vec<_>>()
        };
        let (rows, version) = wait_for(&world, &process, follow.wait_ms, read).await?;
        let version = rows.last().map_or(version, |row| row.version);
        Ok(Followed::Changes(rows, version))
    })
}

fn operator_rows(state: &WorldState, after: u64) -> Vec<OperatorNews> {
    let config = state.config.iter().filter(|(_, version)| *version > after);
    config.map(|(config, _)| OperatorNews::Config(Arc::clone(config))).collect()
}

fn worker_rows(state: &WorldState, after: u64) -> Vec<WorkerNews> {
    let changed = state.worker_log.iter().filter(|(version, _)| *version > after);
    let news = changed.map(|(_, id)| match state.workers.get(id) {
        Some(worker) if worker.is_listed => WorkerNews::Listed(worker.facts.clone()),
        _ => WorkerNews::Unlisted(id.clone()),
    });
    news.collect()
}

/// Lists news of one kind.
fn list_news<T: Send + 'static>(
    world: &Arc<World>,
    process: &Name,
    news: fn(&WorldState, u64) -> Vec<T>,
) -> Operation<(), (Vec<T>, u64)> {
    let context = (Arc::clone(world), Name::clone(process));
    operation_on(&context, move |(world, process), ()| async move {
        reach(&world, &process).await?;
        let state = world.state.lock();
        Ok((news(&state, 0), state.version))
    })
}

/// Follows news of one kind.
fn follow_news<T: Send + 'static>(
    world: &Arc<World>,
    process: &Name,
    news: fn(&WorldState, u64) -> Vec<T>,
) -> Operation<Follow, Followed<T>> {
    let context = (Arc::clone(world), Name::clone(process));
    operation_on(&context, move |(world, process), follow: Follow| async move {
        let read = |state: &WorldState| news(state, follow.after);
        let (news, version) = wait_for(&world, &process, follow.wait_ms, read).await?;
        Ok(Followed::Changes(news, version))
    })
}

pub(super) fn operator_list(
    world: &Arc<World>,
    process: &Name,
) -> Operation<(), (Vec<OperatorNews>, u64)> {
    list_news(world, process, operator_rows)
}

pub(super) fn operator_follow(
    world: &Arc<World>,
    process: &Name,
) -> Operation<Follow, Followed<OperatorNews>> {
    follow_news(world, process, operator_rows)
}

pub(super) fn worker_list(
    world: &Arc<World>,
    process: &Name,
) -> Operation<(), (Vec<WorkerNews>, u64)> {
    list_news(world, process, worker_rows)
}

pub(super) fn worker_follow(
    world: &Arc<World>,
    process: &Name,
) -> Operation<Follow, Followed<WorkerNews>> {
    follow_news(world, process, worker_rows)
}
