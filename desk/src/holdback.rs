//! What a promotion that is held back waits for.

use mangotray::stamp;

use crate::upstream;

/// A promotion that is held back: instances that do not answer may have acknowledged records that
/// all others lack.
///
/// The wait ends when one of them answers with these records, when there is evidence that they have
/// ended, or when operators declare them lost.
///
/// ```
/// use mangotray::stamp::Stamp;
/// use mangotray_desk::holdback;
/// let holdback = holdback::Holdback {
///     missing: vec!["a".into(), "c".into()],
///     position: Some(Stamp::new(1, 10)),
///     known: Some(Stamp::new(1, 12)),
/// };
/// assert_eq!(holdback.to_string(), "a, c (have 1/10, known 1/12)");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Holdback {
    /// The instances that do not answer.
    pub missing: Vec<upstream::Id>,
    /// Last log position of the instances that answer.
    pub position: Option<stamp::Stamp>,
    /// Highest log position that some replica is known to have received. Later records may have
    /// been acknowledged without this node's knowledge.
    pub known: Option<stamp::Stamp>,
}

impl std::fmt::Display for Holdback {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let show = |stamp: Option<stamp::Stamp>| {
            stamp.map_or_else(|| "nothing".to_owned(), |stamp| stamp.to_string())
        };
        let (position, known) = (show(self.position), show(self.known));
        write!(
            formatter,
            "{} (have {position}, known {known})",
            self.missing.join(", ")
        )
    }
}
