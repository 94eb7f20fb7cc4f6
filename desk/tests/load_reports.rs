//! Load reports on their way between nodes, also between nodes of different builds, and how long
//! they count.

mod cluster;
mod setup;

use std::cell;
use std::net;
use std::rc;
use std::time;

use mangotray::stamp;
use mangotray_desk::boot;
use mangotray_desk::catalog;
use mangotray_desk::lending::relay;
use mangotray_desk::lending::remote;
use mangotray_desk::lending::router;
use mangotray_desk::load::options;
use mangotray_desk::load::report;
use mangotray_desk::load::subscription;
use mangotray_desk::load::table;
use mangotray_desk::load::throttle;
use mangotray_desk::member;
use mangotray_desk::message;
use mangotray_desk::organisation;
use mangotray_desk::reply;
use mangotray_desk::upstream;
use mangotray_desk::upstream::Dialer;
use mangotray_desk::urgency;
use mangotray_desk::wait;
use setup::lending::Work;
use setup::lending::address;
use setup::lending::listen;
use setup::lending::member;
use setup::lending::target;
use setup::millis;

/// Deadline of statements, too long to be reached in a test.
const LONG_DEADLINE: time::Duration = time::Duration::from_mins(10);

const REPORT: report::Report = report::Report {
    waits_ms: [1, 2, 300],
    exchange_ms: 18,
    limit: 5,
};

/// A router of a group with so few connections that nodes must borrow them from each other.
fn router(cluster: &cluster::Cluster, name: &str, load_reports: bool) -> rc::Rc<router::Router> {
    let dialer = rc::Rc::new(cluster::Dialer(rc::Rc::clone(&cluster.world)));
    let router = setup::lending::router(name, dialer, &cluster.executor);
    router.set_options(options::Options {
        load_reports,
        ..options::Options::default()
    });
    router
}

/// Starts a lending node at the address of a member.
async fn lend(cluster: &cluster::Cluster, member: &member::Member, load_reports: bool) {
    let lender = router(cluster, &member.name, load_reports);
    let pool = move |target: &upstream::Target| lender.pool(target);
    setup::lending::lend(&cluster.executor, member.address, pool, &rc::Rc::default()).await;
}

/// Serves one connection as a lending node of the build before load reports does: it sends
/// heartbeats only for the trailing byte 1, ignores others, and appends nothing. Records the byte
/// of the last request.
fn lend_as_before(
    cluster: &cluster::Cluster,
    address: net::SocketAddr,
) -> rc::Rc<cell::Cell<Option<u8>>> {
    let seen = rc::Rc::new(cell::Cell::new(None));
    let trailer = rc::Rc::clone(&seen);
    let listener = listen(address);
    let serve = async move {
        let (mut stream, _) = listener.accept().await.expect("a node");
        let target: Result<upstream::Target, _> = message::receive(&mut stream).await;
        target.expect("a target");
        let opened: relay::Opened = Ok(Some(stamp::Stamp::default()));
        message::send(&mut stream, &opened).await.expect("a node");
        while let Ok((_, byte)) = message::receive_with_trailer::<Work>(&mut stream).await {
            trailer.set(byte);
            let answer: relay::Answer = Ok(replies());
            message::send(&mut stream, &answer).await.expect("a node");
        }
    };
    cluster.executor.spawn(serve).detach();
    seen
}

fn replies() -> Vec<reply::Reply> {
    vec![reply::Reply::done(reply::State::Idle)]
}

async fn run(link: &mut dyn upstream::Connection) -> relay::Answer {
    let urgency = urgency::Urgency::immediate(boot::now() + LONG_DEADLINE);
    link.run(&cluster::read("one"), urgency, &organisation::OWN)
        .await
}

async fn dial(router: &router::Router, target: &upstream::Target) -> Box<dyn upstream::Connection> {
    let (link, _) = router.dial(target).await.expect("a connection");
    link
}

/// Guards against reports that do not arrive, or are believed after the connection that they came
/// over was reset, as the lending node may have restarted.
#[test]
fn a_report_counts_until_its_connection_is_reset() {
    let cluster = cluster::Cluster::new();
    let (own, lender) = (member("own", "far", 1), member("lender", "here", 1));
    let address = lender.address;
    let router = router(&cluster, "own", true);
    let target = target(&cluster);
    cluster.run(async {
        let listener = listen(address);
        let serve = async move {
            let (mut stream, _) = listener.accept().await.expect("a node");
            let target: upstream::Target = message::receive(&mut stream).await.expect("a target");
            let opened: relay::Opened = Ok(None);
            message::send(&mut stream, &opened).await.expect("a node");
            let work = message::receive_with_trailer::<Work>(&mut stream).await;
            let (_, trailer) = work.expect("a request");
            assert_eq!(trailer, Some(relay::REPORT_REQUEST));
            let answer: relay::Answer = Ok(replies());
            let reported = (answer, REPORT);
            message::send(&mut stream, &reported).await.expect("a node");
            (stream, target)
        };
        let serve = cluster.executor.spawn(serve);
        router.set_members(vec![own, lender]);
        let mut link = dial(&router, &target).await;
        assert_eq!(router.forecast(&target), None);
        run(&mut *link).await.expect("an answer");
        let forecast = router.forecast(&target).expect("a report");
        assert_eq!((forecast.report, forecast.added), (REPORT, 0));
        assert!(link.alive());
        let (stream, _) = serve.await;
        drop(stream);
        while link.alive() {
            wait::sleep(millis(5)).await;
        }
        assert_eq!(router.forecast(&target), None);
    });
}

/// Guards against reports that a real lending node never sends.
#[test]
fn a_lending_node_reports_where_the_switch_is_on() {
    for (lends, asks) in [(true, true), (true, false), (false, true), (false, false)] {
        let cluster = cluster::Cluster::new();
        let (own, lender) = (member("own", "far", 1), member("lender", "here", 1));
        let router = router(&cluster, "own", asks);
        let target = target(&cluster);
        cluster.run(async {
            lend(&cluster, &lender, lends).await;
            router.set_members(vec![own, lender]);
            let mut link = dial(&router, &target).await;
            run(&mut *link).await.expect("an answer");
            let known = router.forecast(&target).is_some();
            assert_eq!(known, lends && asks, "lends {lends}, asks {asks}");
        });
    }
}

/// Guards against a lending node that knows nothing of the instances that it lends to itself, and
/// against reports where each node has its own connections.
#[test]
fn a_node_that_lends_to_itself_reads_its_own_pool() {
    let cluster = cluster::Cluster::new();
    let router = router(&cluster, "own", true);
    let target = target(&cluster);
    cluster.run(async {
        let others = ["other", "another"].map(|name| member(name, "far", 1));
        let own = member("own", "here", 1);
        router.set_members(others.into_iter().chain([own.clone()]).collect());
        run(&mut *dial(&router, &target).await)
            .await
            .expect("an answer");
        let forecast = router.forecast(&target).expect("its own report");
        assert_eq!(forecast.age, time::Duration::ZERO);
        assert_eq!(forecast.report, router.pool(&target).load_report());
        router.set_members(vec![own]);
        assert_eq!(router.forecast(&target), None);
    });
}

/// Guards against a node that chooses lending nodes by the members of before a change.
#[test]
fn a_change_of_members_is_seen_at_once() {
    let cluster = cluster::Cluster::new();
    let router = router(&cluster, "own", true);
    let target = target(&cluster);
    router.pool(&target);
    let members = |own: &str, other: &str| {
        let third = member("third", "far", 1);
        vec![member("own", own, 1), member("other", other, 1), third]
    };
    for _ in 0..3 {
        router.set_members(members("here", "far"));
        let forecast = router.forecast(&target);
        assert!(forecast.is_some(), "it lends to itself");
        router.set_members(members("far", "here"));
        assert_eq!(router.forecast(&target), None, "the other node lends");
    }
}

/// Guards against a lending node of the build before that stops its heartbeats, as it does not know
/// the request for reports and was sent it all the same; and against a failed exchange with it.
#[test]
fn an_older_lending_node_is_asked_as_before() {
    for (protocol, byte) in [(0, relay::HEARTBEAT_REQUEST), (1, relay::REPORT_REQUEST)] {
        let cluster = cluster::Cluster::new();
        let lender = member("lender", "here", protocol);
        let router = router(&cluster, "own", true);
        let target = target(&cluster);
        cluster.run(async {
            let seen = lend_as_before(&cluster, lender.address);
            router.set_members(vec![member("own", "far", 1), lender]);
            let mut link = dial(&router, &target).await;
            run(&mut *link).await.expect("an answer");
            assert_eq!(seen.get(), Some(byte));
            assert_eq!(router.forecast(&target), None);
        });
    }
}

/// Guards against a change of the bytes that a requesting node of the build before receives: its
/// request ends in another byte, and its answer must be exactly the value.
#[test]
fn an_older_requesting_node_gets_no_report() {
    let cluster = cluster::Cluster::new();
    let lender = member("lender", "here", 1);
    cluster.run(async {
        lend(&cluster, &lender, true).await;
        let reported = async |byte: u8| {
            let stream = async_net::TcpStream::connect(lender.address).await;
            let mut stream = stream.expect("a node");
            let sent = message::send(&mut stream, &target(&cluster)).await;
            sent.expect("a node");
            let opened: relay::Opened = message::receive(&mut stream).await.expect("an answer");
            opened.expect("a connection");
            let urgency = urgency::Urgency::immediate(LONG_DEADLINE);
            let work: Work = (urgency, organisation::OWN, cluster::read("one"));
            message::send(&mut stream, &(work, byte))
                .await
                .expect("a node");
            let received =
                message::receive_with_appendix::<relay::Answer, report::Report>(&mut stream, || ());
            let (answer, report) = received.await.expect("an answer");
            answer.expect("a reply");
            report
        };
        assert_eq!(reported(relay::HEARTBEAT_REQUEST).await, None);
        assert!(reported(relay::REPORT_REQUEST).await.is_some());
    });
}

/// Guards against detours and nodes without the switch that send other bytes than before.
#[test]
fn without_a_subscription_the_request_is_as_before() {
    let cluster = cluster::Cluster::new();
    let subscription = subscription::Subscription {
        table: rc::Rc::default(),
        lender: "lender".into(),
        instance: "a".into(),
        born: 1,
    };
    cluster.run(async {
        for (subscription, byte) in [(None, 1), (Some(subscription), 2)] {
            let address = address();
            let seen = lend_as_before(&cluster, address);
            let dialled = remote::dial(address, &target(&cluster), None, subscription).await;
            let (mut link, _) = dialled.expect("a node").expect("a connection");
            run(&mut *link).await.expect("an answer");
            assert_eq!(seen.get(), Some(byte));
        }
    });
}

async fn relay_with(mut stream: async_net::TcpStream, report: report::Report) {
    let target: Result<upstream::Target, _> = message::receive(&mut stream).await;
    target.expect("a target");
    let opened: relay::Opened = Ok(None);
    message::send(&mut stream, &opened).await.expect("a node");
    while message::receive_with_trailer::<Work>(&mut stream)
        .await
        .is_ok()
    {
        let answer: relay::Answer = Ok(replies());
        let reported = (answer, report);
        message::send(&mut stream, &reported).await.expect("a node");
    }
}

/// Serves connections as a lending node with this report on every instance; counts them.
fn lend_with(
    cluster: &cluster::Cluster,
    address: net::SocketAddr,
    report: report::Report,
) -> rc::Rc<cell::Cell<usize>> {
    let listener = listen(address);
    let count = rc::Rc::new(cell::Cell::new(0));
    let (opened, executor) = (rc::Rc::clone(&count), rc::Rc::clone(&cluster.executor));
    let serve = async move {
        while let Ok((stream, _)) = listener.accept().await {
            opened.set(opened.get() + 1);
            executor.spawn(relay_with(stream, report)).detach();
        }
    };
    cluster.executor.spawn(serve).detach();
    count
}

/// A router of a group whose instances two nodes lend, one busy and one idle, with the numbers of
/// connections that they opened, and the connections that the router opened to each first.
async fn two_lenders(
    cluster: &cluster::Cluster,
    target: &upstream::Target,
) -> (rc::Rc<router::Router>, [rc::Rc<cell::Cell<usize>>; 2]) {
    let router = router(cluster, "own", true);
    // Enough for two lending nodes, and too few for each of fourteen to have its own.
    router.apply(&catalog::Catalog {
        version: 2,
        services: setup::lending::services(34),
        ..catalog::Catalog::default()
    });
    let lenders = [member("busy", "here", 1), member("idle", "here", 1)];
    let waits = [[500; 3], [0; 3]];
    let counts = [0, 1].map(|index: usize| {
        let report = report::Report {
            waits_ms: waits[index],
            ..REPORT
        };
        lend_with(cluster, lenders[index].address, report)
    });
    let others = (0..12).map(|number| member(&format!("other-{number}"), "far", 1));
    let members = others.chain([member("own", "far", 1)]).chain(lenders);
    router.set_members(members.collect());
    while counts.iter().any(|count| count.get() == 0) {
        run(&mut *dial(&router, target).await)
            .await
            .expect("an answer");
    }
    (router, counts)
}

/// Guards against new connections that go to a busy lending node as often as to an idle one, and
/// against a herd at the idle one.
#[test]
fn two_lending_nodes_are_compared_by_their_wait() {
    const DIALS: usize = 60;
    fastrand::seed(1);
    let cluster = cluster::Cluster::new();
    let target = target(&cluster);
    cluster.run(async {
        let (router, [busy, idle]) = two_lenders(&cluster, &target).await;
        let before = [busy.get(), idle.get()];
        for _ in 0..DIALS {
            run(&mut *dial(&router, &target).await)
                .await
                .expect("an answer");
        }
        let (busy, idle) = (busy.get() - before[0], idle.get() - before[1]);
        assert_eq!(busy + idle, DIALS);
        assert!(idle > busy + DIALS / 10, "{idle} and {busy}");
        assert!(busy > 0);
    });
}

/// Guards against an organisation whose new connections go to the lending node of its shard though
/// that is known to be late and the other one is not.
#[test]
fn an_organisation_passes_over_a_late_lending_node() {
    const ORGANISATIONS: usize = 8;
    let cluster = cluster::Cluster::new();
    let own = target(&cluster);
    cluster.run(async {
        let (router, [busy, idle]) = two_lenders(&cluster, &own).await;
        let (mut number, mut moved) = (0, 0);
        while number < ORGANISATIONS {
            let asked = boot::now();
            let before = [busy.get(), idle.get()];
            while busy.get() == before[0] || idle.get() == before[1] {
                run(&mut *dial(&router, &own).await)
                    .await
                    .expect("an answer");
            }
            let target = upstream::Target {
                organisation: format!("organisation-{number}").into(),
                ..own.clone()
            };
            let before = busy.get();
            dial(&router, &target).await;
            // Otherwise the reports may not be fresh any more.
            if boot::now() < asked + millis(450) {
                moved += busy.get() - before;
                number += 1;
            }
        }
        assert_eq!(moved, 0);
    });
}

/// Guards against choices by a report that is older than 500 ms, counted from the request and not
/// from the answer.
#[test]
fn a_report_is_dated_by_its_request() {
    let table = table::Table::default();
    let (instance, lender) = ("i".into(), "lender".into());
    let ticket = table.note_sent(&instance, 1, &lender, millis(100));
    // The answer arrives 450 ms later.
    table.record(&instance, &lender, ticket, REPORT);
    let found = |at| table.find(&instance, 1, &lender, millis(at));
    assert_eq!(found(599).map(|found| found.age), Some(millis(499)));
    assert_eq!(found(600), None);
    // A later request was answered first.
    let early = table.note_sent(&instance, 1, &lender, millis(700));
    let late = table.note_sent(&instance, 1, &lender, millis(710));
    let newer = report::Report { limit: 9, ..REPORT };
    table.record(&instance, &lender, late, newer);
    table.record(&instance, &lender, early, REPORT);
    assert_eq!(found(720).map(|found| found.report), Some(newer));
}

/// Guards against choices by what a lending node told before it restarted: also an answer that
/// arrives after its failure was noticed is from before.
#[test]
fn a_report_from_before_a_restart_is_ignored() {
    let table = table::Table::default();
    let (instance, lender) = ("i".into(), "lender".into());
    let known = table.note_sent(&instance, 1, &lender, millis(100));
    table.record(&instance, &lender, known, REPORT);
    let pending = table.note_sent(&instance, 1, &lender, millis(110));
    table.forget_lender(&lender, millis(120));
    table.record(&instance, &lender, pending, REPORT);
    assert_eq!(table.find(&instance, 1, &lender, millis(130)), None);
    let since = table.note_sent(&instance, 1, &lender, millis(140));
    table.record(&instance, &lender, since, REPORT);
    assert!(table.find(&instance, 1, &lender, millis(150)).is_some());
    // A report on another process of the instance.
    assert_eq!(table.find(&instance, 2, &lender, millis(150)), None);
    let other = table.note_sent(&instance, 2, &lender, millis(160));
    table.record(&instance, &lender, since, REPORT);
    assert_eq!(table.find(&instance, 2, &lender, millis(170)), None);
    table.record(&instance, &lender, other, REPORT);
    assert!(table.find(&instance, 2, &lender, millis(170)).is_some());
    table.forget(&instance, &lender, millis(180));
    assert_eq!(table.find(&instance, 2, &lender, millis(181)), None);
}

/// Guards against the speed of an instance that is forgotten with the report on its queue, or is
/// believed for so long that an instance that was slow once is never tried again.
#[test]
fn a_reported_speed_counts_for_three_seconds() {
    let table = table::Table::default();
    let (instance, lender) = ("i".into(), "lender".into());
    let ticket = table.note_sent(&instance, 1, &lender, millis(100));
    // The answer arrives 450 ms later.
    table.record(&instance, &lender, ticket, REPORT);
    let speed = |at| table.exchange(&instance, 1, &lender, millis(at));
    table.prune(millis(700));
    assert_eq!(table.find(&instance, 1, &lender, millis(700)), None);
    assert_eq!(speed(700), Some(millis(18)));
    table.prune(millis(3099));
    assert_eq!(speed(3099), Some(millis(18)));
    assert_eq!(speed(3100), None);
    // Another process of the instance, and another lending node.
    assert_eq!(table.exchange(&instance, 2, &lender, millis(700)), None);
    let other = "other".into();
    assert_eq!(table.exchange(&instance, 1, &other, millis(700)), None);
    table.forget(&instance, &lender, millis(800));
    assert_eq!(speed(801), None);
}

/// Guards against the speed in an answer from before the lending node failed, which arrives after
/// reports on queues from then would have expired.
#[test]
fn a_late_answer_from_before_a_restart_tells_no_speed() {
    for pruned in [false, true] {
        let table = table::Table::default();
        let (instance, lender) = ("i".into(), "lender".into());
        let pending = table.note_sent(&instance, 1, &lender, millis(100));
        table.forget_lender(&lender, millis(120));
        if pruned {
            table.prune(millis(1000));
        }
        table.record(&instance, &lender, pending, REPORT);
        let speed = table.exchange(&instance, 1, &lender, millis(1001));
        assert_eq!(speed, None, "pruned {pruned}");
    }
}

/// Guards against a report with each answer, which costs bytes between failure domains.
#[test]
fn reports_are_sent_seldom_unless_they_change() {
    let mut throttle = throttle::Throttle::default();
    let alike = report::Report {
        waits_ms: [1, 3, 340],
        ..REPORT
    };
    let sent = (0..1000).filter(|at| {
        let report = if at % 2 == 0 { REPORT } else { alike };
        throttle.due(report, millis(*at)).is_some()
    });
    assert_eq!(sent.count(), 20);
    let worse = report::Report {
        waits_ms: [1, 2, 420],
        ..REPORT
    };
    assert_eq!(throttle.due(worse, millis(1000)), Some(worse));
    assert_eq!(throttle.due(worse, millis(1001)), None);
}
