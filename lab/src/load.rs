//! Counters of the databases and the platform during a run.

use mangotray::role;

use crate::cluster;
use crate::environment;

/// Counts of one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// Statements that instances ran while they were replicas.
    pub replica_statements: usize,
    /// Calls to the platform's service.
    pub platform_calls: u64,
    /// Greatest number of connections that one instance had open at once.
    pub peak_connections: usize,
    /// Greatest number of slots of one instance in use at once.
    pub peak_busy: usize,
    previous_statements: Vec<[usize; cluster::INSTANCE_COUNT]>,
    calls_before: u64,
}

impl Load {
    /// Starts counting from the present counters of an environment.
    #[must_use]
    pub fn start(environment: &environment::Environment) -> Self {
        let previous_statements = environment
            .clusters
            .iter()
            .map(|cluster| std::array::from_fn(|index| cluster.stats(index).statements));
        Self {
            replica_statements: 0,
            platform_calls: 0,
            peak_connections: 0,
            peak_busy: 0,
            previous_statements: previous_statements.collect(),
            calls_before: environment.platform.calls(),
        }
    }

    /// Adds the counts since the last sample. All statements since then are attributed to
    /// the present role of the instance, so they are inexact for an interval in which the
    /// primary changes.
    pub fn sample(&mut self, environment: &environment::Environment) {
        self.platform_calls = environment.platform.calls() - self.calls_before;
        for (cluster, previous_statements) in environment
            .clusters
            .iter()
            .zip(&mut self.previous_statements)
        {
            for (index, previous) in previous_statements.iter_mut().enumerate() {
                let stats = cluster.stats(index);
                if cluster.status(index).role == role::Role::Replica {
                    self.replica_statements += stats.statements - *previous;
                }
                *previous = stats.statements;
                self.peak_connections = self.peak_connections.max(stats.peak_connections);
                self.peak_busy = self.peak_busy.max(stats.peak_busy);
            }
        }
    }
}
