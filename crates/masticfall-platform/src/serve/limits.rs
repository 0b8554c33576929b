//! How much of an instance's memory and descriptors the callers may hold.

use std::fs;

/// Part of the memory that callers may hold. The rest is for the process itself, and for what the
/// allocator keeps while many bodies come and go, which can exceed what callers hold.
const MEMORY_DIVISOR: usize = 6;

/// Part of the memory that callers may hold if a single request takes more than the former.
const MAX_MEMORY_DIVISOR: usize = 2;

/// Size of a request line and empty lines before it that counts besides the headers, in bytes.
const REQUEST_LINE_BYTES: usize = 8 * 1_024;

/// Maximum of the memory that callers hold by default, in bytes.
const MAX_DEFAULT_MEMORY_BYTES: usize = 32 * 1_024 * 1_024;

/// Minimum of the memory that callers hold besides one body of the maximum size, in bytes.
const MIN_REST_BYTES: usize = 512 * 1_024;

/// Memory that counts where the system reports none, in bytes.
const FALLBACK_MEMORY_BYTES: usize = 128 * 1_024 * 1_024;

/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;

/// Maximum number of callers' connections by default.
const MAX_DEFAULT_CONNECTIONS: usize = 1_950;

/// Default of the maximum size of a head, in bytes.
const DEFAULT_HEAD_BYTES: usize = 32 * 1_024;

/// Minimum of the maximum size of a head, in bytes; the HTTP library accepts no less.
const MIN_HEAD_BYTES: usize = 8 * 1_024;

/// Limits on what the clients of a server hold as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServeLimits {
    /// Memory, in bytes.
    pub memory_bytes: usize,
    /// Memory up to which [`ServeLimits::memory_bytes`] may be raised, in bytes.
    pub max_memory_bytes: usize,
    /// Number of connections.
    pub max_connections: usize,
    /// Size of a head, in bytes. Longer ones are refused.
    pub max_head_bytes: usize,
}

/// Builds limits; those that aren't set follow from the instance that the process runs on.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServeLimitsBuilder {
    instance_memory_bytes: Option<usize>,
    memory_bytes: Option<usize>,
    max_connections: Option<usize>,
    max_head_bytes: Option<usize>,
}

impl ServeLimits {
    /// Raises the limits, if need be, so that a single request of these sizes finds room.
    pub(super) fn make_room_for(&mut self, header_bytes: usize, body_bytes: usize) {
        self.max_head_bytes = self.max_head_bytes.max(header_bytes + REQUEST_LINE_BYTES);
        // A body is in memory twice while its blocks are joined.
        let wanted_bytes = 2 * body_bytes + self.max_head_bytes + MIN_REST_BYTES;
        self.memory_bytes = self.memory_bytes.max(wanted_bytes.min(self.max_memory_bytes));
    }

    /// Returns a builder.
    pub fn builder() -> ServeLimitsBuilder {
        ServeLimitsBuilder::default()
    }
}

impl ServeLimitsBuilder {
    /// Sets the memory that the process may use, from which that of the clients follows.
    pub fn instance_memory_bytes(mut self, bytes: Option<usize>) -> Self {
        self.instance_memory_bytes = bytes;
        self
    }

    /// Sets the memory that the clients may hold.
    pub fn memory_bytes(mut self, bytes: Option<usize>) -> Self {
        self.memory_bytes = bytes;
        self
    }

    /// Sets the number of connections.
    pub fn max_connections(mut self, connections: Option<usize>) -> Self {
        self.max_connections = connections;
        self
    }

    /// Sets the size of a head.
    pub fn max_head_bytes(mut self, bytes: usize) -> Self {
        self.max_head_bytes = Some(bytes);
        self
    }

    /// Returns the limits.
    pub fn build(self) -> ServeLimits {
        let instance_bytes = self.instance_memory_bytes.or_else(reported_memory_bytes);
        let instance_bytes = instance_bytes.unwrap_or(FALLBACK_MEMORY_BYTES);
        let share_bytes = (instance_bytes / MEMORY_DIVISOR).min(MAX_DEFAULT_MEMORY_BYTES);
        let memory_bytes = self.memory_bytes.unwrap_or(share_bytes);
        let max_memory_bytes = memory_bytes.max(instance_bytes / MAX_MEMORY_DIVISOR);
        let max_connections = self.max_connections.unwrap_or_else(|| {
            let sockets = max_descriptors().map(|all| all.saturating_sub(FILE_DESCRIPTORS));
            // The other half is for the process's own calls.
            let share = sockets.map_or(MAX_DEFAULT_CONNECTIONS, |sockets| sockets / 2);
            share.clamp(1, MAX_DEFAULT_CONNECTIONS)
        });
        let max_head_bytes = self.max_head_bytes.unwrap_or(DEFAULT_HEAD_BYTES).max(MIN_HEAD_BYTES);
        ServeLimits { memory_bytes, max_memory_bytes, max_connections, max_head_bytes }
    }
}

/// Returns the memory of the instance.
fn reported_memory_bytes() -> Option<usize> {
    let text = fs::read_to_string("/proc/meminfo").ok()?;
    let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let total_kib: usize = total.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(total_kib * 1_024)
}

/// Returns the number of descriptors that the process may open; none if there is no limit.
fn max_descriptors() -> Option<usize> {
    let text = fs::read_to_string("/proc/self/limits").ok()?;
    let limit = text.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    limit.split_whitespace().next()?.parse().ok()
}
