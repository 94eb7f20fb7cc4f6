//! One section of an INI file, and typed access to its entries.

use compact_str::CompactString;

use crate::fault;

/// A section with its entries in the order of the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// Words between the brackets, separated by single spaces.
    pub title: CompactString,
    /// Line of the title, counted from 1; `None` when it came from the command line.
    pub line: Option<usize>,
    /// Keys and values.
    pub entries: Vec<Entry>,
}

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Key as written.
    pub key: CompactString,
    /// Value without surrounding spaces and quotes.
    pub value: CompactString,
    /// Line, counted from 1; `None` when it came from the command line.
    pub line: Option<usize>,
}

impl Entry {
    /// Builds an entry from its parts.
    ///
    /// ```
    /// let entry = mangotray::section::Entry::new("name", "entry-1", Some(2));
    /// assert_eq!(entry.value, "entry-1");
    /// ```
    #[must_use]
    pub fn new(key: &str, value: &str, line: Option<usize>) -> Self {
        Self {
            key: key.into(),
            value: value.into(),
            line,
        }
    }
}

impl Section {
    /// Returns the name of a key with its section, as shown in faults.
    ///
    /// ```
    /// let document = mangotray::document::Document::parse("[vm]");
    /// assert_eq!(document.sections[0].label("name"), "[vm] name");
    /// ```
    #[must_use]
    pub fn label(&self, key: &str) -> String {
        format!("[{}] {key}", self.title)
    }

    /// Returns the entry with a key.
    ///
    /// ```
    /// let document = mangotray::document::Document::parse("[vm]\nname = a");
    /// assert!(document.sections[0].entry("name").is_some());
    /// ```
    #[must_use]
    pub fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|e| e.key == key)
    }

    /// Adds an entry and removes those with the same key.
    ///
    /// ```
    /// use mangotray::section::Entry;
    /// let mut section = mangotray::document::Document::parse("[vm]\nname = a").sections.remove(0);
    /// section.replace(Entry::new("name", "b", None));
    /// assert_eq!(section.entries.len(), 1);
    /// ```
    pub fn replace(&mut self, entry: Entry) {
        self.entries.retain(|e| e.key != entry.key);
        self.entries.push(entry);
    }

    /// Returns a fault at the line of an entry, or of the section's title when the key is absent.
    ///
    /// ```
    /// let document = mangotray::document::Document::parse("[vm]\nname = a");
    /// assert_eq!(document.sections[0].fault("name", "too short").line, Some(2));
    /// assert_eq!(document.sections[0].fault("region", "missing").line, Some(1));
    /// ```
    #[must_use]
    pub fn fault(&self, key: &str, reason: impl AsRef<str>) -> fault::Fault {
        let line = self.entry(key).map_or(self.line, |entry| entry.line);
        fault::Fault::new(line, self.label(key), reason)
    }

    /// Parses a value if the key is present; adds a fault for an invalid value.
    ///
    /// ```
    /// use mangotray::value;
    /// let document = mangotray::document::Document::parse("[limits]\ncallers = many");
    /// let mut faults = Vec::new();
    /// assert_eq!(document.sections[0].optional("callers", value::count, &mut faults), None);
    /// assert_eq!(faults.len(), 1);
    /// ```
    pub fn optional<T>(
        &self,
        key: &str,
        parse: impl FnOnce(&str) -> Result<T, CompactString>,
        faults: &mut Vec<fault::Fault>,
    ) -> Option<T> {
        let entry = self.entry(key)?;
        match parse(&entry.value) {
            Ok(value) => Some(value),
            Err(reason) => {
                faults.push(self.fault(key, reason));
                None
            }
        }
    }

    /// Parses a required value; adds a fault for a missing or invalid value.
    ///
    /// ```
    /// use mangotray::value;
    /// let document = mangotray::document::Document::parse("[vm]");
    /// let mut faults = Vec::new();
    /// assert_eq!(document.sections[0].required("name", value::name, &mut faults), None);
    /// assert_eq!(faults[0].reason, "missing");
    /// ```
    pub fn required<T>(
        &self,
        key: &str,
        parse: impl FnOnce(&str) -> Result<T, CompactString>,
        faults: &mut Vec<fault::Fault>,
    ) -> Option<T> {
        if self.entry(key).is_none() {
            faults.push(self.fault(key, "missing"));
        }
        self.optional(key, parse, faults)
    }

    /// Adds a fault for each key that is not in `keys`.
    ///
    /// ```
    /// let document = mangotray::document::Document::parse("[vm]\nnmae = a");
    /// let mut faults = Vec::new();
    /// document.sections[0].check_keys(&["name"], &mut faults);
    /// assert_eq!(faults[0].reason, "unknown key; known are: name");
    /// ```
    pub fn check_keys(&self, keys: &[&str], faults: &mut Vec<fault::Fault>) {
        let unknown = self
            .entries
            .iter()
            .filter(|entry| !keys.contains(&entry.key.as_str()));
        let reason = format!("unknown key; known are: {}", keys.join(", "));
        faults.extend(unknown.map(|e| fault::Fault::new(e.line, self.label(&e.key), &reason)));
    }
}
