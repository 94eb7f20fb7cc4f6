//! Checks a caller's key: yields its organisation, or the reason for a refusal.

use std::time;

use compact_str::CompactString;
use compact_str::format_compact;

use crate::catalog;
use crate::key;
use crate::limits::quota;
use crate::organisation;
use crate::reply;
use crate::validity;

/// The organisation that a statement is run for.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// Name; [`organisation::OWN`] on public routes and in a configuration without organisations.
    pub organisation: organisation::Name,
    /// Rate limit, if the organisation has one.
    pub quota: Option<quota::Quota>,
}

/// Why a statement is refused before it is run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No organisation holds the key.
    UnknownKey,
    /// This node has no recent proof that its configuration is the newest.
    ConfigurationUnproven,
    /// The organisation has reached its rate limit; the delay until its next operation is allowed.
    OverQuota(time::Duration),
    /// The node that counts the organisation's operations cannot be reached; the delay until its
    /// deputy may allow the next one, if there is a deputy.
    QuotaUnknown(Option<time::Duration>),
}

impl Refusal {
    /// Label used in logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::UnknownKey => "key_unknown",
            Self::ConfigurationUnproven => "configuration_unproven",
            Self::OverQuota(_) => "over_quota",
            Self::QuotaUnknown(_) => "quota_unknown",
        }
    }

    /// Delay after which the operation may be tried again, if it is known.
    ///
    /// ```
    /// use mangotray_desk::access;
    /// use std::time::Duration;
    /// let refusal = access::Refusal::OverQuota(Duration::from_millis(40));
    /// assert_eq!(refusal.delay(), Some(Duration::from_millis(40)));
    /// ```
    #[must_use]
    pub const fn delay(self) -> Option<time::Duration> {
        match self {
            Self::OverQuota(delay) => Some(delay),
            Self::QuotaUnknown(delay) => delay,
            Self::UnknownKey | Self::ConfigurationUnproven => None,
        }
    }

    /// The same refusal with another delay, if it has one.
    ///
    /// ```
    /// use mangotray_desk::access;
    /// use std::time::Duration;
    /// let refusal = access::Refusal::OverQuota(Duration::ZERO).with_delay(Duration::from_millis(40));
    /// assert!(refusal.text().ends_with("come back in 40 ms"));
    /// ```
    #[must_use]
    pub const fn with_delay(self, delay: time::Duration) -> Self {
        match self {
            Self::OverQuota(_) => Self::OverQuota(delay),
            Self::QuotaUnknown(_) => Self::QuotaUnknown(Some(delay)),
            Self::UnknownKey | Self::ConfigurationUnproven => self,
        }
    }

    /// Code sent to the caller. `Busy` says that the statement has not run and can be retried.
    #[must_use]
    pub const fn code(self) -> reply::Code {
        match self {
            Self::UnknownKey => reply::Code::Unauthorised,
            Self::ConfigurationUnproven | Self::OverQuota(_) | Self::QuotaUnknown(_) => {
                reply::Code::Busy
            }
        }
    }

    /// Error text sent to the caller.
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

/// Finds the organisation of a caller by its key.
///
/// While the configuration may be outdated, every key is refused with a retryable error: a key that
/// is unknown here may be a new one.
///
/// # Errors
/// When the key is unknown, or the configuration is not proven to be the newest.
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
