//! A caller's key.

use std::fmt;
use std::hash;
use std::hash::Hash;
use std::hash::Hasher;

use compact_str::CompactString;
use compact_str::format_compact;

/// A secret that says for which organisation its caller works.
///
/// It is neither printed nor sent on: its debug form is its fingerprint, and it has no other.
///
/// ```
/// use mangotray_desk::key;
/// let key = key::Key::new("3f9a77");
/// assert!(!format!("{key:?}").contains("3f9a77"));
/// assert_eq!(key, key::Key::new("3f9a77"));
/// ```
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(CompactString);

impl Key {
    /// The key that a caller sent, or a configuration holds.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Whether it holds nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Eight digits that tell keys apart and do not tell the key.
    ///
    /// ```
    /// use mangotray_desk::key;
    /// assert_eq!(key::Key::new("a").fingerprint().len(), 8);
    /// ```
    #[must_use]
    pub fn fingerprint(&self) -> CompactString {
        let mut hasher = hash::DefaultHasher::new();
        self.0.as_str().hash(&mut hasher);
        format_compact!("{:08x}", hasher.finish() & 0xffff_ffff)
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Key({})", self.fingerprint())
    }
}
