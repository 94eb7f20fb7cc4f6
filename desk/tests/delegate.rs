//! Floors that a delegate determines for its failure domain.

mod cluster;

use std::cell;
use std::net;
use std::rc;
use std::time;

use futures_util::FutureExt;
use futures_util::future;
use mangotray::stamp;
use mangotray_desk::boot;
use mangotray_desk::catalog;
use mangotray_desk::delegate;
use mangotray_desk::group;
use mangotray_desk::lending::relay;
use mangotray_desk::member;
use mangotray_desk::peers;
use mangotray_desk::question;
use mangotray_desk::reply;
use mangotray_desk::source;
use mangotray_desk::upstream;
use mangotray_desk::wait;

const AGE: time::Duration = time::Duration::from_millis(1500);
const LONG: time::Duration = time::Duration::from_secs(5);

/// A dialer that reaches the instances of the cluster, with a delegate that answers as set by the
/// test.
struct FakeDialer {
    direct: cluster::Dialer,
    response: cell::Cell<Option<delegate::Response>>,
    asked: cell::Cell<usize>,
}

impl upstream::Dialer for FakeDialer {
    fn dial<'a>(
        &'a self,
        target: &'a upstream::Target,
    ) -> future::LocalBoxFuture<'a, Result<upstream::Dialled, upstream::Refusal>> {
        self.direct.dial(target)
    }

    fn request_floor<'a>(
        &'a self,
        _ask: &'a delegate::Request,
    ) -> future::LocalBoxFuture<'a, Option<delegate::Response>> {
        self.asked.set(self.asked.get() + 1);
        future::ready(self.response.get()).boxed_local()
    }

    fn status(&self, reply: &reply::Reply) -> Option<upstream::Status> {
        self.direct.status(reply)
    }
}

struct Scene {
    cluster: cluster::Cluster,
    dialer: rc::Rc<FakeDialer>,
    group: rc::Rc<group::Group>,
}

impl Scene {
    fn new() -> Self {
        let cluster = cluster::Cluster::new();
        let dialer = rc::Rc::new(FakeDialer {
            direct: cluster::Dialer(rc::Rc::clone(&cluster.world)),
            response: cell::Cell::default(),
            asked: cell::Cell::default(),
        });
        let group = group::Group::new(
            cluster::GROUP.into(),
            "here".into(),
            rc::Rc::<FakeDialer>::clone(&dialer),
            rc::Rc::clone(&cluster.executor),
        );
        group.set_replication(1, time::Duration::ZERO);
        group.update(
            cluster.world.borrow().list(),
            Some(boot::now()),
            boot::now(),
        );
        Self {
            cluster,
            dialer,
            group,
        }
    }

    async fn led(&self) {
        let led = || self.group.leader().is_some();
        cluster::until("a primary is found", led).await;
    }

    async fn read(&self) -> Option<source::Source> {
        self.group.source(&need(), &[]).await
    }
}

fn need() -> source::Requirements {
    cluster::need(catalog::Freshness::Bounded(AGE), LONG)
}

fn response(term: u64, position: u64, ago: time::Duration) -> delegate::Response {
    delegate::Response {
        term,
        stamp: stamp::Stamp::new(term, position),
        ago,
    }
}

/// Waits until the floor found by the search for a primary has expired.
async fn wait_until_own_floor_expires() {
    wait::sleep(AGE).await;
}

#[test]
fn a_floor_from_a_delegate_needs_no_status_query() {
    let scene = Scene::new();
    scene.cluster.run(async {
        scene.led().await;
        wait_until_own_floor_expires().await;
        let queries = scene.cluster.world.borrow().status_queries;
        let known = response(1, 9, time::Duration::from_millis(600));
        scene.dialer.response.set(Some(known));
        let source = scene.read().await.expect("a source");
        assert!(source.after.is_none_or(|after| after == known.stamp));
        assert_eq!(scene.cluster.world.borrow().status_queries, queries);
    });
}

/// Guards against a read with a staleness bound of 1.5 s that misses a commit acknowledged two
/// seconds before. A delegate was paused, or its clock stood still, and responds with a floor that
/// is older than requested. The response was used without a check of its age.
#[test]
fn a_floor_older_than_requested_is_discarded() {
    let scene = Scene::new();
    scene.cluster.run(async {
        scene.led().await;
        wait_until_own_floor_expires().await;
        scene.dialer.response.set(Some(response(1, 2, 2 * AGE)));
        let source = scene.read().await.expect("a source");
        assert!(scene.dialer.asked.get() > 0);
        let current = stamp::Stamp::new(1, 10);
        assert!(source.leads.is_some() || source.after == Some(current));
    });
}

/// Guards against reads on a log that ends a term earlier. A promotion completes between a
/// delegate's query and the use of its floor, and the requesting node already knows of the later
/// term. Evidence of the earlier term was used for the present one.
#[test]
fn a_floor_of_an_earlier_term_is_discarded() {
    let scene = Scene::new();
    scene.cluster.run(async {
        scene.led().await;
        scene.cluster.world.borrow_mut().promote("b");
        scene.group.suspect(1, "test");
        let led = || scene.group.leader().is_some_and(|leader| leader.term == 2);
        cluster::until("the later primary is found", led).await;
        wait_until_own_floor_expires().await;
        scene
            .dialer
            .response
            .set(Some(response(1, 10, time::Duration::ZERO)));
        let source = scene.read().await.expect("a source");
        assert!(source.after.is_none_or(|after| after.term == 2));
    });
}

/// Guards against reads at a replaced primary. A delegate responds with a floor of a later term
/// than this node knows. The node kept the primary of the earlier term.
#[test]
fn a_floor_of_a_later_term_discards_the_known_primary() {
    let scene = Scene::new();
    scene.cluster.run(async {
        scene.led().await;
        wait_until_own_floor_expires().await;
        scene.cluster.world.borrow_mut().promote("b");
        scene
            .dialer
            .response
            .set(Some(response(2, 10, time::Duration::ZERO)));
        let source = scene.read().await.expect("a source");
        assert_ne!(source.leads, Some(1));
        let led = || scene.group.leader().is_some_and(|leader| leader.id == "b");
        cluster::until("the later primary is found", led).await;
    });
}

/// Guards against a read that misses commits that only a lost replica had. The primary doesn't
/// answer a delegate, which derives its floor from the replicas alone; another node knows of a lost
/// log that the delegate doesn't know of. The floor was passed on to that node.
#[test]
fn a_floor_derived_from_replicas_alone_is_not_passed_on() {
    let scene = Scene::new();
    scene.cluster.run(async {
        scene.led().await;
        let settled = || scene.group.roster().is_settled();
        cluster::until("the list is settled", settled).await;
        assert!(scene.group.floor_for_peer(AGE).await.is_some());
        scene.cluster.world.borrow_mut().at("a").up = false;
        wait_until_own_floor_expires().await;
        assert_eq!(scene.group.floor_for_peer(AGE).await, None);
        // The delegate's own reads still use the floor.
        assert!(scene.read().await.is_some());
        assert_eq!(scene.group.floor_for_peer(AGE).await, None);
    });
}

#[test]
fn a_reported_floor_states_its_age() {
    let scene = Scene::new();
    scene.cluster.run(async {
        scene.led().await;
        let asked = boot::now();
        let first = scene.group.floor_for_peer(AGE).await.expect("a floor");
        wait::sleep(AGE / 3).await;
        let second = scene.group.floor_for_peer(AGE).await.expect("a floor");
        assert!(first.moment(asked) <= asked);
        if second.stamp == first.stamp {
            assert!(second.ago >= AGE / 3);
        }
    });
}

/// An address whose port was free when it was chosen.
fn address() -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

fn member(name: &str, address: net::SocketAddr) -> member::Member {
    member::Member {
        name: name.into(),
        domain: "here".into(),
        address,
        protocol: 0,
        capacity: None,
    }
}

/// Guards against reads of a whole failure domain that wait for seconds. The delegate is paused:
/// its system accepts connections, but nothing answers. A node waited for the delegate as long as
/// its caller did, and sent a request again with each read.
#[test]
fn a_delegate_that_does_not_answer_is_not_asked_again_at_once() {
    let silent = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let delegate = member("silent", silent.local_addr().expect("an address"));
    let client = peers::Peers::default();
    let ask = delegate::Request {
        group: cluster::GROUP.into(),
        within: AGE,
    };
    async_io::block_on(async {
        assert!(client.may_ask(&delegate.name));
        let question = question::Question::Floor(ask.clone());
        assert_eq!(client.ask(&delegate, &question).await, None);
        assert!(!client.may_ask(&delegate.name));
    });
    let members = [delegate, member("next", address())];
    let asked = |own: &str| {
        delegate::choose(&members, &ask.group, &own.into(), |name| {
            client.may_ask(name)
        })
    };
    assert_eq!(asked("next"), None);
    assert_eq!(
        asked("silent").map(|delegate| delegate.name),
        asked("silent").map(|_| "next".into())
    );
}

/// Counts the status queries of the nodes of one failure domain for one read each, with or without
/// delegates.
fn status_queries_of_a_domain(delegates: bool) -> usize {
    let cluster = cluster::Cluster::new();
    let nodes: Vec<_> = (0..8)
        .map(|number| cluster.another(&format!("vm-{number}")))
        .collect();
    cluster.run(async {
        let mut members = Vec::new();
        for (number, one) in nodes.iter().enumerate() {
            let address = address();
            let router = rc::Rc::clone(one.node.router());
            let find = move |target: &upstream::Target| router.pool(target);
            let server =
                relay::Server::new(find, rc::Rc::clone(&cluster.executor), rc::Rc::default());
            let node = rc::Rc::clone(&one.node);
            server.set_question_handler(move |question| {
                let node = rc::Rc::clone(&node);
                async move {
                    let question::Question::Floor(ask) = question else {
                        return question::Answer::Nothing;
                    };
                    let response = node.floor_for_peer(ask).await;
                    response.map_or(question::Answer::Nothing, question::Answer::Floor)
                }
                .boxed_local()
            });
            let serve = async move {
                server.serve(address).await.expect("a free port");
            };
            cluster.executor.spawn(serve).detach();
            members.push(member(&format!("vm-{number}"), address));
        }
        if delegates {
            for one in &nodes {
                one.node.router().set_members(members.clone());
            }
        }
        for one in &nodes {
            let group = one.node.group(&cluster::GROUP.into());
            cluster::until("a primary is found", || group.leader().is_some()).await;
        }
        wait_until_own_floor_expires().await;
        let before = cluster.world.borrow().status_queries;
        for one in &nodes {
            let group = one.node.group(&cluster::GROUP.into());
            assert!(group.source(&need(), &[]).await.is_some());
        }
        cluster.world.borrow().status_queries - before
    })
}

/// Eight nodes of one failure domain, each with one read of a group in two seconds. Guards against
/// each node querying the instances by itself.
#[test]
fn one_delegate_queries_for_its_failure_domain() {
    let alone = status_queries_of_a_domain(false);
    let delegated = status_queries_of_a_domain(true);
    assert!(alone >= 2 * 8, "{alone}");
    assert!(delegated <= alone / 3, "{delegated} of {alone}");
}
