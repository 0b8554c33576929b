//! The platform's metadata store: rows, transactions and feeds.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Reply, Request};

/// Duration of a transaction, in milliseconds.
const TX_MS: u64 = 4;

/// Maximum number of rows in a page.
const MAX_PAGE_ROWS: usize = 500;

/// Maximum length of a page's values, in bytes.
const MAX_PAGE_BYTES: usize = 1_000_000;

type RowKey = (String, String, String);

#[derive(Debug, Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<RowKey, (String, u64)>,
    /// Changes in order: version, row, value unless removed.
    log: Vec<(u64, RowKey, Option<String>)>,
}

/// The store.
#[derive(Debug)]
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn new() -> Arc<Self> {
        let rows = Mutex::default();
        Arc::new(Self { rows, changed: Condvar::new(), started: Instant::now() })
    }

    /// Writes a row of the operator or of an executor; returns its version.
    pub fn put(&self, table: &str, key: &str, value: &Value) -> u64 {
        self.change(table, key, Some(encode_base64(value.to_string().as_bytes())))
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) -> u64 {
        let mut rows = self.rows.lock().unwrap();
        let row_key = (table.to_string(), String::new(), key.to_string());
        rows.version += 1;
        rows.apply(row_key, value);
        let version = rows.version;
        drop(rows);
        self.changed.notify_all();
        version
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Serves a call.
    pub fn handle(&self, request: &Request) -> Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/-/rows-tx") => self.transact(&request.json()),
            ("GET", "/-/rows-get") => self.get(request),
            ("GET", "/-/rows-parts") => self.parts(request),
            ("GET", "/-/rows-feed") => self.feed(request),
            _ => Reply::Answer(400, "{}".into()),
        }
    }

    fn transact(&self, call: &Value) -> Reply {
        let (Some(checks), Some(puts), Some(removed)) =
            (call["expected_rev"].as_array(), call["puts"].as_array(), call["remove"].as_array())
        else {
            return Reply::Answer(400, json!({"error": "fields"}).to_string());
        };
        let entries = || checks.iter().chain(puts).chain(removed);
        let parts: BTreeSet<&str> = entries().filter_map(|entry| entry["part"].as_str()).collect();
        let is_across = call["across"].as_bool().unwrap_or(false);
        let too_long =
            puts.iter().any(|put| put["value"].as_str().is_none_or(|text| text.len() > 87_384));
        if entries().count() > 100 || (parts.len() > 1 && !is_across) || too_long {
            return Reply::Answer(400, json!({"error": "limits"}).to_string());
        }
        if puts.iter().chain(removed).any(|put| put["table"] == "op" || put["table"] == "servers") {
            return Reply::Answer(403, "{}".into());
        }
        sleep(Duration::from_millis(TX_MS));
        let mut rows = self.rows.lock().unwrap();
        let version_of = |rows: &Rows, check: &Value| {
            rows.rows.get(&row_key(check)).map_or(0, |(_, version)| *version)
        };
        let holds = checks.iter().all(|check| check["ver"] == version_of(&rows, check));
        if !holds {
            let current = checks.iter().filter_map(|check| {
                let key = row_key(check);
                let (value, version) = rows.rows.get(&key)?;
                Some(wire_row(&key, Some(value), *version))
            });
            let current: Vec<Value> = current.collect();
            let body = json!({"rows": current, "ver": rows.version, "now_ms": self.now_ms()});
            return Reply::Answer(412, body.to_string());
        }
        rows.version += 1;
        for put in puts {
            rows.apply(row_key(put), put["value"].as_str().map(str::to_string));
        }
        for row in removed {
            rows.apply(row_key(row), None);
        }
        let body = json!({"ver": rows.version, "now_ms": self.now_ms()});
        drop(rows);
        self.changed.notify_all();
        Reply::Answer(200, body.to_string())
    }

    fn get(&self, request: &Request) -> Reply {
        let (table, part) = (text(request, "table"), text(request, "part"));
        let (from, to) = (text(request, "from"), text(request, "to"));
        let limit = request.query("limit").and_then(|limit| limit.parse().ok());
        let limit = limit.unwrap_or(MAX_PAGE_ROWS).min(MAX_PAGE_ROWS);
        sleep(Duration::from_millis(1));
        let rows = self.rows.lock().unwrap();
        let first = (table.clone(), part.clone(), from);
        let mut page = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, (value, version)) in rows.rows.range(first..) {
            if key.0 != table || key.1 != part || (!to.is_empty() && key.2 >= to) {
                break;
            }
            if page.len() >= limit || bytes + value.len() > MAX_PAGE_BYTES {
                has_more = true;
                break;
            }
            bytes += value.len();
            page.push(wire_row(key, Some(value), *version));
        }
        let now_ms = self.now_ms();
        let body =
            json!({"rows": page, "has_more": has_more, "ver": rows.version, "now_ms": now_ms});
        Reply::Answer(200, body.to_string())
    }

    fn parts(&self, request: &Request) -> Reply {
        let (table, after) = (text(request, "table"), text(request, "after"));
        let rows = self.rows.lock().unwrap();
        let parts = rows.rows.keys().filter(|key| key.0 == table && key.1 > after);
        let parts: BTreeSet<&String> = parts.map(|key| &key.1).collect();
        let parts: Vec<&String> = parts.into_iter().take(1_000).collect();
        Reply::Answer(200, json!({"parts": parts, "ver": rows.version}).to_string())
    }

    fn feed(&self, request: &Request) -> Reply {
        let table = text(request, "table");
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let (after, wait_ms) = (number("after").unwrap_or(0), number("wait_ms").unwrap_or(0));
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let from = rows.log.partition_point(|(version, ..)| *version <= after);
            let changed: Vec<Value> = rows.log[from..]
                .iter()
                .filter(|(_, key, _)| key.0 == table)
                .map(|(version, key, value)| wire_row(key, value.as_ref(), *version))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let body = json!({"rows": changed, "ver": rows.version, "now_ms": self.now_ms()});
                return Reply::Answer(200, body.to_string());
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

impl Rows {
    fn apply(&mut self, key: RowKey, value: Option<String>) {
        let version = self.version;
        match &value {
            Some(value) => drop(self.rows.insert(key.clone(), (value.clone(), version))),
            None => drop(self.rows.remove(&key)),
        }
        self.log.push((version, key, value));
    }
}

fn text(request: &Request, name: &str) -> String {
    request.query(name).unwrap_or_default().to_string()
}

fn row_key(entry: &Value) -> RowKey {
    let field = |name: &str| entry[name].as_str().unwrap_or_default().to_string();
    (field("table"), field("part"), field("key"))
}

fn wire_row((table, part, key): &RowKey, value: Option<&String>, version: u64) -> Value {
    match value {
        Some(value) => {
            json!({"table": table, "part": part, "key": key, "value": value, "ver": version})
        }
        None => {
            json!({"table": table, "part": part, "key": key, "ver": version, "tombstone": true})
        }
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
