//! A node's copy of the operators' file, which is only ever replaced by a newer revision.

use compact_str::CompactString;

use crate::id;
use crate::placement;

/// Checksum of a text, the same on every node.
pub type Checksum = u64;

/// A revision of the operators' file.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct File {
    /// Revision number from the store.
    pub revision: id::Revision,
    /// Complete text of the file.
    pub text: CompactString,
}

/// Revision and checksum of a node's file, which nodes exchange to compare their copies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Digest {
    /// Revision of the file; 0 when the node has none.
    pub revision: id::Revision,
    /// Checksum of the file's text.
    pub checksum: Checksum,
}

/// Result of [`State::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// Newer than the current revision, which it has replaced.
    Adopted,
    /// Older than the current revision, or revision 0; ignored.
    Stale,
    /// Identical to the current revision.
    Same,
    /// Same revision as the current one but a different text; ignored. The store's revision
    /// counter went back, for instance through a restored backup: the operators have to apply
    /// the file again.
    Conflict,
}

/// Newest revision that a node has received.
///
/// ```
/// use mangotray::revision;
/// let mut state = revision::State::default();
/// assert_eq!(state.offer(2, "b"), revision::Offer::Adopted);
/// assert_eq!(state.offer(1, "a"), revision::Offer::Stale);
/// assert_eq!(state.offer(2, "b"), revision::Offer::Same);
/// assert_eq!(state.offer(2, "c"), revision::Offer::Conflict);
/// assert_eq!(state.file().unwrap().text, "b");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    file: Option<File>,
    digest: Digest,
}

impl State {
    /// Adopts a revision if it is newer than the current one.
    pub fn offer(&mut self, revision: id::Revision, text: &str) -> Offer {
        let digest = Digest {
            revision,
            checksum: checksum(text),
        };
        if revision < self.digest.revision || revision == 0 {
            return Offer::Stale;
        }
        if digest == self.digest {
            return Offer::Same;
        }
        if revision == self.digest.revision {
            return Offer::Conflict;
        }
        self.digest = digest;
        self.file = Some(File {
            revision,
            text: text.into(),
        });
        Offer::Adopted
    }

    /// The current file, if any.
    #[must_use]
    pub const fn file(&self) -> Option<&File> {
        self.file.as_ref()
    }

    /// Digest of the current file.
    #[must_use]
    pub const fn digest(&self) -> Digest {
        self.digest
    }

    /// Whether a node with this digest has a newer revision.
    ///
    /// ```
    /// use mangotray::revision;
    /// let mut newer = revision::State::default();
    /// newer.offer(1, "a");
    /// let older = revision::State::default();
    /// assert!(older.is_older_than(&newer.digest()));
    /// assert!(!newer.is_older_than(&older.digest()));
    /// ```
    #[must_use]
    pub const fn is_older_than(&self, digest: &Digest) -> bool {
        digest.revision > self.digest.revision
    }

    /// The current file, if it is newer than the file of a node with this digest.
    ///
    /// ```
    /// use mangotray::revision;
    /// let mut state = revision::State::default();
    /// state.offer(1, "a");
    /// assert!(state.file_newer_than(&revision::Digest::default()).is_some());
    /// assert!(state.file_newer_than(&state.digest()).is_none());
    /// ```
    #[must_use]
    pub fn file_newer_than(&self, peer: &Digest) -> Option<&File> {
        self.file().filter(|file| file.revision > peer.revision)
    }
}

/// Checksum of a text; distinguishes different files that have the same revision by mistake.
///
/// ```
/// use mangotray::revision;
/// assert_ne!(revision::checksum("a"), revision::checksum("b"));
/// ```
#[must_use]
pub fn checksum(text: &str) -> Checksum {
    placement::score("config", text)
}

#[cfg(test)]
mod tests;
