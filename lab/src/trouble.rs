//! Injects faults into an environment and ends them.

use std::time;

use mangotray::id;

use crate::environment;
use crate::fault;

/// Replication delay to a replica while the fault `replica-lag` is active.
const REPLICA_LAG: time::Duration = time::Duration::from_secs(4);

/// Time that the platform's service takes for a call while it is slow.
const SLOW_CALL_DELAY: time::Duration = time::Duration::from_millis(800);

/// Fraction of changes whose answer is lost, from 0 to 1.
const LOST_ANSWER_SHARE: f64 = 0.3;

/// An active fault, or one that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trouble {
    /// Settings of the fault.
    pub fault: fault::Fault,
    /// When the fault began.
    pub started_at: time::Instant,
    /// Instance that the fault affects.
    instance: id::Index,
}

impl Trouble {
    /// Begins a fault. A primary's fault affects the first instance when the group has no
    /// primary at that moment.
    #[must_use]
    pub fn begin(
        fault: fault::Fault,
        environment: &mut environment::Environment,
        seed: u64,
    ) -> Self {
        let instance = if fault.kind.affects_primary() {
            environment.primary(fault.group).unwrap_or_default()
        } else {
            environment.replica(fault.group)
        };
        let cluster = &environment.clusters[fault.group];
        match fault.kind {
            fault::Kind::PrimaryCrash | fault::Kind::ReplicaCrash => cluster.crash(instance),
            fault::Kind::PrimaryPartition => cluster.set_replication_cut(instance, true),
            fault::Kind::PrimaryPause => cluster.set_paused(instance, true),
            fault::Kind::ReplicaLag => cluster.set_lag(instance, REPLICA_LAG),
            fault::Kind::ProxyCrash => environment.crash_proxy(),
            fault::Kind::ProxyDrain => environment.drain_proxy(),
            fault::Kind::PlatformOutage => environment.platform.set_outage(true),
            fault::Kind::PlatformSlow => environment.platform.set_delay(SLOW_CALL_DELAY),
            fault::Kind::PlatformLostAnswers => {
                environment.platform.lose_answers(LOST_ANSWER_SHARE, seed);
            }
        }
        tracing::info!(%fault, instance, "fault begins");
        Self {
            fault,
            started_at: time::Instant::now(),
            instance,
        }
    }

    /// Ends the fault; proxies that crashed or drained are not started again.
    pub fn end(&self, environment: &environment::Environment) {
        let cluster = &environment.clusters[self.fault.group];
        match self.fault.kind {
            fault::Kind::PrimaryCrash | fault::Kind::ReplicaCrash => cluster.restart(self.instance),
            fault::Kind::PrimaryPartition => cluster.set_replication_cut(self.instance, false),
            fault::Kind::PrimaryPause => cluster.set_paused(self.instance, false),
            fault::Kind::ReplicaLag => cluster.restore_lag(self.instance),
            fault::Kind::ProxyCrash | fault::Kind::ProxyDrain => {}
            fault::Kind::PlatformOutage => environment.platform.set_outage(false),
            fault::Kind::PlatformSlow => environment.platform.set_delay(time::Duration::ZERO),
            fault::Kind::PlatformLostAnswers => environment.platform.lose_answers(0.0, 0),
        }
        tracing::info!(fault = %self.fault, instance = self.instance, "fault ends");
    }

    /// True once the duration of the fault has passed.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.started_at.elapsed() >= self.fault.duration
    }
}
