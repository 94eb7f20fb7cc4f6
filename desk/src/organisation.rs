//! One organisation of the configuration.

use compact_str::CompactString;

use crate::key;
use crate::quota;

/// Name of an organisation.
pub type Name = CompactString;

/// The name under which this product asks instances questions of its own, and serves callers
/// where the configuration knows no organisations.
pub const OWN: Name = CompactString::const_new("mangotray");

/// Who may call, and how much.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub name: Name,
    /// Keys of its callers.
    pub keys: Vec<key::Key>,
    /// Its limit, where it has one.
    pub quota: Option<quota::Quota>,
}
