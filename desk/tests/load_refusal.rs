//! Statements that are refused early by load reports, and retries that are limited, through a node
//! that borrows its connections.

mod cluster;
mod setup;

use std::cell;
use std::net;
use std::rc;
use std::time;

use mangotray_desk::boot;
use mangotray_desk::catalog;
use mangotray_desk::guarantees;
use mangotray_desk::key;
use mangotray_desk::lending::relay;
use mangotray_desk::lending::router;
use mangotray_desk::load::options;
use mangotray_desk::load::report;
use mangotray_desk::member;
use mangotray_desk::message;
use mangotray_desk::node;
use mangotray_desk::organisation;
use mangotray_desk::reply;
use mangotray_desk::session;
use mangotray_desk::upstream;
use mangotray_desk::wait;
use setup::lending::Work;
use setup::lending::listen;
use setup::lending::member;

/// Longer than a report counts.
const REPORT_LIFETIME: time::Duration = time::Duration::from_millis(550);

/// Tries for which two requests within the lifetime of a report are certain enough.
const TRIES: usize = 20;

/// A report of a queue that no statement of the cluster's routes can wait for.
const LATE: report::Report = report::Report {
    waits_ms: [9000; 3],
    exchange_ms: 20,
    limit: 5,
};

/// A node that borrows every connection from a lending node, which appends this report to all
/// answers.
struct Borrower {
    cluster: cluster::Cluster,
    node: rc::Rc<node::Node>,
    reported: rc::Rc<cell::Cell<report::Report>>,
}

impl Borrower {
    fn new(options: options::Options) -> Self {
        let cluster = cluster::Cluster::new();
        let dialer = rc::Rc::new(cluster::Dialer(rc::Rc::clone(&cluster.world)));
        let executor = rc::Rc::clone(&cluster.executor);
        let router = router::Router::new("own".into(), dialer, rc::Rc::clone(&executor));
        router.set_options(options);
        let (domain, guarantees) = ("there".into(), guarantees::Guarantees::default());
        let node = node::Node::new("own".into(), domain, router, executor, guarantees);
        node.apply(catalog::Catalog {
            services: setup::lending::services(4),
            ..cluster::catalog()
        });
        let lender = member("lender", "here", member::PROTOCOL);
        let reported = rc::Rc::new(cell::Cell::new(LATE));
        lend(&cluster, lender.address, &reported);
        node.router()
            .set_members(vec![member("own", "there", member::PROTOCOL), lender]);
        let list = cluster.world.borrow().list();
        node.update(list, Some(boot::now()), boot::now());
        Self {
            cluster,
            node,
            reported,
        }
    }

    fn session(&self, database: &str) -> session::Session {
        let node = rc::Rc::clone(&self.node);
        session::Session::new(node, database.into(), key::Key::new("caller"))
    }

    fn ran(&self) -> usize {
        self.cluster.world.borrow().ran.len()
    }
}

/// Lends connections of the cluster, and appends the same report to each answer.
fn lend(
    cluster: &cluster::Cluster,
    address: net::SocketAddr,
    reported: &rc::Rc<cell::Cell<report::Report>>,
) {
    let dialer = rc::Rc::new(cluster::Dialer(rc::Rc::clone(&cluster.world)));
    let executor = rc::Rc::clone(&cluster.executor);
    let lender = router::Router::new("lender".into(), dialer, rc::Rc::clone(&executor));
    let listener = listen(address);
    let reported = rc::Rc::clone(reported);
    let serve = async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (lender, reported) = (rc::Rc::clone(&lender), rc::Rc::clone(&reported));
            executor.spawn(relay(stream, lender, reported)).detach();
        }
    };
    cluster.executor.spawn(serve).detach();
}

async fn relay(
    mut stream: async_net::TcpStream,
    lender: rc::Rc<router::Router>,
    reported: rc::Rc<cell::Cell<report::Report>>,
) {
    let target: upstream::Target = message::receive(&mut stream).await.expect("a target");
    let mut session = relay::Session::new(lender.pool(&target), organisation::OWN);
    let opened = session.open().await;
    message::send(&mut stream, &opened).await.expect("a node");
    while let Ok(((urgency, organisation, commands), _)) =
        message::receive_with_trailer::<Work>(&mut stream).await
    {
        let urgency = urgency.to_absolute();
        let answer = session.run(&commands, urgency, &organisation).await;
        let answer = (answer, reported.get());
        message::send(&mut stream, &answer).await.expect("a node");
    }
}

fn text(reply: &reply::Reply) -> &str {
    match &reply.end {
        reply::End::Error { text, .. } => text,
        reply::End::Done(_) => "",
    }
}

/// Guards against a write that waits in the primary's queue until it is too late, and is refused
/// then; and against an early refusal of one that was sent, or by a report that is too old.
#[test]
fn a_write_that_cannot_start_in_time_is_refused_at_once() {
    let borrower = Borrower::new(options::Options {
        load_reports: true,
        ..options::Options::default()
    });
    borrower.cluster.run(async {
        let mut session = borrower.session("own");
        let (mut done, mut refused) = (0, 0);
        for _ in 0..TRIES {
            let reply = session.handle(&cluster::request("WRITE x 1")).await;
            if reply.is_done() {
                done += 1;
                continue;
            }
            refused += 1;
            assert_eq!(reply.code(), Some(&reply::Code::Busy), "{}", text(&reply));
            assert!(text(&reply).contains(", come back in "), "{}", text(&reply));
            assert!(text(&reply).ends_with(" ms"), "{}", text(&reply));
        }
        assert!(refused > 0);
        assert_eq!(borrower.ran(), done, "{refused} refused");
        wait::sleep(REPORT_LIFETIME).await;
        let reply = session.handle(&cluster::request("WRITE x 1")).await;
        assert!(reply.is_done(), "{}", text(&reply));
        // A short queue is waited for.
        wait::sleep(REPORT_LIFETIME).await;
        borrower.reported.set(report::Report {
            waits_ms: [40; 3],
            ..LATE
        });
        for _ in 0..TRIES {
            let reply = session.handle(&cluster::request("WRITE x 1")).await;
            assert!(reply.is_done(), "{}", text(&reply));
        }
    });
}

/// Guards against a transaction that waits at the primary until it is too late, and against one that
/// is refused after it was opened.
#[test]
fn a_transaction_that_cannot_open_in_time_is_refused_at_once() {
    let borrower = Borrower::new(options::Options {
        load_reports: true,
        ..options::Options::default()
    });
    borrower.cluster.run(async {
        let mut session = borrower.session("own");
        let (mut done, mut refused) = (0, 0);
        for _ in 0..TRIES {
            session.handle(&cluster::request("BEGIN")).await;
            let reply = session.handle(&cluster::request("WRITE x 1")).await;
            if reply.is_done() {
                let reply = session.handle(&cluster::request("COMMIT")).await;
                assert!(reply.is_done(), "{}", text(&reply));
                done += 1;
                continue;
            }
            refused += 1;
            assert_eq!(reply.code(), Some(&reply::Code::Busy), "{}", text(&reply));
            assert!(text(&reply).contains(", come back in "), "{}", text(&reply));
            session.handle(&cluster::request("ROLLBACK")).await;
        }
        assert!(refused > 0);
        // A write and a commit for each.
        assert_eq!(borrower.ran(), 2 * done, "{refused} refused");
    });
}

/// Guards against a read that is sent to three late instances in turn, and against one that is
/// refused although an instance reports room.
#[test]
fn a_read_is_refused_when_all_instances_are_known_to_be_late() {
    let borrower = Borrower::new(options::Options {
        load_reports: true,
        ..options::Options::default()
    });
    let room = report::Report {
        waits_ms: [0; 3],
        ..LATE
    };
    borrower.reported.set(room);
    borrower.cluster.run(async {
        let mut session = borrower.session("bounded");
        for _ in 0..TRIES {
            let reply = session.handle(&cluster::request("READ x")).await;
            assert!(reply.is_done(), "{}", text(&reply));
        }
        borrower.reported.set(LATE);
        let mut refused = 0;
        for _ in 0..TRIES {
            let reply = session.handle(&cluster::request("READ x")).await;
            if reply.is_done() {
                continue;
            }
            refused += 1;
            assert_eq!(reply.code(), Some(&reply::Code::Busy));
            let expected = "no instance can start this in time, come back in ";
            assert!(text(&reply).starts_with(expected), "{}", text(&reply));
        }
        assert!(refused > 0);
        assert_eq!(borrower.ran(), 2 * TRIES - refused);
    });
}

/// Guards against refusals by reports that the node did not ask for.
#[test]
fn without_the_switch_reports_refuse_nothing() {
    let borrower = Borrower::new(options::Options::default());
    // The lending node appends reports all the same: bytes after the value are ignored.
    borrower.cluster.run(async {
        let mut session = borrower.session("own");
        for _ in 0..TRIES {
            let reply = session.handle(&cluster::request("WRITE x 1")).await;
            assert!(reply.is_done(), "{}", text(&reply));
        }
    });
    assert_eq!(borrower.ran(), TRIES);
}

/// Guards against a burst in which each refused read is sent to every instance several times.
#[test]
fn reads_are_retried_within_the_budget() {
    const READS: usize = 4;
    const REFUSALS: usize = 1000;
    let attempts = |retry_percent| {
        let borrower = Borrower::new(options::Options {
            retry_percent,
            ..options::Options::default()
        });
        borrower.cluster.run(async {
            for id in ["a", "b", "c"] {
                borrower.cluster.world.borrow_mut().at(id).refuse = REFUSALS;
            }
            let mut session = borrower.session("bounded");
            let mut denied = 0;
            for _ in 0..READS {
                let reply = session.handle(&cluster::request("READ x")).await;
                assert_eq!(reply.code(), Some(&reply::Code::Busy));
                denied += usize::from(text(&reply).contains("too many retries, come back in "));
            }
            let mut world = borrower.cluster.world.borrow_mut();
            let left: usize = ["a", "b", "c"].map(|id| world.at(id).refuse).iter().sum();
            (3 * REFUSALS - left, denied)
        })
    };
    let (unlimited, denied) = attempts(None);
    assert!(unlimited > 2 * READS, "{unlimited}");
    assert_eq!(denied, 0);
    let (limited, denied) = attempts(Some(10));
    // A statement each, three tokens at first, and a tenth of a token for each statement.
    assert!(limited <= READS + 3 + READS / 10, "{limited}");
    assert!(denied >= READS - 1, "{denied}");
}
