//! Declaration of one database group.

use std::net;
use std::time;

use compact_str::CompactString;

use crate::id;

/// One group of instances that replicate one database.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Group {
    /// Name of the group, unique in the file.
    pub name: id::Group,
    /// Database name that callers connect to.
    pub database: CompactString,
    /// The group's instances.
    pub instances: Vec<Instance>,
    /// Connections that one instance accepts in total.
    pub connections: usize,
    /// Statements that one instance executes at once.
    pub slots: usize,
    /// Default deadline of a request.
    #[serde(with = "humantime_serde")]
    pub deadline: time::Duration,
    /// Reads that accept data of a stated age.
    pub ages: Vec<Age>,
}

impl Group {
    /// Greatest age of data that a read of these tables accepts: the smallest of the tables'
    /// limits. `None`, meaning fresh data only, when a table has no limit or when `tables` is
    /// empty because they are unknown.
    ///
    /// ```
    /// use std::time::Duration;
    /// let text = "[group g]\ndatabase = d\n\
    ///     instances = a@x:10.0.0.1:5, b@y:10.0.0.2:5, c@z:10.0.0.3:5\n\
    ///     connections = 20\nslots = 3\ndeadline = 2s\n\
    ///     [age g calendar]\ntables = shows\nlimit = 5s\n";
    /// let declaration = mangotray::declaration::Declaration::parse(text).unwrap();
    /// let group = &declaration.catalog.groups[0];
    /// assert_eq!(group.max_age(&["shows".into()]), Some(Duration::from_secs(5)));
    /// assert_eq!(group.max_age(&["shows".into(), "seats".into()]), None);
    /// assert_eq!(group.max_age(&[]), None);
    /// ```
    #[must_use]
    pub fn max_age(&self, tables: &[CompactString]) -> Option<time::Duration> {
        let limits: Option<Vec<_>> = tables.iter().map(|table| self.table_limit(table)).collect();
        limits?.into_iter().min()
    }

    fn table_limit(&self, table: &CompactString) -> Option<time::Duration> {
        let age = self.ages.iter().find(|age| age.tables.contains(table))?;
        Some(age.limit)
    }
}

/// One instance of a group.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Instance {
    /// Name, unique in the group.
    pub name: CompactString,
    /// Address that it listens on.
    pub address: net::SocketAddr,
    /// Failure domain that it runs in.
    pub domain: id::Domain,
    /// True while the operators are taking it out of service.
    pub leaving: bool,
}

/// Declares that reads of some tables accept data up to a stated age.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Age {
    /// Tables, in lower case and without the schema `public`. A read accepts old data when each
    /// of its tables is declared, even if by different declarations.
    pub tables: Vec<CompactString>,
    /// Greatest age of the data.
    #[serde(with = "humantime_serde")]
    pub limit: time::Duration,
}
