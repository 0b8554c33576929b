//! No unit is reclaimed while its holder, or a request that it dispatched, may use it.
//!
//! The model has one holder and two members of its data centre. Their clocks run
//! at different rates, and the network and platform fail on a generated schedule.

use indexmap::IndexSet;
use masticfall_core::guard::{HolderLeases, PeerLease, Reclaim};
use masticfall_core::id::Incarnation;
use masticfall_core::lease::{CLOCK_DRIFT_PER_MILLE, ObservedLease};
use proptest::prelude::*;

const MAX_DEADLINE_MS: u64 = 2_000;
const STEP_MS: u64 = 100;

/// Which parts of the system work during a step.
#[derive(Debug, Clone, Copy)]
struct Conditions {
    holder_platform: bool,
    member_platform: [bool; 2],
    links: [bool; 2],
    holder_paused: bool,
}

fn conditions() -> impl Strategy<Value = Conditions> {
    let likely = || prop::bool::weighted(0.7);
    (likely(), [likely(), likely()], [likely(), likely()], prop::bool::weighted(0.1)).prop_map(
        |(holder_platform, member_platform, links, holder_paused)| Conditions {
            holder_platform,
            member_platform,
            links,
            holder_paused,
        },
    )
}

/// Generates phases of 1 to 89 steps with constant conditions.
fn schedule() -> impl Strategy<Value = Vec<(Conditions, u64)>> {
    prop::collection::vec((conditions(), 1..90u64), 1..12)
}

fn member(index: usize) -> Incarnation {
    Incarnation::from(format!("m{index}"))
}

/// Reads a clock that is exact, or fast by the maximum drift allowed between two clocks.
fn clock(now_ms: u64, is_fast: bool) -> u64 {
    let drift = now_ms * CLOCK_DRIFT_PER_MILLE / 1_000;
    if is_fast { now_ms + drift } else { now_ms }
}

struct Model {
    holder: HolderLeases,
    row_version: u64,
    row_members: IndexSet<Incarnation>,
    observed: [PeerLease; 2],
    has_fast_clock: [bool; 3],
    last_usable_ms: u64,
}

impl Model {
    fn new(has_fast_clock: [bool; 3]) -> Self {
        let observed = PeerLease {
            row: ObservedLease::new(0, 0),
            members: IndexSet::new(),
            last_ack_sent_ms: None,
        };
        Self {
            holder: HolderLeases::default(),
            row_version: 0,
            row_members: IndexSet::new(),
            observed: [observed.clone(), observed],
            has_fast_clock,
            last_usable_ms: 0,
        }
    }

    fn step(&mut self, now_ms: u64, conditions: Conditions) {
        let holder_ms = clock(now_ms, self.has_fast_clock[2]);
        if !conditions.holder_paused {
            self.renew(holder_ms, conditions);
            self.acknowledge(now_ms, holder_ms, conditions);
            if self.holder.base_usable(holder_ms) {
                self.last_usable_ms = now_ms;
            }
        }
        for index in 0..2 {
            if conditions.member_platform[index] {
                let member_ms = clock(now_ms, self.has_fast_clock[index]);
                let peer = &mut self.observed[index];
                peer.row.observe(self.row_version, member_ms);
                peer.members = self.row_members.clone();
            }
        }
    }

    fn renew(&mut self, holder_ms: u64, conditions: Conditions) {
        if conditions.holder_platform {
            self.row_members = [member(0), member(1)].into();
            self.row_version += 1;
            self.holder.renewed(&self.row_members, holder_ms, holder_ms);
        }
    }

    fn acknowledge(&mut self, now_ms: u64, holder_ms: u64, conditions: Conditions) {
        for index in 0..2 {
            if conditions.links[index] {
                self.observed[index].last_ack_sent_ms =
                    Some(clock(now_ms, self.has_fast_clock[index]));
                self.holder.acknowledged(&member(index), holder_ms);
            }
        }
    }

    /// Returns whether a member that reaches the platform may reclaim all units.
    fn reclaims(&self, now_ms: u64, conditions: Conditions) -> bool {
        (0..2).any(|index| {
            let peer = &self.observed[index];
            let member_ms = clock(now_ms, self.has_fast_clock[index]);
            let reclaim = peer.reclaimable(&member(index), MAX_DEADLINE_MS, member_ms);
            // The write succeeds only if the row still has the observed version.
            conditions.member_platform[index]
                && peer.row.version == self.row_version
                && reclaim == Reclaim::All
        })
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]
    #[test]
    fn base_units_are_not_taken_back_while_they_may_be_in_use(
        schedule in schedule(),
        has_fast_clock in any::<[bool; 3]>(),
    ) {
        let mut model = Model::new(has_fast_clock);
        let mut now_ms = STEP_MS;
        model.renew(clock(now_ms, has_fast_clock[2]), schedule[0].0);
        for (conditions, steps) in schedule {
            for _ in 0..steps {
                now_ms += STEP_MS;
                model.step(now_ms, conditions);
                if model.reclaims(now_ms, conditions) {
                    let since_ms = now_ms - model.last_usable_ms;
                    prop_assert!(
                        since_ms >= MAX_DEADLINE_MS,
                        "reclaimed at {now_ms} ms, {since_ms} ms after the last use"
                    );
                    return Ok(());
                }
            }
        }
    }
}

#[test]
fn crashed_process_is_reclaimed_by_a_member_in_the_end() {
    let up = Conditions {
        holder_platform: true,
        member_platform: [true; 2],
        links: [true; 2],
        holder_paused: false,
    };
    let mut model = Model::new([false; 3]);
    let mut now_ms = 0;
    for _ in 0..50 {
        now_ms += STEP_MS;
        model.step(now_ms, up);
        assert!(!model.reclaims(now_ms, up));
    }
    let crashed = Conditions { holder_paused: true, ..up };
    for _ in 0..100 {
        now_ms += STEP_MS;
        model.step(now_ms, crashed);
    }
    assert!(model.reclaims(now_ms, crashed));
}

#[test]
fn non_member_reclaims_only_elastic_units() {
    let mut row = ObservedLease::new(1, 0);
    row.observe(1, 1_000_000);
    let peer = PeerLease { row, members: [member(0)].into(), last_ack_sent_ms: None };
    assert_eq!(peer.reclaimable(&member(1), MAX_DEADLINE_MS, 1_000_000), Reclaim::Elastic);
    assert_eq!(peer.reclaimable(&member(0), MAX_DEADLINE_MS, 1_000_000), Reclaim::All);
}
