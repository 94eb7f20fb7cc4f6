//! Registration of this VM in the platform's store, under its one lease.

use std::sync;
use std::time;

use compact_str::CompactString;
use compact_str::format_compact;

use crate::id;
use crate::store;

/// Life of a VM's lease after its last renewal.
pub const TTL: time::Duration = time::Duration::from_secs(10);

/// Time between renewals: two may fail before the lease ends.
const RENEW_EVERY: time::Duration = time::Duration::from_secs(3);

/// Prefix of the keys under which VMs are registered.
pub const PREFIX: &str = "vm/";

/// What a VM tells about itself.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// Name of the VM.
    pub vm: id::Vm,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Number of the process.
    pub incarnation: id::Incarnation,
    /// Where it accepts callers.
    pub callers: std::net::SocketAddr,
    /// Where it accepts other proxies.
    pub peers: std::net::SocketAddr,
    /// Where it answers operators.
    pub admin: std::net::SocketAddr,
}

/// Keeps the lease and the record bound to it.
pub struct Enrolment {
    store: sync::Arc<dyn store::Store>,
    record: Record,
    lease: async_lock::Mutex<Option<store::Lease>>,
}

impl Enrolment {
    /// Registration of `record`; nothing is stored yet.
    #[must_use]
    pub fn new(store: sync::Arc<dyn store::Store>, record: Record) -> Self {
        Self {
            store,
            record,
            lease: async_lock::Mutex::new(None),
        }
    }

    /// Keeps the registration for ever, through outages of the store.
    pub async fn run(&self) {
        loop {
            if let Err(failure) = self.renew().await {
                tracing::warn!(?failure, "the VM's lease could not be renewed");
            }
            async_io::Timer::after(jittered(RENEW_EVERY)).await;
        }
    }

    /// Removes the registration, so that peers need not wait for the lease to end.
    pub async fn leave(&self) {
        if let Some(lease) = self.lease.lock().await.take() {
            let _ = self.store.revoke(&lease).await;
        }
    }

    async fn renew(&self) -> Result<(), store::Failure> {
        let mut lease = self.lease.lock().await;
        if let Some(known) = lease.as_ref()
            && self.store.renew(known).await?
        {
            return Ok(());
        }
        *lease = None;
        let fresh = self.store.grant(TTL).await?;
        self.register(&fresh).await?;
        *lease = Some(fresh);
        Ok(())
    }

    async fn register(&self, lease: &store::Lease) -> Result<(), store::Failure> {
        let key = key(&self.record.vm);
        let seen = self.store.get(&key).await?;
        let version = seen.map_or(0, |entry| entry.version);
        let value = serde_json::to_vec(&self.record).expect("a record is plain data");
        self.store
            .swap(&key, value.into(), version, Some(lease))
            .await?;
        Ok(())
    }
}

fn key(vm: &str) -> CompactString {
    format_compact!("{PREFIX}{vm}")
}

/// Spreads periodic work of many VMs that started at one moment, such as the end of an
/// outage, so that they do not call the store in step.
fn jittered(period: time::Duration) -> time::Duration {
    period.mul_f64(0.8 + 0.4 * fastrand::f64())
}
