//! Shares: start-time fair queueing over teams, interactive ahead of long work.
//!
//! Each waiting request gets a virtual start time from its team's last finish
//! time; the earliest is served next. A team that was idle starts at the
//! current virtual time, so that it accumulates no credit while idle.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::id::TeamName;

/// A request that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Identifier of the request in the caller's table.
    pub ticket: u64,
    /// Deadline of the request, on the process's clock in milliseconds.
    pub deadline_ms: u64,
}

#[derive(Debug)]
struct TeamQueue {
    weight: f64,
    finish_tag: f64,
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
    /// Creates an empty queue that holds at most `max_waiting` requests.
    pub fn new(max_waiting: usize) -> Self {
        Self { teams: IndexMap::new(), virtual_time: 0.0, len: 0, max_waiting }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Sets the maximum number of waiting requests.
    pub fn set_max_waiting(&mut self, max_waiting: usize) {
        self.max_waiting = max_waiting;
    }

    /// Adds a request; returns `false` when the queue is full.
    pub fn push(&mut self, team: &TeamName, weight: f64, request: QueuedRequest) -> bool {
        if self.len >= self.max_waiting {
            return false;
        }
        let now = self.virtual_time;
        let queue = self.teams.entry(team.clone()).or_insert_with(|| TeamQueue {
            weight,
            finish_tag: now,
            waiting: VecDeque::new(),
        });
        queue.weight = weight.max(f64::MIN_POSITIVE);
        queue.waiting.push_back(request);
        self.len += 1;
        true
    }

    /// Removes and returns the next request; tickets past their deadline are added to `expired`.
    pub fn pop(&mut self, now_ms: u64, expired: &mut Vec<u64>) -> Option<u64> {
        loop {
            let virtual_time = self.virtual_time;
            let next =
                self.teams.values_mut().filter(|queue| !queue.waiting.is_empty()).min_by(
                    |a, b| start_tag(a, virtual_time).total_cmp(&start_tag(b, virtual_time)),
                )?;
            let request = next.waiting.pop_front()?;
            self.len -= 1;
            if request.deadline_ms <= now_ms {
                expired.push(request.ticket);
                continue;
            }
            self.virtual_time = start_tag(next, virtual_time);
            next.finish_tag = self.virtual_time + 1.0 / next.weight;
            return Some(request.ticket);
        }
    }

    /// Charges a team for a request that was served without waiting.
    pub fn charge(&mut self, team: &TeamName, weight: f64) {
        let now = self.virtual_time;
        let queue = self.teams.entry(team.clone()).or_insert_with(|| TeamQueue {
            weight,
            finish_tag: now,
            waiting: VecDeque::new(),
        });
        self.virtual_time = start_tag(queue, now);
        queue.finish_tag = self.virtual_time + 1.0 / weight.max(f64::MIN_POSITIVE);
    }

    /// Removes a request whose caller disconnected; returns `false` when it is not waiting.
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

/// Maximum part of the remaining time that a request may be expected to wait, in percent.
///
/// Service times vary, so a queue whose mean wait just meets the deadline serves
/// many requests slightly too late. Half keeps every slot busy, leaves time for
/// long requests, and lets the queue empty soon after a burst.
const MAX_EXPECTED_WAIT_PERCENT: u64 = 50;

/// Returns whether a request that joins the queue can expect to meet its deadline.
///
/// `waiting` requests are ahead of it, `slots` serve them, each slot is held for
/// `mean_hold_ms` per request, and `remaining_ms` are left until the deadline.
pub fn can_meet_deadline(waiting: usize, slots: u32, mean_hold_ms: f64, remaining_ms: u64) -> bool {
    let ahead = waiting as f64 + 1.0;
    let wait_ms = (ahead * mean_hold_ms / f64::from(slots.max(1))) as u64;
    wait_ms < remaining_ms * MAX_EXPECTED_WAIT_PERCENT / 100
}

fn start_tag(queue: &TeamQueue, virtual_time: f64) -> f64 {
    queue.finish_tag.max(virtual_time)
}
