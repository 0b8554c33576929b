//! Object store.

use std::fmt;

use bytes::Bytes;

use crate::Operation;

/// Operations of the object store.
#[derive(Clone)]
pub struct ObjectStore {
    /// Stores an object under a name.
    pub put: Operation<(String, Bytes), ()>,
    /// Reads an object; `None` if it does not exist.
    pub get: Operation<String, Option<Bytes>>,
}

impl fmt::Debug for ObjectStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ObjectStore").finish_non_exhaustive()
    }
}
