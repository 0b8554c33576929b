//! Routing: slot limits, power of two choices, capped ejection and the retry budget.

use masticfall_core::id::InstanceName;
use masticfall_core::routing::{
    EJECT_AFTER_FAILURES, EJECTION_MS, Outcome, RetryBudget, TargetTable,
};
use proptest::prelude::*;

fn target(index: usize) -> InstanceName {
    InstanceName::from(format!("t{index}"))
}

fn table(targets: usize, slots: u32) -> TargetTable {
    let mut table = TargetTable::default();
    (0..targets).for_each(|index| table.entry(&target(index)).slots = slots);
    table
}

proptest! {
    #[test]
    fn slots_are_never_exceeded_and_leaving_targets_get_nothing(
        steps in prop::collection::vec((0..3u8, any::<usize>(), any::<usize>()), 0..200),
    ) {
        let mut table = table(4, 3);
        let mut acquired: Vec<InstanceName> = Vec::new();
        for (kind, first, second) in steps {
            match kind {
                0 => {
                    let mut draws = [first, second].into_iter();
                    let draw = |below: usize| draws.next().unwrap_or(0) % below;
                    if let Some(name) = table.acquire(0, None, draw) {
                        prop_assert!(!table.targets()[&name].leaving);
                        acquired.push(name);
                    }
                }
                1 if !acquired.is_empty() => {
                    let name = acquired.swap_remove(first % acquired.len());
                    table.release(&name, Outcome::Success, 0);
                }
                _ => {
                    let entry = table.entry(&target(first % 4));
                    entry.leaving = second % 2 == 0;
                }
            }
            for (name, target) in table.targets() {
                let count = acquired.iter().filter(|held| *held == name).count();
                prop_assert_eq!(target.in_flight as usize, count);
                prop_assert!(target.in_flight <= target.slots);
            }
        }
    }

    #[test]
    fn retries_stay_within_a_tenth_of_the_requests(
        wants_retry in prop::collection::vec(any::<bool>(), 1..2_000),
    ) {
        const MAX_CREDIT: u64 = 10;
        let mut budget = RetryBudget::default();
        let (mut requests, mut retries) = (0u64, 0u64);
        for wants in wants_retry {
            budget.earn();
            requests += 1;
            retries += u64::from(wants && budget.spend());
            prop_assert!(retries <= requests / 10 + MAX_CREDIT + 1);
        }
    }
}

#[test]
fn failing_target_is_ejected_until_the_ejection_ends() {
    let mut table = table(4, 8);
    for _ in 0..EJECT_AFTER_FAILURES {
        table.entry(&target(0)).in_flight += 1;
        table.release(&target(0), Outcome::Failure, 1_000);
    }
    let mut is_selected = |now_ms| {
        (0..8).any(|draw| {
            let name = table.acquire(now_ms, None, |below| draw % below).unwrap();
            table.release(&name, Outcome::Neutral, now_ms);
            name == target(0)
        })
    };
    assert!(!is_selected(1_000 + EJECTION_MS - 1));
    assert!(is_selected(1_000 + EJECTION_MS));
}

#[test]
fn correlated_failures_do_not_empty_the_pool() {
    const TARGETS: usize = 9;
    let mut table = table(TARGETS, 8);
    for index in 0..TARGETS {
        for _ in 0..2 * EJECT_AFTER_FAILURES {
            table.entry(&target(index)).in_flight += 1;
            table.release(&target(index), Outcome::Failure, 0);
        }
    }
    let ejected =
        table.targets().values().filter(|target| target.ejected_until_ms.is_some()).count();
    assert_eq!(ejected, 3, "at most a third");
}

#[test]
fn retry_avoids_the_target_that_failed() {
    let mut table = table(2, 8);
    for draw in 0..10 {
        let name = table.acquire(0, Some(&target(0)), |below| draw % below).unwrap();
        assert_eq!(name, target(1));
        table.release(&name, Outcome::Success, 0);
    }
}
