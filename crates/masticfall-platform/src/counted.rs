//! Counts of platform operations, to hold them against the platform's rates.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::{Platform, operation};

/// Numbers of operations so far.
#[derive(Debug, Default)]
pub struct Counts {
    /// Rows written.
    pub writes: AtomicU64,
    /// Read and scan requests.
    pub reads: AtomicU64,
}

/// Returns the platform with its table operations counted.
pub fn counted(mut platform: Platform, counts: &Arc<Counts>) -> Platform {
    let inner = platform.tables.clone();
    let (transact, read, scan) = (inner.transact, inner.read, inner.scan);
    let count = Arc::clone(counts);
    platform.tables.transact = operation(move |transaction: crate::Transaction| {
        count.writes.fetch_add(transaction.writes.len() as u64, Ordering::Relaxed);
        transact(transaction)
    });
    let count = Arc::clone(counts);
    platform.tables.read = operation(move |keys| {
        count.reads.fetch_add(1, Ordering::Relaxed);
        read(keys)
    });
    let count = Arc::clone(counts);
    platform.tables.scan = operation(move |prefix| {
        count.reads.fetch_add(1, Ordering::Relaxed);
        scan(prefix)
    });
    platform
}
