//! Sizing moves instances from surplus to shortfall, and only those that may be moved.

use indexmap::IndexMap;
use masticfall_core::config::Weighting;
use masticfall_core::id::PoolName;
use masticfall_core::sizing::{DecayingPeak, PoolSnapshot, SizingPolicy, plan_moves};
use proptest::prelude::*;
use rstest::rstest;

fn snapshot() -> impl Strategy<Value = PoolSnapshot> {
    (0..20u32, 0..5u32, 0.0..30.0f64, 0..5u32, 0..20u32, prop::bool::weighted(0.2)).prop_map(
        |(available, arriving, demand, largest_rack, movable, is_spare)| PoolSnapshot {
            available,
            arriving,
            demand,
            largest_rack,
            movable: movable.min(available),
            is_spare,
        },
    )
}

proptest! {
    #[test]
    fn moves_leave_donors_their_need_and_fill_no_pool_beyond_its_need(
        snapshots in prop::collection::vec(snapshot(), 1..8),
        disruption in any::<bool>(),
    ) {
        let weighting = if disruption { Weighting::Disruption } else { Weighting::Share };
        let policy = SizingPolicy::of(weighting);
        let pools: IndexMap<PoolName, PoolSnapshot> = snapshots
            .into_iter()
            .enumerate()
            .map(|(index, snapshot)| (PoolName::from(format!("p{index}")), snapshot))
            .collect();
        let moves = plan_moves(&pools, &policy);
        for (name, pool) in &pools {
            let lost = moves.iter().filter(|planned| planned.from == *name).count() as u32;
            let gained = moves.iter().filter(|planned| planned.to == *name).count() as u32;
            let need = pool.need(&policy);
            prop_assert!(lost == 0 || gained == 0, "a pool both loses and gains instances");
            prop_assert!(lost <= pool.movable);
            prop_assert!(lost == 0 || pool.available - lost >= need);
            prop_assert!(gained == 0 || pool.available + pool.arriving + gained <= need);
        }
    }
}

#[rstest]
#[case(Weighting::Share, 3)]
#[case(Weighting::Disruption, 0)]
fn small_shortfall_moves_instances_only_where_shares_weigh_more(
    #[case] weighting: Weighting,
    #[case] expected: usize,
) {
    let pool = |available, demand, is_spare| PoolSnapshot {
        available,
        arriving: 0,
        demand,
        largest_rack: 0,
        movable: available,
        is_spare,
    };
    // The spare pool has a surplus of one instance, the idle pool of two.
    let pools = IndexMap::from([
        (PoolName::from("busy"), pool(4, 7.0, false)),
        (PoolName::from("idle"), pool(2, 0.0, false)),
        (PoolName::from("spare"), pool(1, 0.0, true)),
    ]);
    let policy = SizingPolicy::of(weighting);
    let moves = plan_moves(&pools, &policy);
    let from_pools = moves.iter().filter(|planned| planned.from.as_str() != "spare").count();
    let from_spare = moves.len() - from_pools;
    assert_eq!(from_spare, 1, "the spare pool is used under either weighting");
    assert_eq!(moves.len(), expected.max(1));
}

#[test]
fn peak_decays_over_its_decay_time() {
    let mut demand = DecayingPeak::default();
    demand.observe(9.0, 1_000.0, 0);
    demand.observe(0.0, 1_000.0, 1_000);
    assert!((3.0..3.5).contains(&demand.peak()));
    demand.observe(5.0, 1_000.0, 1_001);
    assert!((demand.peak() - 5.0).abs() < f64::EPSILON);
}
