//! Settings of an entry process, read from an INI file.

use std::net::SocketAddr;

use masticfall_core::config::{ConfigError, Document};
use masticfall_core::id::{DataCentre, Name};

/// Settings of an entry process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Data centre of the process.
    pub data_centre: DataCentre,
    /// Address for callers and operators.
    pub http: SocketAddr,
    /// Address for other entry processes.
    pub peer: SocketAddr,
    /// Address of the platform, `ip:port`.
    pub platform: SocketAddr,
    /// Secret by which entry processes authenticate each other.
    pub peer_secret: Name,
    /// Peers to fetch the configuration from while the platform is unavailable.
    pub seed_peers: Vec<SocketAddr>,
    /// Time for which a leaving process still accepts requests, in milliseconds.
    pub leave_delay_ms: u64,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Memory that the process may use, in MiB; 0 for the memory that the system reports.
    pub memory_mib: u64,
    /// Memory that callers may hold, in MiB; 0 for a sixth of the process's memory, 32 at most.
    pub callers_memory_mib: u64,
    /// Maximum number of callers' connections; 0 for half of the descriptors for sockets, 1,950
    /// at most.
    pub max_connections: u64,
}

/// Result of reading settings: the settings, or all errors found.
pub type Result<T> = std::result::Result<T, Vec<ConfigError>>;

/// Minimum length of the peer secret, in characters.
const MIN_SECRET_CHARS: usize = 16;

const MAX_BODY_BYTES_LIMIT: u64 = 256 * 1024 * 1024;
/// Maximum of the memory that the process may use, in MiB.
pub(crate) const MAX_MEMORY_MIB: u64 = 1_048_576;

/// Maximum of the number of callers' connections.
pub(crate) const MAX_CONNECTIONS_LIMIT: u64 = 1_000_000;

const DEFAULT_LEAVE_DELAY_MS: u64 = 2_000;
const DEFAULT_MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Builds settings in code, with the settings file's defaults for optional values.
#[derive(Debug, Clone)]
pub struct SettingsBuilder {
    settings: Settings,
}

impl SettingsBuilder {
    /// Sets the address for callers and operators.
    pub fn http(mut self, http: SocketAddr) -> Self {
        self.settings.http = http;
        self
    }

    /// Sets the address for other entry processes.
    pub fn peer(mut self, peer: SocketAddr) -> Self {
        self.settings.peer = peer;
        self
    }

    /// Sets the secret by which entry processes authenticate each other.
    pub fn peer_secret(mut self, secret: impl Into<Name>) -> Self {
        self.settings.peer_secret = secret.into();
        self
    }

    /// Sets the peers to fetch the configuration from while the platform is unavailable.
    pub fn seed_peers(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.settings.seed_peers = seeds;
        self
    }

    /// Sets the time for which a leaving process still accepts requests, in milliseconds.
    pub fn leave_delay_ms(mut self, leave_delay_ms: u64) -> Self {
        self.settings.leave_delay_ms = leave_delay_ms;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}

impl Settings {
    /// Returns a builder of settings for a process on free loopback ports.
    pub fn builder(data_centre: DataCentre) -> SettingsBuilder {
        let any_free_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Self {
            data_centre,
            http: any_free_port,
            peer: any_free_port,
            platform: any_free_port,
            peer_secret: Name::from(""),
            seed_peers: Vec::new(),
            leave_delay_ms: DEFAULT_LEAVE_DELAY_MS,
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
            memory_mib: 0,
            callers_memory_mib: 0,
            max_connections: 0,
        };
        SettingsBuilder { settings }
    }

    /// Reads settings from the text of an INI file.
    ///
    /// # Errors
    /// Returns all errors in the file.
    pub fn read(text: &str) -> Result<Self> {
        let mut doc = Document::parse(text).map_err(|error| vec![error])?;
        let settings = Self {
            data_centre: DataCentre::from(doc.required("entry", "data_centre")),
            http: address(&mut doc, "entry", "http"),
            peer: address(&mut doc, "entry", "peer"),
            platform: address(&mut doc, "entry", "platform"),
            peer_secret: Name::from(doc.required("entry", "peer_secret")),
            seed_peers: seed_peers(&mut doc),
            leave_delay_ms: doc.number(
                "entry",
                "leave_delay_ms",
                DEFAULT_LEAVE_DELAY_MS,
                (0, 60_000),
            ),
            max_body_bytes: doc.number(
                "entry",
                "max_body_bytes",
                DEFAULT_MAX_BODY_BYTES,
                (1, MAX_BODY_BYTES_LIMIT),
            ),
            memory_mib: doc.number("entry", "memory_mib", 0, (0, MAX_MEMORY_MIB)),
            callers_memory_mib: doc.number("entry", "callers_memory_mib", 0, (0, MAX_MEMORY_MIB)),
            max_connections: doc.number("entry", "max_connections", 0, (0, MAX_CONNECTIONS_LIMIT)),
        };
        if settings.http == settings.peer && settings.http.port() != 0 {
            doc.report("entry", "peer", "has to differ from `http`".to_string());
        }
        let secret_len = settings.peer_secret.len();
        if (1..MIN_SECRET_CHARS).contains(&secret_len) {
            let message =
                format!("has {secret_len} characters; allowed: {MIN_SECRET_CHARS} or more");
            doc.report("entry", "peer_secret", message);
        }
        let errors = doc.finish(&[], &["entry"]);
        if errors.is_empty() { Ok(settings) } else { Err(errors) }
    }
}

/// Returns a setting whose zero stands for a default that follows from the instance.
pub fn unless_zero(value: u64) -> Option<usize> {
    (value > 0).then_some(value as usize)
}

/// Converts MiB to bytes.
pub fn mib(mebibytes: usize) -> usize {
    mebibytes * 1_024 * 1_024
}

const ADDRESS_FORMAT: &str = "an IP number and a port, such as 10.0.0.7:8080";

/// Reads a required address; a missing or invalid one is reported as an error of `doc`.
pub(crate) fn address(doc: &mut Document<'_>, section: &str, key: &str) -> SocketAddr {
    let unset = SocketAddr::from(([0, 0, 0, 0], 0));
    if doc.required(section, key).is_empty() {
        return unset;
    }
    doc.value(section, key, unset, ADDRESS_FORMAT)
}

fn seed_peers(doc: &mut Document<'_>) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for item in doc.list("entry", "seed_peers") {
        if let Ok(address) = item.parse() {
            addresses.push(address);
        } else {
            let message = format!("`{item}` is not allowed; allowed: {ADDRESS_FORMAT}");
            doc.report("entry", "seed_peers", message);
        }
    }
    addresses
}
