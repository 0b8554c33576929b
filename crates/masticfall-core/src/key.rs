//! Keys of teams and operators.
//!
//! Only the BLAKE3 hash of a key is stored. Withdrawals form a grow-only set, so
//! they may arrive in any order and over any channel, and are never undone.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::id::{KeyId, TeamName};

/// Prefix of every key, so that secret scanners can find leaked keys.
pub const KEY_PREFIX: &str = "mf_";

/// The BLAKE3 hash of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key.
    pub fn of(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }

    /// Parses a hexadecimal hash; returns `None` when it is malformed.
    pub fn parse(hex: &str) -> Option<Self> {
        blake3::Hash::from_hex(hex).ok().map(|hash| Self(*hash.as_bytes()))
    }

    /// Returns the hash as hexadecimal text.
    pub fn to_hex(&self) -> String {
        blake3::Hash::from_bytes(self.0).to_hex().to_string()
    }

    /// Compares two hashes in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

/// The keys of teams and the withdrawals known so far.
#[derive(Debug, Clone, Default)]
pub struct KeyTable {
    issued: IndexMap<KeyHash, (KeyId, TeamName)>,
    withdrawn: IndexSet<KeyId>,
}

impl KeyTable {
    /// Replaces the issued keys; withdrawals are kept.
    pub fn replace(&mut self, keys: impl Iterator<Item = (KeyHash, KeyId, TeamName)>) {
        self.issued = keys.map(|(hash, id, team)| (hash, (id, team))).collect();
    }

    /// Adds a withdrawal; returns `false` when it was already known.
    pub fn withdraw(&mut self, key: KeyId) -> bool {
        self.withdrawn.insert(key)
    }

    /// Returns the identifiers of withdrawn keys.
    pub fn withdrawn(&self) -> &IndexSet<KeyId> {
        &self.withdrawn
    }

    /// Returns the team of a key that is issued and not withdrawn.
    ///
    /// The lookup is by hash, which reveals nothing about the key to an attacker;
    /// the hashes themselves are compared in constant time.
    pub fn team_of(&self, hash: &KeyHash) -> Option<&TeamName> {
        let (stored, (id, team)) = self.issued.get_key_value(hash)?;
        let valid = stored.matches(hash) && !self.withdrawn.contains(id);
        valid.then_some(team)
    }
}
