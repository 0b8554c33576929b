//! Issues a key to a team: a new revision that holds the key's hash.

use std::sync::Arc;

use masticfall_core::error::ErrorKind;
use masticfall_core::id::{KeyId, Name, Revision, TeamName};
use masticfall_core::key::{KEY_PREFIX, KeyHash};
use rand::Rng;

use super::apply_config::{self, ApplyConfig};
use crate::context::Node;
use crate::refusal::{Refusal, Result};

/// A new key. Its text is returned once and not stored.
#[derive(Clone)]
pub struct GivenKey {
    /// Identifier, used to withdraw the key.
    pub id: KeyId,
    /// The key itself.
    pub key: String,
    /// First revision that accepts the key.
    pub revision: Revision,
}

impl std::fmt::Debug for GivenKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("GivenKey").field("id", &self.id).finish_non_exhaustive()
    }
}

/// Generates a key for a team.
///
/// # Errors
/// [`ErrorKind::NotFound`] for an unknown team, or what [`apply_config::run`] returns.
pub async fn run(node: &Arc<Node>, team: TeamName, by: Name) -> Result<GivenKey> {
    let current = node.state().config_row.clone();
    let Some(row) = current else {
        return Err(Refusal::new(ErrorKind::NotReady, "no configuration is in force"));
    };
    let known = node.state().config.as_ref().is_some_and(|config| config.teams.contains_key(&team));
    if !known {
        return Err(Refusal::new(ErrorKind::NotFound, format!("no team `{team}`")));
    }
    let (id, key) = generate_key(&team);
    let hash = KeyHash::of(&key);
    let section = format!("\n[key {id}]\nteam = {team}\nhash = {}\n", hash.to_hex());
    let apply = ApplyConfig {
        expected: row.revision,
        text: Name::from(format!("{}{section}", row.text)),
        by,
        note: Name::from(format!("key {id} given to {team}")),
    };
    let revision = apply_config::run(node, apply).await?;
    Ok(GivenKey { id, key, revision })
}

fn generate_key(team: &TeamName) -> (KeyId, String) {
    let mut rng = rand::rng();
    let number: u32 = rng.random();
    let secret: [u64; 4] = rng.random();
    let id = KeyId::from(format!("{team}-{number:08x}"));
    let words: Vec<String> = secret.iter().map(|word| format!("{word:016x}")).collect();
    (id, format!("{KEY_PREFIX}{}", words.concat()))
}
