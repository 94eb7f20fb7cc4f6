//! The platform's store in memory.

use std::collections;
use std::sync;
use std::time;

use compact_str::CompactString;
use futures_util::FutureExt;
use futures_util::future;
use mangotray::apply;
use mangotray::id;
use mangotray::store;

use crate::operation;
use crate::world;

/// Time of a call while the store is slow.
const SLOW: time::Duration = time::Duration::from_millis(250);

/// Time of a call that is refused.
const REFUSED: time::Duration = time::Duration::from_millis(10);

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
    revisions: Vec<id::Revision>,
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

    /// Revisions of the configuration in the order in which they were stored.
    pub fn revisions(&self) -> Vec<id::Revision> {
        self.lock().revisions.clone()
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
    ) -> Result<store::Swap, store::Failure> {
        let mut state = self.lock();
        let version = state.entries.get(key).map_or(0, |entry| entry.version);
        if version != expect {
            return Ok(store::Swap::Conflict);
        }
        if key == apply::KEY {
            let file: apply::File = serde_json::from_slice(&value).expect("a file");
            state.revisions.push(file.revision);
        }
        let entry = store::Entry {
            key: key.into(),
            value,
            version: version + 1,
            lease: None,
        };
        state.entries.insert(key.into(), entry);
        if std::mem::take(&mut state.lose) {
            return Err(store::Failure::Unknown("the answer was lost".into()));
        }
        Ok(store::Swap::Stored)
    }
}

/// One proxy's, or an operator's, way to the service.
pub struct Client {
    pub service: sync::Arc<Service>,
    pub world: sync::Arc<world::World>,
    pub proxy: usize,
}

type Answer<'a, T> = future::BoxFuture<'a, Result<T, store::Failure>>;

impl store::Store for Client {
    fn get<'a>(&'a self, key: &'a str) -> Answer<'a, Option<store::Entry>> {
        async move {
            self.world.reach(self.proxy, operation::Point::Loads).await;
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
        _: Option<&'a str>,
    ) -> Answer<'a, store::Swap> {
        async move {
            self.service.call().await?;
            self.service.swap(key, value, expect)
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
        unreachable!("nothing in the matrix opens a lease")
    }

    fn renew<'a>(&'a self, _: &'a str) -> Answer<'a, bool> {
        unreachable!("nothing in the matrix renews a lease")
    }

    fn revoke<'a>(&'a self, _: &'a str) -> Answer<'a, ()> {
        unreachable!("nothing in the matrix ends a lease")
    }
}
