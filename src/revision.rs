//! The operators' file as one node holds it; never goes back a revision.

use compact_str::CompactString;

use crate::id;
use crate::placement;

/// Fingerprint of a text, the same on every node.
pub type Checksum = u64;

/// A revision of the operators' file.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct File {
    /// Revision, as counted in the store.
    pub revision: id::Revision,
    /// Whole text.
    pub text: CompactString,
}

/// Short form of what a node holds, for exchange between nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Digest {
    /// Revision held; 0 when there is none.
    pub revision: id::Revision,
    /// Checksum of its text.
    pub checksum: Checksum,
}

/// What became of a revision that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// Newer than what was held; in force now.
    Adopted,
    /// Older than what is held; dropped.
    Stale,
    /// Held already.
    Same,
    /// Another text under the revision that is held; dropped. The store's counter was
    /// broken, for instance by a restored backup: the operators have to apply again.
    Conflict,
}

/// Newest revision that a node has seen.
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
    /// Takes a revision in, if it is newer than the one held.
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

    /// The file held, if any.
    #[must_use]
    pub const fn file(&self) -> Option<&File> {
        self.file.as_ref()
    }

    /// Short form of what is held.
    #[must_use]
    pub const fn digest(&self) -> Digest {
        self.digest
    }

    /// True when a node with this digest holds something newer.
    ///
    /// ```
    /// use mangotray::revision;
    /// let mut newer = revision::State::default();
    /// newer.offer(1, "a");
    /// let older = revision::State::default();
    /// assert!(older.wants(&newer.digest()));
    /// assert!(!newer.wants(&older.digest()));
    /// ```
    #[must_use]
    pub const fn wants(&self, digest: &Digest) -> bool {
        digest.revision > self.digest.revision
    }

    /// The file, when it is newer than what a node with this digest holds.
    ///
    /// ```
    /// use mangotray::revision;
    /// let mut state = revision::State::default();
    /// state.offer(1, "a");
    /// assert!(state.newer(&revision::Digest::default()).is_some());
    /// assert!(state.newer(&state.digest()).is_none());
    /// ```
    #[must_use]
    pub fn newer(&self, peer: &Digest) -> Option<&File> {
        self.file().filter(|file| file.revision > peer.revision)
    }
}

/// Fingerprint of a text; tells files apart that bear one revision by mistake.
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
