//! Granted units never exceed the limit, for any sequence of claims and releases.

use masticfall_core::escrow::{Claim, GrantRow, LocalGrant, Units};
use masticfall_core::id::{DataCentre, Incarnation, JobId};
use proptest::prelude::*;

#[derive(Debug, Clone)]
enum Step {
    Claim { index: usize, wanted: u32, peers: u32 },
    Start { job: u32 },
    End { job: u32 },
    ReclaimElastic { index: usize },
    ReclaimAll { index: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..6usize, 0..40u32, 1..4u32)
            .prop_map(|(index, wanted, peers)| Step::Claim { index, wanted, peers }),
        2 => (0..8u32).prop_map(|job| Step::Start { job }),
        2 => (0..8u32).prop_map(|job| Step::End { job }),
        1 => (0..6usize).prop_map(|index| Step::ReclaimElastic { index }),
        1 => (0..6usize).prop_map(|index| Step::ReclaimAll { index }),
    ]
}

fn process(index: usize) -> (Incarnation, DataCentre) {
    let data_centre = DataCentre::from(["a", "b", "c"][index % 3]);
    (Incarnation::from(format!("p{index}")), data_centre)
}

fn apply(row: &mut GrantRow, step: &Step, limit: u32) {
    match step {
        Step::Claim { index, wanted, peers } => {
            let (holder, dc) = process(*index);
            let claim = Claim {
                limit,
                data_centres: 3,
                peers_in_data_centre: *peers,
                base_percent: 50,
                wanted: *wanted,
            };
            let units = row.claim(&holder, &dc, &claim);
            assert_eq!(units, row.units(&holder), "the row holds what was returned");
        }
        Step::Start { job } => {
            row.start_attempt(&JobId::from(format!("j{job}")), 1, limit);
        }
        Step::End { job } => row.end_attempt(&JobId::from(format!("j{job}"))),
        Step::ReclaimElastic { index } => row.reclaim_elastic(&process(*index).0),
        Step::ReclaimAll { index } => row.reclaim_all(&process(*index).0),
    }
}

proptest! {
    #[test]
    fn granted_units_never_exceed_the_limit(
        limit in 0..60u32,
        steps in prop::collection::vec(step(), 0..80),
    ) {
        let mut row = GrantRow::default();
        for step in &steps {
            apply(&mut row, step, limit);
            prop_assert!(row.granted() <= limit, "{} of {limit} after {step:?}", row.granted());
        }
    }

    #[test]
    fn lowered_limit_never_raises_what_is_granted(
        steps in prop::collection::vec(step(), 0..60),
        lower_limit in 0..20u32,
        later_steps in prop::collection::vec(step(), 0..60),
    ) {
        let mut row = GrantRow::default();
        for step in &steps {
            apply(&mut row, step, 40);
        }
        let mut granted = row.granted();
        for step in &later_steps {
            apply(&mut row, step, lower_limit);
            prop_assert!(row.granted() <= granted.max(lower_limit));
            granted = row.granted();
        }
    }

    #[test]
    fn local_use_never_exceeds_the_usable_units(
        usable in 0..20u32,
        acquires in prop::collection::vec(any::<bool>(), 0..100),
    ) {
        let mut grant = LocalGrant::default();
        for acquire in acquires {
            if acquire {
                grant.try_acquire(usable);
            } else {
                grant.release();
            }
            prop_assert!(grant.in_use <= usable);
        }
    }

    #[test]
    fn units_only_shrink_while_a_write_outcome_is_unknown(
        held in (0..20u32, 0..20u32),
        rows in prop::collection::vec((0..20u32, 0..20u32), 0..10),
    ) {
        let units = |(base, elastic)| Units { base, elastic };
        let mut grant = LocalGrant::default();
        grant.adopt(units(held), true);
        grant.outcome_unknown = true;
        for row in rows {
            let before = grant.units;
            grant.adopt(units(row), false);
            prop_assert!(grant.units.base <= before.base);
            prop_assert!(grant.units.elastic <= before.elastic);
        }
    }
}

#[test]
fn base_part_is_split_over_data_centres_and_their_processes() {
    assert_eq!(base_units(2), [2; 6], "12 of 24 units over 3 data centres with 2 processes each");
    assert_eq!(base_units(0), [1; 6], "idle processes keep a reserve");
}

/// Returns the base units of six processes that claim `wanted` units each.
fn base_units(wanted: u32) -> Vec<u32> {
    let mut row = GrantRow::default();
    let mut units = Vec::new();
    for index in 0..6 {
        let (holder, dc) = process(index);
        let claim =
            Claim { limit: 24, data_centres: 3, peers_in_data_centre: 2, base_percent: 50, wanted };
        units.push(row.claim(&holder, &dc, &claim).base);
    }
    units
}
