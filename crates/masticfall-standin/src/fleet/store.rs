//! Simulated row store.

use std::sync::Arc;
use std::time::Duration;

use masticfall_core::id::Name;
use masticfall_platform::error::{RejectedSnafu, Result, UnavailableSnafu, UnknownSnafu};
use masticfall_platform::fleet::{
    FleetRow, FollowOutcome, FollowRequest, OperatorUpdate, RowCommit, RowPage, RowRange,
    RowTransaction, WorkerUpdate,
};
use masticfall_platform::{Operation, operation_on};
use tokio::time::{Instant, sleep_until, timeout_at};

use super::{
    CALL_LATENCY_MS, CALL_TIMEOUT_MS, StoreMode, WRITE_DELAY_MS, World, WorldState, sleep_ms,
};

/// Time that a process waits for a response to a read, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1_500;

/// Maximum size of a row's value, in bytes; equal to the platform's limit.
const MAX_VALUE_BYTES: usize = 65_536;

/// Maximum size of a transaction, in bytes, with values in base64; equal to the platform's
/// limit.
const MAX_TRANSACTION_BYTES: usize = 1_000_000;

/// Applies the call latency, and fails according to the store mode.
async fn call_store(world: &World, process: &Name) -> Result<()> {
    sleep_ms(CALL_LATENCY_MS).await;
    let mode = world.state.lock().mode_for(process);
    match mode {
        StoreMode::Up | StoreMode::LosesResponses | StoreMode::DelaysWrites => Ok(()),
        StoreMode::Unavailable => UnavailableSnafu { reason: "the store is unavailable" }.fail(),
        StoreMode::Unresponsive => {
            sleep_ms(CALL_TIMEOUT_MS).await;
            UnavailableSnafu { reason: "the store does not respond" }.fail()
        }
    }
}

pub(super) fn transact(world: &Arc<World>, process: &Name) -> Operation<RowTransaction, RowCommit> {
    let context = (Arc::clone(world), Name::clone(process));
    operation_on(&context, move |(world, process), transaction: RowTransaction| async move {
        if world.state.lock().mode_for(&process) == StoreMode::Unresponsive {
            sleep_ms(CALL_TIMEOUT_MS).await;
            return UnknownSnafu { reason: "the store does not respond" }.fail();
        }
        call_store(&world, &process).await?;
        let values = transaction.writes.iter().filter_map(|(_, value)| value.as_ref());
        if values.map(Vec::len).max().unwrap_or_default() > MAX_VALUE_BYTES {
            return RejectedSnafu { reason: "a row value exceeds the size limit" }.fail();
        }
        let values = transaction.writes.iter().filter_map(|(_, value)| value.as_ref());
        let encoded_bytes: usize = values.map(|value| value.len().div_ceil(3) * 4).sum();
        if encoded_bytes > MAX_TRANSACTION_BYTES {
            return RejectedSnafu { reason: "the transaction exceeds the size limit" }.fail();
        }
        wait_for_part(&world, &transaction).await;
        let (mode, loses_response) = {
            let mut state = world.state.lock();
            let mode = state.mode_for(&process);
            let is_faulty = matches!(mode, StoreMode::LosesResponses | StoreMode::DelaysWrites);
            state.faulty_writes += u64::from(is_faulty);
            (mode, is_faulty && state.faulty_writes.is_multiple_of(2))
        };
        if loses_response && mode == StoreMode::DelaysWrites {
            let world = Arc::clone(&world);
            drop(tokio::spawn(async move {
                sleep_ms(WRITE_DELAY_MS).await;
                world.state.lock().apply(transaction);
                world.changed.notify_waiters();
            }));
            sleep_ms(CALL_TIMEOUT_MS).await;
            return UnknownSnafu { reason: "the store lost the response" }.fail();
        }
        let commit = world.state.lock().apply(transaction);
        world.changed.notify_waiters();
        if loses_response {
            sleep_ms(CALL_TIMEOUT_MS).await;
            return UnknownSnafu { reason: "the store lost the response" }.fail();
        }
        sleep_ms(CALL_LATENCY_MS).await;
        Ok(commit)
    })
}

/// Waits until a response has passed the process's link; fails if that takes longer than
/// the process waits.
async fn transfer(world: &World, process: &Name, bytes: usize) -> Result<()> {
    let (now_ms, arrived_ms) = {
        let mut state = world.state.lock();
        let now_ms = world.now_ms();
        (now_ms, state.occupy_link(process, bytes, now_ms))
    };
    if arrived_ms > now_ms + READ_TIMEOUT_MS {
        sleep_ms(READ_TIMEOUT_MS).await;
        return UnavailableSnafu { reason: "the response did not arrive in time" }.fail();
    }
    sleep_ms(arrived_ms - now_ms + CALL_LATENCY_MS).await;
    Ok(())
}

/// Waits until a transaction's partition has executed the earlier transactions and this one.
async fn wait_for_part(world: &World, transaction: &RowTransaction) {
    let now_ms = world.now_ms();
    let until_ms = {
        let mut state = world.state.lock();
        let write_ms = state.part_write_ms;
        let Some((row_key, _)) = transaction.writes.first().filter(|_| write_ms > 0) else {
            return;
        };
        let free_ms = state.part_free_ms.entry(Name::clone(&row_key.part)).or_default();
        *free_ms = (*free_ms).max(now_ms) + write_ms;
        *free_ms
    };
    sleep_ms(until_ms - now_ms).await;
}

impl WorldState {
    /// Adds a response to those that pass a process's link one after another; returns
    /// when it has passed.
    fn occupy_link(&mut self, process: &Name, bytes: usize, now_ms: u64) -> u64 {
        let Some((bytes_per_ms, free_ms)) = self.links.get_mut(process) else { return now_ms };
        *free_ms = (*free_ms).max(now_ms) + bytes as u64 / *bytes_per_ms;
        *free_ms
    }

    pub(super) fn apply(&mut self, transaction: RowTransaction) -> RowCommit {
        let mut conflicts = Vec::new();
        let mut checks_hold = true;
        for (row_key, version) in &transaction.checks {
            let key = (row_key.table, Name::clone(&row_key.part), Name::clone(&row_key.key));
            let row = self.rows.get(&key);
            checks_hold &= row.map_or(0, |(_, version)| *version) == *version;
            conflicts.extend(row.map(|(value, version)| FleetRow {
                part: Name::clone(&row_key.part),
                key: Name::clone(&row_key.key),
                value: Some(value.clone()),
                version: *version,
            }));
        }
        if !checks_hold {
            return RowCommit::Conflict(conflicts);
        }
        self.version += 1;
        let version = self.version;
        for (row_key, value) in transaction.writes {
            let key = (row_key.table, Name::clone(&row_key.part), Name::clone(&row_key.key));
            match &value {
                Some(value) => drop(self.rows.insert(key, (value.clone(), version))),
                None => drop(self.rows.remove(&key)),
            }
            let row = FleetRow { part: row_key.part, key: row_key.key, value, version };
            self.row_log.push((row_key.table, row));
        }
        RowCommit::Done(version)
    }
}

pub(super) fn range(world: &Arc<World>, process: &Name) -> Operation<RowRange, RowPage> {
    let context = (Arc::clone(world), Name::clone(process));
    operation_on(&context, move |(world, process), range: RowRange| async move {
        call_store(&world, &process).await?;
        let page = {
            let state = world.state.lock();
            let rows = state.rows.iter().filter(|((table, part, key), _)| {
                *table == range.table
                    && *part == range.part
                    && **key >= *range.from
                    && (range.to.is_empty() || **key < *range.to)
            });
            let mut rows = rows.map(|((_, part, key), (value, version))| FleetRow {
                part: Name::clone(part),
                key: Name::clone(key),
                value: Some(value.clone()),
                version: *version,
            });
            let page = rows.by_ref().take(range.limit as usize).collect();
            RowPage { rows: page, has_more: rows.next().is_some(), version: state.version }
        };
        let bytes = page.rows.iter().map(|row| row.value.as_ref().map_or(0, Vec::len)).sum();
        transfer(&world, &process, bytes).await?;
        Ok(page)
    })
}

/// Waits until `read` returns changes, or until `wait_ms` has passed.
async fn wait_for_changes<T>(
    world: &World,
    process: &Name,
    wait_ms: u64,
    read: impl Fn(&WorldState) -> Vec<T>,
) -> Result<(Vec<T>, u64)> {
    let silences = world.state.lock().feed_silences;
    let silent_until = Instant::now() + Duration::from_millis(wait_ms + READ_TIMEOUT_MS);
    call_store(world, process).await?;
    let until = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let notified = world.changed.notified();
        let (changes, version, is_silent) = {
            let state = world.state.lock();
            (read(&state), state.version, state.feed_silences != silences)
        };
        if is_silent {
            sleep_until(silent_until).await;
            return UnavailableSnafu { reason: "the connection is silent" }.fail();
        }
        if !changes.is_empty() || Instant::now() >= until {
            // If the store failed during the wait, this call fails like a new one.
            call_store(world, process).await?;
            return Ok((changes, version));
        }
        // The loop checks the time limit itself.
        drop(timeout_at(until, notified).await);
    }
}

pub(super) fn follow(
    world: &Arc<World>,
    process: &Name,
) -> Operation<FollowRequest, FollowOutcome<FleetRow>> {
    let context = (Arc::clone(world), Name::clone(process));
    operation_on(&context, move |(world, process), follow: FollowRequest| async move {
        let read = |state: &WorldState| {
            let newer = |row: &FleetRow| row.version > follow.after;
            let rows =
                state.row_log.iter().filter(|(table, row)| *table == follow.table && newer(row));
            rows.map(|(_, row)| row.clone()).collect::<Vec<_>>()
        };
        let (rows, version) = wait_for_changes(&world, &process, follow.wait_ms, read).await?;
        let version = rows.last().map_or(version, |row| row.version);
        Ok(FollowOutcome::Changes(rows, version))
    })
}

fn operator_updates(state: &WorldState, after: u64) -> Vec<OperatorUpdate> {
    let config = state.config.iter().filter(|(_, version)| *version > after);
    let config = config.map(|(config, _)| OperatorUpdate::Config(Arc::clone(config)));
    state.evacuations.updates_since(after).chain(config).collect()
}

fn worker_updates(state: &WorldState, after: u64) -> Vec<WorkerUpdate> {
    let changed = state.worker_log.iter().filter(|(version, _)| *version > after);
    let updates = changed.map(|(_, id)| match state.workers.get(id) {
        Some(worker) if worker.is_listed => WorkerUpdate::Listed(worker.facts.clone()),
        _ => WorkerUpdate::Unlisted(id.clone()),
    });
    updates.collect()
}

/// Lists all updates of one kind.
fn list_updates<T: Send + 'static>(
    world: &Arc<World>,
    process: &Name,
    updates_since: fn(&WorldState, u64) -> Vec<T>,
) -> Operation<(), (Vec<T>, u64)> {
    let context = (Arc::clone(world), Name::clone(process));
    operation_on(&context, move |(world, process), ()| async move {
        call_store(&world, &process).await?;
        let state = world.state.lock();
        Ok((updates_since(&state, 0), state.version))
    })
}

/// Waits for updates of one kind.
fn follow_updates<T: Send + 'static>(
    world: &Arc<World>,
    process: &Name,
    updates_since: fn(&WorldState, u64) -> Vec<T>,
) -> Operation<FollowRequest, FollowOutcome<T>> {
    let context = (Arc::clone(world), Name::clone(process));
    operation_on(&context, move |(world, process), follow: FollowRequest| async move {
        let read = |state: &WorldState| updates_since(state, follow.after);
        let (updates, version) = wait_for_changes(&world, &process, follow.wait_ms, read).await?;
        Ok(FollowOutcome::Changes(updates, version))
    })
}

pub(super) fn operator_list(
    world: &Arc<World>,
    process: &Name,
) -> Operation<(), (Vec<OperatorUpdate>, u64)> {
    list_updates(world, process, |state, _| {
        let mut updates = operator_updates(state, 0);
        updates.retain(|update| !matches!(update, OperatorUpdate::Evacuation { .. }));
        updates.insert(0, state.evacuations.listed());
        updates
    })
}

pub(super) fn operator_follow(
    world: &Arc<World>,
    process: &Name,
) -> Operation<FollowRequest, FollowOutcome<OperatorUpdate>> {
    let follow = follow_updates(world, process, operator_updates);
    let context = (Arc::clone(world), follow);
    operation_on(&context, move |(world, follow), request: FollowRequest| async move {
        if world.state.lock().evacuations.is_history_gone(request.after) {
            return Ok(FollowOutcome::HistoryGone);
        }
        follow(request).await
    })
}

pub(super) fn worker_list(
    world: &Arc<World>,
    process: &Name,
) -> Operation<(), (Vec<WorkerUpdate>, u64)> {
    list_updates(world, process, worker_updates)
}

pub(super) fn worker_follow(
    world: &Arc<World>,
    process: &Name,
) -> Operation<FollowRequest, FollowOutcome<WorkerUpdate>> {
    follow_updates(world, process, worker_updates)
}
