//! An INI document with typed access that collects all errors instead of stopping at the first.

use std::fmt;
use std::str::FromStr;

use indexmap::IndexSet;
use ini::Ini;

use super::compare::Entries;
use super::suggest::nearest;

/// An error in a document, with its location.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    /// Line number, starting at 1; 0 when the error has no line.
    pub line: usize,
    /// Section header without brackets.
    pub section: String,
    /// Key; empty when the error concerns the whole section.
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

/// A parsed document and the errors found so far.
#[derive(Debug)]
pub struct Document<'a> {
    text: &'a str,
    ini: Ini,
    read_keys: IndexSet<(String, String)>,
    errors: Vec<ConfigError>,
}

impl<'a> Document<'a> {
    /// Parses a document.
    ///
    /// # Errors
    /// The syntax error that prevents parsing.
    pub fn parse(text: &'a str) -> Result<Self, ConfigError> {
        let ini = Ini::load_from_str_noescape(text).map_err(|error| ConfigError {
            line: error.line + 1,
            section: String::new(),
            key: String::new(),
            message: error.msg.to_string(),
        })?;
        let mut document = Self { text, ini, read_keys: IndexSet::new(), errors: Vec::new() };
        document.find_duplicates();
        Ok(document)
    }

    /// Reports duplicate sections and keys, which the parser merges silently.
    fn find_duplicates(&mut self) {
        let mut seen: IndexSet<(&str, &str)> = IndexSet::new();
        let mut section = "";
        let mut duplicates = Vec::new();
        for (index, line) in self.text.lines().enumerate() {
            let line = line.trim();
            let (location, message) = match Line::of(line) {
                Line::Section(name) => {
                    section = name;
                    ((name, ""), "this section stands twice")
                }
                Line::Key(key) => ((section, key), "this key stands twice in its section"),
                Line::Other => continue,
            };
            if !seen.insert(location) {
                duplicates.push((index + 1, location, message));
            }
        }
        for (line, (section, key), message) in duplicates {
            let (section, key) = (section.to_string(), key.to_string());
            self.errors.push(ConfigError { line, section, key, message: message.to_string() });
        }
    }

    /// Returns the names of the sections `[kind NAME]`, in document order.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let prefix = format!("{kind} ");
        let sections = self.ini.sections().flatten();
        sections.filter_map(|name| name.strip_prefix(&prefix)).map(str::to_string).collect()
    }

    /// Returns all values by section and key. A section without keys has an entry with an
    /// empty key.
    pub(super) fn entries(&self) -> Entries {
        let mut entries = Entries::new();
        for (section, properties) in &self.ini {
            let section = section.unwrap_or_default();
            if properties.is_empty() && !section.is_empty() {
                entries.insert((section.to_string(), String::new()), String::new());
            }
            for (key, value) in properties {
                let place = (section.to_string(), key.to_string());
                entries.insert(place, value.trim().to_string());
            }
        }
        entries
    }

    /// Returns whether the document has a section.
    pub fn has_section(&self, section: &str) -> bool {
        self.ini.section(Some(section)).is_some()
    }

    /// Returns a value as text.
    pub fn text(&mut self, section: &str, key: &str) -> Option<String> {
        self.read_keys.insert((section.to_string(), key.to_string()));
        let value = self.ini.section(Some(section))?.get(key)?;
        Some(value.trim().to_string())
    }

    /// Returns a required value as text; reports an error when it is missing.
    pub fn required(&mut self, section: &str, key: &str) -> String {
        let value = self.text(section, key).filter(|value| !value.is_empty());
        if value.is_none() {
            self.report(section, key, "this key is required".to_string());
        }
        value.unwrap_or_default()
    }

    /// Returns a parsed value, or the default when it is missing or invalid.
    pub fn value<T: FromStr>(&mut self, section: &str, key: &str, default: T, allowed: &str) -> T {
        let Some(text) = self.text(section, key) else {
            return default;
        };
        text.parse().unwrap_or_else(|_| {
            self.report(section, key, format!("`{text}` is not allowed; allowed: {allowed}"));
            default
        })
    }

    /// Returns a number within bounds, or the default when it is missing or invalid.
    pub fn number(&mut self, section: &str, key: &str, default: u64, bounds: (u64, u64)) -> u64 {
        let (min, max) = bounds;
        let allowed = format!("a whole number from {min} to {max}");
        let number = self.value(section, key, default, &allowed);
        if (min..=max).contains(&number) {
            return number;
        }
        self.report(section, key, format!("`{number}` is not allowed; allowed: {allowed}"));
        default
    }

    /// Returns the items of a comma-separated list.
    pub fn list(&mut self, section: &str, key: &str) -> Vec<String> {
        let text = self.text(section, key).unwrap_or_default();
        let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
        items.map(str::to_string).collect()
    }

    /// Reports an error when a name is neither empty nor among the known names.
    pub fn check_known<'k>(
        &mut self,
        location: (&str, &str),
        name: &str,
        mut known: impl Iterator<Item = &'k str> + Clone,
    ) {
        if name.is_empty() || known.clone().any(|candidate| candidate == name) {
            return;
        }
        let hint = nearest(name, known.by_ref()).map(|near| format!("; did you mean `{near}`?"));
        let message = format!("`{name}` is not configured{}", hint.unwrap_or_default());
        self.report(location.0, location.1, message);
    }

    /// Reports an error in a section or key.
    pub fn report(&mut self, section: &str, key: &str, message: String) {
        let line = locate(self.text, section, key);
        let (section, key) = (section.to_string(), key.to_string());
        self.errors.push(ConfigError { line, section, key, message });
    }

    /// Reports unknown sections and keys, and returns all errors in line order.
    pub fn finish(mut self, named_kinds: &[&str], unnamed_sections: &[&str]) -> Vec<ConfigError> {
        let mut unknown = Vec::new();
        for (section, properties) in &self.ini {
            let Some(section) = section else {
                unknown.extend(properties.iter().map(|(key, _)| (String::new(), key.to_string())));
                continue;
            };
            let kind = section.split(' ').next().unwrap_or_default();
            let named = section.contains(' ');
            if !(if named { named_kinds } else { unnamed_sections }).contains(&kind) {
                unknown.push((section.to_string(), String::new()));
                continue;
            }
            let keys = properties.iter().map(|(key, _)| (section.to_string(), key.to_string()));
            unknown.extend(keys.filter(|location| !self.read_keys.contains(location)));
        }
        for (section, key) in unknown {
            let message = self.unknown_message(&section, &key, named_kinds, unnamed_sections);
            self.report(&section, &key, message);
        }
        self.errors.sort_by_key(|error| error.line);
        self.errors
    }

    fn unknown_message(
        &self,
        section: &str,
        key: &str,
        named_kinds: &[&str],
        unnamed_sections: &[&str],
    ) -> String {
        if section.is_empty() {
            return "keys before the first section are not allowed".to_string();
        }
        let (what, near) = if key.is_empty() {
            let kind = section.split(' ').next().unwrap_or_default();
            ("section", nearest(kind, named_kinds.iter().chain(unnamed_sections).copied()))
        } else {
            let known = self.read_keys.iter().filter(|location| location.0 == section);
            ("key", nearest(key, known.map(|location| location.1.as_str())))
        };
        let hint = near.map(|near| format!("; did you mean `{near}`?")).unwrap_or_default();
        format!("unknown {what}{hint}")
    }
}

/// A classified line of a document.
enum Line<'a> {
    Section(&'a str),
    Key(&'a str),
    Other,
}

impl<'a> Line<'a> {
    /// Classifies a line without leading and trailing whitespace.
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

/// Returns the line number of a section or key, starting at 1; 0 when it is absent.
pub(super) fn locate(text: &str, section: &str, key: &str) -> usize {
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
