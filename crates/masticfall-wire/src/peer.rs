//! Messages between entry processes.

use indexmap::IndexMap;
use masticfall_core::id::{DataCentre, Incarnation, InstanceName, KeyId, Revision};
use masticfall_core::timeline::Stamp;
use serde::{Deserialize, Serialize};

use crate::rows::{ConfigRow, Withdrawal};

/// One message with what every message carries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// Sender.
    pub from: Incarnation,
    /// Sender's data centre.
    pub data_centre: DataCentre,
    /// Sender's hybrid logical clock.
    pub stamp: Stamp,
    /// Configuration that is in force at the sender.
    pub revision: Revision,
    /// The message.
    pub message: PeerMessage,
}

/// What a process tells its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// Sent a few times a second to every peer.
    Heartbeat(Heartbeat),
    /// Acknowledges a heartbeat: a promise not to reclaim for a lease length.
    Acknowledge {
        /// Sequence number of the heartbeat.
        sequence: u64,
    },
    /// Tells at once that the revision in force has changed; every frame carries it.
    Announce,
    /// The configuration in force, for a receiver that asked for it.
    Config(ConfigRow),
    /// Withdrawals of keys.
    Withdrawn(IndexMap<KeyId, Withdrawal>),
    /// Asks for the configuration in force.
    FetchConfig,
}

/// A process's summary of itself.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sequence number, by which it is acknowledged.
    pub sequence: u64,
    /// Digest of the withdrawals known.
    pub withdrawn_digest: u64,
    /// Leaving instances that the sender sends nothing to and waits for nothing from,
    /// with the version of the row by which they leave.
    pub quiet: IndexMap<InstanceName, u64>,
    /// Whether the sender reached the platform within a lease length.
    pub platform: bool,
}
