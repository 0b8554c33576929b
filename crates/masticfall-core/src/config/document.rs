//! An INI document with typed access that gathers faults instead of stopping at the first.

use std::fmt;
use std::str::FromStr;

use indexmap::IndexSet;
use ini::Ini;

use super::suggest::nearest;

/// One fault of a document, with its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    /// Line, counted from 1; 0 when the fault has no line.
    pub line: usize,
    /// Section as written, without brackets.
    pub section: String,
    /// Key, or empty when the fault is the section's.
    pub key: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}: ", self.line)?;
        }
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)
    }
}

/// A parsed document and the faults found so far.
#[derive(Debug)]
pub struct Document<'a> {
    text: &'a str,
    ini: Ini,
    used: IndexSet<(String, String)>,
    faults: Vec<ConfigError>,
}

impl<'a> Document<'a> {
    /// Parses a document.
    ///
    /// # Errors
    /// The fault that kept it from being parsed at all.
    pub fn parse(text: &'a str) -> Result<Self, ConfigError> {
        let ini = Ini::load_from_str_noescape(text).map_err(|error| ConfigError {
            line: error.line + 1,
            section: String::new(),
            key: String::new(),
            message: error.msg.to_string(),
        })?;
        let mut document = Self { text, ini, used: IndexSet::new(), faults: Vec::new() };
        document.find_duplicates();
        Ok(document)
    }

    /// Notes sections and keys that stand twice, which the parser merges silently.
    fn find_duplicates(&mut self) {
        let mut seen: IndexSet<(&str, &str)> = IndexSet::new();
        let mut section = "";
        let mut twice = Vec::new();
        for (index, line) in self.text.lines().enumerate() {
            let line = line.trim();
            let (place, message) = match Line::of(line) {
                Line::Section(name) => {
                    section = name;
                    ((name, ""), "this section stands twice")
                }
                Line::Key(key) => ((section, key), "this key stands twice in its section"),
                Line::Other => continue,
            };
            if !seen.insert(place) {
                twice.push((index + 1, place, message));
            }
        }
        for (line, (section, key), message) in twice {
            let (section, key) = (section.to_string(), key.to_string());
            self.faults.push(ConfigError { line, section, key, message: message.to_string() });
        }
    }

    /// Returns the names in sections `[kind NAME]`, in the order of the document.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let prefix = format!("{kind} ");
        let sections = self.ini.sections().flatten();
        sections.filter_map(|name| name.strip_prefix(&prefix)).map(str::to_string).collect()
    }

    /// Tells whether a section is there.
    pub fn has_section(&self, section: &str) -> bool {
        self.ini.section(Some(section)).is_some()
    }

    /// Returns a value as text.
    pub fn text(&mut self, section: &str, key: &str) -> Option<String> {
        self.used.insert((section.to_string(), key.to_string()));
        let value = self.ini.section(Some(section))?.get(key)?;
        Some(value.trim().to_string())
    }

    /// Returns a required value as text, and notes a fault when it is missing.
    pub fn required(&mut self, section: &str, key: &str) -> String {
        let value = self.text(section, key).filter(|value| !value.is_empty());
        if value.is_none() {
            self.report(section, key, "this key is required".to_string());
        }
        value.unwrap_or_default()
    }

    /// Returns a parsed value, or the default when it is missing or faulty.
    pub fn value<T: FromStr>(&mut self, section: &str, key: &str, default: T, allowed: &str) -> T {
        let Some(text) = self.text(section, key) else {
            return default;
        };
        text.parse().unwrap_or_else(|_| {
            self.report(section, key, format!("`{text}` is not allowed; allowed: {allowed}"));
            default
        })
    }

    /// Returns a number within bounds, or the default when it is missing or faulty.
    pub fn number(&mut self, section: &str, key: &str, default: u64, bounds: (u64, u64)) -> u64 {
        let (low, high) = bounds;
        let allowed = format!("a whole number from {low} to {high}");
        let number = self.value(section, key, default, &allowed);
        if (low..=high).contains(&number) {
            return number;
        }
        self.report(section, key, format!("`{number}` is not allowed; allowed: {allowed}"));
        default
    }

    /// Returns a comma-separated list.
    pub fn list(&mut self, section: &str, key: &str) -> Vec<String> {
        let text = self.text(section, key).unwrap_or_default();
        let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
        items.map(str::to_string).collect()
    }

    /// Notes a fault when a name is not among the known ones.
    pub fn check_known<'k>(
        &mut self,
        place: (&str, &str),
        name: &str,
        mut known: impl Iterator<Item = &'k str> + Clone,
    ) {
        if name.is_empty() || known.clone().any(|candidate| candidate == name) {
            return;
        }
        let hint = nearest(name, known.by_ref()).map(|near| format!("; did you mean `{near}`?"));
        let message = format!("`{name}` is not configured{}", hint.unwrap_or_default());
        self.report(place.0, place.1, message);
    }

    /// Notes a fault.
    pub fn report(&mut self, section: &str, key: &str, message: String) {
        let line = locate(self.text, section, key);
        let (section, key) = (section.to_string(), key.to_string());
        self.faults.push(ConfigError { line, section, key, message });
    }

    /// Notes unknown sections and keys, and returns all faults in the order of their lines.
    pub fn finish(mut self, kinds: &[&str], singles: &[&str]) -> Vec<ConfigError> {
        let mut unknown = Vec::new();
        for (section, properties) in &self.ini {
            let Some(section) = section else {
                unknown.extend(properties.iter().map(|(key, _)| (String::new(), key.to_string())));
                continue;
            };
            let kind = section.split(' ').next().unwrap_or_default();
            let named = section.contains(' ');
            if !(if named { kinds } else { singles }).contains(&kind) {
                unknown.push((section.to_string(), String::new()));
                continue;
            }
            let keys = properties.iter().map(|(key, _)| (section.to_string(), key.to_string()));
            unknown.extend(keys.filter(|place| !self.used.contains(place)));
        }
        for (section, key) in unknown {
            let message = self.unknown_message(&section, &key, kinds, singles);
            self.report(&section, &key, message);
        }
        self.faults.sort_by_key(|fault| fault.line);
        self.faults
    }

    fn unknown_message(
        &self,
        section: &str,
        key: &str,
        kinds: &[&str],
        singles: &[&str],
    ) -> String {
        if section.is_empty() {
            return "keys before the first section are not allowed".to_string();
        }
        let (what, near) = if key.is_empty() {
            let kind = section.split(' ').next().unwrap_or_default();
            ("section", nearest(kind, kinds.iter().chain(singles).copied()))
        } else {
            let known = self.used.iter().filter(|place| place.0 == section);
            ("key", nearest(key, known.map(|place| place.1.as_str())))
        };
        let hint = near.map(|near| format!("; did you mean `{near}`?")).unwrap_or_default();
        format!("unknown {what}{hint}")
    }
}

/// What a line of a document is.
enum Line<'a> {
    Section(&'a str),
    Key(&'a str),
    Other,
}

impl<'a> Line<'a> {
    /// Classifies a line without leading and trailing white space.
    fn of(line: &'a str) -> Self {
        if let Some(header) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
            return Self::Section(header.trim());
        }
        if line.is_empty() || line.starts_with([';', '#']) {
            return Self::Other;
        }
        line.split_once(['=', ':']).map_or(Self::Other, |(key, _)| Self::Key(key.trim()))
    }
}

/// Returns the line of a section or key, counted from 1; 0 when it is not there.
fn locate(text: &str, section: &str, key: &str) -> usize {
    let mut in_section = section.is_empty();
    let mut section_line = 0;
    for (index, line) in text.lines().enumerate() {
        match Line::of(line.trim()) {
            Line::Section(name) => {
                in_section = name == section;
                if in_section && section_line == 0 {
                    section_line = index + 1;
                }
            }
            Line::Key(name) if in_section && name == key => return index + 1,
            _ => {}
        }
    }
    section_line
}
