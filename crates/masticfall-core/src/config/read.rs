//! Reads the model from a document and validates it as a whole.

use indexmap::IndexMap;
use strum::VariantNames;

use super::document::{ConfigError, Document};
use super::model::{
    DataCentreConfig, FleetConfig, KeyConfig, OperatorConfig, PoolConfig, QueueClass, QueueConfig,
    Role, ServiceConfig, TeamConfig, Weighting, WhenIsolated,
};
use crate::id::{Name, PoolName, ServiceName};
use crate::key::KeyHash;

/// Kinds of sections that have a name.
const NAMED_KINDS: &[&str] =
    &["data_centre", "service", "pool", "queue", "team", "key", "operator"];

/// Sections without a name, which occur once.
const UNNAMED_SECTIONS: &[&str] = &["fleet"];

/// Maximum deadline that can be configured, in milliseconds.
const MAX_DEADLINE_MS: u64 = 600_000;

/// Result of reading a configuration: the model, or all errors.
pub type Result<T> = std::result::Result<T, Vec<ConfigError>>;

/// Reads a fleet configuration.
///
/// # Errors
/// All errors of the document, in line order.
pub fn read_fleet(text: &str) -> Result<FleetConfig> {
    let mut document = Document::parse(text).map_err(|error| vec![error])?;
    let config = read_sections(&mut document);
    check_references(&mut document, &config);
    let errors = document.finish(NAMED_KINDS, UNNAMED_SECTIONS);
    if errors.is_empty() { Ok(config) } else { Err(errors) }
}

fn read_sections(doc: &mut Document<'_>) -> FleetConfig {
    if !doc.has_section("fleet") {
        doc.report("fleet", "", "this section is required".to_string());
    }
    FleetConfig {
        name: Name::from(doc.required("fleet", "name")),
        spare_pool: doc.text("fleet", "spare_pool").map(PoolName::from),
        max_deadline_ms: doc.number("fleet", "max_deadline_ms", 30_000, (100, MAX_DEADLINE_MS)),
        weighting: read_choice(doc, "fleet", "weighting", Weighting::Share),
        auto_moves: doc.value("fleet", "auto_moves", false, "true, false"),
        data_centres: read_named(doc, "data_centre", |doc, section| DataCentreConfig {
            near: doc.list(section, "near").into_iter().map(Into::into).collect(),
        }),
        services: read_named(doc, "service", |doc, section| ServiceConfig {
            slots: doc.number(section, "slots", 8, (1, 1_024)) as u32,
            connections: doc.number(section, "connections", 64, (1, 65_536)) as u32,
        }),
        pools: read_named(doc, "pool", read_pool),
        queues: read_named(doc, "queue", read_queue),
        teams: read_named(doc, "team", read_team),
        keys: read_named(doc, "key", |doc, section| KeyConfig {
            team: doc.required(section, "team").into(),
            hash: read_hash(doc, section),
        }),
        operators: read_named(doc, "operator", |doc, section| OperatorConfig {
            hash: read_hash(doc, section),
            role: read_choice(doc, section, "role", Role::Read),
        }),
    }
}

fn read_named<K, V>(
    doc: &mut Document<'_>,
    kind: &str,
    mut read: impl FnMut(&mut Document<'_>, &str) -> V,
) -> IndexMap<K, V>
where
    K: From<String> + std::hash::Hash + Eq,
{
    let names = doc.names(kind);
    let sections = names.into_iter().map(|name| {
        let section = format!("{kind} {name}");
        check_name(doc, &section, &name);
        (K::from(name), read(doc, &section))
    });
    sections.collect()
}

fn check_name(doc: &mut Document<'_>, section: &str, name: &str) {
    let valid = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || name.len() > 64 || !name.chars().all(valid) {
        let message = "a name is 1 to 64 letters, digits, `-`, `_` or `.`";
        doc.report(section, "", message.to_string());
    }
}

fn read_choice<T>(doc: &mut Document<'_>, section: &str, key: &str, default: T) -> T
where
    T: std::str::FromStr + VariantNames,
{
    doc.value(section, key, default, &T::VARIANTS.join(", "))
}

fn read_pool(doc: &mut Document<'_>, section: &str) -> PoolConfig {
    PoolConfig {
        service: doc.text(section, "service").map(ServiceName::from),
        min_available_percent: doc.number(section, "min_available_percent", 90, (0, 100)) as u32,
    }
}

fn read_queue(doc: &mut Document<'_>, section: &str) -> QueueConfig {
    let queue = QueueConfig {
        service: doc.text(section, "service").map(Into::into),
        pool: doc.text(section, "pool").map(Into::into),
        class: read_choice(doc, section, "class", QueueClass::Interactive),
        open: doc.value(section, "open", false, "true, false"),
        teams: doc.list(section, "teams").into_iter().map(Into::into).collect(),
        max_waiting: doc.number(section, "max_waiting", 1_000, (0, 100_000)) as u32,
        deadline_ms: doc.number(section, "deadline_ms", 10_000, (1, MAX_DEADLINE_MS)),
    };
    match queue.class {
        QueueClass::Interactive if queue.service.is_none() => {
            doc.report(section, "service", "an interactive queue needs a service".to_string());
        }
        QueueClass::Long if queue.pool.is_none() => {
            doc.report(section, "pool", "a long queue needs a pool of workers".to_string());
        }
        QueueClass::Long if queue.open => {
            doc.report(section, "open", "a long queue cannot be open to all".to_string());
        }
        _ => {}
    }
    queue
}

fn read_team(doc: &mut Document<'_>, section: &str) -> TeamConfig {
    TeamConfig {
        limit: doc.number(section, "limit", 0, (0, 1_000_000)) as u32,
        share: doc.number(section, "share", 1, (1, 1_000_000)) as u32,
        when_isolated: read_choice(doc, section, "when_isolated", WhenIsolated::Serve),
    }
}

fn read_hash(doc: &mut Document<'_>, section: &str) -> KeyHash {
    let text = doc.required(section, "hash");
    let hash = KeyHash::parse(&text);
    if hash.is_none() && !text.is_empty() {
        let message = "not a BLAKE3 hash; allowed: 64 hexadecimal digits";
        doc.report(section, "hash", message.to_string());
    }
    hash.unwrap_or_else(|| KeyHash::of(""))
}

fn check_references(doc: &mut Document<'_>, config: &FleetConfig) {
    let services = || config.services.keys().map(ServiceName::as_str);
    let pools = || config.pools.keys().map(PoolName::as_str);
    let data_centres = || config.data_centres.keys().map(super::super::id::DataCentre::as_str);
    let teams = || config.teams.keys().map(super::super::id::TeamName::as_str);
    if config.data_centres.is_empty() {
        doc.report("fleet", "", "at least one [data_centre NAME] is required".to_string());
    }
    if let Some(pool) = &config.spare_pool {
        doc.check_known(("fleet", "spare_pool"), pool.as_str(), pools());
    }
    for (name, data_centre) in &config.data_centres {
        for near in &data_centre.near {
            let section = format!("data_centre {name}");
            doc.check_known((&section, "near"), near.as_str(), data_centres());
        }
    }
    for (name, pool) in &config.pools {
        let service = pool.service.as_ref().map_or("", ServiceName::as_str);
        doc.check_known((&format!("pool {name}"), "service"), service, services());
    }
    for (name, queue) in &config.queues {
        let section = format!("queue {name}");
        let service = queue.service.as_ref().map_or("", ServiceName::as_str);
        doc.check_known((&section, "service"), service, services());
        let pool = queue.pool.as_ref().map_or("", PoolName::as_str);
        doc.check_known((&section, "pool"), pool, pools());
        for team in &queue.teams {
            doc.check_known((&section, "teams"), team.as_str(), teams());
        }
    }
    for (name, key) in &config.keys {
        doc.check_known((&format!("key {name}"), "team"), key.team.as_str(), teams());
    }
}
