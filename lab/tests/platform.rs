//! The client against the stand-in, over real sockets.

use std::collections;
use std::sync;
use std::time;

use assert_matches::assert_matches;
use mangotray::apply;
use mangotray::platform::{Client, Options};
use mangotray::store::{self, Inventory, Store};
use mangotray::term;
use mangotray_lab::call;
use mangotray_lab::platform;

const LEASE_TTL: time::Duration = time::Duration::from_secs(1);
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

type Executor = sync::Arc<async_executor::Executor<'static>>;

/// Runs `test` beside a stand-in and a client of it.
fn run_with_platform<F: Future<Output = ()>>(
    options: platform::Options,
    test: impl FnOnce(sync::Arc<platform::Platform>, sync::Arc<Client>, Executor) -> F,
) {
    let executor: Executor = sync::Arc::default();
    let stand_in = platform::Platform::start(options, &executor).unwrap();
    let client = sync::Arc::new(Client::new(Options::new(stand_in.address()), &executor));
    let body = test(
        sync::Arc::clone(&stand_in),
        client,
        sync::Arc::clone(&executor),
    );
    async_io::block_on(executor.run(body));
}

#[test]
fn values_are_swapped_read_and_listed() {
    run_with_platform(platform::Options::default(), |_, client, _| async move {
        assert_eq!(client.get("a/1").await, Ok(None));
        let stored = client.swap("a/1", "x".into(), 0, None).await;
        assert_eq!(stored, Ok(store::Swap::Stored));
        let entry = client.get("a/1").await.unwrap().unwrap();
        assert_eq!(&entry.value[..], b"x");
        let lost = client.swap("a/1", "y".into(), 0, None).await;
        assert_eq!(lost, Ok(store::Swap::Conflict));
        let stored = client.swap("a/1", "y".into(), entry.version, None).await;
        assert_eq!(stored, Ok(store::Swap::Stored));
        client.swap("b", "z".into(), 0, None).await.unwrap();
        let listed = client.list("a/").await.unwrap();
        assert_eq!(listed.len(), 1);
        assert_eq!(&listed[0].value[..], b"y");
    });
}

#[test]
fn a_value_that_is_too_large_is_refused() {
    run_with_platform(platform::Options::default(), |_, client, _| async move {
        let value = vec![0; 1_000_001].into();
        let refused = client.swap("a", value, 0, None).await;
        assert_matches!(refused, Err(store::Failure::NotRun(_)));
        assert_eq!(client.get("a").await, Ok(None));
    });
}

#[test]
fn a_watch_sees_an_entry_come_and_go() {
    run_with_platform(
        platform::Options::default(),
        |_, client, executor| async move {
            let watcher = sync::Arc::clone(&client);
            let watch = executor.spawn(async move { watcher.watch("a", 0, TIMEOUT).await });
            let lease = client.grant(LEASE_TTL).await.unwrap();
            client.swap("a", "x".into(), 0, Some(&lease)).await.unwrap();
            let entry = watch.await.unwrap().unwrap();
            assert_eq!(entry.lease, Some(lease.clone()));
            // Nobody renews the lease, so the entry goes by itself.
            assert_eq!(client.watch("a", entry.version, TIMEOUT).await, Ok(None));
            assert_eq!(client.renew(&lease).await, Ok(false));
        },
    );
}

#[test]
fn a_watch_ends_with_its_timeout() {
    run_with_platform(platform::Options::default(), |_, client, _| async move {
        assert_eq!(client.watch("a", 0, LEASE_TTL).await, Ok(None));
        client.swap("a", "x".into(), 0, None).await.unwrap();
        let entry = client.get("a").await.unwrap().unwrap();
        let seen = client.watch("a", entry.version, LEASE_TTL).await;
        assert_eq!(seen, Ok(Some(entry)));
    });
}

#[test]
fn a_revoked_lease_takes_its_entries_along() {
    run_with_platform(platform::Options::default(), |_, client, _| async move {
        let lease = client.grant(TIMEOUT).await.unwrap();
        client.swap("a", "x".into(), 0, Some(&lease)).await.unwrap();
        assert_eq!(client.renew(&lease).await, Ok(true));
        client.revoke(&lease).await.unwrap();
        assert_eq!(client.get("a").await, Ok(None));
        let late = client.swap("a", "y".into(), 0, Some(&lease)).await;
        assert_matches!(late, Err(store::Failure::NotRun(_)));
    });
}

// Symptom: a change is reported as failed though it took effect.
// Events: the service carries out a swap and its answer is lost.
// Cause: the client must call that "unknown", and must not send the swap again.
#[test]
fn a_lost_answer_is_unknown_and_not_sent_again() {
    run_with_platform(
        platform::Options::default(),
        |stand_in, client, _| async move {
            stand_in.lose_answers(1.0, 1);
            let lost = client.swap("a", "x".into(), 0, None).await;
            assert_matches!(lost, Err(store::Failure::Unknown(_)));
            assert_eq!(stand_in.calls_of(call::Kind::Swap), 1);
            assert_eq!(stand_in.entries().len(), 1);
        },
    );
}

// Symptom: a change that was called "not run" appears later.
// Events: the service is slow, the client's time runs out, the service goes on.
// Cause: a timeout after sending proves nothing, so it must be "unknown".
#[test]
fn a_timeout_is_unknown_and_the_change_may_come_late() {
    run_with_platform(
        platform::Options::default(),
        |stand_in, _, executor| async move {
            let options = Options {
                timeout: time::Duration::from_millis(500),
                ..Options::new(stand_in.address())
            };
            let short_timeout_client = Client::new(options, &executor);
            // The connection is open before the service turns slow.
            assert_eq!(short_timeout_client.get("a").await, Ok(None));
            stand_in.set_delay(time::Duration::from_secs(1));
            let lost = short_timeout_client.swap("a", "x".into(), 0, None).await;
            assert_matches!(lost, Err(store::Failure::Unknown(_)));
            let watching_client = Client::new(Options::new(stand_in.address()), &executor);
            let found = watching_client.watch("a", 0, TIMEOUT).await.unwrap();
            assert_eq!(&found.unwrap().value[..], b"x");
        },
    );
}

// Symptom: after an outage the first calls fail on dead connections.
// Events: an outage cuts the kept-alive connections and ends.
// Cause: a read moves to a new connection; a change is not sent on a closed one.
#[test]
fn an_outage_refuses_calls_and_leaves_no_trace() {
    run_with_platform(
        platform::Options::default(),
        |stand_in, client, executor| async move {
            client.swap("a", "x".into(), 0, None).await.unwrap();
            let watcher = sync::Arc::clone(&client);
            let entry = client.get("a").await.unwrap().unwrap();
            let watch =
                executor.spawn(async move { watcher.watch("a", entry.version, TIMEOUT).await });
            while stand_in.calls_of(call::Kind::Watch) == 0 {
                async_io::Timer::after(time::Duration::from_millis(1)).await;
            }
            stand_in.set_outage(true);
            assert_matches!(watch.await, Err(store::Failure::NotRun(_)));
            assert_matches!(client.get("a").await, Err(store::Failure::NotRun(_)));
            let refused = client.swap("b", "x".into(), 0, None).await;
            assert!(refused.is_err());
            assert_eq!(stand_in.entries().len(), 1);
            stand_in.set_outage(false);
            assert!(client.get("a").await.unwrap().is_some());
        },
    );
}

#[test]
fn a_call_to_a_closed_port_is_not_run() {
    let executor: Executor = sync::Arc::default();
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    drop(socket);
    let client = Client::new(Options::new(address), &executor);
    let refused = async_io::block_on(executor.run(client.swap("a", "x".into(), 0, None)));
    assert_matches!(refused, Err(store::Failure::NotRun(_)));
}

#[test]
fn calls_above_the_rate_are_refused() {
    let options = platform::Options {
        rates: Some(platform::Rates {
            reads: 1,
            writes: 1,
        }),
        ..platform::Options::default()
    };
    run_with_platform(options, |stand_in, client, _| async move {
        let mut refused = 0;
        for key in ["a", "b", "c", "d"] {
            let swapped = client.swap(key, "x".into(), 0, None).await;
            refused += usize::from(matches!(swapped, Err(store::Failure::NotRun(_))));
        }
        assert_eq!(stand_in.entries().len() + refused, 4);
        assert!(refused > 0);
        assert_eq!(stand_in.calls(), 4);
    });
}

#[test]
fn the_vm_list_is_read() {
    run_with_platform(
        platform::Options::default(),
        |stand_in, client, _| async move {
            let listing = store::Listing {
                vm: "vm-1".into(),
                domain: "patan-hall".into(),
                leaving: true,
            };
            stand_in.set_vms(vec![listing.clone()]);
            assert_eq!(client.vms().await, Ok(vec![listing]));
        },
    );
}

// Symptom: two VMs hold one term, or none gets any, while the service loses answers.
// Events: half of all changes take effect without an answer; two VMs claim in turns.
// Cause: a claim must be settled by reading back, over the real client too.
#[test]
fn terms_stay_unique_while_answers_are_lost() {
    run_with_platform(
        platform::Options::default(),
        |stand_in, client, _| async move {
            stand_in.lose_answers(0.5, 7);
            let registry = |vm: &str| {
                let store = sync::Arc::clone(&client) as sync::Arc<dyn Store>;
                term::Registry::new(store, "campaign-core-1", vm.into(), 1)
            };
            let (one, two) = (registry("vm-1"), registry("vm-2"));
            let mut terms = collections::BTreeSet::new();
            for _ in 0..10 {
                assert!(terms.insert(one.claim(0).await.unwrap()));
                assert!(terms.insert(two.claim(0).await.unwrap()));
            }
            assert!(
                stand_in.calls_of(call::Kind::Get) > 20,
                "none was read back"
            );
        },
    );
}

// Symptom: an apply is reported as failed, and repeated, though its file is in force.
// Events: the answer to the swap is lost.
// Cause: the file's own id tells, once it is read back.
#[test]
fn an_apply_whose_answer_is_lost_is_settled() {
    run_with_platform(
        platform::Options::default(),
        |stand_in, client, _| async move {
            stand_in.lose_answers(1.0, 1);
            let request = apply::Request {
                id: apply::new_id(),
                by: "operator".into(),
                text: "[group dome-sched-1]\n".into(),
                base: None,
            };
            let verdict = apply::put(&*client, &request).await;
            assert_eq!(verdict, Ok(apply::Verdict::Applied(1)));
            assert_eq!(stand_in.calls_of(call::Kind::Swap), 1);
        },
    );
}
