//! The configuration in force, and the entries of the list of instances.

use std::net;
use std::time;

use compact_str::CompactString;
use mangotray::id;

use crate::organisation;
use crate::organisations;
use crate::upstream;

/// Which commits a route's reads must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub enum Freshness {
    /// All commits acknowledged before the read.
    Current,
    /// All commits that were acknowledged longer ago than this staleness bound.
    Bounded(time::Duration),
    /// Like `Bounded`, and all commits of the caller's own session.
    Own(time::Duration),
}

/// How statements for one database are served.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Route {
    /// Version of the configuration that defines the route.
    pub version: id::Revision,
    /// Database name that callers connect to.
    pub database: CompactString,
    /// Group that serves the database.
    pub group: id::Group,
    /// Freshness that its reads require.
    pub freshness: Freshness,
    /// Timeout of one statement.
    pub timeout: time::Duration,
    /// Latency objective of a whole operation.
    pub objective: time::Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether callers are served without a key.
    pub public: bool,
}

/// One group of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Service {
    /// Name of the group.
    pub group: id::Group,
    /// Maximum number of connections that one instance accepts from all nodes together.
    pub connections: usize,
    /// Number of replicas that must have a commit before it is acknowledged.
    pub sync: usize,
}

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Version; only a higher one replaces the configuration in force.
    pub version: id::Revision,
    /// Routes, sorted by database.
    pub routes: Vec<Route>,
    /// Groups of instances.
    pub services: Vec<Service>,
    /// Idle timeout of a transaction; one that is idle for longer may be ended.
    pub transaction_idle: Option<time::Duration>,
    /// Organisations whose callers are served; `None` if callers need no key.
    pub organisations: Option<organisations::Organisations>,
}

impl Catalog {
    /// Largest staleness bound of all routes to a group.
    ///
    /// ```
    /// use mangotray_desk::catalog;
    /// let catalog = catalog::Catalog::default();
    /// assert!(catalog.max_staleness(&"bookings".into()).is_zero());
    /// ```
    #[must_use]
    pub fn max_staleness(&self, group: &id::Group) -> time::Duration {
        let routes = self.routes.iter().filter(|route| route.group == *group);
        let ages = routes.map(|route| match route.freshness {
            Freshness::Current => time::Duration::ZERO,
            Freshness::Bounded(age) | Freshness::Own(age) => age,
        });
        ages.max().unwrap_or_default()
    }

    /// Returns the route of a database.
    ///
    /// ```
    /// use mangotray_desk::catalog;
    /// assert_eq!(catalog::Catalog::default().route("desk"), None);
    /// ```
    #[must_use]
    pub fn route(&self, database: &str) -> Option<&Route> {
        let found = self
            .routes
            .binary_search_by(|route| route.database.as_str().cmp(database));
        found.ok().map(|index| &self.routes[index])
    }
}

/// One instance, as given by the list of instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Id of the instance.
    pub id: upstream::Id,
    /// Start time of its process.
    pub born: upstream::StartTime,
    /// Group that it belongs to.
    pub group: id::Group,
    /// Address on which it listens.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Number of statements that it executes at once.
    pub slots: usize,
    /// Whether it is about to leave the group.
    pub draining: bool,
    /// Whether it reports itself as primary.
    pub leads: bool,
    /// Whether the id of the instance at the address is unknown, so that any instance of the group
    /// is accepted there.
    pub any: bool,
}

impl Instance {
    /// The instance as the target of a connection for an organisation.
    pub(crate) fn target(&self, organisation: &organisation::Name) -> upstream::Target {
        upstream::Target {
            address: self.address,
            group: self.group.clone(),
            id: self.id.clone(),
            born: self.born,
            domain: self.domain.clone(),
            slots: self.slots,
            organisation: organisation.clone(),
            any: self.any,
        }
    }
}
