//! How a node reaches instances through other nodes.

mod cluster;

use std::net;
use std::rc;
use std::time;

use futures_util::FutureExt;
use futures_util::future;
use mangotray_desk::catalog;
use mangotray_desk::lending::relay;
use mangotray_desk::lending::router;
use mangotray_desk::member;
use mangotray_desk::organisation;
use mangotray_desk::reply;
use mangotray_desk::upstream;
use mangotray_desk::upstream::Dialer;
use mangotray_desk::wait;

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

/// A router of a group with so few connections that nodes must borrow them from each other.
fn router(
    name: &str,
    dialer: rc::Rc<dyn upstream::Dialer>,
    executor: &Local,
) -> rc::Rc<router::Router> {
    let router = router::Router::new(name.into(), dialer, rc::Rc::clone(executor));
    router.apply(&catalog::Catalog {
        version: 1,
        services: vec![catalog::Service {
            group: cluster::GROUP.into(),
            connections: 4,
            sync: 1,
        }],
        ..catalog::Catalog::default()
    });
    router
}

/// A local address whose port was free when it was chosen.
fn address() -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
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

fn member(name: &str, domain: &str) -> member::Member {
    member::Member {
        name: name.into(),
        domain: domain.into(),
        address: address(),
        protocol: 0,
        capacity: None,
    }
}

/// Guards against a node that refuses a group for most of a second although it could borrow
/// connections. The link between a lending node and one instance is cut, and the lending node
/// reports that it cannot reach this instance. It was then avoided for all other instances too.
#[test]
fn a_node_that_cannot_reach_one_instance_still_lends_for_others() {
    let cluster = cluster::Cluster::new();
    let executor = &cluster.executor;
    let (own, lending) = (member("own", "far"), member("lending", "near"));
    let reaches = SingleTarget(Some((
        "b".into(),
        cluster::Dialer(rc::Rc::clone(&cluster.world)),
    )));
    let lending_address = lending.address;
    let lender = router(&lending.name, rc::Rc::new(reaches), executor);
    let server = relay::Server::new(
        move |target| lender.pool(target),
        rc::Rc::clone(executor),
        rc::Rc::default(),
    );
    let serve = server.serve(lending_address);
    executor
        .spawn(async move { serve.await.expect("a port") })
        .detach();
    let router = router(&own.name, rc::Rc::new(SingleTarget(None)), executor);
    router.set_members(vec![own, lending]);
    cluster.run(async {
        // Wait until the lending node listens.
        while async_net::TcpStream::connect(lending_address)
            .await
            .is_err()
        {
            wait::sleep(time::Duration::from_millis(5)).await;
        }
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
