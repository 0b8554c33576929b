//! Shares: start-time fair queueing over teams, interactive ahead of long work.
//!
//! Each waiting request gets a virtual start time from its team's last finish
//! time; the earliest is served next. A team that was idle starts at the
//! current virtual time, so that it cannot save up its share.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::id::TeamName;

/// A request that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Identifier in the caller's table.
    pub ticket: u64,
    /// When the caller gives up, on the process's clock in milliseconds.
    pub deadline_ms: u64,
}

#[derive(Debug)]
struct TeamQueue {
    weight: f64,
    finish: f64,
    waiting: VecDeque<QueuedRequest>,
}

/// A bounded queue that serves teams by weight.
#[derive(Debug)]
pub struct FairQueue {
    teams: IndexMap<TeamName, TeamQueue>,
    virtual_time: f64,
    len: usize,
    max_waiting: usize,
}

impl FairQueue {
    /// Makes an empty queue with a bound on the requests that wait.
    pub fn new(max_waiting: usize) -> Self {
        Self { teams: IndexMap::new(), virtual_time: 0.0, len: 0, max_waiting }
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Sets the bound on waiting requests.
    pub fn set_max_waiting(&mut self, max_waiting: usize) {
        self.max_waiting = max_waiting;
    }

    /// Adds a request; `false` when the queue is full.
    pub fn push(&mut self, team: &TeamName, weight: f64, request: QueuedRequest) -> bool {
        if self.len >= self.max_waiting {
            return false;
        }
        let now = self.virtual_time;
        let queue = self.teams.entry(team.clone()).or_insert_with(|| TeamQueue {
            weight,
            finish: now,
            waiting: VecDeque::new(),
        });
        queue.weight = weight.max(f64::MIN_POSITIVE);
        queue.waiting.push_back(request);
        self.len += 1;
        true
    }

    /// Takes out the next request; those whose deadline passed go into `dead`.
    pub fn pop(&mut self, now_ms: u64, dead: &mut Vec<u64>) -> Option<u64> {
        loop {
            let virtual_time = self.virtual_time;
            let next = self
                .teams
                .values_mut()
                .filter(|queue| !queue.waiting.is_empty())
                .min_by(|a, b| start(a, virtual_time).total_cmp(&start(b, virtual_time)))?;
            let request = next.waiting.pop_front()?;
            self.len -= 1;
            if request.deadline_ms <= now_ms {
                dead.push(request.ticket);
                continue;
            }
            self.virtual_time = start(next, virtual_time);
            next.finish = self.virtual_time + 1.0 / next.weight;
            return Some(request.ticket);
        }
    }

    /// Charges a team for a request that was served without waiting.
    pub fn charge(&mut self, team: &TeamName, weight: f64) {
        let now = self.virtual_time;
        let queue = self.teams.entry(team.clone()).or_insert_with(|| TeamQueue {
            weight,
            finish: now,
            waiting: VecDeque::new(),
        });
        self.virtual_time = start(queue, now);
        queue.finish = self.virtual_time + 1.0 / weight.max(f64::MIN_POSITIVE);
    }

    /// Removes a request whose caller went away; `false` when it is not waiting.
    pub fn remove(&mut self, team: &TeamName, ticket: u64) -> bool {
        let Some(queue) = self.teams.get_mut(team) else {
            return false;
        };
        let before = queue.waiting.len();
        queue.waiting.retain(|request| request.ticket != ticket);
        let removed = before - queue.waiting.len();
        self.len -= removed;
        removed > 0
    }
}

/// Largest part of the time left that a request may be expected to wait, in percent.
///
/// Times for which slots are held vary: a queue as long as the deadline allows
/// on average serves many requests just too late. Half keeps every slot busy,
/// leaves room for long requests, and empties soon after a burst.
const MAX_WAIT_PERCENT: u64 = 50;

/// Tells whether a request that would join a queue can be answered in time.
///
/// `waiting` requests are ahead of it, `slots` serve them, each is held for
/// `mean_hold_ms`, and the caller gives up after `left_ms`.
pub fn can_meet_deadline(waiting: usize, slots: u32, mean_hold_ms: f64, left_ms: u64) -> bool {
    let ahead = waiting as f64 + 1.0;
    let wait_ms = (ahead * mean_hold_ms / f64::from(slots.max(1))) as u64;
    wait_ms < left_ms * MAX_WAIT_PERCENT / 100
}

fn start(queue: &TeamQueue, virtual_time: f64) -> f64 {
    queue.finish.max(virtual_time)
}
