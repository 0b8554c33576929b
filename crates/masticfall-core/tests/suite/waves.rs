//! Waves respect every pool's budget and take out one rack at a time.

use indexmap::{IndexMap, IndexSet};
use masticfall_core::id::{DataCentre, InstanceName, Name, PoolName, WaveName};
use masticfall_core::instance::{InstanceFacts, InstanceKind, InstanceRow, InstanceState, Purpose};
use masticfall_core::wave::{Budget, WaveRow, WaveView, next_instances};
use proptest::prelude::*;

fn row(index: usize, state: u8) -> InstanceRow {
    let facts = InstanceFacts {
        kind: InstanceKind::Target,
        data_centre: DataCentre::from(["a", "b"][index % 2]),
        rack: Name::from(format!("r{}", index / 4)),
        address: Name::from("127.0.0.1:1"),
        cores: 1,
        memory_mib: 1,
        accelerators: 0,
    };
    let pool = PoolName::from(format!("p{}", index % 3));
    let mut row = InstanceRow::joining(facts, pool);
    if state == 0 {
        row.state = InstanceState::Rebooting;
        row.purpose = Some(Purpose::Maintain(WaveName::from("other")));
    }
    row
}

proptest! {
    #[test]
    fn picked_instances_leave_every_pool_its_budget(
        states in prop::collection::vec(0..6u8, 1..40),
        is_dead in prop::collection::vec(any::<bool>(), 40),
        percent in 0..=100u32,
    ) {
        let indexed = states.iter().enumerate();
        let instances: IndexMap<InstanceName, InstanceRow> = indexed
            .map(|(index, state)| (InstanceName::from(format!("i{index}")), row(index, *state)))
            .collect();
        let live: IndexSet<InstanceName> = instances
            .keys()
            .enumerate()
            .filter(|(index, _)| !is_dead[*index] || index % 3 != 0)
            .map(|(_, name)| name.clone())
            .collect();
        let budgets: IndexMap<PoolName, u32> =
            (0..3).map(|index| (PoolName::from(format!("p{index}")), percent)).collect();
        let data_centre = DataCentre::from("a");
        let view = WaveView {
            instances: &instances,
            live: &live,
            min_available_percent: &budgets,
            data_centre: &data_centre,
        };
        let wave = WaveRow::new(instances.keys().cloned().collect(), 2, Name::from("ana"));
        let selected = next_instances(&wave, &view);
        let racks: IndexSet<&Name> =
            selected.iter().map(|name| &instances[name].facts.rack).collect();
        prop_assert!(racks.len() <= 1, "instances of several racks selected: {racks:?}");
        for pool in budgets.keys() {
            let members: Vec<_> = instances.iter().filter(|(_, row)| row.pool == *pool).collect();
            let available = |after_selection: bool| {
                let rows = members.iter().filter(|(name, row)| {
                    row.takes_work()
                        && live.contains(*name)
                        && !(after_selection && selected.contains(*name))
                });
                rows.count() as u32
            };
            let must_stay = members.len() as u32 - Budget::of(members.len(), percent).max_unavailable;
            prop_assert!(available(true) >= must_stay.min(available(false)));
        }
    }
}

#[test]
fn budget_rounds_towards_availability() {
    assert_eq!(Budget::of(10, 85).max_unavailable, 1);
    assert_eq!(Budget::of(3, 90).max_unavailable, 0);
    assert_eq!(Budget::of(0, 50).max_unavailable, 0);
    assert_eq!(Budget::of(4, 0).max_unavailable, 4);
}
