//! Keys of teams and operators.
//!
//! Only a BLAKE3 hash of a key is kept. Withdrawals form a grow-only set, so
//! that they may arrive in any order and by any way and never undo.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::id::{KeyId, TeamName};

/// Prefix of every key, so that scanners can find a leaked one.
pub const KEY_PREFIX: &str = "mf_";

/// The BLAKE3 hash of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key's text.
    pub fn of(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }

    /// Reads a hash in hexadecimal; `None` when it is not one.
    pub fn parse(hex: &str) -> Option<Self> {
        blake3::Hash::from_hex(hex).ok().map(|hash| Self(*hash.as_bytes()))
    }

    /// Returns the hash in hexadecimal.
    pub fn to_hex(&self) -> String {
        blake3::Hash::from_bytes(self.0).to_hex().to_string()
    }

    /// Compares two hashes in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

/// Keys of teams with the withdrawals known so far.
#[derive(Debug, Clone, Default)]
pub struct KeyTable {
    teams: IndexMap<KeyHash, (KeyId, TeamName)>,
    withdrawn: IndexSet<KeyId>,
}

impl KeyTable {
    /// Replaces the given keys; withdrawals stay.
    pub fn replace(&mut self, keys: impl Iterator<Item = (KeyHash, KeyId, TeamName)>) {
        self.teams = keys.map(|(hash, id, team)| (hash, (id, team))).collect();
    }

    /// Adds a withdrawal; `false` when it was known.
    pub fn withdraw(&mut self, key: KeyId) -> bool {
        self.withdrawn.insert(key)
    }

    /// Returns the withdrawals known.
    pub fn withdrawn(&self) -> &IndexSet<KeyId> {
        &self.withdrawn
    }

    /// Returns the team of a key that is given and not withdrawn.
    ///
    /// The look-up is by hash, which tells an attacker nothing about the key;
    /// the hashes themselves are compared in constant time.
    pub fn team_of(&self, hash: &KeyHash) -> Option<&TeamName> {
        let (stored, (id, team)) = self.teams.get_key_value(hash)?;
        let valid = stored.matches(hash) && !self.withdrawn.contains(id);
        valid.then_some(team)
    }
}
