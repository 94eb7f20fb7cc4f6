//! Positions in the history of the platform's store.

use mangotray::store;

/// A position in the store's history. A later era comes after all revisions of an earlier one, which
/// the store assigns again.
///
/// ```
/// use mangotray_desk::position;
/// let position = |era, revision| position::Position { era, revision };
/// assert!(position(1, 9) < position(2, 7));
/// ```
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Position {
    /// The era.
    pub era: store::Era,
    /// The revision.
    pub revision: store::Version,
}
