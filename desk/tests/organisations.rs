//! Connections, keys and rate limits of organisations.

mod cluster;

use std::collections;
use std::rc;
use std::time;

use assert_matches::assert_matches;
use mangotray::id;
use mangotray_desk::access;
use mangotray_desk::boot;
use mangotray_desk::catalog;
use mangotray_desk::connection;
use mangotray_desk::guarantees;
use mangotray_desk::key;
use mangotray_desk::lending::relay;
use mangotray_desk::lending::router;
use mangotray_desk::limits::bucket;
use mangotray_desk::limits::buckets;
use mangotray_desk::limits::quota;
use mangotray_desk::limits::tolerance;
use mangotray_desk::node;
use mangotray_desk::organisation;
use mangotray_desk::organisations;
use mangotray_desk::pool;
use mangotray_desk::question;
use mangotray_desk::reply;
use mangotray_desk::session;
use mangotray_desk::upstream;
use mangotray_desk::urgency;
use mangotray_desk::validity;
use mangotray_desk::wait;

const LIMIT: time::Duration = time::Duration::from_secs(5);
const BOUND: time::Duration = time::Duration::from_secs(5);
const TOLERANCE: tolerance::Tolerance = tolerance::Tolerance {
    window: time::Duration::from_secs(5),
    excess: 0.1,
    slack: 20.0,
};

fn millis(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

async fn run_for(pool: &rc::Rc<pool::Pool>, name: &str) {
    let deadline = boot::now() + LIMIT;
    let urgency = urgency::Urgency::immediate(deadline);
    let values = connection::Values::new();
    let checkout = pool
        .check_out(urgency, &name.into(), &values, deadline)
        .await;
    let mut checkout = checkout.expect("a connection");
    checkout
        .run(&cluster::read(name), deadline)
        .await
        .expect("an answer");
}

/// Guards against a statement that runs on a connection of another organisation; the fake
/// connection asserts that.
#[test]
fn a_connection_serves_one_organisation_and_makes_room_for_others() {
    let cluster = cluster::Cluster::new();
    let pool = cluster.pool(2, 2);
    cluster.run(async {
        for name in ["dome", "hall", "school", "dome", "hall"] {
            run_for(&pool, name).await;
        }
    });
    // At most two are open, so each change of organisation after the first two closes one.
    let world = cluster.world.borrow();
    let used: collections::BTreeSet<_> = world.ran.iter().map(|ran| ran.connection).collect();
    assert_eq!(used.len(), 5);
}

/// Guards against organisations that get no connection while the pool is full of the node's own
/// idle connections, for example after many status queries at once.
#[test]
fn connections_for_questions_make_room_but_for_one() {
    let cluster = cluster::Cluster::new();
    let pool = cluster.pool(3, 3);
    cluster.run(async {
        let deadline = boot::now() + LIMIT;
        let urgency = urgency::Urgency::immediate(deadline);
        let values = connection::Values::new();
        let own = organisation::OWN;
        let check_out = || pool.check_out(urgency, &own, &values, deadline);
        let held = [check_out().await, check_out().await, check_out().await];
        drop(held);
        let ran = wait::within(millis(400), async {
            run_for(&pool, "dome").await;
            run_for(&pool, "hall").await;
        });
        assert!(ran.await.is_some());
    });
}

/// Guards against an organisation that waits forever while idle connections of others fill the
/// pool.
#[test]
fn waiting_for_a_connection_ends_when_another_organisation_gives_one_back() {
    let cluster = cluster::Cluster::new();
    let pool = cluster.pool(1, 1);
    cluster.run(async {
        let deadline = boot::now() + LIMIT;
        let urgency = urgency::Urgency::immediate(deadline);
        let values = connection::Values::new();
        let held = pool
            .check_out(urgency, &"dome".into(), &values, deadline)
            .await;
        let waiting = {
            let pool = rc::Rc::clone(&pool);
            cluster
                .executor
                .spawn(async move { run_for(&pool, "hall").await })
        };
        wait::sleep(millis(30)).await;
        drop(held);
        wait::within(LIMIT, waiting).await.expect("a connection");
    });
}

/// Guards against a relaying node that applies session values of one organisation to a statement of
/// another.
#[test]
fn session_values_of_one_organisation_never_reach_another() {
    let cluster = cluster::Cluster::new();
    let pool = cluster.pool(3, 3);
    cluster.run(async {
        let mut lender = relay::Session::new(pool, "dome".into());
        let urgency = urgency::Urgency::immediate(boot::now() + LIMIT);
        let set = [upstream::Command::Set {
            name: "tint".into(),
            value: "red".into(),
        }];
        let noted = lender.run(&set, urgency, &"dome".into()).await;
        noted.expect("noted");
        let ran = lender
            .run(&cluster::read("other"), urgency, &"hall".into())
            .await;
        ran.expect("an answer");
    });
    let world = cluster.world.borrow();
    let ran = world.ran.iter().find(|ran| ran.id == "other");
    assert!(ran.expect("it ran").values.is_empty());
}

/// Guards against a statement of one organisation that runs in another's open transaction.
#[test]
fn an_open_transaction_serves_only_its_organisation() {
    let cluster = cluster::Cluster::new();
    let pool = cluster.pool(3, 3);
    cluster.run(async {
        let mut lender = relay::Session::new(pool, "dome".into());
        let urgency = urgency::Urgency::immediate(boot::now() + LIMIT);
        let begin = [upstream::Command::Begin {
            id: "t".into(),
            read_only: false,
            after: None,
        }];
        let opened = lender.run(&begin, urgency, &"dome".into()).await;
        opened.expect("opened");
        let other = lender
            .run(&cluster::read("other"), urgency, &"hall".into())
            .await;
        assert!(!other.expect_err("refused").sent);
    });
}

fn organisation(name: &str, keys: &[&str]) -> organisation::Organisation {
    organisation::Organisation {
        name: name.into(),
        keys: keys.iter().map(|key| key::Key::new(key)).collect(),
        quota: None,
    }
}

fn catalog(version: u64, all: Vec<organisation::Organisation>) -> catalog::Catalog {
    catalog::Catalog {
        version,
        organisations: Some(organisations::Organisations::new(all).expect("no contradiction")),
        ..cluster::catalog()
    }
}

/// Guards against a configuration with a key of two organisations, an organisation that is defined
/// twice, an invalid name or an invalid quota.
#[test]
fn a_configuration_with_contradictory_organisations_is_refused() {
    let faults = [
        vec![organisation("dome", &["k"]), organisation("hall", &["k"])],
        vec![organisation("dome", &["k"]), organisation("dome", &["l"])],
        vec![organisation("two words", &["k"])],
        vec![organisation(organisation::OWN.as_str(), &["k"])],
        vec![organisation::Organisation {
            quota: Some(quota::Quota {
                rate: -1.0,
                burst: 1.0,
            }),
            ..organisation("dome", &["k"])
        }],
    ];
    for all in faults {
        let found = organisations::Organisations::new(all.clone());
        assert!(found.is_err(), "{all:?}");
    }
}

/// Guards against a key in the `Debug` output or error text of a type that contains it.
#[test]
fn a_key_is_never_printed() {
    let shown = format!("{:?}", catalog(1, vec![organisation("dome", &["s3cret"])]));
    assert!(!shown.contains("s3cret"), "{shown}");
    let fault = organisations::Organisations::new(vec![
        organisation("dome", &["s3cret"]),
        organisation("hall", &["s3cret"]),
    ]);
    assert!(!format!("{fault:?} {}", fault.clone().expect_err("a fault")).contains("s3cret"));
}

/// Guards against callers that are served without a valid key, and public routes that require one.
#[test]
fn a_caller_is_served_for_the_organisation_that_holds_its_key() {
    let catalog = catalog(2, vec![organisation("dome", &["k1", "k2"])]);
    let identify = |public, key, key_validity| {
        access::identify(&catalog, public, &key::Key::new(key), key_validity)
            .map(|caller| caller.organisation)
    };
    let good = validity::State::Valid;
    assert_eq!(identify(false, "k2", good), Ok("dome".into()));
    assert_eq!(
        identify(false, "other", good),
        Err(access::Refusal::UnknownKey)
    );
    assert_eq!(identify(false, "", good), Err(access::Refusal::UnknownKey));
    assert_eq!(identify(true, "other", good), Ok(organisation::OWN));
    let expired = validity::State::Expired;
    assert_eq!(
        identify(false, "k2", expired),
        Err(access::Refusal::ConfigurationUnproven)
    );
    assert_eq!(identify(true, "k2", expired), Ok(organisation::OWN));
}

fn node_with_bound(cluster: &cluster::Cluster) -> rc::Rc<node::Node> {
    let dialer = rc::Rc::new(cluster::Dialer(rc::Rc::clone(&cluster.world)));
    let executor = rc::Rc::clone(&cluster.executor);
    let router = router::Router::new("strict".into(), dialer, rc::Rc::clone(&executor));
    let guarantees = guarantees::Guarantees {
        revocation: Some(BOUND),
        tolerance: TOLERANCE,
        ..guarantees::Guarantees::default()
    };
    let node = node::Node::new("strict".into(), "here".into(), router, executor, guarantees);
    node.apply(catalog(1, vec![organisation("dome", &["k"])]));
    node.update(
        cluster.world.borrow().list(),
        Some(boot::now()),
        boot::now(),
    );
    node
}

/// Guards against a key that is accepted after its revocation, also in an open transaction: nothing
/// of the transaction may be committed.
#[test]
fn a_revoked_key_ends_its_transaction() {
    let cluster = cluster::Cluster::new();
    let node = node_with_bound(&cluster);
    cluster.run(async {
        node.confirm(boot::now());
        let key = key::Key::new("k");
        let mut session = session::Session::new(rc::Rc::clone(&node), "current".into(), key);
        for text in ["BEGIN", "WRITE x 1"] {
            let reply = session.handle(&cluster::request(text)).await;
            assert!(reply.is_done(), "{reply:?}");
        }
        node.apply(catalog(2, vec![organisation("dome", &["new"])]));
        let reply = session.handle(&cluster::request("COMMIT")).await;
        assert_eq!(reply.code(), Some(&reply::Code::Aborted));
        assert!(session.is_revoked());
        let reply = session.handle(&cluster::request("READ x")).await;
        assert_eq!(reply.code(), Some(&reply::Code::Unauthorised));
    });
    let texts = cluster.world.borrow().texts("a");
    assert!(texts.iter().all(|text| text != "COMMIT"), "{texts:?}");
}

/// Guards against a node that accepts keys by a configuration whose last confirmation is too old.
#[test]
fn a_node_without_evidence_refuses_keys_as_not_run() {
    let cluster = cluster::Cluster::new();
    let node = node_with_bound(&cluster);
    cluster.run(async {
        let key = key::Key::new("k");
        let mut session = session::Session::new(rc::Rc::clone(&node), "current".into(), key);
        let reply = session.handle(&cluster::request("WRITE x 1")).await;
        assert_eq!(reply.code(), Some(&reply::Code::Busy));
        node.confirm(boot::now().saturating_sub(BOUND));
        let reply = session.handle(&cluster::request("WRITE x 1")).await;
        assert_eq!(reply.code(), Some(&reply::Code::Busy));
        assert!(!session.is_revoked());
        node.confirm(boot::now());
        let reply = session.handle(&cluster::request("WRITE x 1")).await;
        assert!(reply.is_done(), "{reply:?}");
    });
    assert_eq!(cluster.world.borrow().texts("a").len(), 1);
}

/// Guards against keys that are accepted by an old configuration because the newest one could not
/// be parsed.
#[test]
fn an_unreadable_configuration_confirms_no_key() {
    let cluster = cluster::Cluster::new();
    let node = node_with_bound(&cluster);
    node.note_unreadable();
    node.confirm(boot::now());
    assert_eq!(node.key_validity(), validity::State::Expired);
    node.apply(catalog(3, vec![organisation("dome", &["k"])]));
    node.confirm(boot::now());
    assert_eq!(node.key_validity(), validity::State::Valid);
}

/// Guards against a proof that counts as newer than it is after it was passed on along a chain of
/// nodes, with pauses and late answers.
#[test]
fn a_proof_that_is_passed_on_never_counts_as_newer() {
    let mut random = fastrand::Rng::with_seed(7);
    for _ in 0..2000 {
        // The time of the first node's query to the store, on one clock for all nodes.
        let mut now = millis(10_000);
        let asked = now;
        let mut evidence = asked;
        for _ in 0..random.usize(1..6) {
            now += millis(random.u64(0..3000));
            let sent = now;
            now += millis(random.u64(0..3000));
            let told = question::Newest {
                version: 1,
                ago: now.saturating_sub(evidence),
            };
            now += millis(random.u64(0..3000));
            evidence = told.moment(sent);
            assert!(evidence <= asked);
        }
    }
}

/// Guards against a proof from a store that was reset to an older copy, which contains a revoked
/// key again.
#[test]
fn a_store_that_came_back_proves_nothing_for_a_while() {
    let validity = validity::Validity::new(Some(BOUND));
    let at = |seconds: u64| time::Duration::from_secs(100 + seconds);
    validity.confirm(at(0), at(0));
    validity.note_store_reset(at(1));
    validity.confirm(at(2), at(2));
    assert_eq!(validity.age(at(2)), Some(time::Duration::from_secs(2)));
    validity.confirm(at(4), at(4));
    assert_eq!(validity.age(at(4)), Some(time::Duration::ZERO));
    // The answer of a peer is accepted: the peer checks the state of the store itself.
    let started = validity::Validity::new(Some(BOUND));
    started.note_store_reset(at(0));
    started.confirm(at(1), at(1));
    assert_eq!(started.state(at(1)), validity::State::Expired);
    started.confirm_from_peer(at(1), at(1));
    assert_eq!(started.state(at(1)), validity::State::Valid);
    // An older proof that arrives late is ignored.
    validity.confirm(at(3), at(5));
    assert_eq!(validity.age(at(5)), Some(time::Duration::from_secs(1)));
}

fn request(quota: quota::Quota, turn: buckets::Reason) -> buckets::Request {
    buckets::Request {
        organisation: "dome".into(),
        quota,
        version: 1,
        turn,
    }
}

/// Maximum number of operations in any window of the tolerance.
fn max_in_a_window(granted: &[id::Time]) -> usize {
    let mut most = 0;
    let mut first = 0;
    for (last, time) in granted.iter().enumerate() {
        while time.saturating_sub(granted[first]) >= TOLERANCE.window {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}

fn number(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("a small number"))
}

fn bound(quota: &quota::Quota) -> f64 {
    quota.within(TOLERANCE.window) + TOLERANCE.excess_operations(quota)
}

/// Guards against an organisation that exceeds its limit in some window while the counting node is
/// killed, restarts, and is partitioned from a part of the other nodes.
#[test]
fn no_window_holds_more_operations_than_are_tolerated() {
    check_windows(false);
}

/// Guards against the same where bursts are spread over the window.
#[test]
fn no_window_holds_more_operations_than_are_tolerated_of_sustained_limits() {
    check_windows(true);
}

fn check_windows(sustained: bool) {
    const STEP: u64 = 5;
    for seed in 0..40 {
        let mut random = fastrand::Rng::with_seed(seed);
        let quota = quota::Quota {
            rate: random.f64() * 200.0 + 1.0,
            burst: random.f64() * 200.0 + 1.0,
        };
        let fresh = || buckets::Buckets::new(TOLERANCE, BOUND).with_sustained_quotas(sustained);
        let (mut counting, mut deputy) = (fresh(), fresh());
        // From here on the counting node is silent for some nodes. It serves none of its own
        // callers after the bound.
        let cut = millis(12_000 + random.u64(0..4000));
        let killed = millis(random.u64(2000..6000));
        let mut granted = Vec::new();
        let mut now = time::Duration::ZERO;
        let mut restarted = false;
        while now < millis(30_000) {
            now += millis(STEP);
            if now > killed && !restarted {
                restarted = true;
                counting = fresh();
            }
            let cut_off = now > cut && random.bool();
            let decision = if cut_off {
                deputy.decide(&request(quota, buckets::Reason::Silent), now)
            } else if now < cut + BOUND {
                counting.decide(&request(quota, buckets::Reason::Counting), now)
            } else {
                continue;
            };
            if decision == buckets::Decision::Granted {
                granted.push(now);
            }
        }
        let most = max_in_a_window(&granted);
        let allowed = bound(&quota);
        assert!(number(most) <= allowed, "seed {seed}: {most} of {allowed}");
    }
}

/// Guards against a burst that is used up in the first window, so that a load above the limit gets
/// the rate alone for as long as it lasts.
#[test]
fn a_sustained_limit_permits_as_much_in_later_windows_as_in_the_first() {
    let quota = quota::Quota {
        rate: 20.0,
        burst: 100.0,
    };
    let granted = |sustained| {
        let mut buckets = buckets::Buckets::new(TOLERANCE, BOUND).with_sustained_quotas(sustained);
        let mut windows = [0_usize; 6];
        for step in 0..30_000_u64 {
            let decision = buckets.decide(&request(quota, buckets::Reason::Counting), millis(step));
            let window = usize::try_from(step / 5000).expect("a small number");
            windows[window] += usize::from(decision == buckets::Decision::Granted);
        }
        windows
    };
    // A quarter of the tolerated excess of 40 is there at the start; the last token of the first
    // window is due at its end.
    assert_eq!(granted(true), [184, 175, 175, 175, 175, 175]);
    assert_eq!(granted(false), [109, 100, 100, 100, 100, 100]);
}

/// Guards against a limit that refuses operations below the quota when they come from several
/// nodes.
#[test]
fn operations_below_the_quota_are_granted_from_any_node() {
    let quota = quota::Quota {
        rate: 20.0,
        burst: 20.0,
    };
    let mut buckets = buckets::Buckets::new(TOLERANCE, BOUND);
    let mut refused = 0;
    // Four fifths of the rate, two operations at a time.
    for step in 0..200_u64 {
        let now = millis(2000 + step * 125);
        for _ in 0..2 {
            let decision = buckets.decide(&request(quota, buckets::Reason::Counting), now);
            refused += usize::from(decision != buckets::Decision::Granted);
        }
    }
    assert_eq!(refused, 0);
}

/// Guards against an overload by one organisation that reduces the tokens of another.
#[test]
fn an_overload_by_one_organisation_takes_no_tokens_of_another() {
    let quota = quota::Quota {
        rate: 10.0,
        burst: 10.0,
    };
    let mut buckets = buckets::Buckets::new(TOLERANCE, BOUND);
    let mut granted = collections::BTreeMap::<&str, usize>::new();
    for step in 0..10_000_u64 {
        let now = millis(step);
        let flood = request(quota, buckets::Reason::Counting);
        let calm = buckets::Request {
            organisation: "hall".into(),
            ..flood.clone()
        };
        if buckets.decide(&flood, now) == buckets::Decision::Granted {
            *granted.entry("flood").or_default() += 1;
        }
        if step % 200 == 0 && buckets.decide(&calm, now) == buckets::Decision::Granted {
            *granted.entry("calm").or_default() += 1;
        }
    }
    assert_eq!(granted["calm"], 50);
    assert!(granted["flood"] <= 120, "{granted:?}");
}

/// Guards against tokens that remain in the bucket above the burst after the limit was lowered.
#[test]
fn a_lowered_limit_also_applies_to_saved_tokens() {
    let high = quota::Quota {
        rate: 100.0,
        burst: 100.0,
    };
    let low = quota::Quota {
        rate: 1.0,
        burst: 1.0,
    };
    let mut bucket = bucket::Bucket::new(100.0, time::Duration::ZERO);
    assert_matches!(bucket.take(&high, millis(1)), Ok(()));
    assert_matches!(bucket.take(&low, millis(2)), Ok(()));
    assert_matches!(bucket.take(&low, millis(3)), Err(_));
}

/// Guards against a deputy that still grants only its reduced rate after the takeover time,
/// although the counting node does not return.
#[test]
fn a_deputy_grants_the_full_quota_after_the_takeover_time() {
    let quota = quota::Quota {
        rate: 20.0,
        burst: 20.0,
    };
    let mut buckets = buckets::Buckets::new(TOLERANCE, BOUND);
    let silent = request(quota, buckets::Reason::Silent);
    let mut count = |from: u64, to: u64| {
        let times = (from..to).step_by(10).map(millis);
        let granted =
            times.filter(|now| buckets.decide(&silent, *now) == buckets::Decision::Granted);
        granted.count()
    };
    let before = count(0, 5000);
    let after = count(5000, 15_000);
    assert!(
        number(before) <= TOLERANCE.excess_operations(&quota),
        "{before}"
    );
    assert!((198..=200).contains(&after), "{after}");
    let mut gone = buckets::Buckets::new(TOLERANCE, BOUND);
    let at_once = (0..5000_u64).step_by(10).map(millis).filter(|now| {
        gone.decide(&request(quota, buckets::Reason::Gone), *now) == buckets::Decision::Granted
    });
    assert!((98..=100).contains(&at_once.count()));
}

/// Guards against an error that reports a reached limit when it is unknown whether the limit was
/// reached, because the counting node is silent.
#[test]
fn a_deputy_does_not_say_that_the_limit_is_reached() {
    let quota = quota::Quota {
        rate: 20.0,
        burst: 20.0,
    };
    let mut buckets = buckets::Buckets::new(TOLERANCE, BOUND);
    let silent = request(quota, buckets::Reason::Silent);
    let mut last = |from: u64, to: u64| {
        let times = (from..to).step_by(5).map(millis);
        let decisions = times.map(|now| buckets.decide(&silent, now));
        let refused = decisions.filter(|decision| *decision != buckets::Decision::Granted);
        refused.last().expect("a refusal")
    };
    assert_matches!(last(0, 1000), buckets::Decision::Unknown(_));
    // The full quota applies by then.
    assert_matches!(last(1000, 9000), buckets::Decision::Denied(_));
    let refusal = access::Refusal::QuotaUnknown(Some(millis(70)));
    assert!(!refusal.text().contains("over"), "{}", refusal.text());
    assert_eq!(refusal.label(), "quota_unknown");
}
