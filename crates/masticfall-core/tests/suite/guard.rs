//! No unit is taken back while its holder, or what it dispatched, may still use it.
//!
//! A small model of one holder and two members of its data centre, each with a
//! clock of its own speed, over a network and a platform that fail by schedule.

use indexmap::IndexSet;
use masticfall_core::guard::{HolderLeases, PeerLease, Reclaim};
use masticfall_core::id::Incarnation;
use masticfall_core::lease::{CLOCK_DRIFT_PER_MILLE, ObservedLease};
use proptest::prelude::*;

const MAX_DEADLINE_MS: u64 = 2_000;
const STEP_MS: u64 = 100;

/// What works in one step.
#[derive(Debug, Clone, Copy)]
struct Conditions {
    holder_platform: bool,
    member_platform: [bool; 2],
    links: [bool; 2],
    frozen: bool,
}

fn conditions() -> impl Strategy<Value = Conditions> {
    let likely = || prop::bool::weighted(0.7);
    (likely(), [likely(), likely()], [likely(), likely()], prop::bool::weighted(0.1)).prop_map(
        |(holder_platform, member_platform, links, frozen)| Conditions {
            holder_platform,
            member_platform,
            links,
            frozen,
        },
    )
}

/// Phases of one to ninety steps with the same conditions.
fn schedule() -> impl Strategy<Value = Vec<(Conditions, u64)>> {
    prop::collection::vec((conditions(), 1..90u64), 1..12)
}

fn member(index: usize) -> Incarnation {
    Incarnation::from(format!("m{index}"))
}

/// Reads a clock that is right, or fast by the drift allowed between two.
fn clock(now_ms: u64, fast: bool) -> u64 {
    let drift = now_ms * CLOCK_DRIFT_PER_MILLE / 1_000;
    if fast { now_ms + drift } else { now_ms }
}

struct Model {
    holder: HolderLeases,
    row_version: u64,
    row_members: IndexSet<Incarnation>,
    observed: [PeerLease; 2],
    fast: [bool; 3],
    last_usable_ms: u64,
}

impl Model {
    fn new(fast: [bool; 3]) -> Self {
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
            fast,
            last_usable_ms: 0,
        }
    }

    fn step(&mut self, now_ms: u64, on: Conditions) {
        let holder_ms = clock(now_ms, self.fast[2]);
        if !on.frozen {
            self.renew(holder_ms, on);
            self.acknowledge(now_ms, holder_ms, on);
            if self.holder.base_usable(holder_ms) {
                self.last_usable_ms = now_ms;
            }
        }
        for index in 0..2 {
            if on.member_platform[index] {
                let member_ms = clock(now_ms, self.fast[index]);
                let peer = &mut self.observed[index];
                peer.row.observe(self.row_version, member_ms);
                peer.members = self.row_members.clone();
            }
        }
    }

    fn renew(&mut self, holder_ms: u64, on: Conditions) {
        if on.holder_platform {
            self.row_members = [member(0), member(1)].into();
            self.row_version += 1;
            self.holder.renewed(&self.row_members, holder_ms, holder_ms);
        }
    }

    fn acknowledge(&mut self, now_ms: u64, holder_ms: u64, on: Conditions) {
        for index in 0..2 {
            if on.links[index] {
                self.observed[index].last_ack_sent_ms = Some(clock(now_ms, self.fast[index]));
                self.holder.acknowledged(&member(index), holder_ms);
            }
        }
    }

    /// Returns whether a member that reaches the platform may take everything.
    fn reclaims(&self, now_ms: u64, on: Conditions) -> bool {
        (0..2).any(|index| {
            let peer = &self.observed[index];
            let member_ms = clock(now_ms, self.fast[index]);
            let what = peer.reclaimable(&member(index), MAX_DEADLINE_MS, member_ms);
            // The write holds only for the version that was observed.
            on.member_platform[index]
                && peer.row.version == self.row_version
                && what == Reclaim::All
        })
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]
    #[test]
    fn base_units_are_not_taken_back_while_they_may_be_in_use(
        schedule in schedule(),
        fast in any::<[bool; 3]>(),
    ) {
        let mut model = Model::new(fast);
        let mut now_ms = STEP_MS;
        model.renew(clock(now_ms, fast[2]), schedule[0].0);
        for (on, steps) in schedule {
            for _ in 0..steps {
                now_ms += STEP_MS;
                model.step(now_ms, on);
                if model.reclaims(now_ms, on) {
                    let since_ms = now_ms - model.last_usable_ms;
                    prop_assert!(
                        since_ms >= MAX_DEADLINE_MS,
                        "taken back {since_ms} ms after the last use at {now_ms}"
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
        frozen: false,
    };
    let mut model = Model::new([false; 3]);
    let mut now_ms = 0;
    for _ in 0..50 {
        now_ms += STEP_MS;
        model.step(now_ms, up);
        assert!(!model.reclaims(now_ms, up));
    }
    let crashed = Conditions { frozen: true, ..up };
    for _ in 0..100 {
        now_ms += STEP_MS;
        model.step(now_ms, crashed);
    }
    assert!(model.reclaims(now_ms, crashed));
}

#[test]
fn stranger_takes_back_elastic_units_only() {
    let mut row = ObservedLease::new(1, 0);
    row.observe(1, 1_000_000);
    let peer = PeerLease { row, members: [member(0)].into(), last_ack_sent_ms: None };
    assert_eq!(peer.reclaimable(&member(1), MAX_DEADLINE_MS, 1_000_000), Reclaim::Elastic);
    assert_eq!(peer.reclaimable(&member(0), MAX_DEADLINE_MS, 1_000_000), Reclaim::All);
}
