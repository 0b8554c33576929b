//! Fair queueing: by weight, without debt to idle teams, and nothing lost.

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
    fn each_request_comes_out_once_or_dead(
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
        let mut dead = Vec::new();
        let mut served = Vec::new();
        while let Some(ticket) = queue.pop(now_ms, &mut dead) {
            served.push(ticket);
        }
        prop_assert!(queue.is_empty());
        for (ticket, deadline_ms) in pushed {
            let list = if deadline_ms <= now_ms { &dead } else { &served };
            prop_assert_eq!(list.iter().filter(|one| **one == ticket).count(), 1);
        }
    }

    #[test]
    fn backlogged_teams_are_served_within_one_request_of_their_share(
        weights in prop::collection::vec(1..8u32, 2..5),
    ) {
        let mut queue = FairQueue::new(100_000);
        let mut owner = Vec::new();
        for _ in 0..400 {
            for (index, weight) in weights.iter().enumerate() {
                queue.push(&team(index), f64::from(*weight), waiting(owner.len() as u64));
                owner.push(index);
            }
        }
        let total: u32 = weights.iter().sum();
        let mut served = vec![0u32; weights.len()];
        for count in 1..=300u32 {
            let ticket = queue.pop(0, &mut Vec::new()).unwrap();
            served[owner[ticket as usize]] += 1;
            for (index, weight) in weights.iter().enumerate() {
                let due = f64::from(count) * f64::from(*weight) / f64::from(total);
                let off = (f64::from(served[index]) - due).abs();
                prop_assert!(off <= weights.len() as f64, "team {index} is off by {off}");
            }
        }
    }
}

#[test]
fn idle_team_saves_up_no_share() {
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
    let late = next.iter().filter(|ticket| **ticket >= 100).count();
    assert!((9..=11).contains(&late), "the late team gets half, not everything: {late}");
}
