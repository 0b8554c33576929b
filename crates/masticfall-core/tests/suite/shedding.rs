//! Which connection gives way when callers hold too much.

use masticfall_core::shedding::{
    ConnectionPhase, ConnectionView, SMALL_BODY_BYTES, Shed, shed_for_connection, shed_for_memory,
};
use proptest::prelude::*;
use rstest::rstest;

const LARGE_BYTES: usize = 262_144;

fn view(id: u64, phase: ConnectionPhase, since_ms: u64, body_bytes: usize) -> ConnectionView {
    ConnectionView { id, phase, since_ms, body_bytes }
}

fn receiving(id: u64, since_ms: u64, body_bytes: usize) -> ConnectionView {
    view(id, ConnectionPhase::Receiving, since_ms, body_bytes)
}

fn idle(id: u64, since_ms: u64) -> ConnectionView {
    view(id, ConnectionPhase::Idle, since_ms, 0)
}

fn answering(id: u64, since_ms: u64) -> ConnectionView {
    view(id, ConnectionPhase::Answering, since_ms, LARGE_BYTES)
}

#[rstest]
#[case::oldest_large_body(
    vec![receiving(1, 50, 100), receiving(2, 70, LARGE_BYTES), receiving(3, 60, LARGE_BYTES)],
    Some(Shed::Body(3))
)]
#[case::large_body_before_idle_connections(
    vec![idle(1, 0), receiving(2, 90, SMALL_BODY_BYTES + 1)],
    Some(Shed::Body(2))
)]
#[case::oldest_of_small_ones(
    vec![idle(1, 30), receiving(2, 20, SMALL_BODY_BYTES), idle(3, 25)],
    Some(Shed::Connection(2))
)]
#[case::first_of_equal_age(vec![idle(2, 5), idle(1, 5)], Some(Shed::Connection(1)))]
#[case::never_a_complete_request(vec![answering(1, 0), answering(2, 1)], None)]
#[case::none(vec![], None)]
fn memory(#[case] connections: Vec<ConnectionView>, #[case] expected: Option<Shed>) {
    assert_eq!(shed_for_memory(connections), expected);
}

#[rstest]
#[case::longest_idle(vec![idle(1, 30), idle(2, 20), answering(3, 0)], Some(2))]
#[case::stuck_request_before_idle_ones(vec![idle(1, 30), receiving(2, 20, 10)], Some(2))]
#[case::never_a_complete_request(vec![answering(1, 0)], None)]
fn connection(#[case] connections: Vec<ConnectionView>, #[case] expected: Option<u64>) {
    assert_eq!(shed_for_connection(connections), expected);
}

proptest! {
    /// Plays the load: clients that get stuck at any size, and one ordinary request that began
    /// last. While there is room to make, the ordinary request keeps its place.
    #[test]
    fn ordinary_request_outlasts_a_crowd(
        sizes in prop::collection::vec(0..=LARGE_BYTES, 1..200),
        ordinary_bytes in 0..=SMALL_BODY_BYTES,
    ) {
        let stuck = sizes.iter().enumerate();
        let mut connections: Vec<ConnectionView> =
            stuck.map(|(index, bytes)| receiving(index as u64, index as u64, *bytes)).collect();
        let ordinary = receiving(1_000, 1_000, ordinary_bytes);
        connections.push(ordinary);
        while connections.len() > 1 {
            match shed_for_memory(connections.iter().copied()) {
                Some(Shed::Body(id)) => {
                    let shed = connections.iter_mut().find(|connection| connection.id == id);
                    shed.unwrap().body_bytes = 0;
                }
                Some(Shed::Connection(id)) => connections.retain(|connection| connection.id != id),
                None => prop_assert!(false, "nothing gives way"),
            }
            prop_assert!(connections.contains(&ordinary));
        }
    }
}
