//! The platform client against the stand-in platform, over real sockets.

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

/// Starts a stand-in platform and a client of it, and runs `test` with both.
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
            // The lease is not renewed, so the entry is removed when it expires.
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

// Guards against a change that is reported as failed although it took effect: the service
// carries out a swap and its answer is lost. The client must report "unknown" and must not send
// the swap again.
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

// Guards against a change that is reported as "not run" and takes effect later: the client's
// timeout passes while the slow service still works. A timeout after sending proves nothing, so
// the client must report "unknown".
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
            // Opens the connection before the service becomes slow.
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

// Guards against calls that fail after an outage because they use connections that the outage
// closed. A read has to be sent again on a new connection, and a change must not be sent on a
// closed one.
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

// Guards against two VMs with the same term, or VMs that get no term, while half of all changes
// take effect without an answer and two VMs claim in turns. The outcome of a claim has to be
// read back, also through the real client.
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
                "no claim was read back"
            );
        },
    );
}

// Guards against an apply that is reported as failed, and repeated, although its file is in
// force: the answer to the swap is lost. The id of the file, when read back, shows the outcome.
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
