//! State that the board counts as it changes equals a full scan after any sequence of
//! events: a wrong count would skew admission, shares and the sizes of pools for good.

use masticfall_core::fleet::board::{Board, TaskCounts, TaskState};
use masticfall_core::fleet::report::RunEnd;
use masticfall_core::fleet::spec::Resources;
use masticfall_core::prelude::*;
use proptest::prelude::*;

use crate::fleet_rig::{Rig, step};

/// An event of a cell.
#[derive(Debug, Clone)]
enum Event {
    Submit { tasks: u32, cores: u64, is_chain: bool },
    Cancel(usize),
    Settle,
    EndRun { run: usize, end: RunEnd },
    Poll,
    Advance(u64),
    Unlist(usize),
    List,
    RemoveWorker(usize),
    TakeOver,
}

fn event() -> impl Strategy<Value = Event> {
    let end = prop_oneof![Just(RunEnd::Done), Just(RunEnd::Failed), Just(RunEnd::Lapsed)];
    prop_oneof![
        3 => (1..6_u32, 1..5_u64, any::<bool>())
            .prop_map(|(tasks, cores, is_chain)| Event::Submit { tasks, cores, is_chain }),
        1 => any::<usize>().prop_map(Event::Cancel),
        4 => Just(Event::Settle),
        6 => (any::<usize>(), end).prop_map(|(run, end)| Event::EndRun { run, end }),
        4 => Just(Event::Poll),
        2 => (1..8_000_u64).prop_map(Event::Advance),
        1 => any::<usize>().prop_map(Event::Unlist),
        1 => Just(Event::List),
        1 => any::<usize>().prop_map(Event::RemoveWorker),
        1 => Just(Event::TakeOver),
    ]
}

const WORKERS: [(&str, u64); 3] = [("w0", 8), ("w1", 6), ("w2", 4)];

fn apply(rig: &mut Rig, event: &Event, number: usize) {
    match event {
        Event::Submit { tasks, cores, is_chain } => {
            let mut steps = vec![step(*tasks, *cores)];
            if *is_chain {
                let mut second = step(2, *cores);
                second.after = vec![0];
                steps.push(second);
            }
            rig.submit(&format!("{number:016x}"), steps);
        }
        Event::Cancel(index) => {
            let id = rig.board.jobs.keys().nth(index % rig.board.jobs.len().max(1)).cloned();
            if let Some(id) = id {
                rig.board.cancel(&id, rig.now_ms);
            }
        }
        Event::Settle => rig.settle(),
        Event::EndRun { run, end } => {
            let runs = rig.workers.values().flat_map(|worker| &worker.running);
            let tasks: Vec<String> = runs.map(|run| run.task.to_string()).collect();
            if !tasks.is_empty() {
                rig.end(&tasks[run % tasks.len()], *end);
            }
        }
        Event::Poll => rig.poll_all(),
        Event::Advance(ms) => rig.advance(*ms),
        Event::Unlist(index) => rig.board.unlist_worker(&WORKERS[index % 3].0.into()),
        Event::List => rig.list(&WORKERS),
        Event::RemoveWorker(index) => {
            rig.board.remove_worker(&WORKERS[index % 3].0.into(), rig.now_ms);
        }
        Event::TakeOver => {
            let epoch = rig.board.epoch + 1;
            rig.take_over(epoch);
        }
    }
}

/// Compares all counted state with a full scan.
fn check_counts(board: &Board) {
    let mut used: IndexMap<WorkerId, Resources> = IndexMap::new();
    let mut by_account: IndexMap<AccountName, Resources> = IndexMap::new();
    for (id, job) in &board.jobs {
        for occurrence in job.occurrences.values() {
            for (spec, step) in job.record.spec.steps.iter().zip(&occurrence.steps) {
                assert_eq!(step.counts(), TaskCounts::of(&step.tasks), "{id}");
                for task in &step.tasks {
                    let TaskState::Placed(run) = task.state() else { continue };
                    let on_worker = used.entry(run.worker.clone()).or_default();
                    *on_worker = on_worker.plus(&step.reserved_per_task);
                    if let Some(account) = &job.record.account {
                        let usage = by_account.entry(account.clone()).or_default();
                        *usage = usage.plus(&spec.needs);
                    }
                }
            }
        }
    }
    for (id, worker) in &board.workers {
        assert_eq!(worker.used, used.swap_remove(id).unwrap_or_default(), "{id}");
    }
    let elsewhere: IndexSet<WorkerId> = used.into_keys().collect();
    assert_eq!(board.unknown_workers().cloned().collect::<IndexSet<_>>(), elsewhere);
    for (account, usage) in &board.account_usage {
        assert_eq!(*usage, by_account.get(account).copied().unwrap_or_default(), "{account}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(192))]

    #[test]
    fn counted_state_equals_a_full_scan(events in prop::collection::vec(event(), 1..60)) {
        let mut rig = Rig::new(&WORKERS);
        for (number, event) in events.iter().enumerate() {
            apply(&mut rig, event, number);
            check_counts(&rig.board);
        }
    }
}
