//! Floors that one node of a failure domain keeps for the others.

mod stage;

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
use mangotray_desk::member;
use mangotray_desk::organisation;
use mangotray_desk::peers;
use mangotray_desk::question;
use mangotray_desk::relay;
use mangotray_desk::reply;
use mangotray_desk::source;
use mangotray_desk::upstream;
use mangotray_desk::wait;

const AGE: time::Duration = time::Duration::from_millis(1500);
const LONG: time::Duration = time::Duration::from_secs(5);

/// Reaches the instances on stage, and a keeper that says what the test wants.
struct FakeDialer {
    direct: stage::Dialer,
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
    stage: stage::Stage,
    dialer: rc::Rc<FakeDialer>,
    group: rc::Rc<group::Group>,
}

impl Scene {
    fn new() -> Self {
        let stage = stage::Stage::new();
        let dialer = rc::Rc::new(FakeDialer {
            direct: stage::Dialer(rc::Rc::clone(&stage.world)),
            response: cell::Cell::default(),
            asked: cell::Cell::default(),
        });
        let group = group::Group::new(
            stage::GROUP.into(),
            "here".into(),
            rc::Rc::<FakeDialer>::clone(&dialer),
            rc::Rc::clone(&stage.executor),
        );
        group.update(stage.world.borrow().list(), Some(boot::now()), boot::now());
        Self {
            stage,
            dialer,
            group,
        }
    }

    async fn led(&self) {
        let led = || self.group.leader().is_some();
        stage::until("a primary is found", led).await;
    }

    async fn read(&self) -> Option<source::Source> {
        self.group.source(&need(), &[]).await
    }
}

fn need() -> source::Requirements {
    let now = boot::now();
    source::Requirements {
        arrived: now,
        freshness: catalog::Freshness::Bounded(AGE),
        writes: false,
        own: None,
        organisation: organisation::OWN,
        deadline: now + LONG,
    }
}

fn response(term: u64, position: u64, ago: time::Duration) -> delegate::Response {
    delegate::Response {
        term,
        stamp: stamp::Stamp::new(term, position),
        ago,
    }
}

/// Time after which the floor that comes with the search for a primary is of no use.
async fn outlive_own_floor() {
    wait::sleep(AGE).await;
}

#[test]
fn a_floor_that_a_keeper_tells_needs_no_look() {
    let scene = Scene::new();
    scene.stage.run(async {
        scene.led().await;
        outlive_own_floor().await;
        let looks = scene.stage.world.borrow().looks;
        let known = response(1, 9, time::Duration::from_millis(600));
        scene.dialer.response.set(Some(known));
        let source = scene.read().await.expect("a source");
        assert!(source.after.is_none_or(|after| after == known.stamp));
        assert_eq!(scene.stage.world.borrow().looks, looks);
    });
}

/// Symptom: a read of data at most 1.5 s old lacks a commit that was acknowledged two seconds before.
/// Events: a keeper was paused, or its clock stood still, and tells a floor that is older than what
/// was asked for.
/// Cause: whatever a keeper tells was taken for what was asked.
#[test]
fn a_floor_older_than_was_asked_for_is_of_no_use() {
    let scene = Scene::new();
    scene.stage.run(async {
        scene.led().await;
        outlive_own_floor().await;
        scene.dialer.response.set(Some(response(1, 2, 2 * AGE)));
        let source = scene.read().await.expect("a source");
        assert!(scene.dialer.asked.get() > 0);
        let current = stamp::Stamp::new(1, 10);
        assert!(source.leads.is_some() || source.after == Some(current));
    });
}

/// Symptom: reads run on a log that ends a term earlier.
/// Events: a promotion comes between a keeper's look and the use of its floor; the node that asks knows
/// of the later term already.
/// Cause: evidence of an earlier term was taken for one of the present.
#[test]
fn a_floor_of_an_earlier_term_is_of_no_use() {
    let scene = Scene::new();
    scene.stage.run(async {
        scene.led().await;
        scene.stage.world.borrow_mut().promote("b");
        scene.group.suspect(1, "test");
        let led = || scene.group.leader().is_some_and(|leader| leader.term == 2);
        stage::until("the later primary is found", led).await;
        outlive_own_floor().await;
        scene
            .dialer
            .response
            .set(Some(response(1, 10, time::Duration::ZERO)));
        let source = scene.read().await.expect("a source");
        assert!(source.after.is_none_or(|after| after.term == 2));
    });
}

/// Symptom: reads go to a primary that was replaced.
/// Events: a keeper tells a floor of a later term than this node knows.
/// Cause: the node went on believing in the primary of the earlier term.
#[test]
fn a_floor_of_a_later_term_ends_the_belief_in_a_primary() {
    let scene = Scene::new();
    scene.stage.run(async {
        scene.led().await;
        outlive_own_floor().await;
        scene.stage.world.borrow_mut().promote("b");
        scene
            .dialer
            .response
            .set(Some(response(2, 10, time::Duration::ZERO)));
        let source = scene.read().await.expect("a source");
        assert_ne!(source.leads, Some(1));
        let led = || scene.group.leader().is_some_and(|leader| leader.id == "b");
        stage::until("the later primary is found", led).await;
    });
}

/// Symptom: a read lacks commits that only a lost replica had.
/// Events: the primary does not answer a keeper, which makes its floor of what all others have received;
/// another node knows of a lost log that the keeper has not heard of.
/// Cause: a floor without the primary's word was passed on.
#[test]
fn a_floor_without_the_primarys_word_is_not_told() {
    let scene = Scene::new();
    scene.stage.run(async {
        scene.led().await;
        let settled = || scene.group.roster().is_settled();
        stage::until("the list is settled", settled).await;
        assert!(scene.group.floor_for_peer(AGE).await.is_some());
        scene.stage.world.borrow_mut().at("a").up = false;
        outlive_own_floor().await;
        assert_eq!(scene.group.floor_for_peer(AGE).await, None);
        // Its own reads go on.
        assert!(scene.read().await.is_some());
        assert_eq!(scene.group.floor_for_peer(AGE).await, None);
    });
}

#[test]
fn a_told_floor_is_as_old_as_it_says() {
    let scene = Scene::new();
    scene.stage.run(async {
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

/// A port that was free a moment ago.
fn address() -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

fn member(name: &str, address: net::SocketAddr) -> member::Member {
    member::Member {
        name: name.into(),
        domain: "here".into(),
        address,
    }
}

/// Symptom: reads of a whole failure domain wait for seconds.
/// Events: the node that keeps the floors is paused: its system accepts connections, and nobody answers.
/// Cause: a node waited for its keeper as long as its caller did, and asked it again with each read.
#[test]
fn a_keeper_that_does_not_answer_is_not_asked_again_at_once() {
    let silent = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let keeper = member("silent", silent.local_addr().expect("an address"));
    let client = peers::Peers::default();
    let ask = delegate::Request {
        group: stage::GROUP.into(),
        within: AGE,
    };
    async_io::block_on(async {
        assert!(client.may_ask(&keeper.name));
        let question = question::Question::Floor(ask.clone());
        assert_eq!(client.ask(&keeper, &question).await, None);
        assert!(!client.may_ask(&keeper.name));
    });
    let members = [keeper, member("next", address())];
    let asked = |own: &str| {
        delegate::choose(&members, &ask.group, &own.into(), |name| {
            client.may_ask(name)
        })
    };
    assert_eq!(asked("next"), None);
    assert_eq!(
        asked("silent").map(|keeper| keeper.name),
        asked("silent").map(|_| "next".into())
    );
}

/// Nodes of one failure domain before the same instances, with or without keepers.
fn looks_of_a_domain(keepers: bool) -> usize {
    let stage = stage::Stage::new();
    let nodes: Vec<_> = (0..8)
        .map(|number| stage.another(&format!("vm-{number}")))
        .collect();
    stage.run(async {
        let mut members = Vec::new();
        for (number, one) in nodes.iter().enumerate() {
            let address = address();
            let router = rc::Rc::clone(one.node.router());
            let find = move |target: &upstream::Target| router.pool(target);
            let server = relay::Server::new(find, rc::Rc::clone(&stage.executor));
            let node = rc::Rc::clone(&one.node);
            server.set_question_handler(move |question| {
                let node = rc::Rc::clone(&node);
                async move {
                    let question::Question::Floor(ask) = question else {
                        return question::Answer::Nothing;
                    };
                    let response = node.tell_floor(ask).await;
                    response.map_or(question::Answer::Nothing, question::Answer::Floor)
                }
                .boxed_local()
            });
            let serve = async move {
                server.serve(address).await.expect("a free port");
            };
            stage.executor.spawn(serve).detach();
            members.push(member(&format!("vm-{number}"), address));
        }
        if keepers {
            for one in &nodes {
                one.node.router().set_members(members.clone());
            }
        }
        for one in &nodes {
            let group = one.node.group(&stage::GROUP.into());
            stage::until("a primary is found", || group.leader().is_some()).await;
        }
        outlive_own_floor().await;
        let before = stage.world.borrow().looks;
        for one in &nodes {
            let group = one.node.group(&stage::GROUP.into());
            assert!(group.source(&need(), &[]).await.is_some());
        }
        stage.world.borrow().looks - before
    })
}

/// The load: eight nodes of one failure domain, each with one read of a group in two seconds. The rule
/// before it let each node look for itself.
#[test]
fn a_failure_domain_looks_once_for_all_its_nodes() {
    let alone = looks_of_a_domain(false);
    let kept = looks_of_a_domain(true);
    assert!(alone >= 2 * 8, "{alone}");
    assert!(kept <= alone / 3, "{kept} of {alone}");
}
