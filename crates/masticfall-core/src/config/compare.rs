//! Differences between two configurations, by section and key.

use indexmap::IndexMap;
use serde::Serialize;
use strum::Display;

use super::document::{ConfigError, Document, locate};

/// How an entry differs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ChangeKind {
    /// Only the new configuration has it.
    Added,
    /// Only the old configuration has it.
    Removed,
    /// Its value differs.
    Changed,
}

/// A key that differs, or a section without keys that was added or removed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// How it differs.
    pub kind: ChangeKind,
    /// Line in the new configuration, starting at 1; 0 if it was removed.
    pub line: usize,
    /// Section header without brackets.
    pub section: String,
    /// Key; empty for a section without keys.
    pub key: String,
    /// Value in the old configuration; empty if it was added.
    pub from: String,
    /// Value in the new configuration; empty if it was removed.
    pub to: String,
}

/// Result of a comparison.
pub type Result<T, E = ConfigError> = std::result::Result<T, E>;

/// Returns what differs from `old` to `new`, in the order of `new` with removed entries last.
///
/// # Errors
/// The syntax error of a text that can't be parsed.
pub fn changes(old: &str, new: &str) -> Result<Vec<Change>> {
    let (old, entries) = (Document::parse(old)?.entries(), Document::parse(new)?.entries());
    let mut changes = Vec::new();
    for ((section, key), to) in &entries {
        let from = old.get(&(section.clone(), key.clone()));
        let kind = match from {
            None => ChangeKind::Added,
            Some(from) if from != to => ChangeKind::Changed,
            Some(_) => continue,
        };
        changes.push(Change {
            kind,
            line: locate(new, section, key),
            section: section.clone(),
            key: key.clone(),
            from: from.cloned().unwrap_or_default(),
            to: to.clone(),
        });
    }
    let removed = old.into_iter().filter(|(place, _)| !entries.contains_key(place));
    changes.extend(removed.map(|((section, key), from)| Change {
        kind: ChangeKind::Removed,
        line: 0,
        section,
        key,
        from,
        to: String::new(),
    }));
    Ok(changes)
}

/// Values by section and key.
pub(super) type Entries = IndexMap<(String, String), String>;
