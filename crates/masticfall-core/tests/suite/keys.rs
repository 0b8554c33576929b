//! Key withdrawals are never undone.

use masticfall_core::id::{KeyId, TeamName};
use masticfall_core::key::{KeyHash, KeyTable};
use proptest::prelude::*;

fn issued(id: usize) -> (KeyHash, KeyId, TeamName) {
    let hash = KeyHash::of(&format!("mf_{id}"));
    (hash, KeyId::from(format!("k{id}")), TeamName::from("t"))
}

proptest! {
    #[test]
    fn withdrawn_key_stays_withdrawn_whatever_comes(
        steps in prop::collection::vec((any::<bool>(), 0..4usize), 0..40),
    ) {
        let mut table = KeyTable::default();
        let mut withdrawn = [false; 4];
        for (withdraw, id) in steps {
            if withdraw {
                table.withdraw(KeyId::from(format!("k{id}")));
                withdrawn[id] = true;
            } else {
                table.replace((0..=id).map(issued));
            }
            for (id, withdrawn) in withdrawn.iter().enumerate() {
                let team = table.team_of(&KeyHash::of(&format!("mf_{id}")));
                prop_assert!(!(*withdrawn && team.is_some()));
            }
        }
    }
}

#[test]
fn only_given_keys_are_known() {
    let mut table = KeyTable::default();
    table.replace([issued(1)].into_iter());
    assert!(table.team_of(&KeyHash::of("mf_1")).is_some());
    assert!(table.team_of(&KeyHash::of("mf_2")).is_none());
    assert!(table.team_of(&KeyHash::of("")).is_none());
}
