//! An in-memory fake of the platform's store.

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

/// Duration of a call while the store is slow.
const SLOW_CALL_DURATION: time::Duration = time::Duration::from_millis(250);

/// Duration of a call that is refused.
const REFUSED_CALL_DURATION: time::Duration = time::Duration::from_millis(10);

/// First client number whose calls reach no step, so that no fault is injected.
pub const FIRST_EXEMPT_CLIENT: usize = 8;

/// How the store handles calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers at once.
    #[default]
    Normal,
    /// Answers after a delay.
    Slow,
    /// Refuses calls; answers of changes that took effect are lost.
    Down,
}

#[derive(Default)]
struct State {
    behaviour: Behaviour,
    /// Whether the answer of the next change is lost.
    lose_next_answer: bool,
    entries: collections::BTreeMap<CompactString, store::Entry>,
    applied_files: Vec<apply::File>,
    granted_leases: u64,
}

/// The store service, shared by all clients.
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

    /// Returns all files that were applied, in order.
    pub fn applied_files(&self) -> Vec<apply::File> {
        self.lock().applied_files.clone()
    }

    /// Whether the store has an entry for the key.
    pub fn has_key(&self, key: &str) -> bool {
        self.lock().entries.contains_key(key)
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Delays or refuses a call, depending on the behaviour.
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
            let file = serde_json::from_slice(&value).expect("the value is an encoded file");
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

    /// Fails if the answer of a change that took effect is lost.
    fn check_answer(&self) -> Result<(), store::Failure> {
        let mut state = self.lock();
        if std::mem::take(&mut state.lose_next_answer) || state.behaviour == Behaviour::Down {
            return Err(store::Failure::Unknown("the answer was lost".into()));
        }
        Ok(())
    }
}

/// A proxy's or an operator's client of the service.
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
        unreachable!("the matrix does not list keys")
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
        unreachable!("the matrix does not watch keys")
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
