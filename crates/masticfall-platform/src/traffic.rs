//! Counts the calls and bytes that a process exchanges with the platform, by kind of call.
//!
//! Thin links fail first where a kind of call grows with the size of the fleet, so an
//! operator has to see which kind fills a link.

use std::sync::atomic::{AtomicU64, Ordering};

use strum::{EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

/// Kinds of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CallKind {
    /// Transactions of the store.
    StoreWrite,
    /// Range reads of the store.
    StoreRead,
    /// Change feeds of the store.
    StoreFollow,
    /// Orders that start a run.
    WorkerStart,
    /// Orders that stop or pace a run.
    WorkerOrder,
    /// Polls of workers.
    WorkerPoll,
    /// Lists of the instance provider.
    InstanceList,
    /// Changes of instances.
    InstanceChange,
    /// Requests to the placement policy service.
    Advice,
    /// Frames between the owner and its relays, as seen by the owner.
    Relay,
    /// Requests of callers to entry processes, which only test clients make.
    Submission,
}

/// Calls and bytes of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TrafficCount {
    /// Completed calls, including those without a response.
    pub calls: u64,
    /// Size of the request bodies, in bytes.
    pub sent_bytes: u64,
    /// Size of the response bodies, in bytes.
    pub received_bytes: u64,
}

impl TrafficCount {
    /// Returns the difference from an earlier count.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            calls: self.calls - earlier.calls,
            sent_bytes: self.sent_bytes - earlier.sent_bytes,
            received_bytes: self.received_bytes - earlier.received_bytes,
        }
    }
}

#[derive(Debug, Default)]
struct Counters {
    calls: AtomicU64,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

/// Traffic of a process since its start.
#[derive(Debug, Default)]
pub struct Traffic([Counters; CallKind::COUNT]);

impl Traffic {
    /// Records a call with the sizes of its bodies, in bytes.
    pub fn record(&self, kind: CallKind, sent_bytes: usize, received_bytes: usize) {
        let counters = &self.0[kind as usize];
        counters.calls.fetch_add(1, Ordering::Relaxed);
        counters.sent_bytes.fetch_add(sent_bytes as u64, Ordering::Relaxed);
        counters.received_bytes.fetch_add(received_bytes as u64, Ordering::Relaxed);
    }

    /// Returns the counts of all kinds.
    pub fn counts(&self) -> impl Iterator<Item = (CallKind, TrafficCount)> {
        CallKind::iter().map(|kind| {
            let counters = &self.0[kind as usize];
            let count = TrafficCount {
                calls: counters.calls.load(Ordering::Relaxed),
                sent_bytes: counters.sent_bytes.load(Ordering::Relaxed),
                received_bytes: counters.received_bytes.load(Ordering::Relaxed),
            };
            (kind, count)
        })
    }
}
