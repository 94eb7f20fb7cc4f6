//! Errors and warnings about an INI file, for the person who wrote it.

use std::fmt;

use compact_str::CompactString;

/// An error or a warning with its line in the file.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Line number, counted from 1; `None` for a value given on the command line.
    pub line: Option<usize>,
    /// Section and key as far as known; empty for a line that cannot be parsed.
    pub key: CompactString,
    /// Describes the error and the expected value.
    pub reason: CompactString,
}

impl Fault {
    /// Builds a fault.
    ///
    /// ```
    /// let fault = mangotray::fault::Fault::new(Some(3), "[log] format", "unknown format");
    /// assert_eq!(fault.to_string(), "line 3: [log] format: unknown format");
    /// ```
    #[must_use]
    pub fn new(line: Option<usize>, key: impl AsRef<str>, reason: impl AsRef<str>) -> Self {
        Self {
            line,
            key: CompactString::new(key),
            reason: CompactString::new(reason),
        }
    }

    /// Formats the fault as `FILE:LINE: TEXT`, which editors recognize as a location.
    ///
    /// ```
    /// let fault = mangotray::fault::Fault::new(Some(3), "[log] format", "unknown format");
    /// assert_eq!(fault.text_with_file("vm.ini"), "vm.ini:3: [log] format: unknown format");
    /// ```
    #[must_use]
    pub fn text_with_file(&self, file: &str) -> String {
        match self.line {
            Some(line) => format!("{file}:{line}: {}", self.text()),
            None => format!("command line: {}", self.text()),
        }
    }

    fn text(&self) -> String {
        if self.key.is_empty() {
            self.reason.to_string()
        } else {
            format!("{}: {}", self.key, self.reason)
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "line {line}: {}", self.text()),
            None => write!(f, "command line: {}", self.text()),
        }
    }
}
