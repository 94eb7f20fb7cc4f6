//! The order in which waiting requests are woken.

use std::cell;
use std::rc;
use std::time;

use mangotray_desk::boot;
use mangotray_desk::organisation;
use mangotray_desk::room::queue;
use mangotray_desk::urgency;
use mangotray_desk::wait;

const LONG: time::Duration = time::Duration::from_secs(5);
/// Far longer than the wait after which a queue counts as standing.
const STANDING_QUEUE_AGE: time::Duration = time::Duration::from_millis(200);

/// Queues requests, each with a priority and the milliseconds until it is due, lets them wait, and
/// returns the order in which they are woken.
fn wake_order(requests: &[(u8, u64)], waited: time::Duration) -> Vec<usize> {
    let executor = async_executor::LocalExecutor::new();
    let queue = rc::Rc::new(queue::Queue::default());
    let woken = rc::Rc::new(cell::RefCell::new(Vec::new()));
    async_io::block_on(executor.run(async {
        for (index, (priority, due)) in requests.iter().enumerate() {
            let urgency = urgency::Urgency {
                priority: *priority,
                objective: time::Duration::from_millis(*due),
                due: boot::now() + time::Duration::from_millis(*due),
                until: boot::now() + LONG,
                awaited: boot::now() + LONG,
            };
            let (waiting, woken) = (rc::Rc::clone(&queue), rc::Rc::clone(&woken));
            let wait = async move {
                if waiting
                    .wait(&organisation::OWN, urgency, boot::now(), boot::now() + LONG)
                    .await
                {
                    woken.borrow_mut().push(index);
                }
            };
            executor.spawn(wait).detach();
            while queue.len() <= index {
                futures_lite::future::yield_now().await;
            }
        }
        wait::sleep(waited).await;
        for index in 0..requests.len() {
            queue.wake();
            while woken.borrow().len() <= index {
                futures_lite::future::yield_now().await;
            }
        }
    }));
    woken.take()
}

#[test]
fn a_short_queue_is_served_by_priority_and_then_by_when_each_is_due() {
    let requests = [(2, 500), (2, 250), (1, 900)];
    assert_eq!(wake_order(&requests, time::Duration::ZERO), [2, 1, 0]);
}

/// Guards against late answers for two seconds after all nodes were restarted, though the instances
/// work at full speed. The requests of the outage arrive all at once, and later ones queue behind
/// them. A standing queue was served in order of arrival, so the later ones were late as well.
#[test]
fn in_a_standing_queue_the_newest_go_first() {
    let requests = [(2, 250), (2, 250), (1, 900), (2, 250), (2, 500)];
    assert_eq!(wake_order(&requests, STANDING_QUEUE_AGE), [2, 3, 1, 0, 4]);
}
