//! The time line: typed events in a bounded ring, ordered by a hybrid logical clock.

use std::collections::VecDeque;
use std::fmt;
use std::str::FromStr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::id::{Incarnation, Name};

/// Events kept in each ring of a process.
pub const RING_EVENTS: usize = 8_192;

/// A hybrid logical clock's reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Stamp {
    /// Wall clock, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Order among readings with the same wall clock.
    pub counter: u32,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.wall_ms, self.counter)
    }
}

/// Text that is not a reading of a hybrid logical clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotAStamp;

impl FromStr for Stamp {
    type Err = NotAStamp;

    fn from_str(text: &str) -> Result<Self, NotAStamp> {
        let (wall_ms, counter) = text.split_once('.').ok_or(NotAStamp)?;
        match (wall_ms.parse(), counter.parse()) {
            (Ok(wall_ms), Ok(counter)) => Ok(Self { wall_ms, counter }),
            _ => Err(NotAStamp),
        }
    }
}

/// A hybrid logical clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct HybridClock {
    last: Stamp,
}

impl HybridClock {
    /// Returns a reading later than all before it.
    pub fn now(&mut self, wall_ms: u64) -> Stamp {
        self.last = if wall_ms > self.last.wall_ms {
            Stamp { wall_ms, counter: 0 }
        } else {
            Stamp { wall_ms: self.last.wall_ms, counter: self.last.counter + 1 }
        };
        self.last
    }

    /// Merges a reading received from a peer.
    pub fn observe(&mut self, stamp: Stamp, wall_ms: u64) {
        self.last = self.last.max(stamp);
        self.now(wall_ms);
    }
}

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
#[expect(missing_docs, reason = "the names say what happened")]
pub enum EventKind {
    Started,
    Leaving,
    Admitted,
    Refused,
    Dispatched,
    Retried,
    Forwarded,
    Answered,
    GrantChanged,
    GrantReclaimed,
    RevisionInForce,
    KeyWithdrawn,
    InstanceChanged,
    MovePlanned,
    JobAccepted,
    JobPlaced,
    JobFinished,
    JobParked,
    JobCancelled,
    WorkerAtFault,
    WaveChanged,
    LeaseTaken,
    PlatformLost,
    PlatformBack,
}

/// One event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When, in the order of all processes.
    pub stamp: Stamp,
    /// The process that recorded it.
    pub process: Incarnation,
    /// What happened.
    pub kind: EventKind,
    /// To what: `team`, `instance`, `job`, `request` and the like.
    pub labels: IndexMap<Name, Name>,
}

/// An event of a request, in the form in which many are recorded a second.
#[derive(Debug, Clone)]
pub struct RequestEvent {
    /// What happened.
    pub kind: EventKind,
    /// Identifier of the request.
    pub request: Name,
    /// Further labels.
    pub labels: [Option<(&'static str, Name)>; 2],
}

impl RequestEvent {
    fn expand(&self, stamp: Stamp, process: &Incarnation) -> Event {
        let mut labels = IndexMap::new();
        labels.insert(Name::from("request"), Name::clone(&self.request));
        for (name, value) in self.labels.iter().flatten() {
            labels.insert(Name::from(*name), Name::clone(value));
        }
        Event { stamp, process: process.clone(), kind: self.kind, labels }
    }
}

/// Two bounded rings of events: of requests, and of everything else.
///
/// They are apart so that a busy second does not push out the changes of a day.
#[derive(Debug)]
pub struct Timeline {
    process: Incarnation,
    clock: HybridClock,
    events: VecDeque<Event>,
    requests: VecDeque<(Stamp, RequestEvent)>,
    capacity: usize,
    lost: u64,
}

impl Timeline {
    /// Makes an empty ring for a process.
    pub fn new(process: Incarnation, capacity: usize) -> Self {
        let (events, requests) = (VecDeque::new(), VecDeque::new());
        Self { process, clock: HybridClock::default(), events, requests, capacity, lost: 0 }
    }

    /// Returns the clock.
    pub fn clock(&mut self) -> &mut HybridClock {
        &mut self.clock
    }

    /// Records an event; the oldest is dropped and counted when the ring is full.
    pub fn record(&mut self, wall_ms: u64, kind: EventKind, labels: &[(&str, &str)]) {
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.lost += 1;
        }
        let stamp = self.clock.now(wall_ms);
        let labels = labels.iter().map(|(key, value)| (Name::from(*key), Name::from(*value)));
        let process = self.process.clone();
        self.events.push_back(Event { stamp, process, kind, labels: labels.collect() });
    }

    /// Records an event of a request; the oldest is dropped and counted when its ring is full.
    pub fn record_request(&mut self, wall_ms: u64, event: RequestEvent) {
        if self.requests.len() == self.capacity {
            self.requests.pop_front();
            self.lost += 1;
        }
        let stamp = self.clock.now(wall_ms);
        self.requests.push_back((stamp, event));
    }

    /// Returns the events after a reading, oldest first.
    pub fn since(&self, stamp: Stamp) -> Vec<Event> {
        let events = self.events.iter().filter(|event| event.stamp > stamp).cloned();
        let requests = self.requests.iter().filter(|(at, _)| *at > stamp);
        let requests = requests.map(|(at, event)| event.expand(*at, &self.process));
        merge([events.collect(), requests.collect()].into_iter())
    }

    /// Returns how many events were dropped.
    pub fn lost(&self) -> u64 {
        self.lost
    }
}

/// Merges the events of several processes into one order.
pub fn merge(events: impl Iterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut all: Vec<Event> = events.flatten().collect();
    all.sort_by(|a, b| (a.stamp, &a.process).cmp(&(b.stamp, &b.process)));
    all
}
