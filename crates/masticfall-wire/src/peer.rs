//! Messages between entry processes.
//!
//! Field names are short on the wire: heartbeats go between all pairs of
//! processes, so control traffic is their size times the square of the number
//! of processes.

use indexmap::{IndexMap, IndexSet};
use masticfall_core::id::{Incarnation, InstanceName, KeyId, Revision, ServiceName, TeamName};
use masticfall_core::timeline::Stamp;
use serde::{Deserialize, Serialize};

use crate::rows::{ConfigRow, Withdrawal};

/// A message with the fields that all messages share.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// Sender of the message.
    #[serde(rename = "f")]
    pub from: Incarnation,
    /// Sender's hybrid logical clock.
    #[serde(rename = "t")]
    pub stamp: Stamp,
    /// Configuration revision in force at the sender.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The message.
    #[serde(rename = "m")]
    pub message: PeerMessage,
}

/// Message from a process to a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Sent several times a second to near peers, and every few seconds to far ones.
    #[serde(rename = "h")]
    Heartbeat(Heartbeat),
    /// Acknowledges a heartbeat, with a promise not to reclaim the units of its sender
    /// for the duration of a lease.
    #[serde(rename = "a")]
    Acknowledge {
        /// Sequence number of the heartbeat.
        #[serde(rename = "s")]
        sequence: u64,
    },
    /// Announces a change of the revision in force, which every frame carries, without
    /// waiting for the next heartbeat.
    #[serde(rename = "n")]
    Announce,
    /// The configuration in force, in response to [`PeerMessage::FetchConfig`].
    #[serde(rename = "c")]
    Config(ConfigRow),
    /// Key withdrawals.
    #[serde(rename = "w")]
    Withdrawn(IndexMap<KeyId, Withdrawal>),
    /// Reports that the sender is short of units, so that others release idle ones.
    #[serde(rename = "u")]
    UnitsWanted {
        /// Teams for whose limits units are wanted.
        #[serde(rename = "t", default, skip_serializing_if = "IndexSet::is_empty")]
        teams: IndexSet<TeamName>,
        /// Targets on which slots are wanted.
        #[serde(rename = "s", default, skip_serializing_if = "IndexSet::is_empty")]
        targets: IndexSet<InstanceName>,
    },
    /// Requests the configuration in force.
    #[serde(rename = "q")]
    FetchConfig,
}

/// Summary of the sender's state.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sequence number, which the acknowledgement repeats.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// Digest of the known key withdrawals.
    #[serde(rename = "w")]
    pub withdrawn_digest: u64,
    /// Leaving instances to which the sender sends no more requests and from which it
    /// awaits no more responses, with the version of the row that marks them as leaving.
    #[serde(rename = "q", default, skip_serializing_if = "IndexMap::is_empty")]
    pub quiet: IndexMap<InstanceName, u64>,
    /// Requests in flight and waiting at the sender, by service; empty to far peers.
    #[serde(rename = "d", default, skip_serializing_if = "IndexMap::is_empty")]
    pub demand: IndexMap<ServiceName, u32>,
    /// Whether the sender reached the platform within the duration of a lease.
    #[serde(rename = "p")]
    pub platform: bool,
    /// Digest of the sender's instance list of its data centre.
    #[serde(rename = "l")]
    pub list_digest: u64,
}
