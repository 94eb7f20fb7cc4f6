//! A connection and what is known to be set on it.

use std::collections;

use compact_str::CompactString;
use mangotray::id;

use crate::statement;
use crate::upstream;

/// Values of a session or connection, by name.
pub type Values = collections::BTreeMap<statement::Name, CompactString>;

/// A connection and what was set on it.
pub struct Kept {
    /// The connection.
    pub link: Box<dyn upstream::Connection>,
    /// Values that were set on it.
    pub values: Values,
    /// Names that were prepared on it.
    pub handles: collections::BTreeSet<CompactString>,
    /// Commands were made for it that never left: it is not known what is set.
    pub dirty: bool,
    /// When it was last used.
    pub used: id::Time,
}
