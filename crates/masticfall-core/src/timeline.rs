//! The timeline: typed events in bounded ring buffers, ordered by a hybrid logical clock.

use std::collections::VecDeque;
use std::fmt;
use std::str::FromStr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::id::{Incarnation, Name};

/// Capacity of each ring buffer, in events.
pub const RING_EVENTS: usize = 8_192;

/// A timestamp of a hybrid logical clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Stamp {
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Order among stamps with the same wall-clock time.
    pub counter: u32,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.wall_ms, self.counter)
    }
}

/// The text is not a valid [`Stamp`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseStampError;

impl FromStr for Stamp {
    type Err = ParseStampError;

    fn from_str(text: &str) -> Result<Self, ParseStampError> {
        let (wall_ms, counter) = text.split_once('.').ok_or(ParseStampError)?;
        match (wall_ms.parse(), counter.parse()) {
            (Ok(wall_ms), Ok(counter)) => Ok(Self { wall_ms, counter }),
            _ => Err(ParseStampError),
        }
    }
}

/// A hybrid logical clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct HybridClock {
    last: Stamp,
}

impl HybridClock {
    /// Returns a stamp that is later than all previous ones.
    pub fn now(&mut self, wall_ms: u64) -> Stamp {
        self.last = if wall_ms > self.last.wall_ms {
            Stamp { wall_ms, counter: 0 }
        } else {
            Stamp { wall_ms: self.last.wall_ms, counter: self.last.counter + 1 }
        };
        self.last
    }

    /// Advances the clock past a stamp received from a peer.
    pub fn observe(&mut self, stamp: Stamp, wall_ms: u64) {
        self.last = self.last.max(stamp);
        self.now(wall_ms);
    }
}

/// The kind of an event.
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
    /// Time of the event, ordered across processes.
    pub stamp: Stamp,
    /// The process that recorded it.
    pub process: Incarnation,
    /// Kind of the event.
    pub kind: EventKind,
    /// What the event concerns, such as `team`, `instance`, `job` or `request`.
    pub labels: IndexMap<Name, Name>,
}

/// A request event in a compact form, since many are recorded per second.
#[derive(Debug, Clone)]
pub struct RequestEvent {
    /// Kind of the event.
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

/// Two bounded ring buffers: one for request events, one for all other events.
///
/// They are separate so that a burst of requests does not evict rarer events,
/// such as the day's changes.
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
    /// Creates an empty timeline for a process.
    pub fn new(process: Incarnation, capacity: usize) -> Self {
        let (events, requests) = (VecDeque::new(), VecDeque::new());
        Self { process, clock: HybridClock::default(), events, requests, capacity, lost: 0 }
    }

    /// Returns the clock.
    pub fn clock(&mut self) -> &mut HybridClock {
        &mut self.clock
    }

    /// Records an event; drops and counts the oldest one when the ring is full.
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

    /// Records a request event; drops and counts the oldest one when the ring is full.
    pub fn record_request(&mut self, wall_ms: u64, event: RequestEvent) {
        if self.requests.len() == self.capacity {
            self.requests.pop_front();
            self.lost += 1;
        }
        let stamp = self.clock.now(wall_ms);
        self.requests.push_back((stamp, event));
    }

    /// Returns the events after `stamp`, oldest first.
    pub fn since(&self, stamp: Stamp) -> Vec<Event> {
        let events = self.events.iter().filter(|event| event.stamp > stamp).cloned();
        let requests = self.requests.iter().filter(|(at, _)| *at > stamp);
        let requests = requests.map(|(at, event)| event.expand(*at, &self.process));
        merge([events.collect(), requests.collect()].into_iter())
    }

    /// Returns the number of dropped events.
    pub fn lost(&self) -> u64 {
        self.lost
    }
}

/// Merges the events of several processes in the order of their stamps.
pub fn merge(events: impl Iterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut all: Vec<Event> = events.flatten().collect();
    all.sort_by(|a, b| (a.stamp, &a.process).cmp(&(b.stamp, &b.process)));
    all
}
