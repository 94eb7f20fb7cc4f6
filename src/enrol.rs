//! Registers this VM in the platform's store, in a record bound to the VM's lease.

use std::net;
use std::sync;
use std::time;

use compact_str::CompactString;
use compact_str::format_compact;

use crate::clock;
use crate::evidence;
use crate::grant;
use crate::id;
use crate::store;
use crate::witness;

/// Prefix of the keys under which VMs are registered.
pub const KEY_PREFIX: &str = "vm/";

/// Time between renewals: two may fail before the lease ends.
const RENEWAL_INTERVAL: time::Duration = time::Duration::from_secs(3);

/// Delay after a failed renewal; short, so that the end of an outage is noticed soon.
const RETRY_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Maximum number of leases kept: seats may still be held under an earlier one.
const MAX_GRANTS: usize = 4;

/// Registration record of a VM.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// Name of the VM.
    pub vm: id::Vm,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Incarnation number of the process.
    pub incarnation: id::Incarnation,
    /// Address at which it accepts callers.
    pub callers: net::SocketAddr,
    /// Address at which it accepts other proxies.
    pub peers: net::SocketAddr,
    /// Address of its admin interface.
    pub admin: net::SocketAddr,
    /// Whether it is shutting down and accepts no new work.
    pub draining: bool,
    /// Lease to which the record is bound.
    pub lease: Option<store::Lease>,
}

impl Record {
    /// Heartbeat data of the VM's process.
    #[must_use]
    pub fn heartbeat(&self) -> evidence::Heartbeat {
        evidence::Heartbeat {
            vm: self.vm.clone(),
            domain: self.domain.clone(),
            incarnation: self.incarnation,
            draining: self.draining,
        }
    }
}

/// Maintains the VM's lease and the record bound to it.
pub struct Enrolment {
    store: sync::Arc<dyn store::Store>,
    clock: sync::Arc<dyn clock::Clock>,
    record: sync::Mutex<Record>,
    limits: grant::Limits,
    grants: sync::Mutex<Vec<grant::Grant>>,
    witness: sync::Mutex<witness::Witness>,
    registered: async_lock::Mutex<bool>,
    registered_lease: sync::Mutex<Option<store::Lease>>,
}

impl Enrolment {
    /// Creates the registration of `record` without storing it.
    #[must_use]
    pub fn new(
        store: sync::Arc<dyn store::Store>,
        clock: sync::Arc<dyn clock::Clock>,
        record: Record,
    ) -> Self {
        let now = clock.now();
        Self {
            store,
            clock,
            record: sync::Mutex::new(record),
            limits: grant::Limits::default(),
            grants: sync::Mutex::default(),
            witness: sync::Mutex::new(witness::Witness::new(now)),
            registered: async_lock::Mutex::new(false),
            registered_lease: sync::Mutex::default(),
        }
    }

    /// Renews the registration, retrying through outages of the store; never returns.
    pub async fn run(&self) {
        loop {
            let pause = match self.renew().await {
                Ok(()) => RENEWAL_INTERVAL,
                Err(failure) => {
                    tracing::warn!(?failure, "cannot renew the VM's lease");
                    RETRY_INTERVAL
                }
            };
            async_io::Timer::after(jittered(pause)).await;
        }
    }

    /// Marks the VM as draining, so that peers send it no new work.
    pub async fn mark_draining(&self) {
        self.lock_record().draining = true;
        if let Err(failure) = self.register().await {
            tracing::warn!(?failure, "cannot store the draining state");
            // The next renewal tries again.
            *self.registered.lock().await = false;
        }
    }

    /// Revokes the lease, so that peers need not wait for it to expire.
    pub async fn revoke_lease(&self) {
        let lease = self.lease();
        if let Some(lease) = lease {
            let _ = self.store.revoke(&lease).await;
        }
    }

    /// The newest lease, if any was granted.
    #[must_use]
    pub fn lease(&self) -> Option<store::Lease> {
        let grants = lock(&self.grants);
        grants.first().map(|grant| grant.lease().clone())
    }

    /// The lease that the stored record names. Other VMs treat a lease that the record does not
    /// name as ended, so seats must not be claimed under a newer lease before it is stored.
    #[must_use]
    pub fn registered_lease(&self) -> Option<store::Lease> {
        lock(&self.registered_lease).clone()
    }

    /// The leases under which seats may be held, newest first.
    #[must_use]
    pub fn grants(&self) -> Vec<grant::Grant> {
        lock(&self.grants).clone()
    }

    /// Records a peer's report on its contact with the store, requested at `asked` and received
    /// at `answered`.
    pub fn record_report(
        &self,
        vm: &id::Vm,
        asked: id::Time,
        answered: id::Time,
        report: witness::Report,
    ) {
        let mut grants = lock(&self.grants);
        grants
            .iter_mut()
            .for_each(|grant| grant.record_report(vm, asked, answered, report));
    }

    /// This VM's report on its own contact with the store.
    #[must_use]
    pub fn report(&self) -> witness::Report {
        lock(&self.witness).report(self.clock.now())
    }

    /// Heartbeat data that this VM sends to its peers with each call.
    #[must_use]
    pub fn heartbeat(&self) -> evidence::Heartbeat {
        self.lock_record().heartbeat()
    }

    /// Limits from which the validity of leases is computed.
    #[must_use]
    pub fn limits(&self) -> &grant::Limits {
        &self.limits
    }

    async fn renew(&self) -> Result<(), store::Failure> {
        // The validity counts from before the call: the store may execute it at any time after.
        let sent = self.clock.now();
        if let Some(lease) = self.lease()
            && self.store.renew(&lease).await?
        {
            self.record_contact();
            if let Some(grant) = lock(&self.grants).first_mut() {
                grant.record_renewal(sent);
            }
            return self.register_if_needed().await;
        }
        let sent = self.clock.now();
        let lease = self.store.grant(self.limits.ttl).await?;
        self.record_contact();
        let fresh = grant::Grant::new(lease, sent, self.limits.clone());
        self.push_grant(fresh);
        *self.registered.lock().await = false;
        self.register_if_needed().await
    }

    async fn register_if_needed(&self) -> Result<(), store::Failure> {
        let mut registered = self.registered.lock().await;
        if !*registered {
            self.register().await?;
            *registered = true;
        }
        Ok(())
    }

    async fn register(&self) -> Result<(), store::Failure> {
        let Some(lease) = self.lease() else {
            return Ok(());
        };
        let record = self.record_with_lease(&lease);
        let key = key(&record.vm);
        let seen = self.store.get(&key).await?;
        let version = seen.map_or(0, |entry| entry.version);
        let value = serde_json::to_vec(&record).expect("record serialises to JSON");
        let swap = self.store.swap(&key, value.into(), version, Some(&lease));
        match swap.await? {
            store::Swap::Stored => {
                *lock(&self.registered_lease) = Some(lease);
                Ok(())
            }
            store::Swap::Conflict => Err(store::Failure::NotRun("the record changed".into())),
        }
    }

    fn record_with_lease(&self, lease: &store::Lease) -> Record {
        let mut record = self.lock_record();
        record.lease = Some(lease.clone());
        record.clone()
    }

    fn push_grant(&self, fresh: grant::Grant) {
        let mut grants = lock(&self.grants);
        grants.insert(0, fresh);
        grants.truncate(MAX_GRANTS);
    }

    fn record_contact(&self) {
        lock(&self.witness).record_contact(self.clock.now());
    }

    fn lock_record(&self) -> sync::MutexGuard<'_, Record> {
        lock(&self.record)
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Store key of a VM's registration.
///
/// ```
/// assert_eq!(mangotray::enrol::key("entry-1"), "vm/entry-1");
/// ```
#[must_use]
pub fn key(vm: &str) -> CompactString {
    format_compact!("{KEY_PREFIX}{vm}")
}

/// Varies a period at random by up to 20 % in either direction, so that many VMs that start at
/// the same moment, for example at the end of an outage, do not call the store in step.
///
/// ```
/// use std::time::Duration;
/// let period = mangotray::enrol::jittered(Duration::from_secs(10));
/// assert!(period >= Duration::from_secs(8) && period <= Duration::from_secs(12));
/// ```
#[must_use]
pub fn jittered(period: time::Duration) -> time::Duration {
    period.mul_f64(0.8 + 0.4 * fastrand::f64())
}
