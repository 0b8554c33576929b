//! Sizing: moves go from surplus to lack, and never take what may not be taken.

use indexmap::IndexMap;
use masticfall_core::config::Weighting;
use masticfall_core::id::PoolName;
use masticfall_core::sizing::{DecayingPeak, PoolSnapshot, SizingPolicy, plan_moves};
use proptest::prelude::*;
use rstest::rstest;

fn load() -> impl Strategy<Value = PoolSnapshot> {
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
    fn moves_keep_givers_above_their_need_and_fill_no_pool_beyond_its_own(
        loads in prop::collection::vec(load(), 1..8),
        disruption in any::<bool>(),
    ) {
        let weighting = if disruption { Weighting::Disruption } else { Weighting::Share };
        let eagerness = SizingPolicy::of(weighting);
        let pools: IndexMap<PoolName, PoolSnapshot> = loads
            .into_iter()
            .enumerate()
            .map(|(index, load)| (PoolName::from(format!("p{index}")), load))
            .collect();
        let moves = plan_moves(&pools, &eagerness);
        for (name, pool) in &pools {
            let given = moves.iter().filter(|one| one.from == *name).count() as u32;
            let got = moves.iter().filter(|one| one.to == *name).count() as u32;
            let need = pool.need(&eagerness);
            prop_assert!(given == 0 || got == 0, "no pool both gives and gets");
            prop_assert!(given <= pool.movable);
            prop_assert!(given == 0 || pool.available - given >= need);
            prop_assert!(got == 0 || pool.available + pool.arriving + got <= need);
        }
    }
}

#[rstest]
#[case(Weighting::Share, 3)]
#[case(Weighting::Disruption, 0)]
fn small_lack_moves_instances_only_where_shares_weigh_more(
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
    // The spare pool has one, the idle pool two to give.
    let pools = IndexMap::from([
        (PoolName::from("busy"), pool(4, 7.0, false)),
        (PoolName::from("idle"), pool(2, 0.0, false)),
        (PoolName::from("spare"), pool(1, 0.0, true)),
    ]);
    let eagerness = SizingPolicy::of(weighting);
    let moves = plan_moves(&pools, &eagerness);
    let from_pools = moves.iter().filter(|one| one.from.as_str() != "spare").count();
    let from_spare = moves.len() - from_pools;
    assert_eq!(from_spare, 1, "the spare pool gives in any case");
    assert_eq!(moves.len(), expected.max(1));
}

#[test]
fn peak_fades_over_its_memory() {
    let mut forecast = DecayingPeak::default();
    forecast.observe(9.0, 1_000.0, 0);
    forecast.observe(0.0, 1_000.0, 1_000);
    assert!((3.0..3.5).contains(&forecast.peak()));
    forecast.observe(5.0, 1_000.0, 1_001);
    assert!((forecast.peak() - 5.0).abs() < f64::EPSILON);
}
