//! The configuration in force and the instances that there are.

use std::net;
use std::time;

use compact_str::CompactString;
use mangotray::id;

use crate::organisations;
use crate::upstream;

/// What a route's reads may be served from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub enum Freshness {
    /// All commits acknowledged before the read.
    Current,
    /// All commits acknowledged longer ago than this.
    Bounded(time::Duration),
    /// As `Bounded`, and all of the caller's own.
    Own(time::Duration),
}

/// How statements for one database are served.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Route {
    /// Version of the configuration that it is from.
    pub version: id::Revision,
    /// Name that callers connect to.
    pub database: CompactString,
    /// Group that serves it.
    pub group: id::Group,
    /// What its reads need.
    pub freshness: Freshness,
    /// Limit of one statement.
    pub timeout: time::Duration,
    /// Time in which a whole operation should be answered.
    pub objective: time::Duration,
    /// 0 is served first.
    pub priority: u8,
    /// Its callers need no key.
    pub public: bool,
}

/// One group of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Service {
    /// Its name.
    pub group: id::Group,
    /// Connections that one instance takes from all nodes together.
    pub connections: usize,
    /// Replicas that must hold a commit before it is acknowledged.
    pub sync: usize,
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Its version; a higher one replaces a lower one, never the other way round.
    pub version: id::Revision,
    /// Routes, sorted by database.
    pub routes: Vec<Route>,
    /// Groups.
    pub services: Vec<Service>,
    /// A transaction that rests longer may be ended.
    pub transaction_idle: Option<time::Duration>,
    /// Who may call; none where that is not asked.
    pub organisations: Option<organisations::Organisations>,
}

impl Catalog {
    /// Largest age of data that any route to a group accepts.
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

    /// The route of a database.
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

/// One instance as the list of instances has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its id.
    pub id: upstream::Id,
    /// When its process started.
    pub born: upstream::StartTime,
    /// Group that it belongs to.
    pub group: id::Group,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Statements that it works on at once.
    pub slots: usize,
    /// It is about to leave.
    pub draining: bool,
    /// It sees itself as primary.
    pub leads: bool,
    /// Any instance of the group at its address is meant, as the id of the one there is not known.
    pub any: bool,
}
