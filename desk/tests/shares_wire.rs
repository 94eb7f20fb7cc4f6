//! Limits shared by nodes that ask each other over TCP. Guards against questions about shares that
//! are not answered, and against a denial that each operation asks another node for again.

mod cluster;

use std::cell;
use std::net;
use std::rc;
use std::time;

use futures_util::FutureExt;
use mangotray_desk::access;
use mangotray_desk::boot;
use mangotray_desk::guarantees;
use mangotray_desk::lending::relay;
use mangotray_desk::lending::router;
use mangotray_desk::limits::quota;
use mangotray_desk::member;
use mangotray_desk::node;
use mangotray_desk::question;
use mangotray_desk::wait;

const NAMES: [&str; 3] = ["one", "two", "three"];

const QUOTA: quota::Quota = quota::Quota {
    // Slow, so that the time to come back is much longer than the test's next step takes.
    rate: 1.0,
    burst: 10.0,
};

fn free_address() -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

fn start(cluster: &cluster::Cluster, name: &str) -> rc::Rc<node::Node> {
    let dialer = rc::Rc::new(cluster::Dialer(rc::Rc::clone(&cluster.world)));
    let executor = rc::Rc::clone(&cluster.executor);
    let router = router::Router::new(name.into(), dialer, rc::Rc::clone(&executor));
    let guarantees = guarantees::Guarantees {
        share: Some(time::Duration::from_secs(2)),
        ..guarantees::Guarantees::default()
    };
    node::Node::new(name.into(), "here".into(), router, executor, guarantees)
}

/// Serves the questions of other nodes; counts those for tokens.
fn serve(
    cluster: &cluster::Cluster,
    node: &rc::Rc<node::Node>,
    address: net::SocketAddr,
    requests: &rc::Rc<cell::Cell<usize>>,
) {
    let router = rc::Rc::clone(node.router());
    let executor = rc::Rc::clone(&cluster.executor);
    let server = relay::Server::new(
        move |target| router.pool(target),
        executor,
        rc::Rc::default(),
    );
    let (node, requests) = (rc::Rc::clone(node), rc::Rc::clone(requests));
    server.set_question_handler(move |question| {
        let answer = match question {
            question::Question::Share(ask) => node
                .answer_about_share(&ask)
                .map_or(question::Answer::Nothing, question::Answer::Share),
            question::Question::Tokens(ask) => {
                requests.set(requests.get() + 1);
                node.grant(ask)
                    .map_or(question::Answer::Nothing, question::Answer::Tokens)
            }
            _ => question::Answer::Nothing,
        };
        async move { answer }.boxed_local()
    });
    let serve = async move { server.serve(address).await.expect("a port") };
    cluster.executor.spawn(serve).detach();
}

#[test]
fn nodes_borrow_shares_and_remember_denials() {
    let cluster = cluster::Cluster::new();
    let requests = rc::Rc::new(cell::Cell::new(0));
    let addresses = NAMES.map(|_| free_address());
    let nodes = NAMES.map(|name| start(&cluster, name));
    let named = NAMES.iter().zip(addresses);
    let members = named.map(|(name, address)| member::Member {
        name: (*name).into(),
        domain: "here".into(),
        address,
        protocol: member::PROTOCOL,
        capacity: None,
    });
    let members: Vec<_> = members.collect();
    for (node, address) in nodes.iter().zip(addresses) {
        serve(&cluster, node, address, &requests);
        node.router().set_members(members.clone());
    }
    let caller = access::Caller {
        organisation: "dome".into(),
        quota: Some(QUOTA),
    };
    cluster.run(async {
        // A part of the limit is no proof that it is reached: only the holder of all shares says so.
        let deadline = boot::now() + time::Duration::from_secs(20);
        let mut granted = 0;
        loop {
            let counted = nodes[granted % 3].count(&caller).await;
            match counted {
                Ok(()) => granted += 1,
                // The shares are empty at first.
                Err(access::Refusal::OverQuota(delay)) if granted == 0 => wait::sleep(delay).await,
                Err(access::Refusal::OverQuota(delay)) => {
                    assert!(delay >= time::Duration::from_millis(20), "{delay:?}");
                    break;
                }
                Err(_) => wait::sleep(time::Duration::from_millis(20)).await,
            }
            assert!(boot::now() < deadline, "the limit was never reached");
        }
        // The denied node refuses without asking; two operations follow each other at once.
        let before = requests.get();
        let refused = nodes[granted % 3].count(&caller).await;
        assert!(
            matches!(refused, Err(access::Refusal::OverQuota(_))),
            "{refused:?}"
        );
        assert_eq!(requests.get(), before);
    });
}
