//! A run of a task on a worker, as far as the owner knows of it.

use crate::fleet::crashes::START_WINDOW_MS;
use crate::id::WorkerId;

/// State of a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderState {
    /// The placement isn't stored yet, and no order was sent.
    Unstored,
    /// The order was sent at this time, and has no answer yet.
    Sent(u64),
    /// The outcome is unknown since this time; the order is sent again.
    Unknown(u64),
    /// The order took effect or never will, as of this time: if a report requested
    /// later shows neither the run nor its end, the run doesn't exist.
    Settled(u64),
}

/// A run of a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The worker.
    pub worker: WorkerId,
    /// Attempt number.
    pub attempt: u32,
    /// State of the start order.
    pub order: OrderState,
    /// Whether an earlier start order of this run had an unknown outcome.
    pub had_unknown_outcome: bool,
    /// When its start was first ordered; `None` if an earlier owner ordered it. It may have
    /// started at any time from then on: an order without an answer may be carried out late.
    pub ordered_ms: Option<u64>,
    /// By when it had started: when the order was confirmed, or a report first showed it.
    pub started_by_ms: Option<u64>,
    /// Time for which it is known to have been alive, in milliseconds.
    pub alive_ms: u64,
    /// Start time of the worker's incarnation, in milliseconds since the Unix epoch, if known.
    pub born_wall_ms: Option<u64>,
    /// When a stop order was last issued.
    pub stop_sent_ms: Option<u64>,
    /// Progress, in percent.
    pub percent: u32,
    /// Load in the last report.
    pub load: u64,
    /// Pace that was last ordered, in percent of full pace.
    pub pace_percent: u32,
}

impl Placement {
    /// Creates a placement whose order wasn't sent.
    pub fn new(worker: &WorkerId, attempt: u32) -> Self {
        Self {
            worker: worker.clone(),
            attempt,
            order: OrderState::Unstored,
            had_unknown_outcome: false,
            ordered_ms: None,
            started_by_ms: None,
            alive_ms: 0,
            born_wall_ms: None,
            stop_sent_ms: None,
            percent: 0,
            load: 0,
            pace_percent: 100,
        }
    }

    /// Records that a report shows the run, of the worker's incarnation that started at
    /// `born_wall_ms`.
    pub fn record_alive(&mut self, born_wall_ms: u64, now_ms: u64) {
        let started_by_ms = *self.started_by_ms.get_or_insert(now_ms);
        self.alive_ms = now_ms.saturating_sub(started_by_ms);
        self.born_wall_ms = Some(born_wall_ms);
    }

    /// Returns whether the run is known to have outlived its start.
    pub fn is_settled(&self) -> bool {
        self.alive_ms >= START_WINDOW_MS
    }

    /// Creates a placement made by an earlier owner. The first report under the
    /// new fencing token decides whether its run exists.
    pub(super) fn restored(worker: &WorkerId, attempt: u32) -> Self {
        Self { order: OrderState::Settled(0), ..Self::new(worker, attempt) }
    }
}
