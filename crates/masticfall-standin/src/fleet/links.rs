//! Links between processes and workers.
//!
//! A worker can be cut off from one process while it serves the others.

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use masticfall_core::id::{Name, WorkerId};
use masticfall_platform::fleet::{PollCall, RunCall, StartCall};

use super::{World, workers};

/// How a link carries the calls of a process to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LinkMode {
    /// Carries calls and responses.
    #[default]
    Open,
    /// Loses calls and responses.
    Cut,
    /// Loses responses, and holds calls until it is open: the worker then carries them out
    /// in order, though their callers have given up.
    Held,
}

/// A call to a worker.
#[derive(Debug, Clone)]
pub(super) enum WorkerCall {
    Start(StartCall),
    Stop(RunCall),
    Pace(RunCall),
    Poll(PollCall),
}

impl WorkerCall {
    fn address(&self) -> SocketAddr {
        match self {
            Self::Start(call) => call.address,
            Self::Stop(call) | Self::Pace(call) => call.address,
            Self::Poll(call) => call.address,
        }
    }

    pub(super) fn worker(&self) -> &WorkerId {
        match self {
            Self::Start(call) => &call.worker,
            Self::Stop(call) | Self::Pace(call) => &call.worker,
            Self::Poll(call) => &call.worker,
        }
    }
}

#[derive(Debug, Default)]
struct Link {
    mode: LinkMode,
    held: Vec<WorkerCall>,
}

/// The links that were ever set, by process and by the address of the worker, which it keeps
/// when it restarts.
#[derive(Debug, Default)]
pub(super) struct WorkerLinks(IndexMap<(Name, SocketAddr), Link>);

impl WorkerLinks {
    /// Returns whether the link between a process and the worker at an address is open.
    pub(super) fn is_open(&self, process: &Name, address: SocketAddr) -> bool {
        let link = self.0.get(&(Name::clone(process), address));
        link.is_none_or(|link| link.mode == LinkMode::Open)
    }

    /// Returns whether a call reaches the worker now; keeps it if the link holds calls.
    fn carries(&mut self, process: &Name, call: &WorkerCall) -> bool {
        let link = self.0.get_mut(&(Name::clone(process), call.address()));
        let Some(link) = link.filter(|link| link.mode != LinkMode::Open) else { return true };
        if link.mode == LinkMode::Held {
            link.held.push(call.clone());
        }
        false
    }

    /// Sets the mode of a link; returns the calls to be carried out.
    fn set(&mut self, process: &str, address: SocketAddr, mode: LinkMode) -> Vec<WorkerCall> {
        let link = self.0.entry((process.into(), address)).or_default();
        link.mode = mode;
        match mode {
            LinkMode::Open => std::mem::take(&mut link.held),
            LinkMode::Cut => {
                link.held.clear();
                Vec::new()
            }
            LinkMode::Held => Vec::new(),
        }
    }
}

impl World {
    /// Sets how the link between a process and a worker, by its number, carries calls.
    pub fn set_link(self: &Arc<Self>, process: &str, worker: usize, mode: LinkMode) {
        let calls = {
            let mut state = self.state.lock();
            let worker = state.workers.get_index(worker);
            let Some(address) = worker.map(|(_, worker)| worker.facts.address) else { return };
            state.worker_links.set(process, address, mode)
        };
        for call in &calls {
            workers::carry_out(self, call);
        }
        self.changed.notify_waiters();
    }

    /// Returns whether a call of a process reaches its worker now.
    pub(super) fn carries(&self, process: &Name, call: &WorkerCall) -> bool {
        self.state.lock().worker_links.carries(process, call)
    }
}
