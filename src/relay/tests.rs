use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use assert_matches::assert_matches;
use futures_util::FutureExt;
use futures_util::future;

use crate::class;
use crate::control;
use crate::dial;
use crate::direct::tests as fixture;
use crate::directory;
use crate::endpoint;
use crate::entry;
use crate::forward;
use crate::hello;
use crate::lane::Lane;
use crate::outcome;
use crate::platform::fake;
use crate::policy;
use crate::relay;
use crate::wire;

/// Longest wait for an expected event; long, so that a busy machine fails no test.
const TIMEOUT: time::Duration = time::Duration::from_secs(20);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Peers that refuse all connections.
struct Refusal;

impl dial::Connector for Refusal {
    fn connect(
        &self,
        _: net::SocketAddr,
    ) -> future::BoxFuture<'_, io::Result<Box<dyn wire::Duplex>>> {
        future::ready(Err(io::ErrorKind::ConnectionRefused.into())).boxed()
    }
}

fn directory(setup: &fixture::Setup) -> directory::Directory {
    let executor = sync::Arc::new(async_executor::Executor::new());
    let peers = forward::Pool::new(endpoint::Resources {
        connector: Box::new(Refusal),
        hello: hello::Hello::new("key"),
        executor: executor.clone(),
        clock: setup.clock.clone(),
        ping_timeout: dial::PING_TIMEOUT,
    });
    directory::Directory::new(directory::Shared {
        vm: "vm".into(),
        incarnation: 1,
        domain: "x".into(),
        store: fake::Fake::new(&[]),
        clock: setup.clock.clone(),
        policy: policy::Policy::Default,
        control: control::Options::default(),
        peers: sync::Arc::new(peers),
        executor,
    })
}

/// Guards against refusing a batch at its deadline although this proxy could have run it: the batch
/// is forwarded, no peer serves the group, and this proxy begins to serve it meanwhile.
#[test]
fn a_forwarded_batch_runs_here_once_this_proxy_serves_the_group() {
    let setup = fixture::setup(1);
    let directory = sync::Arc::new(directory(&setup));
    let declared = (*setup.group.declaration()).clone();
    let database = declared.database.clone();
    let entry = sync::Arc::new(entry::Entry::new(declared));
    let peer = forward::Member {
        vm: "peer".into(),
        address: (net::Ipv4Addr::LOCALHOST, 1).into(),
    };
    entry.members.store(sync::Arc::new(vec![peer]));
    directory.set_entries([(database.clone(), entry.clone())].into());
    let mut lane = relay::Lane::new(directory, &database, relay::Scope::Fleet);
    let batch = setup.batch(class::Class::Write, fixture::BATCH_TIMEOUT);
    let sent = || setup.upstreams.sent.load(atomic::Ordering::SeqCst);
    let serve = async {
        async_io::Timer::after(POLL_INTERVAL).await;
        entry.set_runtime(Some(setup.group.clone()));
        let limit = time::Instant::now() + TIMEOUT;
        while sent() == 0 && time::Instant::now() < limit {
            async_io::Timer::after(POLL_INTERVAL).await;
        }
        setup.advance(fixture::BATCH_TIMEOUT);
    };
    let (answer, ()) = async_io::block_on(future::join(lane.run(batch), serve));
    assert_eq!(sent(), 1);
    assert_matches!(answer, Err(outcome::Outcome::Unknown { .. }));
}
