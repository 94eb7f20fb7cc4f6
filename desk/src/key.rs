//! API key of a caller.

use std::fmt;
use std::hash;
use std::hash::Hash;
use std::hash::Hasher;

use compact_str::CompactString;
use compact_str::format_compact;

/// A secret that identifies the caller's organisation.
///
/// It is never logged or forwarded: `Debug` prints its fingerprint, and `Display` is not
/// implemented.
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
    /// Creates a key from the text that a caller sent or the configuration holds.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Whether the key is the empty text.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Eight hexadecimal digits of a hash, to tell keys apart in logs without revealing them.
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
