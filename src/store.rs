//! Border to the platform's key-value service.

use std::time;

use compact_str::CompactString;
use futures_util::future;

use crate::id;

/// Version of a stored value, as counted by the service; 0 means "absent".
pub type Version = u64;

/// Number of the service's content: it rises when the service comes back from an older copy of
/// what it held, and has lost what it had acknowledged since. 0 where it never does.
pub type Era = u64;

/// Number of a lease at the service.
pub type Lease = CompactString;

/// A stored value with its version.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Full key.
    pub key: CompactString,
    /// Value as stored; at most one megabyte.
    pub value: bytes::Bytes,
    /// Version for compare-and-swap.
    pub version: Version,
    /// Lease that the entry goes with, if any.
    pub lease: Option<Lease>,
}

/// Why a call to the service has no answer that can be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was changed: the service refused the call or could not be reached.
    NotRun(CompactString),
    /// The call may have taken effect; read back before trying again.
    Unknown(CompactString),
}

/// Outcome of a compare-and-swap that was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The value is stored.
    Stored,
    /// Another version was found; nothing was changed.
    Conflict,
}

/// A key whose version says that the caller may still write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guard<'a> {
    /// Full key.
    pub key: &'a str,
    /// Version that it must have.
    pub version: Version,
}

/// The key-value service, met through whatever protocol the platform speaks.
pub trait Store: Send + Sync {
    /// Reads one key.
    fn get<'a>(&'a self, key: &'a str) -> future::BoxFuture<'a, Result<Option<Entry>, Failure>>;

    /// Reads all keys with a prefix; one call at the service.
    fn list<'a>(&'a self, prefix: &'a str) -> future::BoxFuture<'a, Result<Vec<Entry>, Failure>>;

    /// Stores a value if the key's version is still `expect`, bound to `lease` if given.
    fn swap<'a>(
        &'a self,
        key: &'a str,
        value: bytes::Bytes,
        expect: Version,
        lease: Option<&'a str>,
    ) -> future::BoxFuture<'a, Result<Swap, Failure>>;

    /// Latest era that an answer has told of.
    ///
    /// An answer that tells of an earlier one is a failure. Where this is the same before and
    /// after some calls, their answers all belong to that era.
    fn era(&self) -> Era {
        0
    }

    /// Stores a value under keys that must all be absent, bound to `lease`; all in one call.
    ///
    /// A service that cannot do this refuses.
    fn create<'a>(
        &'a self,
        _keys: &'a [&'a str],
        _value: bytes::Bytes,
        _lease: &'a str,
    ) -> future::BoxFuture<'a, Result<Swap, Failure>> {
        let refused = Failure::NotRun("this service writes one key at a time".into());
        Box::pin(future::ready(Err(refused)))
    }

    /// Stores a value, whatever is there, if the guarding keys still have their versions; all in
    /// one call.
    ///
    /// A service that cannot do this refuses, so that whoever relies on it does not act.
    fn put_guarded<'a>(
        &'a self,
        _key: &'a str,
        _value: bytes::Bytes,
        _guards: &'a [Guard<'a>],
    ) -> future::BoxFuture<'a, Result<Swap, Failure>> {
        let refused = Failure::NotRun("this service has no guarded writes".into());
        Box::pin(future::ready(Err(refused)))
    }

    /// Waits until the key's version differs from `seen` or `timeout` has passed.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        seen: Version,
        timeout: time::Duration,
    ) -> future::BoxFuture<'a, Result<Option<Entry>, Failure>>;

    /// Opens a lease that ends `ttl` after its last renewal.
    fn grant(&self, ttl: time::Duration) -> future::BoxFuture<'_, Result<Lease, Failure>>;

    /// Renews a lease; false when the service no longer knows it.
    fn renew<'a>(&'a self, lease: &'a str) -> future::BoxFuture<'a, Result<bool, Failure>>;

    /// Ends a lease and removes the entries bound to it.
    fn revoke<'a>(&'a self, lease: &'a str) -> future::BoxFuture<'a, Result<(), Failure>>;
}

/// One line of the platform's lagging list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Listing {
    /// Name of the VM.
    pub vm: id::Vm,
    /// Failure domain that the platform reports.
    pub domain: id::Domain,
    /// True once the platform has announced that the VM is going away.
    pub leaving: bool,
}

/// The platform's lagging list of live and leaving VMs.
pub trait Inventory: Send + Sync {
    /// Reads the list; what it says may be several seconds old.
    fn vms(&self) -> future::BoxFuture<'_, Result<Vec<Listing>, Failure>>;
}
