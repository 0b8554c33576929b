//! An instance is in exactly one pool throughout any sequence of transitions.

use masticfall_core::id::{DataCentre, Name, PoolName, WaveName};
use masticfall_core::instance::{InstanceFacts, InstanceKind, InstanceRow, InstanceState, Purpose};
use proptest::prelude::*;

fn joining() -> InstanceRow {
    let facts = InstanceFacts {
        kind: InstanceKind::Target,
        data_centre: DataCentre::from("a"),
        rack: Name::from("r"),
        address: Name::from("127.0.0.1:1"),
        cores: 1,
        memory_mib: 1,
        accelerators: 0,
    };
    InstanceRow::joining(facts, PoolName::from("first"))
}

proptest! {
    #[test]
    fn pool_changes_only_from_drained(steps in prop::collection::vec(0..6u8, 0..60)) {
        let mut row = joining();
        let mut boot = 1;
        for step in steps {
            let before = row.clone();
            let result = match step {
                0 => row.leave(Purpose::Move(PoolName::from("second"))),
                1 => row.leave(Purpose::Maintain(WaveName::from("w"))),
                2 => row.drained(),
                3 => row.advance(boot),
                4 => row.rebooted(boot),
                _ => {
                    boot += 1;
                    Ok(())
                }
            };
            if row.pool != before.pool {
                prop_assert_eq!(before.state, InstanceState::Drained);
            }
            if result.is_err() {
                prop_assert_eq!(&row, &before, "a rejected transition leaves the row unchanged");
            }
            let in_pool = row.state == InstanceState::InPool;
            prop_assert_eq!(row.purpose.is_none(), in_pool);
        }
    }
}

#[test]
fn reboot_is_over_only_with_a_new_boot() {
    let mut row = joining();
    row.leave(Purpose::Maintain(WaveName::from("w"))).unwrap();
    row.drained().unwrap();
    row.advance(7).unwrap();
    assert!(row.rebooted(7).is_err());
    assert!(row.rebooted(8).is_ok());
    assert!(row.takes_work());
}
