//! The platform's store in memory.

use std::collections;
use std::sync;
use std::time;

use compact_str::CompactString;
use futures_util::FutureExt;
use futures_util::future;
use mangotray::apply;
use mangotray::store;

use crate::operation;
use crate::world;

/// Time of a call while the store is slow.
const SLOW: time::Duration = time::Duration::from_millis(250);

/// Time of a call that is refused.
const REFUSED: time::Duration = time::Duration::from_millis(10);

/// Number from which on clients spring no trap.
pub const BYSTANDER: usize = 8;

/// What the store does to calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mood {
    /// Answers.
    #[default]
    Well,
    /// Answers late.
    Slow,
    /// Refuses.
    Down,
}

#[derive(Default)]
struct State {
    mood: Mood,
    /// Whether the next change loses its answer.
    lose: bool,
    entries: collections::BTreeMap<CompactString, store::Entry>,
    files: Vec<apply::File>,
    leases: u64,
}

/// The service itself.
#[derive(Default)]
pub struct Service {
    state: sync::Mutex<State>,
}

impl Service {
    pub fn set(&self, mood: Mood) {
        self.lock().mood = mood;
    }

    pub fn lose_answer(&self) {
        self.lock().lose = true;
    }

    pub fn heal(&self) {
        let mut state = self.lock();
        state.mood = Mood::Well;
        state.lose = false;
    }

    /// Every file that was in force, in that order.
    pub fn files(&self) -> Vec<apply::File> {
        self.lock().files.clone()
    }

    /// Whether a key is there.
    pub fn holds(&self, key: &str) -> bool {
        self.lock().entries.contains_key(key)
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    async fn call(&self) -> Result<(), store::Failure> {
        let mood = self.lock().mood;
        match mood {
            Mood::Well => {}
            Mood::Slow => {
                async_io::Timer::after(SLOW).await;
            }
            Mood::Down => {
                async_io::Timer::after(REFUSED).await;
                return Err(store::Failure::NotRun("the store is down".into()));
            }
        }
        Ok(())
    }

    fn swap(
        &self,
        key: &str,
        value: bytes::Bytes,
        expect: store::Version,
        lease: Option<&str>,
    ) -> store::Swap {
        let mut state = self.lock();
        let version = state.entries.get(key).map_or(0, |entry| entry.version);
        if version != expect {
            return store::Swap::Conflict;
        }
        if key == apply::KEY {
            let file = serde_json::from_slice(&value).expect("a file");
            state.files.push(file);
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
    fn answer(&self) -> Result<(), store::Failure> {
        let mut state = self.lock();
        if std::mem::take(&mut state.lose) || state.mood == Mood::Down {
            return Err(store::Failure::Unknown("the answer was lost".into()));
        }
        Ok(())
    }
}

/// One proxy's, or an operator's, way to the service.
pub struct Client {
    pub service: sync::Arc<Service>,
    pub world: sync::Arc<world::World>,
    pub proxy: usize,
}

impl Client {
    async fn reach(&self, point: operation::Point) {
        if self.proxy < BYSTANDER {
            self.world.reach(self.proxy, point).await;
        }
    }
}

type Answer<'a, T> = future::BoxFuture<'a, Result<T, store::Failure>>;

impl store::Store for Client {
    fn get<'a>(&'a self, key: &'a str) -> Answer<'a, Option<store::Entry>> {
        async move {
            self.reach(operation::Point::Loads).await;
            self.service.call().await?;
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
        expect: store::Version,
        lease: Option<&'a str>,
    ) -> Answer<'a, store::Swap> {
        async move {
            self.reach(operation::Point::Swaps).await;
            self.service.call().await?;
            let swap = self.service.swap(key, value, expect, lease);
            self.reach(operation::Point::Swapped).await;
            self.service.answer()?;
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
            self.service.call().await?;
            let mut state = self.service.lock();
            state.leases += 1;
            Ok(compact_str::format_compact!("l{}", state.leases))
        }
        .boxed()
    }

    fn renew<'a>(&'a self, _: &'a str) -> Answer<'a, bool> {
        async move {
            self.service.call().await?;
            Ok(true)
        }
        .boxed()
    }

    fn revoke<'a>(&'a self, lease: &'a str) -> Answer<'a, ()> {
        async move {
            self.reach(operation::Point::Revokes).await;
            self.service.call().await?;
            let bound = |entry: &store::Entry| entry.lease.as_deref() == Some(lease);
            self.service.lock().entries.retain(|_, entry| !bound(entry));
            self.reach(operation::Point::Revoked).await;
            self.service.answer()
        }
        .boxed()
    }
}
