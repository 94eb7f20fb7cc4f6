//! The platform's store in memory.

use std::collections;
use std::sync;
use std::time;

use compact_str::CompactString;
use futures_util::FutureExt;
use futures_util::future;
use mangotray::apply;
use mangotray::store;

use crate::cluster;
use crate::operation;

/// Time of a call while the store is slow.
const SLOW_CALL_DURATION: time::Duration = time::Duration::from_millis(250);

/// Time of a call that is refused.
const REFUSED_CALL_DURATION: time::Duration = time::Duration::from_millis(10);

/// Number from which on clients spring no trap.
pub const FIRST_EXEMPT_CLIENT: usize = 8;

/// What the store does to calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers.
    #[default]
    Normal,
    /// Answers late.
    Slow,
    /// Refuses.
    Down,
}

#[derive(Default)]
struct State {
    behaviour: Behaviour,
    /// Whether the next change loses its answer.
    lose_next_answer: bool,
    entries: collections::BTreeMap<CompactString, store::Entry>,
    applied_files: Vec<apply::File>,
    granted_leases: u64,
}

/// The service itself.
#[derive(Default)]
pub struct Service {
    state: sync::Mutex<State>,
}

impl Service {
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.lock().behaviour = behaviour;
    }

    pub fn lose_next_answer(&self) {
        self.lock().lose_next_answer = true;
    }

    pub fn heal(&self) {
        let mut state = self.lock();
        state.behaviour = Behaviour::Normal;
        state.lose_next_answer = false;
    }

    /// Every file that was in force, in that order.
    pub fn applied_files(&self) -> Vec<apply::File> {
        self.lock().applied_files.clone()
    }

    /// Whether a key is there.
    pub fn has_key(&self, key: &str) -> bool {
        self.lock().entries.contains_key(key)
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    async fn begin_call(&self) -> Result<(), store::Failure> {
        let behaviour = self.lock().behaviour;
        match behaviour {
            Behaviour::Normal => {}
            Behaviour::Slow => {
                async_io::Timer::after(SLOW_CALL_DURATION).await;
            }
            Behaviour::Down => {
                async_io::Timer::after(REFUSED_CALL_DURATION).await;
                return Err(store::Failure::NotRun("the store is down".into()));
            }
        }
        Ok(())
    }

    fn swap(
        &self,
        key: &str,
        value: bytes::Bytes,
        expected_version: store::Version,
        lease: Option<&str>,
    ) -> store::Swap {
        let mut state = self.lock();
        let version = state.entries.get(key).map_or(0, |entry| entry.version);
        if version != expected_version {
            return store::Swap::Conflict;
        }
        if key == apply::KEY {
            let file = serde_json::from_slice(&value).expect("a file");
            state.applied_files.push(file);
        }
        let entry = store::Entry {
            key: key.into(),
            value,
            version: version + 1,
            lease: lease.map(Into::into),
        };
        state.entries.insert(key.into(), entry);
        store::Swap::Stored
    }

    /// Fails when the answer of a change that took effect does not come.
    fn check_answer(&self) -> Result<(), store::Failure> {
        let mut state = self.lock();
        if std::mem::take(&mut state.lose_next_answer) || state.behaviour == Behaviour::Down {
            return Err(store::Failure::Unknown("the answer was lost".into()));
        }
        Ok(())
    }
}

/// One proxy's, or an operator's, way to the service.
pub struct Client {
    pub service: sync::Arc<Service>,
    pub cluster: sync::Arc<cluster::Cluster>,
    pub proxy: usize,
}

impl Client {
    async fn reach(&self, point: operation::Point) {
        if self.proxy < FIRST_EXEMPT_CLIENT {
            self.cluster.reach(self.proxy, point).await;
        }
    }
}

type Answer<'a, T> = future::BoxFuture<'a, Result<T, store::Failure>>;

impl store::Store for Client {
    fn get<'a>(&'a self, key: &'a str) -> Answer<'a, Option<store::Entry>> {
        async move {
            self.reach(operation::Point::Loads).await;
            self.service.begin_call().await?;
            Ok(self.service.lock().entries.get(key).cloned())
        }
        .boxed()
    }

    fn list<'a>(&'a self, _: &'a str) -> Answer<'a, Vec<store::Entry>> {
        unreachable!("nothing in the matrix lists")
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        value: bytes::Bytes,
        expected_version: store::Version,
        lease: Option<&'a str>,
    ) -> Answer<'a, store::Swap> {
        async move {
            self.reach(operation::Point::Swaps).await;
            self.service.begin_call().await?;
            let swap = self.service.swap(key, value, expected_version, lease);
            self.reach(operation::Point::Swapped).await;
            self.service.check_answer()?;
            Ok(swap)
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        _: &'a str,
        _: store::Version,
        _: time::Duration,
    ) -> Answer<'a, Option<store::Entry>> {
        unreachable!("nothing in the matrix watches")
    }

    fn grant(&self, _: time::Duration) -> Answer<'_, store::Lease> {
        async move {
            self.service.begin_call().await?;
            let mut state = self.service.lock();
            state.granted_leases += 1;
            Ok(compact_str::format_compact!("l{}", state.granted_leases))
        }
        .boxed()
    }

    fn renew<'a>(&'a self, _: &'a str) -> Answer<'a, bool> {
        async move {
            self.service.begin_call().await?;
            Ok(true)
        }
        .boxed()
    }

    fn revoke<'a>(&'a self, lease: &'a str) -> Answer<'a, ()> {
        async move {
            self.reach(operation::Point::Revokes).await;
            self.service.begin_call().await?;
            let has_lease = |entry: &store::Entry| entry.lease.as_deref() == Some(lease);
            self.service
                .lock()
                .entries
                .retain(|_, entry| !has_lease(entry));
            self.reach(operation::Point::Revoked).await;
            self.service.check_answer()
        }
        .boxed()
    }
}
