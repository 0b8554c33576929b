//! Loss of workers, and of the runs on them.

use strum::{Display, IntoStaticStr};

/// How the owner learned that the runs on a worker are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LossCause {
    /// The worker didn't answer until its leases had expired. It may have crashed, or may
    /// only be cut off.
    LeaseExpired,
    /// The worker reports a later start under the same identifier.
    Restarted,
    /// Another worker answers at its address.
    Replaced,
    /// An earlier owner placed the runs on a worker that this one never saw.
    Unlisted,
}
