//! Store of one key for tests, with a given behaviour for each swap.

use std::collections;
use std::sync;
use std::time;

use futures_lite::future as lite;
use futures_util::FutureExt;
use futures_util::future;

use crate::store;

/// Behaviour of the fake store for one swap.
#[derive(Clone, Copy, Debug)]
pub enum Behaviour {
    /// Runs the swap and answers.
    Answered,
    /// Runs the swap; the answer is lost.
    AnswerLost,
    /// Loses the request, so that the swap never runs.
    RequestLost,
    /// Loses the answer and runs the swap later, before the next one.
    Delayed,
    /// Refuses the swap.
    Refused,
}

#[derive(Debug)]
struct Swap {
    value: bytes::Bytes,
    expected: store::Version,
}

/// Store of one key; each call yields first, so that concurrent calls interleave.
#[derive(Debug, Default)]
pub struct Fake {
    pub state: sync::Mutex<State>,
}

#[derive(Debug, Default)]
pub struct State {
    version: store::Version,
    pub value: bytes::Bytes,
    /// Behaviours of the next swaps; all later swaps are answered.
    pub behaviours: collections::VecDeque<Behaviour>,
    delayed: Vec<Swap>,
    /// Whether reads are refused.
    pub unavailable: bool,
}

impl State {
    fn swap(&mut self, swap: Swap) -> store::Swap {
        if swap.expected != self.version {
            return store::Swap::Conflict;
        }
        self.version += 1;
        self.value = swap.value;
        store::Swap::Stored
    }

    fn handle(&mut self, swap: Swap) -> Result<store::Swap, store::Failure> {
        let unknown = Err(store::Failure::Unknown("lost".into()));
        match self.behaviours.pop_front().unwrap_or(Behaviour::Answered) {
            Behaviour::Answered => Ok(self.swap(swap)),
            Behaviour::AnswerLost => {
                self.swap(swap);
                unknown
            }
            Behaviour::RequestLost => unknown,
            Behaviour::Delayed => {
                self.delayed.push(swap);
                unknown
            }
            Behaviour::Refused => Err(store::Failure::NotRun("refused".into())),
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
            if state.unavailable {
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
        expected: store::Version,
        _lease: Option<&'a str>,
    ) -> future::BoxFuture<'a, Result<store::Swap, store::Failure>> {
        async move {
            lite::yield_now().await;
            let mut state = self.state.lock().unwrap();
            let delayed = std::mem::take(&mut state.delayed);
            for swap in delayed {
                state.swap(swap);
            }
            state.handle(Swap { value, expected })
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
        _timeout: time::Duration,
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
    /// Creates a store with the given behaviours for its first swaps.
    pub fn new(behaviours: &[Behaviour]) -> sync::Arc<Self> {
        let fake = Self::default();
        fake.state.lock().unwrap().behaviours.extend(behaviours);
        sync::Arc::new(fake)
    }
}

/// Polls the left future for each true and the right one for each false in `poll_order`, then both
/// to their ends.
pub fn interleave<A, B>(
    poll_order: &[bool],
    left: impl Future<Output = A>,
    right: impl Future<Output = B>,
) -> (A, B) {
    let mut left = Box::pin(future::maybe_done(left));
    let mut right = Box::pin(future::maybe_done(right));
    lite::block_on(async {
        for poll_left in poll_order {
            if *poll_left {
                lite::poll_once(&mut left).await;
            } else {
                lite::poll_once(&mut right).await;
            }
        }
        future::join(&mut left, &mut right).await;
    });
    let left = left.as_mut().take_output().expect("joined");
    (left, right.as_mut().take_output().expect("joined"))
}
