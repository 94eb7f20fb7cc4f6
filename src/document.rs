//! An INI file as sections and entries that know their lines.
//!
//! `rust-ini` keeps no line numbers and stops at the first syntax error, so each line is
//! given to it alone. Values therefore never span lines; comments stand on lines of their own.

use compact_str::CompactString;

use crate::fault;
use crate::section;

/// A file that was read line by line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Document {
    /// Sections in the order of the file.
    pub sections: Vec<section::Section>,
    /// Lines that could not be read, and sections or keys that stand twice.
    pub faults: Vec<fault::Fault>,
}

enum Item {
    Nothing,
    Title(CompactString),
    Entry(CompactString, CompactString),
    Junk,
}

impl Document {
    /// Reads a whole text; what cannot be read ends up in `faults`.
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
            .for_each(|(index, line)| document.line(index + 1, line));
        document
    }

    /// Gives an entry a value that overrides the file's.
    ///
    /// ```
    /// let mut document = mangotray::document::Document::parse("[vm]\nname = a\n");
    /// document.put("vm", "name", "b");
    /// assert_eq!(document.sections[0].entries[0].value, "b");
    /// ```
    pub fn put(&mut self, title: &str, key: &str, value: &str) {
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

    fn line(&mut self, number: usize, text: &str) {
        match item(text.trim()) {
            Item::Nothing => {}
            Item::Title(title) => self.title(number, &title),
            Item::Entry(key, value) => self.entry(number, &key, &value),
            Item::Junk => self.fault(
                number,
                "",
                "neither a [section], a `key = value` nor a comment",
            ),
        }
    }

    fn title(&mut self, number: usize, title: &str) {
        let title = title.split_whitespace().collect::<Vec<_>>().join(" ");
        let earlier = self.sections.iter().find(|s| s.title == title);
        if let Some(line) = earlier.and_then(|s| s.line) {
            let reason = format!("section stands twice, first on line {line}");
            self.fault(number, &format!("[{title}]"), &reason);
        }
        self.sections.push(section::Section {
            title: title.into(),
            line: Some(number),
            entries: Vec::new(),
        });
    }

    fn entry(&mut self, number: usize, key: &str, value: &str) {
        let Some(section) = self.sections.last_mut() else {
            self.fault(number, key, "stands before the first [section]");
            return;
        };
        let label = section.label(key);
        let earlier = section.entries.iter().find(|e| e.key == key);
        if let Some(line) = earlier.and_then(|e| e.line) {
            let reason = format!("key stands twice, first on line {line}");
            self.fault(number, &label, &reason);
            return;
        }
        section
            .entries
            .push(section::Entry::new(key, value, Some(number)));
    }

    fn fault(&mut self, number: usize, key: &str, reason: &str) {
        self.faults
            .push(fault::Fault::new(Some(number), key, reason));
    }
}

fn item(line: &str) -> Item {
    if line.is_empty() || line.starts_with(['#', ';']) {
        return Item::Nothing;
    }
    if line.starts_with('[') && !line.ends_with(']') {
        return Item::Junk;
    }
    let Ok(ini) = ini::Ini::load_from_str_noescape(line) else {
        return Item::Junk;
    };
    let mut found = ini.iter().filter_map(|(title, entries)| match title {
        Some(title) if entries.is_empty() => Some(Item::Title(title.into())),
        None => entries
            .iter()
            .next()
            .map(|(key, value)| Item::Entry(key.into(), value.into())),
        Some(_) => None,
    });
    match (found.next(), found.next()) {
        (Some(item), None) => item,
        _ => Item::Junk,
    }
}

#[cfg(test)]
mod tests;
