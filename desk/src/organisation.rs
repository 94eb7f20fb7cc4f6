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

/// Whether an organisation may have this name. A name that is empty, contains white space or is
/// [`OWN`] cannot be sent to an instance.
///
/// ```
/// use mangotray_desk::organisation;
/// assert!(organisation::is_valid_name("dome"));
/// assert!(!organisation::is_valid_name("the dome"));
/// ```
#[must_use]
pub fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && !name.contains(char::is_whitespace) && name != OWN
}
