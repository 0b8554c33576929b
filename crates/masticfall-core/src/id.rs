//! Typed names and numbers that identify entities.
//!
//! Names are shared immutable strings, so a clone costs one reference-count
//! increment. A separate type per kind of entity keeps a pool's name from being
//! passed where a team's is expected.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Shared immutable text.
pub type Name = Arc<str>;

macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Name);

        impl $name {
            /// Creates a name from text.
            pub fn new(text: impl Into<Name>) -> Self {
                Self(text.into())
            }

            /// Returns the name as shared text.
            pub fn name(&self) -> &Name {
                &self.0
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self::new(text)
            }
        }
    )*};
}

name_types! {
    /// A data centre, a failure domain of the network.
    DataCentre,
    /// One run of an entry process; a restart at the same address is a new incarnation.
    Incarnation,
    /// A machine in a pool: a target or a worker.
    InstanceName,
    /// A job that runs on workers.
    JobId,
    /// The public identifier of a key, safe to log.
    KeyId,
    /// A set of instances with one purpose and one availability budget.
    PoolName,
    /// A queue to which callers submit requests or jobs.
    QueueName,
    /// A client account: a customer of the fleet with keys, a weight and a limit.
    AccountName,
    /// A worker, by the identifier that it registered.
    WorkerId,
    /// A back-end service that targets run.
    ServiceName,
    /// A customer of the fleet with keys, a share and a limit.
    TeamName,
    /// A maintenance wave.
    WaveName,
}

/// Returns the data centre at the start of a process or job name.
///
/// Such names have the form `DATA_CENTRE.NUMBER`; any other yields the empty name.
pub fn data_centre_of(name: &str) -> DataCentre {
    DataCentre::from(name.rsplit_once('.').map_or("", |(data_centre, _)| data_centre))
}

/// The number of an accepted fleet configuration; later revisions are greater.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Returns the revision after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
