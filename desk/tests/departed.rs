//! Promotions in a group one of whose instances has left as planned and answers nothing any more,
//! as its machine is gone.

mod cluster;
mod harness;

use std::rc;
use std::time;

use mangotray::stamp;
use mangotray::store::Store as _;
use mangotray_desk::boot;
use mangotray_desk::member;
use mangotray_desk::membership;
use mangotray_desk::question;
use mangotray_desk::reply;
use mangotray_desk::seal;
use mangotray_desk::wait;

/// Longer than a node probes an instance that has left at short intervals.
const LONG_AFTER: time::Duration = time::Duration::from_secs(10);

fn member(name: &str) -> member::Member {
    member::Member {
        name: name.into(),
        domain: "here".into(),
        address: ([127, 0, 0, 1], 1).into(),
        protocol: member::PROTOCOL,
        capacity: None,
    }
}

/// Starts a promoter whose node is the only one of the deployment.
fn start() -> harness::Harness {
    start_from(harness::start())
}

fn start_from(harness: harness::Harness) -> harness::Harness {
    harness.cluster.run_housekeeping();
    let router = harness.cluster.node.router();
    router.set_members(vec![member("vm")]);
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.settled().await;
    });
    harness
}

/// Lets the replica `c` announce its end and leave with its machine.
async fn leave(harness: &harness::Harness) {
    harness.cluster.world.borrow_mut().at("c").draining = true;
    harness.cluster.relist();
    wait::sleep(harness::SHORT).await;
    take_machine(harness);
}

fn take_machine(harness: &harness::Harness) {
    {
        let mut world = harness.cluster.world.borrow_mut();
        world.at("c").dark = true;
        world.at("c").listed = false;
    }
    harness.cluster.relist();
}

/// Lets this node prove that the primary leads, and so learn its position.
async fn prove(harness: &harness::Harness) {
    let group = harness.cluster.node.group(&cluster::GROUP.into());
    let proven = group.prove(boot::now() + cluster::LIMIT).await;
    assert!(proven.is_some(), "the primary is proven to lead");
}

/// Returns the record of the group's instances, as a watch of the store tells it.
async fn recorded(harness: &harness::Harness) -> Vec<membership::Record> {
    let key = "mangotray/membership/bookings";
    let is_recorded = || harness.store.at().others.contains_key(key);
    cluster::until("the instances are recorded", is_recorded).await;
    let entries = harness.store.list(membership::PREFIX).await;
    let entries = entries.expect("the store is up");
    entries
        .iter()
        .filter_map(membership::Record::read)
        .collect()
}

/// Guards against a group that stays without a primary for good after a crash, because a replica that
/// had left as planned is silent.
#[test]
fn an_instance_that_left_as_planned_holds_no_promotion_back() {
    let harness = start();
    harness.cluster.run(async {
        leave(&harness).await;
        wait::sleep(LONG_AFTER).await;
        prove(&harness).await;
        harness.cluster.world.borrow_mut().at("a").up = false;
        harness.wait_for_primary(2).await;
    });
    assert_eq!(harness.leader(), ["b"]);
}

/// Guards against the same when the primary loses its power, so that it does not refuse connections
/// either.
#[test]
fn an_instance_that_left_holds_no_promotion_of_a_silent_primary_back() {
    let harness = start();
    harness.cluster.run(async {
        leave(&harness).await;
        prove(&harness).await;
        harness.cluster.world.borrow_mut().at("a").dark = true;
        harness.wait_for_primary(2).await;
    });
    assert_eq!(harness.client.orders.borrow()[0].candidate, "b");
}

/// Guards against a group that stays without a primary because all nodes have restarted since a replica
/// left as planned, so that they know it from its record alone.
#[test]
fn an_instance_that_left_before_all_nodes_restarted_holds_no_promotion_back() {
    let first = start();
    let recorded = first.cluster.run(async {
        first
            .cluster
            .node
            .set_memberships(recorded(&first).await, true);
        leave(&first).await;
        wait::sleep(LONG_AFTER).await;
        recorded(&first).await
    });
    first.store.at().entry = None;
    let cluster = cluster::Cluster::of(rc::Rc::clone(&first.cluster.world));
    cluster.node.set_memberships(recorded, true);
    let second = start_from(harness::start_with(cluster, first.store.clone()));
    second.cluster.run(async {
        prove(&second).await;
        second.cluster.world.borrow_mut().at("a").up = false;
        second.wait_for_primary(2).await;
    });
    assert_eq!(second.leader(), ["b"]);
}

/// Guards against the loss of commits that only an instance which had left had confirmed, cut off from
/// everybody but the primary.
#[test]
fn a_candidate_that_lacks_what_callers_were_told_waits_for_the_instance_that_left() {
    let harness = start();
    harness.cluster.run(async {
        leave(&harness).await;
        prove(&harness).await;
        let group = harness.cluster.node.group(&cluster::GROUP.into());
        group.note_acknowledged(Some(stamp::Stamp::new(1, 12)));
        harness.cluster.world.borrow_mut().at("c").position = 12;
        harness.cluster.world.borrow_mut().at("a").up = false;
        cluster::until("the promotion is held back", || group.holdback().is_some()).await;
        assert!(harness.client.orders.borrow().is_empty());
        harness.cluster.world.borrow_mut().at("c").dark = false;
        harness.wait_for_primary(2).await;
    });
    assert_eq!(harness.leader(), ["c"]);
}

/// Guards against the same loss where a node that may have passed commits on does not answer.
#[test]
fn a_node_that_does_not_answer_holds_the_promotion_back() {
    let harness = start();
    harness.cluster.run(async {
        leave(&harness).await;
        prove(&harness).await;
        let router = harness.cluster.node.router();
        router.set_members(vec![member("vm"), member("silent")]);
        let group = harness.cluster.node.group(&cluster::GROUP.into());
        harness.cluster.world.borrow_mut().at("a").up = false;
        cluster::until("the promotion is held back", || group.holdback().is_some()).await;
        wait::sleep(harness::LONG).await;
        assert!(harness.client.orders.borrow().is_empty());
        router.set_members(vec![member("vm")]);
        harness.wait_for_primary(2).await;
    });
}

/// Guards against the same loss where the instance had not announced its end, so that it may come
/// back with its log.
#[test]
fn an_instance_that_did_not_announce_its_end_holds_a_promotion_back() {
    let harness = start();
    harness.cluster.run(async {
        take_machine(&harness);
        prove(&harness).await;
        let group = harness.cluster.node.group(&cluster::GROUP.into());
        harness.cluster.world.borrow_mut().at("a").up = false;
        cluster::until("the promotion is held back", || group.holdback().is_some()).await;
        wait::sleep(harness::LONG).await;
    });
    assert!(harness.client.orders.borrow().is_empty());
}

/// Guards against a group that stays without a primary because the holder of the lease alone has seen
/// no evidence that a replica has ended.
#[test]
fn an_instance_that_another_node_knows_to_have_ended_holds_no_promotion_back() {
    let harness = start();
    harness.cluster.run(async {
        take_machine(&harness);
        prove(&harness).await;
        let answer = |question| match question {
            question::Question::Seal(_) => question::Answer::Sealed(seal::Response {
                uptime: time::Duration::from_hours(1),
                ended: vec!["c".into()],
                ..seal::Response::default()
            }),
            _ => question::Answer::Nothing,
        };
        let other = harness.start_other_node(answer).await;
        let router = harness.cluster.node.router();
        router.set_members(vec![member("vm"), other]);
        harness.cluster.world.borrow_mut().at("a").up = false;
        harness.wait_for_primary(2).await;
    });
    assert_eq!(harness.leader(), ["b"]);
}

/// Guards against the loss of a commit that a node passes on after it has told the promoter what it
/// had passed on before.
#[test]
fn a_commit_of_a_sealed_term_is_not_passed_on() {
    let harness = start();
    let world = rc::Rc::clone(&harness.cluster.world);
    harness.cluster.run(async {
        let group = harness.cluster.node.group(&cluster::GROUP.into());
        let mut session = harness.cluster.session("current");
        let reply = session.handle(&cluster::request("WRITE 1 x")).await;
        assert_eq!(reply.code(), None);
        let told = group.seal(1);
        assert_eq!(
            told,
            Some(stamp::Stamp::new(1, world.borrow_mut().at("a").position))
        );
        let reply = session.handle(&cluster::request("WRITE 1 y")).await;
        assert_eq!(reply.code(), Some(&reply::Code::Unsure));
        for text in ["BEGIN", "WRITE 1 z"] {
            assert_eq!(session.handle(&cluster::request(text)).await.code(), None);
        }
        let reply = session.handle(&cluster::request("COMMIT")).await;
        assert_eq!(reply.code(), Some(&reply::Code::Unsure));
        assert_eq!(group.acknowledged(), told);
        wait::sleep(2 * harness::LONG).await;
        let reply = session.handle(&cluster::request("WRITE 1 w")).await;
        assert_eq!(reply.code(), None);
    });
}
