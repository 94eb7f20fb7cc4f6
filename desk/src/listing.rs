//! Requests for a list of instances that includes all changes up to the request.
//!
//! Nodes follow the list by watches, whose answers may be seconds old: a replica that registered
//! long ago may be missing, and would be held by no promotion. Whoever decides on the list for good
//! requests a newer one first.

use std::cell;
use std::time;

use mangotray::id;

use crate::boot;
use crate::wait;

/// Longest wait for the store's answer, as for its other small answers.
const TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// The requests of one node, and the task that answers them.
///
/// ```
/// use mangotray_desk::{boot, listing};
/// let listing = listing::Listing::default();
/// // Without a task that follows a store, the list has no other source.
/// assert!(async_io::block_on(listing.request()));
/// listing.follow();
/// let answer = async {
///     listing.requested().await;
///     listing.note_read(boot::now());
/// };
/// let (renewed, ()) = async_io::block_on(futures_util::future::join(listing.request(), answer));
/// assert!(renewed);
/// ```
#[derive(Default)]
pub struct Listing {
    is_followed: cell::Cell<bool>,
    /// Time of the last request that is not answered.
    requested_at: cell::Cell<Option<id::Time>>,
    /// The list includes all changes before this.
    read_at: cell::Cell<Option<id::Time>>,
    request: event_listener::Event,
    answer: event_listener::Event,
}

impl Listing {
    /// Notes that a task answers requests from now on.
    pub fn follow(&self) {
        self.is_followed.set(true);
    }

    /// Requests a list that includes all changes up to this call, and waits until this node has
    /// applied it. Returns `false` if the store does not answer in time.
    pub async fn request(&self) -> bool {
        self.request_within(TIMEOUT).await
    }

    /// Like [`Listing::request`], with a wait of at most `limit`.
    pub async fn request_within(&self, limit: time::Duration) -> bool {
        if !self.is_followed.get() {
            return true;
        }
        let asked_at = boot::now();
        self.requested_at.set(Some(asked_at));
        self.request.notify(usize::MAX);
        let answered = async {
            loop {
                let answer = self.answer.listen();
                if self.read_at.get() >= Some(asked_at) {
                    return;
                }
                answer.await;
            }
        };
        wait::within(limit, answered).await.is_some()
    }

    /// Waits for a request that is not answered.
    pub async fn requested(&self) {
        loop {
            let request = self.request.listen();
            if self.requested_at.get().is_some() {
                return;
            }
            request.await;
        }
    }

    /// Notes that the node has applied all changes of the list before `moment`.
    pub fn note_read(&self, moment: id::Time) {
        self.read_at.set(self.read_at.get().max(Some(moment)));
        if self.requested_at.get().is_some_and(|asked| asked <= moment) {
            self.requested_at.set(None);
        }
        self.answer.notify(usize::MAX);
    }
}
