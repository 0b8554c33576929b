//! The units given out never exceed the limit, whatever is claimed in what order.

use masticfall_core::escrow::{Claim, GrantRow, LocalGrant, Units};
use masticfall_core::id::{DataCentre, Incarnation, JobId};
use proptest::prelude::*;

#[derive(Debug, Clone)]
enum Step {
    Claim { who: usize, wanted: u32, peers: u32 },
    Start { job: u32 },
    End { job: u32 },
    ReclaimElastic { who: usize },
    ReclaimAll { who: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..6usize, 0..40u32, 1..4u32)
            .prop_map(|(who, wanted, peers)| Step::Claim { who, wanted, peers }),
        2 => (0..8u32).prop_map(|job| Step::Start { job }),
        2 => (0..8u32).prop_map(|job| Step::End { job }),
        1 => (0..6usize).prop_map(|who| Step::ReclaimElastic { who }),
        1 => (0..6usize).prop_map(|who| Step::ReclaimAll { who }),
    ]
}

fn process(index: usize) -> (Incarnation, DataCentre) {
    let data_centre = DataCentre::from(["a", "b", "c"][index % 3]);
    (Incarnation::from(format!("p{index}")), data_centre)
}

fn apply(row: &mut GrantRow, step: &Step, limit: u32) {
    match step {
        Step::Claim { who, wanted, peers } => {
            let (who, dc) = process(*who);
            let claim = Claim {
                limit,
                data_centres: 3,
                peers_in_data_centre: *peers,
                base_percent: 50,
                wanted: *wanted,
            };
            let units = row.claim(&who, &dc, &claim);
            assert_eq!(units, row.units(&who), "the row holds what was returned");
        }
        Step::Start { job } => {
            row.start_attempt(&JobId::from(format!("j{job}")), 1, limit);
        }
        Step::End { job } => row.end_attempt(&JobId::from(format!("j{job}"))),
        Step::ReclaimElastic { who } => row.reclaim_elastic(&process(*who).0),
        Step::ReclaimAll { who } => row.reclaim_all(&process(*who).0),
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
        lower in 0..20u32,
        later in prop::collection::vec(step(), 0..60),
    ) {
        let mut row = GrantRow::default();
        for step in &steps {
            apply(&mut row, step, 40);
        }
        let mut granted = row.granted();
        for step in &later {
            apply(&mut row, step, lower);
            prop_assert!(row.granted() <= granted.max(lower));
            granted = row.granted();
        }
    }

    #[test]
    fn account_never_uses_more_than_is_usable(
        usable in 0..20u32,
        takes in prop::collection::vec(any::<bool>(), 0..100),
    ) {
        let mut account = LocalGrant::default();
        for take in takes {
            if take {
                account.try_acquire(usable);
            } else {
                account.release();
            }
            prop_assert!(account.in_use <= usable);
        }
    }

    #[test]
    fn uncertain_account_only_shrinks(
        held in (0..20u32, 0..20u32),
        rows in prop::collection::vec((0..20u32, 0..20u32), 0..10),
    ) {
        let units = |(base, elastic)| Units { base, elastic };
        let mut account = LocalGrant::default();
        account.adopt(units(held), true);
        account.outcome_unknown = true;
        for row in rows {
            let before = account.units;
            account.adopt(units(row), false);
            prop_assert!(account.units.base <= before.base);
            prop_assert!(account.units.elastic <= before.elastic);
        }
    }
}

#[test]
fn base_part_is_split_over_data_centres_and_their_processes() {
    assert_eq!(bases(2), [2; 6], "12 of 24 units over 3 data centres with 2 processes each");
    assert_eq!(bases(0), [1; 6], "idle processes keep a reserve");
}

/// Returns the base units of six processes that want so many units each.
fn bases(wanted: u32) -> Vec<u32> {
    let mut row = GrantRow::default();
    let mut bases = Vec::new();
    for index in 0..6 {
        let (who, dc) = process(index);
        let claim =
            Claim { limit: 24, data_centres: 3, peers_in_data_centre: 2, base_percent: 50, wanted };
        bases.push(row.claim(&who, &dc, &claim).base);
    }
    bases
}
