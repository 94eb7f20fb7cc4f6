//! Interface to the platform's key-value service and its list of VMs.

use std::time;

use compact_str::CompactString;
use futures_util::future;

use crate::id;

/// Version of a stored value, assigned by the service; 0 means that the key is absent.
pub type Version = u64;

/// Era of the service's content. It rises when the service is restored from an older copy and
/// has lost the writes acknowledged since. 0 for a service whose content never goes back.
pub type Era = u64;

/// Identifier of a lease at the service.
pub type Lease = CompactString;

/// A stored value with its version.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Full key.
    pub key: CompactString,
    /// Stored value; at most one megabyte.
    pub value: bytes::Bytes,
    /// Version for compare-and-swap.
    pub version: Version,
    /// Lease with which the entry is removed, if any.
    pub lease: Option<Lease>,
}

/// Failure of a call to the service, with a description.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The call had no effect: the service refused it or could not be reached.
    NotRun(CompactString),
    /// The call may have taken effect; read the key again before a retry.
    Unknown(CompactString),
}

/// Result of a conditional write that the service answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The value is stored.
    Stored,
    /// A key had a different version; nothing was changed.
    Conflict,
}

/// Precondition of a write: the version that a key must have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guard<'a> {
    /// Full key.
    pub key: &'a str,
    /// Required version.
    pub version: Version,
}

/// The key-value service, independent of the platform's protocol.
pub trait Store: Send + Sync {
    /// Reads one key.
    fn get<'a>(&'a self, key: &'a str) -> future::BoxFuture<'a, Result<Option<Entry>, Failure>>;

    /// Reads all keys with a prefix, in one call to the service.
    fn list<'a>(&'a self, prefix: &'a str) -> future::BoxFuture<'a, Result<Vec<Entry>, Failure>>;

    /// Stores a value if the key's version is `expect`, bound to `lease` if given.
    fn swap<'a>(
        &'a self,
        key: &'a str,
        value: bytes::Bytes,
        expect: Version,
        lease: Option<&'a str>,
    ) -> future::BoxFuture<'a, Result<Swap, Failure>>;

    /// Latest era that an answer has reported.
    ///
    /// An answer that reports an earlier era is a failure. If the era is the same before and
    /// after a series of calls, all their answers belong to this era.
    fn era(&self) -> Era {
        0
    }

    /// Stores a value under several keys, bound to `lease`, if all of them are absent; one atomic
    /// call.
    ///
    /// The default refuses, for services without such a call.
    fn create<'a>(
        &'a self,
        _keys: &'a [&'a str],
        _value: bytes::Bytes,
        _lease: &'a str,
    ) -> future::BoxFuture<'a, Result<Swap, Failure>> {
        let refused = Failure::NotRun("the service cannot write several keys in one call".into());
        Box::pin(future::ready(Err(refused)))
    }

    /// Stores a value, whatever the key's version, if all `guards` match; one atomic call.
    ///
    /// The default refuses, for services without such a call, so that code that relies on the
    /// guards does not proceed.
    fn put_guarded<'a>(
        &'a self,
        _key: &'a str,
        _value: bytes::Bytes,
        _guards: &'a [Guard<'a>],
    ) -> future::BoxFuture<'a, Result<Swap, Failure>> {
        let refused = Failure::NotRun("the service does not support guarded writes".into());
        Box::pin(future::ready(Err(refused)))
    }

    /// Waits until the key's version differs from `seen` or `timeout` has elapsed.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        seen: Version,
        timeout: time::Duration,
    ) -> future::BoxFuture<'a, Result<Option<Entry>, Failure>>;

    /// Creates a lease that expires `ttl` after its last renewal.
    fn grant(&self, ttl: time::Duration) -> future::BoxFuture<'_, Result<Lease, Failure>>;

    /// Renews a lease; returns false when the lease no longer exists.
    fn renew<'a>(&'a self, lease: &'a str) -> future::BoxFuture<'a, Result<bool, Failure>>;

    /// Revokes a lease and removes the entries bound to it.
    fn revoke<'a>(&'a self, lease: &'a str) -> future::BoxFuture<'a, Result<(), Failure>>;
}

/// One entry of the platform's list of VMs, which may be out of date.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Listing {
    /// Name of the VM.
    pub vm: id::Vm,
    /// Failure domain reported by the platform.
    pub domain: id::Domain,
    /// True once the platform has announced the VM's removal.
    pub leaving: bool,
}

/// The platform's list of live and leaving VMs, which may be out of date.
pub trait Inventory: Send + Sync {
    /// Reads the list; its content may be several seconds old.
    fn vms(&self) -> future::BoxFuture<'_, Result<Vec<Listing>, Failure>>;
}
