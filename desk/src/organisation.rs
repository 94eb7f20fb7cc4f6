//! One organisation of the configuration.

use compact_str::CompactString;

use crate::key;
use crate::limits::quota;

/// Name of an organisation.
pub type Name = CompactString;

/// Name that the proxy uses for its own queries to instances, and for callers on public routes or
/// in a configuration without organisations.
pub const OWN: Name = CompactString::const_new("mangotray");

/// Keys and rate limit of an organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Unique name.
    pub name: Name,
    /// Keys of its callers.
    pub keys: Vec<key::Key>,
    /// Rate limit, if it has one.
    pub quota: Option<quota::Quota>,
}
