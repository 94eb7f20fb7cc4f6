//! A database group of stand-in instances, with fault injection.

use std::net;
use std::sync::Arc;
use std::time;

use mangotray::database;
use mangotray::id;
use mangotray::status;

use crate::instance;
use crate::journal;
use crate::stats;
use crate::storage;

/// Number of instances in a group.
pub const INSTANCE_COUNT: usize = 3;

/// Default deadline of a request in the group's declaration.
const REQUEST_DEADLINE: time::Duration = time::Duration::from_secs(2);

/// Settings of a group and its instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Name of the group.
    pub name: String,
    /// Name of the database.
    pub database: String,
    /// Failure domain of each instance.
    pub domains: [String; INSTANCE_COUNT],
    /// Port of each instance; 0 lets the system choose one.
    pub ports: [u16; INSTANCE_COUNT],
    /// Number of batches that one instance runs at once.
    pub slots: usize,
    /// Number of connections that one instance accepts.
    pub connections: usize,
    /// Delay of an instance before it answers a new connection.
    pub connect_cost: time::Duration,
    /// Time that a batch occupies its slot.
    pub statement_cost: time::Duration,
    /// Replication delay.
    pub lag: time::Duration,
    /// Network delay of each request and of each answer.
    pub delay: time::Duration,
    /// SQL statements that each instance runs when it is created.
    pub schema: Vec<String>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "dome-sched".to_owned(),
            database: "dome_sched".to_owned(),
            domains: ["patan-hall", "kirtipur-hall", "bhaktapur-hall"].map(str::to_owned),
            ports: [0; INSTANCE_COUNT],
            slots: 3,
            connections: 20,
            connect_cost: time::Duration::from_millis(10),
            statement_cost: time::Duration::from_micros(500),
            lag: time::Duration::from_millis(2),
            delay: time::Duration::ZERO,
            schema: Vec::new(),
        }
    }
}

/// A running group. It starts without a primary, with each instance fenced at term 0.
pub struct Cluster {
    options: Arc<Options>,
    instances: Vec<Arc<instance::Instance>>,
    /// Listeners and replication; dropping the cluster cancels them.
    _tasks: Vec<async_executor::Task<()>>,
    _directory: tempfile::TempDir,
}

impl Cluster {
    /// Starts the instances on the executor, which the caller has to run.
    ///
    /// ```
    /// use mangotray_lab::cluster;
    /// let executor = std::sync::Arc::new(async_executor::Executor::new());
    /// let group = cluster::Cluster::start(cluster::Options::default(), &executor).unwrap();
    /// assert_eq!(group.declaration().instances.len(), 3);
    /// ```
    ///
    /// # Errors
    /// When a listener or file cannot be opened, or the schema is invalid.
    pub fn start(
        options: Options,
        executor: &Arc<async_executor::Executor<'static>>,
    ) -> eyre::Result<Arc<Self>> {
        let options = Arc::new(options);
        let directory = tempfile::tempdir()?;
        let mut instances = Vec::new();
        let mut tasks = Vec::new();
        for (index, port) in options.ports.iter().enumerate() {
            let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, *port));
            let listener = async_io::Async::<net::TcpListener>::bind(address)?;
            let address = listener.get_ref().local_addr()?;
            let instance = instance::Instance::new(index, address, &options, directory.path())?;
            let instance = Arc::new(instance);
            let accept_loop = Arc::clone(&instance).listen(listener, Arc::clone(executor));
            tasks.push(executor.spawn(accept_loop));
            instances.push(instance);
        }
        tasks.extend(replication_links(&instances).map(|link| executor.spawn(link.run())));
        Ok(Arc::new(Self {
            options,
            instances,
            _tasks: tasks,
            _directory: directory,
        }))
    }

    /// Addresses that the instances listen on.
    #[must_use]
    pub fn addresses(&self) -> Vec<net::SocketAddr> {
        let instances = self.instances.iter();
        instances.map(|instance| instance.address).collect()
    }

    /// The group as an operator would declare it in the configuration.
    #[must_use]
    pub fn declaration(&self) -> database::Group {
        let instances = self.instances.iter().zip(&self.options.domains);
        let instances = instances.map(|(instance, domain)| database::Instance {
            name: format!("{}-{}", self.options.name, instance.index).into(),
            address: instance.address,
            domain: domain.into(),
            leaving: false,
        });
        database::Group {
            name: self.options.name.as_str().into(),
            database: self.options.database.as_str().into(),
            instances: instances.collect(),
            connections: self.options.connections,
            slots: self.options.slots,
            deadline: REQUEST_DEADLINE,
            ages: Vec::new(),
        }
    }

    /// Stops an instance: its sockets are closed, new connections are closed at once and
    /// open transactions are rolled back. It keeps its log and its fence.
    pub fn crash(&self, index: id::Index) {
        self.instances[index].crash();
    }

    /// Starts a stopped instance again, as a replica with a new incarnation.
    pub fn restart(&self, index: id::Index) {
        self.instances[index].restart();
    }

    /// Stops an instance, deletes its log, fence and data, and starts it as a replica. It
    /// is no voter until it has copied the whole log of a primary, and that log's last
    /// term is at least the highest fence that the instance had.
    ///
    /// # Errors
    /// When the new data file cannot be created.
    pub fn wipe(&self, index: id::Index) -> eyre::Result<()> {
        self.instances[index].wipe()
    }

    /// Cuts or restores replication between an instance and the others. Callers can still
    /// connect to all of them.
    pub fn set_replication_cut(&self, index: id::Index, cut: bool) {
        self.instances[index].state().replication_cut = cut;
        self.instances[index].notify();
    }

    /// Stops or resumes all traffic to and from an instance, without closing sockets.
    pub fn set_blackhole(&self, index: id::Index, blackhole: bool) {
        self.instances[index].set_blackhole(blackhole);
    }

    /// Freezes or resumes an instance's process.
    pub fn set_paused(&self, index: id::Index, paused: bool) {
        self.instances[index].set_paused(paused);
    }

    /// Sets the delay of replication to an instance.
    pub fn set_lag(&self, index: id::Index, lag: time::Duration) {
        self.instances[index].state().lag = lag;
        self.instances[index].notify();
    }

    /// Sets the delay of replication to an instance back to that of the options.
    pub fn restore_lag(&self, index: id::Index) {
        self.set_lag(index, self.options.lag);
    }

    /// Fences all instances at `term` and promotes one, for tests without a proxy.
    ///
    /// # Errors
    /// When the instance is already fenced at a higher term, or is no voter.
    pub fn fence_and_promote(
        &self,
        index: id::Index,
        term: id::Term,
    ) -> eyre::Result<status::Status> {
        for instance in &self.instances {
            instance.fence(term);
        }
        self.instances[index]
            .promote(term)
            .map_err(|error| eyre::eyre!("{}", error.message))
    }

    /// Counters of an instance.
    #[must_use]
    pub fn stats(&self, index: id::Index) -> stats::Stats {
        *self.instances[index].stats()
    }

    /// Status of an instance, read without a connection.
    #[must_use]
    pub fn status(&self, index: id::Index) -> status::Status {
        self.instances[index].status()
    }

    /// Runs a query on an instance's data without a connection; `None` stands for NULL.
    ///
    /// # Errors
    /// When the data file cannot be read or the query is invalid.
    pub fn query(&self, index: id::Index, sql: &str) -> eyre::Result<Vec<Vec<Option<String>>>> {
        let mut results = self.queries(index, &[sql])?;
        Ok(results.pop().unwrap_or_default())
    }

    /// Runs queries on one snapshot of an instance's data. Requests that callers have
    /// abandoned may still commit, so results of separate calls can be inconsistent.
    ///
    /// ```
    /// use mangotray_lab::cluster;
    /// let executor = std::sync::Arc::new(async_executor::Executor::new());
    /// let group = cluster::Cluster::start(cluster::Options::default(), &executor).unwrap();
    /// let results = group.queries(0, &["SELECT 1", "SELECT NULL"]).unwrap();
    /// assert_eq!(results, [[[Some("1".to_owned())]], [[None]]]);
    /// ```
    ///
    /// # Errors
    /// When the data file cannot be read or a query is invalid.
    pub fn queries(
        &self,
        index: id::Index,
        queries: &[&str],
    ) -> eyre::Result<Vec<Vec<Vec<Option<String>>>>> {
        let (path, _) = self.instances[index].data_file();
        Ok(storage::query_snapshot(&path, queries)?)
    }

    /// All records in the log of an instance.
    #[must_use]
    pub fn log(&self, index: id::Index) -> Vec<Arc<journal::Record>> {
        self.instances[index].state().journal.records().to_vec()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.instances.iter().for_each(|instance| instance.crash());
    }
}

/// Replication for each ordered pair of instances.
fn replication_links(
    instances: &[Arc<instance::Instance>],
) -> impl Iterator<Item = journal::Replication> + '_ {
    let pairs = instances
        .iter()
        .flat_map(move |source| instances.iter().map(move |target| (source, target)));
    pairs
        .filter(|(source, target)| source.index != target.index)
        .map(|(source, target)| journal::Replication {
            source: Arc::clone(source),
            target: Arc::clone(target),
        })
}
