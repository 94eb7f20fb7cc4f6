//! The state of an instance as this node knows it: from its answers, and from failed dials.

use std::cell;
use std::time;

use mangotray::id;
use mangotray::stamp;

use crate::absence;
use crate::boot;
use crate::reply;
use crate::upstream;

/// Delay before a new connection to an instance that accepted none, so that requests fail over at
/// once instead of each waiting for an unreachable address.
const DOWN_RETRY_DELAY: time::Duration = time::Duration::from_millis(200);

/// Delay before a new connection to an address at which a different instance answers: the
/// intended one has ended, and its entry in the list is removed within three heartbeats.
const REPLACED_RETRY_DELAY: time::Duration = time::Duration::from_secs(4);

/// An instance counts as lost to this node when no connection to it could be opened for this
/// long. Temporary failures, such as a restart of the lending nodes, are over sooner. Requests
/// don't wait for a lost instance, as another node may reach it.
const LOST_AFTER: time::Duration = time::Duration::from_secs(1);

/// A process has been gone since the first of its refusals only if the last one is no older than
/// this: another process may have started and ended after it.
const REFUSAL_LIFETIME: time::Duration = time::Duration::from_secs(1);

/// The state of one instance; its methods are described at those of [`crate::pool::Pool`].
#[derive(Default)]
pub(crate) struct Health {
    down_until: cell::Cell<id::Time>,
    closed: cell::Cell<bool>,
    /// A different instance answered at its address.
    replaced: cell::Cell<bool>,
    /// Since when its address has refused every connection.
    refused_since: cell::Cell<Option<id::Time>>,
    /// When its address last refused a connection.
    last_refused: cell::Cell<id::Time>,
    failing_since: cell::Cell<Option<id::Time>>,
    applied: cell::Cell<stamp::Stamp>,
    last_behind: cell::Cell<id::Time>,
    /// When it will have applied all that it has received, by its last report.
    caught_up_at: cell::Cell<id::Time>,
    last_answer: cell::Cell<id::Time>,
    restarted_at: cell::Cell<Option<id::Time>>,
    /// The last status request found that it had not received records that the primary had held
    /// for a while.
    receive_lag: cell::Cell<bool>,
    latency: cell::Cell<time::Duration>,
}

impl Health {
    pub(crate) fn restarted_at(&self) -> Option<id::Time> {
        self.restarted_at.get()
    }

    pub(crate) fn note_restart(&self) {
        self.restarted_at.set(Some(boot::now()));
        self.applied.set(stamp::Stamp::default());
    }

    pub(crate) fn has_receive_lag(&self) -> bool {
        self.receive_lag.get()
    }

    pub(crate) fn note_receive_lag(&self, receive_lag: bool) {
        self.receive_lag.set(receive_lag);
    }

    pub(crate) fn applied(&self) -> stamp::Stamp {
        self.applied.get()
    }

    pub(crate) fn last_behind(&self) -> id::Time {
        self.last_behind.get()
    }

    pub(crate) fn last_answer(&self) -> id::Time {
        self.last_answer.get()
    }

    pub(crate) fn latency(&self) -> time::Duration {
        self.latency.get()
    }

    pub(crate) fn is_down(&self) -> bool {
        boot::now() < self.down_until.get()
    }

    pub(crate) fn is_lost(&self) -> bool {
        let since = self.failing_since.get();
        since.is_some_and(|since| boot::now() > since + LOST_AFTER)
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    pub(crate) fn activity(&self) -> absence::Activity {
        absence::Activity {
            last_answer: self.last_answer.get(),
            refused_since: self.refused_since.get(),
            replaced: self.replaced.get(),
        }
    }

    /// A time by which the process had ended, as it is found at `now` to have.
    pub(crate) fn ended_by(&self, now: id::Time) -> id::Time {
        let since = self.refused_since.get();
        let recent = now < self.last_refused.get() + REFUSAL_LIFETIME;
        since.filter(|_| recent).unwrap_or(now)
    }

    pub(crate) fn note_behind(&self) {
        self.last_behind.set(boot::now());
    }

    pub(crate) fn note_load(&self, load: upstream::Load) {
        self.caught_up_at.set(boot::now() + load.lag);
    }

    pub(crate) fn lag(&self) -> time::Duration {
        self.caught_up_at.get().saturating_sub(boot::now())
    }

    /// Marks the instance as down for a short time.
    pub(crate) fn note_down(&self) {
        self.down_until.set(boot::now() + DOWN_RETRY_DELAY);
    }

    /// Records that the instance accepted a connection, and the position that it reported there.
    pub(crate) fn note_open(&self, position: Option<stamp::Stamp>) {
        self.closed.set(false);
        self.replaced.set(false);
        self.refused_since.set(None);
        self.failing_since.set(None);
        self.down_until.set(id::Time::ZERO);
        self.last_answer.set(boot::now());
        self.note_position(position);
    }

    /// Records that the instance refused a connection because it is full, so that it is running.
    pub(crate) fn note_refused_as_full(&self) {
        self.refused_since.set(None);
        self.last_answer.set(boot::now());
    }

    /// Records that a dial that began at `started` has failed, for whatever reason.
    pub(crate) fn note_failed_dial(&self, started: id::Time) {
        self.failing_since
            .set(Some(self.failing_since.get().unwrap_or(started)));
    }

    /// Records that no connection could be opened, for another reason than that the instance has
    /// none left.
    pub(crate) fn note_unreachable(&self, refusal: &upstream::Refusal) {
        let replaced = *refusal == upstream::Refusal::Wrong;
        self.replaced.set(replaced);
        self.closed
            .set(replaced || *refusal == upstream::Refusal::Closed);
        let refused = *refusal == upstream::Refusal::Closed;
        let refused_since = self.refused_since.get().unwrap_or_else(boot::now);
        self.refused_since.set(refused.then_some(refused_since));
        if refused {
            self.last_refused.set(boot::now());
        }
        let pause = if replaced {
            REPLACED_RETRY_DELAY
        } else {
            DOWN_RETRY_DELAY
        };
        self.down_until.set(boot::now() + pause);
    }

    /// Records the replies to a request, which took `took`.
    pub(crate) fn note_replies(
        &self,
        now: id::Time,
        took: time::Duration,
        replies: &[reply::Reply],
    ) {
        self.last_answer.set(now);
        self.latency.set((self.latency.get() * 7 + took) / 8);
        self.note_position(replies.iter().rev().find_map(|reply| reply.position));
    }

    fn note_position(&self, position: Option<stamp::Stamp>) {
        if let Some(stamp) = position {
            self.applied.set(self.applied.get().max(stamp));
        }
    }
}
