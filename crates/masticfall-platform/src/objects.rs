//! The object store.

use std::fmt;

use bytes::Bytes;

use crate::Operation;

/// The object store.
#[derive(Clone)]
pub struct ObjectStore {
    /// Stores an object under a name.
    pub put: Operation<(String, Bytes), ()>,
    /// Reads an object; none when there is none.
    pub get: Operation<String, Option<Bytes>>,
}

impl fmt::Debug for ObjectStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ObjectStore").finish_non_exhaustive()
    }
}
