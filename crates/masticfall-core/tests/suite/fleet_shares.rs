//! Fair shares, and one client account that sends many times its usual load.

use masticfall_core::fleet::admission::{AdmissionDecision, decide_admission};
use masticfall_core::fleet::config::AccountConfig;
use masticfall_core::fleet::shares::above_share;
use masticfall_core::fleet::spec::Resources;
use masticfall_core::prelude::*;

use crate::fleet_rig::{Rig, config, now, record, step};

fn above(demands: &[(&str, u64)], weights: &[(&str, f64)], capacity: u64) -> Vec<String> {
    let demands = demands.iter().map(|(name, demand)| (AccountName::from(*name), *demand));
    let weight = |account: &AccountName| {
        weights.iter().find(|(name, _)| *name == account.as_str()).map_or(1.0, |(_, w)| *w)
    };
    let above = above_share(&demands.collect(), weight, capacity);
    above.iter().map(ToString::to_string).collect()
}

#[test]
fn no_account_is_above_its_share_while_all_demands_fit() {
    assert!(above(&[("a", 900), ("b", 100)], &[], 1_000).is_empty());
}

#[test]
fn unused_shares_go_to_other_accounts() {
    // b and c use 100 of the capacity of 900, so that 800 are left for a.
    assert!(above(&[("a", 800), ("b", 50), ("c", 50)], &[], 900).is_empty());
    assert_eq!(above(&[("a", 801), ("b", 50), ("c", 50)], &[], 900), ["a"]);
}

#[test]
fn shares_are_proportional_to_weight() {
    let demands = [("a", 600), ("b", 600)];
    assert_eq!(above(&demands, &[("a", 3.0), ("b", 1.0)], 900), ["b"]);
    assert_eq!(above(&demands, &[], 900), ["a", "b"]);
}

/// Simulates 8 s in which account `hot` submits 20 jobs a second, several times
/// what the pool can run, and `b` submits two. Returns for each account how many
/// jobs were submitted, and how many ended within their objective.
fn simulate_hot_account() -> IndexMap<AccountName, (u32, u32)> {
    let mut rig = Rig::new(&[("w1", 16), ("w2", 16)]);
    let mut config = (*config(2, Resources::default())).clone();
    for name in ["hot", "b"] {
        let account = AccountConfig { weight: 1.0, limit: Resources::default() };
        config.accounts.insert(name.into(), account);
    }
    let queue = config.queues[&QueueName::from("q")].clone();
    rig.board.set_config(std::sync::Arc::new(config));
    let objective_ms = (queue.stretch * 800.0) as u64 + queue.target_ms;
    let mut counts: IndexMap<AccountName, (u32, u32)> = IndexMap::new();
    let mut accepted: IndexMap<JobId, (AccountName, u64)> = IndexMap::new();
    let mut ends: Vec<(u64, String)> = Vec::new();
    for tick in 0..200_u64 {
        let hot = (0..if tick < 80 { 2 } else { 0 }).map(|n| (n, "hot"));
        let other = (tick < 80 && tick % 5 == 0).then_some((9, "b"));
        for (number, account) in hot.chain(other) {
            let account = AccountName::from(account);
            counts.entry(account.clone()).or_default().0 += 1;
            let mut record = record(vec![step(4, 2)]);
            let loads = rig.board.load_by_pool(rig.now_ms);
            let load = loads.get(&PoolName::from("p"));
            let backlog_ms = load.map_or(0, |load| load.backlog_ms_for(Some(&account)));
            if decide_admission(&queue, &record.spec, backlog_ms) != AdmissionDecision::Admit {
                continue;
            }
            let id = JobId::from(format!("{:016x}", tick * 16 + number));
            record.account = Some(account.clone());
            record.accepted_wall_ms = now(rig.now_ms).wall_ms;
            accepted.insert(id.clone(), (account, rig.now_ms));
            rig.board.accept(&id, record, now(rig.now_ms));
        }
        rig.board.advance(now(rig.now_ms));
        for id in rig.tick(&mut ends, 800) {
            let (account, accepted_ms) = &accepted[&id];
            let in_time = u32::from(rig.now_ms <= accepted_ms + objective_ms);
            counts[account].1 += in_time;
        }
        rig.advance(100 - 4);
    }
    counts
}

#[test]
fn others_are_served_while_one_account_floods_the_pool() {
    let counts = simulate_hot_account();
    let (submitted, in_time) = counts[&AccountName::from("b")];
    assert!(
        in_time * 10 >= submitted * 9,
        "only {in_time} of {submitted} jobs of account b were in time"
    );
    // The pool can run five jobs a second; account `hot` gets what `b` leaves.
    let (_, in_time) = counts[&AccountName::from("hot")];
    assert!(in_time >= 12, "only {in_time} jobs of account hot were in time");
}
