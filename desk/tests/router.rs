//! How a node reaches instances through other nodes.

mod cluster;
mod setup;

use std::rc;
use std::time;

use futures_util::FutureExt;
use futures_util::future;
use mangotray_desk::lending::router;
use mangotray_desk::organisation;
use mangotray_desk::reply;
use mangotray_desk::upstream;
use mangotray_desk::upstream::Dialer;
use mangotray_desk::wait;
use setup::lending::address;
use setup::lending::member;
use setup::lending::router;

/// Longer than the timeout for borrowing a connection.
const SHORT: time::Duration = time::Duration::from_millis(450);
const LONG: time::Duration = time::Duration::from_secs(5);

type Local = rc::Rc<async_executor::LocalExecutor<'static>>;

/// A dialer that reaches at most one instance; dials to all others never complete.
struct SingleTarget(Option<(upstream::Id, cluster::Dialer)>);

impl upstream::Dialer for SingleTarget {
    fn dial<'a>(
        &'a self,
        target: &'a upstream::Target,
    ) -> future::LocalBoxFuture<'a, Result<upstream::Dialled, upstream::Refusal>> {
        match &self.0 {
            Some((id, dialer)) if *id == target.id => dialer.dial(target),
            _ => future::pending().boxed_local(),
        }
    }

    fn status(&self, _reply: &reply::Reply) -> Option<upstream::Status> {
        None
    }
}

fn target(id: &str) -> upstream::Target {
    upstream::Target {
        address: address(),
        group: cluster::GROUP.into(),
        id: id.into(),
        born: 1,
        domain: "near".into(),
        slots: 3,
        organisation: organisation::OWN,
        any: false,
    }
}

/// Guards against a node that refuses a group for most of a second although it could borrow
/// connections. The link between a lending node and one instance is cut, and the lending node
/// reports that it cannot reach this instance. It was then avoided for all other instances too.
#[test]
fn a_node_that_cannot_reach_one_instance_still_lends_for_others() {
    let cluster = cluster::Cluster::new();
    let executor = &cluster.executor;
    let (own, lending) = (member("own", "far", 0), member("lending", "near", 0));
    let reaches = SingleTarget(Some((
        "b".into(),
        cluster::Dialer(rc::Rc::clone(&cluster.world)),
    )));
    let lending_address = lending.address;
    let lender = router(&lending.name, rc::Rc::new(reaches), executor);
    let router = router(&own.name, rc::Rc::new(SingleTarget(None)), executor);
    router.set_members(vec![own, lending]);
    cluster.run(async {
        let pool = move |target: &upstream::Target| lender.pool(target);
        setup::lending::lend(executor, lending_address, pool, &rc::Rc::default()).await;
        let cut = wait::within(SHORT, router.dial(&target("a"))).await;
        assert!(cut.is_none_or(|dialled| dialled.is_err()));
        let open = wait::within(LONG, router.dial(&target("b"))).await;
        open.expect("an answer").expect("a connection");
    });
}

/// Guards against a node that lends connections to a process that has ended. An instance restarts
/// under the same id; a node that knows of the restart asks for a connection, then a node that
/// does not know of it yet. The pool was looked up by id alone, without the start time.
#[test]
fn connections_are_lent_for_one_start_of_an_instance() {
    let executor = Local::default();
    let router = router("vm", rc::Rc::new(SingleTarget(None)), &executor);
    let first = target("i");
    let second = upstream::Target {
        born: 2,
        ..first.clone()
    };
    assert_eq!(router.pool(&first).born(), 1);
    let renewed = router.pool(&second);
    assert_eq!(renewed.born(), 2);
    assert!(rc::Rc::ptr_eq(&renewed, &router.pool(&first)));
}

/// Guards against a node that limits its concurrent dials only per instance and not in total.
#[test]
fn a_node_opens_few_connections_at_once() {
    let cluster = cluster::Cluster::new();
    let narrow = rc::Rc::new(SingleTarget(None));
    let router = router("vm-1", narrow, &cluster.executor);
    cluster.run(async {
        let mut permits = Vec::new();
        for _ in 0..router::MAX_CONCURRENT_DIALS {
            permits.push(router.permit().await);
        }
        assert!(wait::within(SHORT, router.permit()).await.is_none());
        permits.pop();
        assert!(wait::within(LONG, router.permit()).await.is_some());
    });
}
