use std::sync;
use std::time;

use assert_matches::assert_matches;
use futures_lite::future;

use crate::admission;
use crate::clock;
use crate::clock::Clock;
use crate::id;
use crate::outcome;
use crate::reason;
use crate::slots;

/// Deadline later than the end of any test.
const FAR_DEADLINE: time::Duration = time::Duration::from_mins(10);

fn setup(count: usize) -> (slots::Slots, sync::Arc<clock::Monotonic>) {
    let clock = sync::Arc::new(clock::Monotonic::new());
    (slots::Slots::new(count, clock.clone()), clock)
}

fn ticket(priority: admission::Priority, deadline: id::Time) -> admission::Ticket {
    admission::Ticket {
        request: 1,
        caller: 1,
        priority,
        deadline,
        arrived: id::Time::ZERO,
    }
}

fn write() -> admission::Ticket {
    ticket(admission::Priority::Write, FAR_DEADLINE)
}

/// Guards against a refusal that reaches the caller only at its deadline: in a full queue a write
/// displaces an aged read, and the displaced ticket is not notified.
#[test]
fn a_displaced_ticket_is_answered_at_once() {
    let (slots, _) = setup(1);
    async_io::block_on(async {
        let _held = slots.acquire(write()).await.unwrap();
        let aged = ticket(admission::Priority::Aged, FAR_DEADLINE);
        let mut reads: Vec<_> = (0..slots::MAX_WAITING_PER_CALLER)
            .map(|_| Box::pin(slots.acquire(aged)))
            .collect();
        for read in &mut reads {
            assert!(future::poll_once(read).await.is_none());
        }
        let mut writer = Box::pin(slots.acquire(write()));
        assert!(future::poll_once(&mut writer).await.is_none());
        let mut refused = 0;
        for read in &mut reads {
            let Some(Err(outcome)) = future::poll_once(read).await else {
                continue;
            };
            assert_matches!(
                outcome,
                outcome::Outcome::NotRun {
                    reason: reason::Reason::Overload,
                    retry: Some(_),
                    ..
                }
            );
            refused += 1;
        }
        assert_eq!(refused, 1);
    });
}

#[test]
fn a_ticket_that_cannot_be_in_time_any_more_is_refused_without_a_release() {
    let (slots, clock) = setup(1);
    async_io::block_on(async {
        let _held = slots.acquire(write()).await.unwrap();
        let due = clock.now() + time::Duration::from_millis(20);
        let refused = slots.acquire(ticket(admission::Priority::Fresh, due)).await;
        assert_matches!(
            refused.err(),
            Some(outcome::Outcome::NotRun {
                reason: reason::Reason::Deadline,
                ..
            })
        );
    });
}

/// Guards against leaked slots, which accumulate until nothing runs: a caller goes away while it
/// waits, or after its slot was granted and before its task is polled, and the slot is never
/// released.
#[test]
fn a_caller_that_disconnects_leaks_no_slot() {
    let (slots, _) = setup(1);
    async_io::block_on(async {
        let held = slots.acquire(write()).await.unwrap();
        let mut gone = Box::pin(slots.acquire(write()));
        let mut granted = Box::pin(slots.acquire(write()));
        assert!(future::poll_once(&mut gone).await.is_none());
        assert!(future::poll_once(&mut granted).await.is_none());
        drop(gone);
        drop(held);
        assert_eq!(slots.running(), 1);
        drop(granted);
        assert_eq!(slots.running(), 0);
        assert!(future::poll_once(slots.acquire(write())).await.is_some());
    });
}

#[test]
fn fewer_slots_take_effect_as_requests_end() {
    let (slots, _) = setup(2);
    async_io::block_on(async {
        let first = slots.acquire(write()).await.unwrap();
        let second = slots.acquire(write()).await.unwrap();
        slots.resize(1);
        drop(first);
        let mut third = Box::pin(slots.acquire(write()));
        assert!(future::poll_once(&mut third).await.is_none());
        drop(second);
        assert!(future::poll_once(&mut third).await.is_some());
    });
}
