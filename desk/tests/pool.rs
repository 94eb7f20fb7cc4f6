//! Pools of shared connections, and the state of connections and instances that they record.

mod cluster;

use std::collections;
use std::rc;
use std::sync;
use std::time;

use futures_util::FutureExt;
use futures_util::future;
use mangotray_desk::boot;
use mangotray_desk::checkout;
use mangotray_desk::organisation;
use mangotray_desk::pool;
use mangotray_desk::reply;
use mangotray_desk::room::size;
use mangotray_desk::upstream;
use mangotray_desk::urgency;
use mangotray_desk::wait;

type Values = collections::BTreeMap<compact_str::CompactString, compact_str::CompactString>;

const LIMIT: time::Duration = time::Duration::from_secs(5);
const SHORT: time::Duration = time::Duration::from_millis(40);

async fn check_out(pool: &rc::Rc<pool::Pool>, values: &Values) -> checkout::Checkout {
    let deadline = boot::now() + LIMIT;
    let checkout = pool
        .check_out(
            urgency::Urgency::immediate(deadline),
            &organisation::OWN,
            values,
            deadline,
        )
        .await;
    checkout.expect("a connection")
}

/// Guards against a statement that runs with other session values than its caller set. A statement
/// waits for the concurrency limit and gives up, or its caller leaves, and the connection is reused
/// by a session with the same values. The values were recorded as set although the commands that
/// set them had not been sent.
#[test]
fn values_that_were_never_sent_are_sent_by_the_next_user() {
    check_values_are_resent(false);
    check_values_are_resent(true);
}

fn check_values_are_resent(dropped: bool) {
    let cluster = cluster::Cluster::new();
    let pool = cluster.pool(2, 1);
    cluster.run(async {
        let values = Values::from([("tint".into(), "red".into())]);
        let mut first = check_out(&pool, &Values::new()).await;
        let mut second = check_out(&pool, &values).await;
        cluster.world.borrow_mut().stalled = true;
        let busy = cluster.executor.spawn(async move {
            let status = [upstream::Command::Status];
            first.run(&status, boot::now() + LIMIT).await.map(|_| first)
        });
        wait::sleep(SHORT).await;
        let prelude = second.setup_commands(&values, None, false);
        let limit = if dropped { LIMIT } else { SHORT };
        let run = second.run(&prelude, boot::now() + limit);
        let ended = wait::within(2 * SHORT, run).await;
        assert_eq!(ended.is_none(), dropped);
        drop(second);
        cluster.world.borrow_mut().stalled = false;
        let _busy = busy.await.expect("an answer");
        let mut third = check_out(&pool, &values).await;
        let prelude = third.setup_commands(&values, None, false);
        let sets = |command: &upstream::Command| matches!(command, upstream::Command::Set { .. });
        assert!(prelude.iter().any(sets), "{prelude:?}");
    });
}

/// Guards against an overloaded primary that refuses two statements of three, while those that it
/// accepts wait behind a full queue. Its fast refusals counted as fast answers and raised the
/// concurrency limit, so that the nodes sent it more.
#[test]
fn a_full_instance_gets_fewer_statements() {
    let cluster = cluster::Cluster::new();
    let pool = cluster.pool(5, 5);
    cluster.run(async {
        let read = cluster::read("read");
        cluster.world.borrow_mut().at("a").refuse = 30;
        let mut checkout = check_out(&pool, &Values::new()).await;
        for _ in 0..30 {
            let replies = checkout.run(&read, boot::now() + LIMIT);
            replies.await.expect("an answer");
            wait::sleep(time::Duration::from_millis(10)).await;
        }
        assert!(pool.window() < 5);
    });
}

/// Guards against an overloaded instance that is treated as silent, so that its connections are
/// closed. A statement waits for the concurrency limit until little of its time is left, is sent,
/// and times out before the instance can answer. Any such timeout was taken for silence.
#[test]
fn a_statement_with_little_time_left_raises_no_suspicion() {
    let cluster = cluster::Cluster::new();
    let pool = cluster.pool(2, 1);
    cluster.run(async {
        let mut checkout = check_out(&pool, &Values::new()).await;
        cluster.world.borrow_mut().stalled = true;
        let status = [upstream::Command::Status];
        let result = checkout.run(&status, boot::now() + SHORT).await;
        assert!(result.expect_err("no answer").sent);
        assert!(!pool.is_down());
    });
}

/// A pool for the primary that opens connections with this dialer.
fn pool_of(cluster: &cluster::Cluster, dialer: rc::Rc<dyn upstream::Dialer>) -> rc::Rc<pool::Pool> {
    let instance = cluster.world.borrow().list().remove(0);
    let executor = rc::Rc::clone(&cluster.executor);
    rc::Rc::new(pool::Pool::new(
        instance,
        dialer,
        executor,
        size::Size::shared(),
    ))
}

/// Guards against an instance that is treated as down although only old connections to it are
/// broken.
#[test]
fn a_new_connection_shows_that_a_silent_instance_is_up() {
    let cluster = cluster::Cluster::new();
    // Separate instances, as the cluster's node opens connections to those of the cluster.
    let world = cluster::world();
    let pool = pool_of(
        &cluster,
        rc::Rc::new(cluster::Dialer(rc::Rc::clone(&world))),
    );
    cluster.run(async {
        let mut checkout = check_out(&pool, &Values::new()).await;
        // A second connection may have been started for it meanwhile.
        wait::sleep(SHORT).await;
        let opened = world.borrow().connections;
        world.borrow_mut().dead = opened;
        let silent = cluster.executor.spawn(async move {
            let status = [upstream::Command::Status];
            checkout.run(&status, boot::now() + LIMIT).await.is_err()
        });
        let another = || world.borrow().connections == opened + 1;
        cluster::until("another connection is opened", another).await;
        cluster::until("the instance is no longer down", || !pool.is_down()).await;
        assert!(silent.await);
    });
}

/// A dialer that opens a connection only with a permit of its semaphore.
struct Permitted {
    inner: cluster::Dialer,
    permits: sync::Arc<async_lock::Semaphore>,
}

impl upstream::Dialer for Permitted {
    fn dial<'a>(
        &'a self,
        target: &'a upstream::Target,
    ) -> future::LocalBoxFuture<'a, Result<upstream::Dialled, upstream::Refusal>> {
        self.inner.dial(target)
    }

    fn status(&self, reply: &reply::Reply) -> Option<upstream::Status> {
        self.inner.status(reply)
    }

    fn permit(&self) -> future::LocalBoxFuture<'_, Option<upstream::Permit>> {
        self.permits.acquire_arc().map(Some).boxed_local()
    }
}

/// Guards against a node that opens connections to all instances at once, so that the nodes which
/// have to answer answer none in time.
#[test]
fn no_connection_is_opened_without_a_permit() {
    let cluster = cluster::Cluster::new();
    let permits = sync::Arc::new(async_lock::Semaphore::new(1));
    let world = cluster::world();
    let dialer = Permitted {
        inner: cluster::Dialer(rc::Rc::clone(&world)),
        permits: sync::Arc::clone(&permits),
    };
    let pool = pool_of(&cluster, rc::Rc::new(dialer));
    cluster.run(async {
        let taken = permits.acquire_arc().await;
        let values = Values::new();
        let mut waiting = std::pin::pin!(check_out(&pool, &values));
        assert!(wait::within(SHORT, waiting.as_mut()).await.is_none());
        assert_eq!(world.borrow().connections, 0);
        drop(taken);
        waiting.await;
        // The permit was returned after the dial.
        let again = permits.acquire_arc();
        assert!(wait::within(LIMIT, again).await.is_some());
    });
}
