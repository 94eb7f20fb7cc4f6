//! Nodes that lend connections to each other, and stand-ins for them.

use std::net;
use std::rc;

use mangotray_desk::catalog;
use mangotray_desk::lending::relay;
use mangotray_desk::lending::router;
use mangotray_desk::lifecycle;
use mangotray_desk::member;
use mangotray_desk::organisation;
use mangotray_desk::pool;
use mangotray_desk::upstream;
use mangotray_desk::urgency;
use mangotray_desk::wait;

use crate::cluster;

/// A request to a lending node, without its trailing byte.
pub type Work = (urgency::Urgency, organisation::Name, Vec<upstream::Command>);

type Executor = rc::Rc<async_executor::LocalExecutor<'static>>;

/// A local address whose port was free when it was chosen.
pub fn address() -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

pub fn listen(address: net::SocketAddr) -> async_net::TcpListener {
    let listener = net::TcpListener::bind(address).expect("a port");
    async_io::Async::new(listener).expect("a listener").into()
}

pub fn member(name: &str, domain: &str, protocol: u32) -> member::Member {
    member::Member {
        name: name.into(),
        domain: domain.into(),
        address: address(),
        protocol,
        capacity: None,
    }
}

/// The first instance of the cluster, as this node itself reaches it.
pub fn target(cluster: &cluster::Cluster) -> upstream::Target {
    let instance = cluster.world.borrow().list().remove(0);
    upstream::Target {
        address: instance.address,
        group: instance.group,
        id: instance.id,
        born: instance.born,
        domain: instance.domain,
        slots: instance.slots,
        organisation: organisation::OWN,
        any: false,
    }
}

/// The cluster's group, with instances that accept so many connections.
pub fn services(connections: usize) -> Vec<catalog::Service> {
    vec![catalog::Service {
        group: cluster::GROUP.into(),
        connections,
        sync: 1,
    }]
}

/// A router of a group with so few connections that nodes must borrow them from each other.
pub fn router(
    name: &str,
    dialer: rc::Rc<dyn upstream::Dialer>,
    executor: &Executor,
) -> rc::Rc<router::Router> {
    let router = router::Router::new(name.into(), dialer, rc::Rc::clone(executor));
    router.apply(&catalog::Catalog {
        version: 1,
        services: services(4),
        ..catalog::Catalog::default()
    });
    router
}

/// Starts a lending node at an address, and waits until it listens.
pub async fn lend(
    executor: &Executor,
    address: net::SocketAddr,
    pool: impl Fn(&upstream::Target) -> rc::Rc<pool::Pool> + 'static,
    lifecycle: &rc::Rc<lifecycle::Lifecycle>,
) {
    let server = relay::Server::new(pool, rc::Rc::clone(executor), rc::Rc::clone(lifecycle));
    let serve = server.serve(address);
    let serve = async move { serve.await.expect("a port") };
    executor.spawn(serve).detach();
    while async_net::TcpStream::connect(address).await.is_err() {
        wait::sleep(super::millis(5)).await;
    }
}
