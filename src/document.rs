//! An INI file as sections and entries with their line numbers.
//!
//! `rust-ini` keeps no line numbers and stops at the first syntax error, so each line is parsed
//! on its own. Values therefore never span lines, and comments need lines of their own.

use compact_str::CompactString;

use crate::fault;
use crate::section;

/// An INI file, parsed line by line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Document {
    /// Sections in the order of the file.
    pub sections: Vec<section::Section>,
    /// Lines that could not be parsed, and duplicate sections and keys.
    pub faults: Vec<fault::Fault>,
}

enum Line {
    Blank,
    Title(CompactString),
    Entry(CompactString, CompactString),
    Invalid,
}

impl Document {
    /// Parses a whole text; lines that cannot be parsed are reported in `faults`.
    ///
    /// ```
    /// let document = mangotray::document::Document::parse("[vm]\nname = entry-1\njunk\n");
    /// assert_eq!(document.sections[0].entries[0].line, Some(2));
    /// assert_eq!(document.faults[0].line, Some(3));
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let mut document = Self::default();
        text.lines()
            .enumerate()
            .for_each(|(index, line)| document.add_line(index + 1, line));
        document
    }

    /// Sets the value of an entry, overriding the file's.
    ///
    /// ```
    /// let mut document = mangotray::document::Document::parse("[vm]\nname = a\n");
    /// document.override_value("vm", "name", "b");
    /// assert_eq!(document.sections[0].entries[0].value, "b");
    /// ```
    pub fn override_value(&mut self, title: &str, key: &str, value: &str) {
        let entry = section::Entry::new(key, value, None);
        match self.sections.iter_mut().find(|s| s.title == title) {
            Some(section) => section.replace(entry),
            None => self.sections.push(section::Section {
                title: title.into(),
                line: None,
                entries: vec![entry],
            }),
        }
    }

    fn add_line(&mut self, number: usize, text: &str) {
        match parse_line(text.trim()) {
            Line::Blank => {}
            Line::Title(title) => self.add_section(number, &title),
            Line::Entry(key, value) => self.add_entry(number, &key, &value),
            Line::Invalid => self.add_fault(
                number,
                "",
                "neither a [section], a `key = value` nor a comment",
            ),
        }
    }

    fn add_section(&mut self, number: usize, title: &str) {
        let title = title.split_whitespace().collect::<Vec<_>>().join(" ");
        let earlier = self.sections.iter().find(|s| s.title == title);
        if let Some(line) = earlier.and_then(|s| s.line) {
            let reason = format!("duplicate section, first on line {line}");
            self.add_fault(number, &format!("[{title}]"), &reason);
        }
        self.sections.push(section::Section {
            title: title.into(),
            line: Some(number),
            entries: Vec::new(),
        });
    }

    fn add_entry(&mut self, number: usize, key: &str, value: &str) {
        let Some(section) = self.sections.last_mut() else {
            self.add_fault(number, key, "key is before the first [section]");
            return;
        };
        let label = section.label(key);
        let earlier = section.entries.iter().find(|e| e.key == key);
        if let Some(line) = earlier.and_then(|e| e.line) {
            let reason = format!("duplicate key, first on line {line}");
            self.add_fault(number, &label, &reason);
            return;
        }
        section
            .entries
            .push(section::Entry::new(key, value, Some(number)));
    }

    fn add_fault(&mut self, number: usize, key: &str, reason: &str) {
        self.faults
            .push(fault::Fault::new(Some(number), key, reason));
    }
}

fn parse_line(line: &str) -> Line {
    if line.is_empty() || line.starts_with(['#', ';']) {
        return Line::Blank;
    }
    if line.starts_with('[') && !line.ends_with(']') {
        return Line::Invalid;
    }
    let Ok(ini) = ini::Ini::load_from_str_noescape(line) else {
        return Line::Invalid;
    };
    let mut items = ini.iter().filter_map(|(title, entries)| match title {
        Some(title) if entries.is_empty() => Some(Line::Title(title.into())),
        None => entries
            .iter()
            .next()
            .map(|(key, value)| Line::Entry(key.into(), value.into())),
        Some(_) => None,
    });
    match (items.next(), items.next()) {
        (Some(item), None) => item,
        _ => Line::Invalid,
    }
}

#[cfg(test)]
mod tests;
