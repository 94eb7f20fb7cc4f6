//! Questions to other nodes over connections that break without notice.

use std::cell;
use std::net;
use std::rc;
use std::time;

use mangotray_desk::limits::buckets;
use mangotray_desk::limits::quota;
use mangotray_desk::limits::tolerance;
use mangotray_desk::member;
use mangotray_desk::message;
use mangotray_desk::peers;
use mangotray_desk::question;

/// Answer timeout; no test may reach it.
const LONG: time::Duration = time::Duration::from_secs(30);

/// Timeout of an idle connection.
const SOON: time::Duration = time::Duration::from_millis(20);

/// A node that answers questions, but can stop answering on its first connections.
struct Node {
    connections: cell::Cell<usize>,
    /// Connections up to this number are silent: no question on them is answered.
    silent_up_to: cell::Cell<usize>,
    buckets: cell::RefCell<buckets::Buckets>,
}

impl Node {
    fn new() -> rc::Rc<Self> {
        let buckets = buckets::Buckets::new(tolerance::Tolerance::default(), LONG);
        rc::Rc::new(Self {
            connections: cell::Cell::default(),
            silent_up_to: cell::Cell::default(),
            buckets: cell::RefCell::new(buckets),
        })
    }

    async fn serve(
        self: rc::Rc<Self>,
        listener: async_net::TcpListener,
        executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    ) {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            self.connections.set(self.connections.get() + 1);
            let answer = rc::Rc::clone(&self).answer(stream, self.connections.get());
            executor.spawn(answer).detach();
        }
    }

    async fn answer(self: rc::Rc<Self>, mut stream: async_net::TcpStream, number: usize) {
        let opened = message::receive_opening(&mut stream).await;
        assert_eq!(opened.ok(), Some(message::Opening::Questions));
        while let Ok(question) = message::receive::<question::Question>(&mut stream).await {
            if number <= self.silent_up_to.get() {
                futures_lite::future::pending::<()>().await;
            }
            let question::Question::Token(ask) = question else {
                panic!("{question:?}");
            };
            let decision = self.buckets.borrow_mut().decide(&ask, LONG);
            let answer = question::Answer::Token(decision);
            message::send(&mut stream, &answer).await.expect("a way");
        }
    }
}

fn token() -> question::Question {
    question::Question::Token(buckets::Request {
        organisation: "dome".into(),
        quota: quota::Quota {
            rate: 1.0,
            burst: 1.0,
        },
        version: 1,
        turn: buckets::Reason::Counting,
    })
}

fn run_test(test: impl AsyncFnOnce(&Node, &member::Member, &peers::Peers)) {
    let executor = rc::Rc::new(async_executor::LocalExecutor::new());
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let member = member::Member {
        name: "far".into(),
        domain: "there".into(),
        address,
        protocol: 0,
        capacity: None,
    };
    let node = Node::new();
    let listener = async_io::Async::new(listener).expect("a listener");
    let serve = rc::Rc::clone(&node).serve(listener.into(), rc::Rc::clone(&executor));
    let peers = peers::Peers::with_timeouts(peers::Timeouts {
        answer: LONG,
        after_silence: LONG,
        idle_connection: SOON,
    });
    async_io::block_on(executor.run(async {
        let serving = executor.spawn(serve);
        test(&node, &member, &peers).await;
        serving.cancel().await;
    }));
}

/// Guards against a healthy node that counts as silent because an idle connection to it is broken,
/// so that token requests fail.
#[test]
fn a_broken_connection_does_not_count_as_a_silent_node() {
    run_test(async |node, member, peers| {
        assert!(peers.ask(member, &token()).await.is_some());
        node.silent_up_to.set(node.connections.get());
        assert!(peers.ask(member, &token()).await.is_some());
        assert!(peers.may_ask(&member.name));
        assert_eq!(node.connections.get(), 2);
    });
}

/// Guards against a timeout for each of several idle connections that broke at the same time.
#[test]
fn other_idle_connections_are_dropped_with_a_broken_one() {
    run_test(async |node, member, peers| {
        let (one, two) = (token(), token());
        let both = futures_util::future::join(peers.ask(member, &one), peers.ask(member, &two));
        assert!(matches!(both.await, (Some(_), Some(_))));
        assert_eq!(node.connections.get(), 2);
        node.silent_up_to.set(2);
        for _ in 0..3 {
            assert!(peers.ask(member, &token()).await.is_some());
        }
        assert_eq!(node.connections.get(), 3);
    });
}
