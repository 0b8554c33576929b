//! Counts platform operations, for comparison with the platform's rate limits.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::{Platform, Result, Row, Transaction, operation};

/// Operations since the start.
#[derive(Debug, Default)]
pub struct Counts {
    /// Rows written.
    pub writes: AtomicU64,
    /// Read and scan requests for rows, and reads of the instance list.
    pub reads: AtomicU64,
    /// Bytes of keys and values written.
    pub written_bytes: AtomicU64,
    /// Bytes of keys and values read.
    pub read_bytes: AtomicU64,
}

impl Counts {
    fn count_read<'a>(&self, rows: impl Iterator<Item = &'a Row>) {
        let bytes: usize = rows.map(|row| row.key.len() + row.value.len()).sum();
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.read_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn count_write(&self, transaction: &Transaction) {
        let writes = transaction.writes.iter();
        let bytes: usize =
            writes.map(|write| write.key.len() + write.value.as_ref().map_or(0, Vec::len)).sum();
        self.writes.fetch_add(transaction.writes.len() as u64, Ordering::Relaxed);
        self.written_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Wraps the platform so that table operations and reads of the instance list are counted.
pub fn counted(mut platform: Platform, counts: &Arc<Counts>) -> Platform {
    let (transact, count) = (platform.tables.transact, Arc::clone(counts));
    platform.tables.transact = operation(move |transaction: Transaction| {
        count.count_write(&transaction);
        transact(transaction)
    });
    let (read, count) = (platform.tables.read, Arc::clone(counts));
    platform.tables.read = operation(move |keys| {
        let (result, count) = (read(keys), Arc::clone(&count));
        async move {
            let rows: Result<Vec<Option<Row>>> = result.await;
            count.count_read(rows.iter().flatten().flatten());
            rows
        }
    });
    let (scan, count) = (platform.tables.scan, Arc::clone(counts));
    platform.tables.scan = operation(move |prefix| {
        let (result, count) = (scan(prefix), Arc::clone(&count));
        async move {
            let rows: Result<Vec<Row>> = result.await;
            count.count_read(rows.iter().flatten());
            rows
        }
    });
    let (list, count) = (platform.instances.list, Arc::clone(counts));
    platform.instances.list = operation(move |data_centre| {
        let (result, count) = (list(data_centre), Arc::clone(&count));
        async move {
            let entries = result.await?;
            let bytes = masticfall_wire::encode(&entries).map_or(0, |bytes| bytes.len());
            count.reads.fetch_add(1, Ordering::Relaxed);
            count.read_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
            Ok(entries)
        }
    });
    platform
}
