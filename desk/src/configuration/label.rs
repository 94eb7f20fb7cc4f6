//! Text from a configuration in findings.

use std::collections;

use compact_str::CompactString;
use compact_str::format_compact;

use crate::configuration::document;
use crate::key;

/// Makes names from configurations safe to print: a name that is also a key, pasted into the wrong
/// place, is replaced by its fingerprint, and control characters are escaped so that a finding
/// stays on one line.
#[derive(Clone, Debug, Default)]
pub struct Labels(collections::BTreeSet<key::Key>);

impl Labels {
    /// Collects the keys of these configurations.
    ///
    /// ```
    /// use mangotray_desk::{configuration::{document, label}, key};
    /// let dome = document::Organisation {
    ///     name: "dome".into(),
    ///     keys: vec![key::Key::new("3f9a77")],
    ///     rate: None,
    ///     burst: None,
    /// };
    /// let document = document::Document {
    ///     organisations: Some(vec![dome]),
    ///     ..document::Document::default()
    /// };
    /// let labels = label::Labels::new([&document]);
    /// assert_eq!(labels.show("dome"), "dome");
    /// assert!(labels.show("3f9a77").starts_with("the key "));
    /// assert_eq!(labels.show("a\nb"), "a\\nb");
    /// ```
    #[must_use]
    pub fn new<'a>(documents: impl IntoIterator<Item = &'a document::Document>) -> Self {
        let organisations = documents
            .into_iter()
            .flat_map(|document| document.organisations.iter().flatten());
        let keys = organisations.flat_map(|organisation| organisation.keys.iter());
        Self(keys.filter(|key| !key.is_empty()).cloned().collect())
    }

    /// Returns the text to print for a name.
    #[must_use]
    pub fn show(&self, name: &str) -> CompactString {
        let key = key::Key::new(name);
        if self.0.contains(&key) {
            return format_compact!("the key {}", key.fingerprint());
        }
        if name.is_empty() {
            return CompactString::const_new("\"\"");
        }
        let mut shown = CompactString::default();
        for character in name.chars() {
            if character.is_control() {
                shown.extend(character.escape_default());
            } else {
                shown.push(character);
            }
        }
        shown
    }
}
