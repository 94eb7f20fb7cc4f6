//! Store of one key with a fate for each swap, for tests.

use std::collections;
use std::sync;
use std::time;

use futures_lite::future as lite;
use futures_util::FutureExt;
use futures_util::future;

use crate::store;

/// What a fake store does with one swap.
#[derive(Clone, Copy, Debug)]
pub enum Fate {
    /// Carries it out and answers.
    Answered,
    /// Carries it out; the answer is lost.
    Lost,
    /// Does not carry it out; the answer is lost.
    Dropped,
    /// Loses the answer and carries the swap out later, before the next swap.
    Late,
    /// Refuses it.
    Refused,
}

#[derive(Debug)]
struct Swap {
    value: bytes::Bytes,
    expect: store::Version,
}

/// Store of one key; each call yields first, so that claimers interleave.
#[derive(Debug, Default)]
pub struct Fake {
    pub state: sync::Mutex<State>,
}

#[derive(Debug, Default)]
pub struct State {
    version: store::Version,
    pub value: bytes::Bytes,
    /// Fates of the next swaps; then all are answered.
    pub fates: collections::VecDeque<Fate>,
    late: Vec<Swap>,
    /// Whether reads are refused.
    pub down: bool,
}

impl State {
    fn swap(&mut self, swap: Swap) -> store::Swap {
        if swap.expect != self.version {
            return store::Swap::Conflict;
        }
        self.version += 1;
        self.value = swap.value;
        store::Swap::Stored
    }

    fn meet(&mut self, swap: Swap) -> Result<store::Swap, store::Failure> {
        let unknown = Err(store::Failure::Unknown("lost".into()));
        match self.fates.pop_front().unwrap_or(Fate::Answered) {
            Fate::Answered => Ok(self.swap(swap)),
            Fate::Lost => {
                self.swap(swap);
                unknown
            }
            Fate::Dropped => unknown,
            Fate::Late => {
                self.late.push(swap);
                unknown
            }
            Fate::Refused => Err(store::Failure::NotRun("refused".into())),
        }
    }
}

impl store::Store for Fake {
    fn get<'a>(
        &'a self,
        key: &'a str,
    ) -> future::BoxFuture<'a, Result<Option<store::Entry>, store::Failure>> {
        async move {
            lite::yield_now().await;
            let state = self.state.lock().unwrap();
            if state.down {
                return Err(store::Failure::NotRun("down".into()));
            }
            Ok((state.version > 0).then(|| store::Entry {
                key: key.into(),
                value: state.value.clone(),
                version: state.version,
                lease: None,
            }))
        }
        .boxed()
    }

    fn swap<'a>(
        &'a self,
        _key: &'a str,
        value: bytes::Bytes,
        expect: store::Version,
        _lease: Option<&'a str>,
    ) -> future::BoxFuture<'a, Result<store::Swap, store::Failure>> {
        async move {
            lite::yield_now().await;
            let mut state = self.state.lock().unwrap();
            let late = std::mem::take(&mut state.late);
            for swap in late {
                state.swap(swap);
            }
            state.meet(Swap { value, expect })
        }
        .boxed()
    }

    fn list<'a>(
        &'a self,
        _prefix: &'a str,
    ) -> future::BoxFuture<'a, Result<Vec<store::Entry>, store::Failure>> {
        unreachable!("one key")
    }

    fn watch<'a>(
        &'a self,
        _key: &'a str,
        _seen: store::Version,
        _patience: time::Duration,
    ) -> future::BoxFuture<'a, Result<Option<store::Entry>, store::Failure>> {
        unreachable!("one key")
    }

    fn grant(
        &self,
        _ttl: time::Duration,
    ) -> future::BoxFuture<'_, Result<store::Lease, store::Failure>> {
        unreachable!("no leases")
    }

    fn renew<'a>(&'a self, _lease: &'a str) -> future::BoxFuture<'a, Result<bool, store::Failure>> {
        unreachable!("no leases")
    }

    fn revoke<'a>(&'a self, _lease: &'a str) -> future::BoxFuture<'a, Result<(), store::Failure>> {
        unreachable!("no leases")
    }
}

impl Fake {
    /// A store whose first swaps meet the given fates.
    pub fn new(fates: &[Fate]) -> sync::Arc<Self> {
        let fake = Self::default();
        fake.state.lock().unwrap().fates.extend(fates);
        sync::Arc::new(fake)
    }
}

/// Polls two futures in the order of `first`, then in turns to their end.
pub fn interleave<A, B>(
    first: &[bool],
    a: impl Future<Output = A>,
    b: impl Future<Output = B>,
) -> (A, B) {
    let mut a = Box::pin(future::maybe_done(a));
    let mut b = Box::pin(future::maybe_done(b));
    lite::block_on(async {
        for first in first {
            if *first {
                lite::poll_once(&mut a).await;
            } else {
                lite::poll_once(&mut b).await;
            }
        }
        future::join(&mut a, &mut b).await;
    });
    let a = a.as_mut().take_output().expect("joined");
    (a, b.as_mut().take_output().expect("joined"))
}
