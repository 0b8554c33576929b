//! Fair queueing serves by weight, gives idle teams no credit and loses no request.

use masticfall_core::id::TeamName;
use masticfall_core::share::{FairQueue, QueuedRequest};
use proptest::prelude::*;

fn team(index: usize) -> TeamName {
    TeamName::from(format!("t{index}"))
}

fn waiting(ticket: u64) -> QueuedRequest {
    QueuedRequest { ticket, deadline_ms: u64::MAX }
}

proptest! {
    #[test]
    fn each_request_is_served_or_expires_exactly_once(
        pushes in prop::collection::vec((0..4usize, 1..5u32, 0..100u64), 0..100),
        now_ms in 0..100u64,
    ) {
        let mut queue = FairQueue::new(50);
        let mut pushed = Vec::new();
        for (ticket, (index, weight, deadline_ms)) in pushes.into_iter().enumerate() {
            let ticket = ticket as u64;
            let request = QueuedRequest { ticket, deadline_ms };
            if queue.push(&team(index), f64::from(weight), request) {
                pushed.push((ticket, deadline_ms));
            }
        }
        prop_assert!(pushed.len() <= 50);
        let mut expired = Vec::new();
        let mut served = Vec::new();
        while let Some(ticket) = queue.pop(now_ms, &mut expired) {
            served.push(ticket);
        }
        prop_assert!(queue.is_empty());
        for (ticket, deadline_ms) in pushed {
            let list = if deadline_ms <= now_ms { &expired } else { &served };
            prop_assert_eq!(list.iter().filter(|listed| **listed == ticket).count(), 1);
        }
    }

    #[test]
    fn backlogged_teams_are_served_within_one_request_of_their_share(
        weights in prop::collection::vec(1..8u32, 2..5),
    ) {
        let mut queue = FairQueue::new(100_000);
        let mut team_of = Vec::new();
        for _ in 0..400 {
            for (index, weight) in weights.iter().enumerate() {
                queue.push(&team(index), f64::from(*weight), waiting(team_of.len() as u64));
                team_of.push(index);
            }
        }
        let total: u32 = weights.iter().sum();
        let mut served = vec![0u32; weights.len()];
        for count in 1..=300u32 {
            let ticket = queue.pop(0, &mut Vec::new()).unwrap();
            served[team_of[ticket as usize]] += 1;
            for (index, weight) in weights.iter().enumerate() {
                let expected = f64::from(count) * f64::from(*weight) / f64::from(total);
                let deviation = (f64::from(served[index]) - expected).abs();
                prop_assert!(
                    deviation <= weights.len() as f64,
                    "team {index} is off by {deviation}"
                );
            }
        }
    }
}

#[test]
fn idle_team_accumulates_no_credit() {
    let mut queue = FairQueue::new(1_000);
    for ticket in 0..100 {
        queue.push(&team(0), 1.0, waiting(ticket));
    }
    for _ in 0..50 {
        queue.pop(0, &mut Vec::new());
    }
    for ticket in 100..200 {
        queue.push(&team(1), 1.0, waiting(ticket));
    }
    let next: Vec<u64> = (0..20).filter_map(|_| queue.pop(0, &mut Vec::new())).collect();
    let from_idle_team = next.iter().filter(|ticket| **ticket >= 100).count();
    assert!(
        (9..=11).contains(&from_idle_team),
        "the team that was idle gets half, not everything: {from_idle_team}"
    );
}
