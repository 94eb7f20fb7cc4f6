//! Operators' declarations that an instance is lost: its process and its log are gone for good.

use std::time;

use compact_str::CompactString;
use mangotray::store;

use crate::upstream;

/// Prefix of the keys of declarations; the instance's id follows.
pub const PREFIX: &str = "mangotray/lost/";

/// The declaration that an instance is lost. It counts until its entry is removed from the store.
///
/// ```
/// use mangotray_desk::declaration;
/// use std::time;
/// let declaration = declaration::Declaration {
///     instance: "i-7".into(),
///     declared_at: time::SystemTime::UNIX_EPOCH,
///     reason: Some("disk destroyed".into()),
/// };
/// assert_eq!(declaration.key(), "mangotray/lost/i-7");
/// assert_eq!(declaration.to_string(), "i-7, at 1970-01-01T00:00:00Z: disk destroyed");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Declaration {
    /// The instance.
    pub instance: upstream::Id,
    /// When it was declared lost.
    #[serde(with = "humantime_serde")]
    pub declared_at: time::SystemTime,
    /// Why, in the operator's words.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<CompactString>,
}

/// Key of the declaration of an instance.
///
/// ```
/// assert_eq!(mangotray_desk::declaration::key("i-7"), "mangotray/lost/i-7");
/// ```
#[must_use]
pub fn key(instance: &str) -> String {
    format!("{PREFIX}{instance}")
}

impl Declaration {
    /// Declares an instance lost from now on.
    #[must_use]
    pub fn new(instance: upstream::Id, reason: Option<CompactString>) -> Self {
        Self {
            instance,
            declared_at: time::SystemTime::now(),
            reason,
        }
    }

    /// Key of the declaration in the platform's store.
    #[must_use]
    pub fn key(&self) -> String {
        key(&self.instance)
    }

    /// Decodes a declaration; `None` if the entry is of another kind, cannot be decoded or names
    /// another instance than its key. An instance is not taken for lost on such an entry.
    ///
    /// ```
    /// use mangotray::store;
    /// use mangotray_desk::declaration;
    /// let entry = store::Entry {
    ///     key: "mangotray/lost/i-7".into(),
    ///     value: r#"{"instance":"i-7","declared_at":"2030-01-02T03:04:05Z"}"#.into(),
    ///     version: 3,
    ///     lease: None,
    /// };
    /// assert!(declaration::Declaration::read(&entry).is_some());
    /// let other = store::Entry { key: "mangotray/lost/i-8".into(), ..entry };
    /// assert_eq!(declaration::Declaration::read(&other), None);
    /// ```
    #[must_use]
    pub fn read(entry: &store::Entry) -> Option<Self> {
        let id = entry.key.strip_prefix(PREFIX)?;
        let decoded = serde_json::from_slice(&entry.value);
        let declaration: Self = decoded
            .inspect_err(|error| {
                tracing::error!(key = %entry.key, %error, "cannot decode declaration of a lost instance");
            })
            .ok()?;
        if declaration.instance != id {
            tracing::error!(key = %entry.key, instance = %declaration.instance,
                "declaration of a lost instance names another instance than its key");
            return None;
        }
        Some(declaration)
    }
}

impl std::fmt::Display for Declaration {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let at = humantime::format_rfc3339_seconds(self.declared_at);
        write!(formatter, "{}, at {at}", self.instance)?;
        match &self.reason {
            Some(reason) => write!(formatter, ": {reason}"),
            None => Ok(()),
        }
    }
}
