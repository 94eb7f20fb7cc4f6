//! For which organisation a caller's statement runs, or why it does not.

use std::time;

use compact_str::CompactString;
use compact_str::format_compact;

use crate::catalog;
use crate::key;
use crate::organisation;
use crate::quota;
use crate::reply;
use crate::validity;

/// Whom a statement is run for.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// The organisation; [`organisation::OWN`] where nobody asks.
    pub organisation: organisation::Name,
    /// Its limit, where it has one.
    pub quota: Option<quota::Quota>,
}

/// Why a statement is not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No organisation holds the key.
    UnknownKey,
    /// This node cannot prove that its configuration is the newest.
    ConfigurationUnproven,
    /// The organisation has started as many operations as it may; when it may start the next.
    OverQuota(time::Duration),
    /// The node that counts the organisation's operations cannot be reached; when another one may let
    /// the next begin, if one can.
    QuotaUnknown(Option<time::Duration>),
}

impl Refusal {
    /// Label in logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::UnknownKey => "key_unknown",
            Self::ConfigurationUnproven => "configuration_unproven",
            Self::OverQuota(_) => "over_quota",
            Self::QuotaUnknown(_) => "quota_unknown",
        }
    }

    /// The code that the caller is told: but for an unknown key, that nothing has run.
    #[must_use]
    pub const fn code(self) -> reply::Code {
        match self {
            Self::UnknownKey => reply::Code::Unauthorised,
            Self::ConfigurationUnproven | Self::OverQuota(_) | Self::QuotaUnknown(_) => {
                reply::Code::Busy
            }
        }
    }

    /// For a human.
    ///
    /// ```
    /// use mangotray_desk::access;
    /// let over = access::Refusal::OverQuota(std::time::Duration::from_millis(70));
    /// assert_eq!(over.text(), "over the organisation's limit, come back in 70 ms");
    /// ```
    #[must_use]
    pub fn text(self) -> CompactString {
        match self {
            Self::UnknownKey => CompactString::const_new("no organisation holds this key"),
            Self::ConfigurationUnproven => {
                CompactString::const_new("this node cannot tell whether the key is still valid")
            }
            Self::OverQuota(wait) => format_compact!(
                "over the organisation's limit, come back in {} ms",
                wait.as_millis()
            ),
            Self::QuotaUnknown(None) => {
                CompactString::const_new("the organisation's limit cannot be checked for now")
            }
            Self::QuotaUnknown(Some(wait)) => format_compact!(
                "the organisation's limit cannot be checked for now, come back in {} ms",
                wait.as_millis()
            ),
        }
    }
}

/// Whom a caller with this key works for on a route.
///
/// A key that is not known to a node whose configuration may be an old one may be a new key, so
/// that its caller is told to come back.
///
/// # Errors
/// When the caller must not be served.
///
/// ```
/// use mangotray_desk::{access, catalog, validity, key, organisation};
/// let catalog = catalog::Catalog::default();
/// let key = key::Key::new("any");
/// let caller = access::identify(&catalog, false, &key, validity::State::Expired).unwrap();
/// assert_eq!(caller.organisation, organisation::OWN);
/// ```
pub fn identify(
    catalog: &catalog::Catalog,
    public: bool,
    key: &key::Key,
    key_validity: validity::State,
) -> Result<Caller, Refusal> {
    let Some(organisations) = catalog.organisations.as_ref().filter(|_| !public) else {
        return Ok(Caller {
            organisation: organisation::OWN,
            quota: None,
        });
    };
    if key_validity == validity::State::Expired {
        return Err(Refusal::ConfigurationUnproven);
    }
    let found = organisations.find_by_key(key).ok_or(Refusal::UnknownKey)?;
    Ok(Caller {
        organisation: found.name.clone(),
        quota: found.quota,
    })
}
