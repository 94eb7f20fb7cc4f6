//! A configuration as operators wrote it, with everything that a check needs and nodes do not.

use std::time;

use compact_str::CompactString;
use mangotray::id;

use crate::catalog;
use crate::key;
use crate::limits::quota;
use crate::organisation;
use crate::organisations;

/// A decoded configuration, with its entries in the order in which they were written. Nodes index
/// it as a [`catalog::Catalog`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// Version; nodes take only a higher one than that in force.
    pub version: id::Revision,
    /// Routes.
    pub routes: Vec<Route>,
    /// Groups of instances.
    pub services: Vec<catalog::Service>,
    /// Idle timeout of a transaction.
    pub transaction_idle: Option<time::Duration>,
    /// Organisations; `None` if callers need no key.
    pub organisations: Option<Vec<Organisation>>,
}

/// Which commits the reads of a route must see.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// All commits acknowledged before the read, so that the primary serves it.
    Primary,
    /// All commits older than the staleness bound.
    BoundedStale,
    /// Like `BoundedStale`, and all commits of the caller's own session.
    ReadOwn,
    /// A kind that this version does not know. It is served like `Primary`, which is the strictest.
    Unknown(CompactString),
}

/// How statements for one database are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Database name that callers connect to.
    pub database: CompactString,
    /// Group that serves the database.
    pub group: id::Group,
    /// Which commits its reads must see.
    pub kind: Kind,
    /// Staleness bound in milliseconds; see [`duration`].
    pub staleness_ms: f64,
    /// Timeout of one statement.
    pub timeout: time::Duration,
    /// Latency objective of a whole operation in milliseconds; see [`duration`].
    pub objective_ms: f64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether callers are served without a key.
    pub public: bool,
}

/// Keys and rate limit of an organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Unique name.
    pub name: organisation::Name,
    /// Keys of its callers.
    pub keys: Vec<key::Key>,
    /// Operations per second; `None` if the organisation has no limit.
    pub rate: Option<f64>,
    /// Operations that may start at once; `None` for as many as the rate.
    pub burst: Option<f64>,
}

/// Converts milliseconds; `None` if they are negative, too many or not a number, which nodes read
/// as zero.
///
/// ```
/// use mangotray_desk::configuration::document;
/// use std::time::Duration;
/// assert_eq!(document::duration(2.5), Some(Duration::from_micros(2500)));
/// assert_eq!(document::duration(-1.0), None);
/// ```
#[must_use]
pub fn duration(milliseconds: f64) -> Option<time::Duration> {
    time::Duration::try_from_secs_f64(milliseconds / 1000.0).ok()
}

impl Document {
    /// Indexes the configuration for nodes.
    ///
    /// # Errors
    /// When an organisation is invalid, or two share a name or a key. Nodes reject such a
    /// configuration.
    ///
    /// ```
    /// use mangotray_desk::configuration::document;
    /// let document = document::Document { version: 7, ..document::Document::default() };
    /// assert_eq!(document.into_catalog().unwrap().version, 7);
    /// ```
    pub fn into_catalog(self) -> Result<catalog::Catalog, organisations::Fault> {
        let version = self.version;
        let index = |route: Route| route.into_catalog(version);
        let mut routes: Vec<_> = self.routes.into_iter().map(index).collect();
        routes.sort_by(|one, other| one.database.cmp(&other.database));
        let organisations = self.organisations.map(|organisations| {
            let organisations = organisations.iter().map(Organisation::organisation);
            organisations::Organisations::new(organisations.collect())
        });
        Ok(catalog::Catalog {
            version,
            routes,
            services: self.services,
            transaction_idle: self.transaction_idle,
            organisations: organisations.transpose()?,
        })
    }
}

impl Route {
    /// Freshness that its reads require.
    ///
    /// ```
    /// use mangotray_desk::{catalog, configuration::document};
    /// let route = document::Route {
    ///     database: "desk".into(),
    ///     group: "core".into(),
    ///     kind: document::Kind::Unknown("later".into()),
    ///     staleness_ms: 1500.0,
    ///     timeout: std::time::Duration::from_secs(1),
    ///     objective_ms: 150.0,
    ///     priority: 0,
    ///     public: false,
    /// };
    /// assert_eq!(route.freshness(), catalog::Freshness::Current);
    /// ```
    #[must_use]
    pub fn freshness(&self) -> catalog::Freshness {
        let staleness = duration(self.staleness_ms).unwrap_or_default();
        match self.kind {
            Kind::Primary | Kind::Unknown(_) => catalog::Freshness::Current,
            Kind::BoundedStale => catalog::Freshness::Bounded(staleness),
            Kind::ReadOwn => catalog::Freshness::Own(staleness),
        }
    }

    fn into_catalog(self, version: id::Revision) -> catalog::Route {
        catalog::Route {
            version,
            freshness: self.freshness(),
            objective: duration(self.objective_ms).unwrap_or_default(),
            database: self.database,
            group: self.group,
            timeout: self.timeout,
            priority: self.priority,
            public: self.public,
        }
    }
}

impl Organisation {
    /// Rate limit; without a rate there is none, whatever the burst.
    ///
    /// ```
    /// use mangotray_desk::configuration::document;
    /// let organisation = document::Organisation {
    ///     name: "dome".into(),
    ///     keys: vec![],
    ///     rate: Some(20.0),
    ///     burst: None,
    /// };
    /// assert_eq!(organisation.quota().unwrap().burst, 20.0);
    /// ```
    #[must_use]
    pub fn quota(&self) -> Option<quota::Quota> {
        let quota = |rate| quota::Quota {
            rate,
            burst: self.burst.unwrap_or(rate),
        };
        self.rate.map(quota)
    }

    /// The organisation as nodes use it.
    pub(crate) fn organisation(&self) -> organisation::Organisation {
        organisation::Organisation {
            name: self.name.clone(),
            keys: self.keys.clone(),
            quota: self.quota(),
        }
    }
}
