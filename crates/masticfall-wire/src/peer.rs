//! Messages between entry processes.
//!
//! Field names are short on the wire: heartbeats go between all processes, and
//! their size times the square of the number of processes is what control costs.

use indexmap::{IndexMap, IndexSet};
use masticfall_core::id::{Incarnation, InstanceName, KeyId, Revision, ServiceName, TeamName};
use masticfall_core::timeline::Stamp;
use serde::{Deserialize, Serialize};

use crate::rows::{ConfigRow, Withdrawal};

/// One message with what every message carries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// Sender.
    #[serde(rename = "f")]
    pub from: Incarnation,
    /// Sender's hybrid logical clock.
    #[serde(rename = "t")]
    pub stamp: Stamp,
    /// Configuration that is in force at the sender.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The message.
    #[serde(rename = "m")]
    pub message: PeerMessage,
}

/// What a process tells its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Sent a few times a second to near peers, and every few seconds to far ones.
    #[serde(rename = "h")]
    Heartbeat(Heartbeat),
    /// Acknowledges a heartbeat: a promise not to reclaim for a lease length.
    #[serde(rename = "a")]
    Acknowledge {
        /// Sequence number of the heartbeat.
        #[serde(rename = "s")]
        sequence: u64,
    },
    /// Tells at once that the revision in force has changed; every frame carries it.
    #[serde(rename = "n")]
    Announce,
    /// The configuration in force, for a receiver that asked for it.
    #[serde(rename = "c")]
    Config(ConfigRow),
    /// Withdrawals of keys.
    #[serde(rename = "w")]
    Withdrawn(IndexMap<KeyId, Withdrawal>),
    /// Tells that the sender lacks units: idle ones of others should go back to the rows.
    #[serde(rename = "u")]
    UnitsWanted {
        /// Teams whose limits' units are wanted.
        #[serde(rename = "t", default, skip_serializing_if = "IndexSet::is_empty")]
        teams: IndexSet<TeamName>,
        /// Targets whose slots are wanted.
        #[serde(rename = "s", default, skip_serializing_if = "IndexSet::is_empty")]
        targets: IndexSet<InstanceName>,
    },
    /// Asks for the configuration in force.
    #[serde(rename = "q")]
    FetchConfig,
}

/// A process's summary of itself.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sequence number, by which it is acknowledged.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// Digest of the withdrawals known.
    #[serde(rename = "w")]
    pub withdrawn_digest: u64,
    /// Leaving instances that the sender sends nothing to and waits for nothing from,
    /// with the version of the row by which they leave.
    #[serde(rename = "q", default, skip_serializing_if = "IndexMap::is_empty")]
    pub quiet: IndexMap<InstanceName, u64>,
    /// Requests in flight and waiting at the sender, by service; none to far peers.
    #[serde(rename = "d", default, skip_serializing_if = "IndexMap::is_empty")]
    pub demand: IndexMap<ServiceName, u32>,
    /// Whether the sender reached the platform within a lease length.
    #[serde(rename = "p")]
    pub platform: bool,
    /// Digest of the sender's list of its data centre's instances.
    #[serde(rename = "l")]
    pub list_digest: u64,
}
