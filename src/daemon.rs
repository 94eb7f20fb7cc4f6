//! Start and shutdown of a proxy process.

use std::net;
use std::sync;
use std::thread;
use std::time;

use futures_lite::FutureExt;

use crate::accept;
use crate::admin;
use crate::clock;
use crate::control;
use crate::dial;
use crate::directory;
use crate::drain;
use crate::endpoint;
use crate::enrol;
use crate::entry;
use crate::fleet;
use crate::follow;
use crate::forward;
use crate::gossip;
use crate::handler;
use crate::hello;
use crate::id;
use crate::lane;
use crate::listener;
use crate::platform;
use crate::policy;
use crate::report;
use crate::session;
use crate::settings;
use crate::store;
use crate::telemetry;

/// Number of threads that run the tasks of one proxy.
const EXECUTOR_THREADS: usize = 4;

/// Longest wait for the release of the seats during shutdown.
const SEAT_RELEASE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Interval at which a drain checks whether requests have ended and seats are released.
const DRAIN_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Delay after a failed accept, such as when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// Key of the handshake between the proxies of one installation, until keys can be configured.
const PEER_KEY: &str = "mangotray";

/// A running proxy.
pub struct Daemon {
    context: sync::Arc<Context>,
    listener: sync::Arc<listener::Listener>,
    caller_address: net::SocketAddr,
    admin_address: net::SocketAddr,
    stop: async_channel::Sender<()>,
    threads: Vec<thread::JoinHandle<()>>,
    drain_timeout: time::Duration,
}

/// State that the tasks of a process share.
struct Context {
    report: sync::Arc<report::Report>,
    follower: follow::Follower,
    directory: sync::Arc<directory::Directory>,
    enrolment: sync::Arc<enrol::Enrolment>,
    gossip: sync::Arc<gossip::Gossip>,
    drain: drain::Signal,
}

impl Daemon {
    /// Starts a proxy on its own threads and returns when it accepts connections.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub fn start(settings: &settings::Settings, policy: policy::Policy) -> eyre::Result<Self> {
        let executor = sync::Arc::new(async_executor::Executor::new());
        let (stop, stop_signal) = async_channel::bounded(1);
        let threads = (0..EXECUTOR_THREADS)
            .map(|_| spawn_thread(&executor, &stop_signal))
            .collect();
        let started = executor.spawn(start_components(settings.clone(), policy, executor.clone()));
        let components = futures_lite::future::block_on(started)?;
        Ok(Self {
            context: components.context,
            caller_address: components.listener.address()?,
            listener: components.listener,
            admin_address: components.admin,
            stop,
            threads,
            drain_timeout: settings.limits.drain_timeout,
        })
    }

    /// Address to which callers connect.
    #[must_use]
    pub fn caller_address(&self) -> net::SocketAddr {
        self.caller_address
    }

    /// Address that serves status and metrics.
    #[must_use]
    pub fn admin_address(&self) -> net::SocketAddr {
        self.admin_address
    }

    /// Revision of the current configuration.
    #[must_use]
    pub fn revision(&self) -> id::Revision {
        self.context.report.revision()
    }

    /// Stops all tasks immediately. Sockets stay open until the process ends, because the stopped
    /// tasks still own them; to reproduce for callers the failure of a VM, kill the process.
    pub fn crash(self) {
        self.halt();
    }

    /// Refuses new callers, waits for requests in flight, then releases the seats and the lease.
    /// Returns true if all sessions and peers' requests ended within the drain timeout.
    pub async fn drain(self) -> bool {
        self.context.drain.start();
        self.context.directory.drain();
        self.context.enrolment.mark_draining().await;
        let complete = completes_within(self.drain_timeout, self.wait_until_idle()).await;
        // Other proxies can claim a released seat at once; otherwise they wait for the lease's end.
        completes_within(SEAT_RELEASE_TIMEOUT, self.wait_for_seat_release()).await;
        self.context.enrolment.revoke_lease().await;
        self.halt();
        complete
    }

    /// Waits until no caller is connected and no peer's request is running.
    async fn wait_until_idle(&self) {
        self.listener.wait_until_idle().await;
        while self.context.directory.busy() {
            async_io::Timer::after(DRAIN_POLL_INTERVAL).await;
        }
        // The last answers to peers may still be waiting to be written.
        async_io::Timer::after(DRAIN_POLL_INTERVAL).await;
    }

    /// Waits until this VM's seats are released, so that other proxies can claim them without
    /// waiting for the end of the lease.
    async fn wait_for_seat_release(&self) {
        let serving = |entry: &sync::Arc<entry::Entry>| entry.runtime().is_some();
        while self.context.directory.entries().values().any(serving) {
            async_io::Timer::after(DRAIN_POLL_INTERVAL).await;
        }
    }

    fn halt(self) {
        self.stop.close();
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

struct Components {
    context: sync::Arc<Context>,
    listener: sync::Arc<listener::Listener>,
    admin: net::SocketAddr,
}

fn spawn_thread(
    executor: &sync::Arc<async_executor::Executor<'static>>,
    stop_signal: &async_channel::Receiver<()>,
) -> thread::JoinHandle<()> {
    let executor = executor.clone();
    let stop_signal = stop_signal.clone();
    thread::spawn(move || {
        let _ = async_io::block_on(executor.run(stop_signal.recv()));
    })
}

async fn start_components(
    settings: settings::Settings,
    policy: policy::Policy,
    executor: sync::Arc<async_executor::Executor<'static>>,
) -> eyre::Result<Components> {
    let clock: sync::Arc<dyn clock::Clock> = sync::Arc::new(clock::Monotonic::new());
    let mut options = platform::Options::new(settings.platform.address);
    options.timeout = settings.platform.timeout;
    let client = sync::Arc::new(platform::Client::new(options, &executor));
    let store: sync::Arc<dyn store::Store> = client.clone();
    let hello = hello::Hello::new(PEER_KEY);
    let peers = forward::Pool::new(endpoint::Resources {
        connector: Box::new(dial::Tcp),
        hello: hello.clone(),
        executor: executor.clone(),
        clock: clock.clone(),
        ping_timeout: dial::PING_TIMEOUT,
    });
    let incarnation = fastrand::u64(1..u64::MAX);
    let shared = directory::Shared {
        vm: settings.vm.name.clone(),
        incarnation,
        domain: settings.vm.failure_domain.clone(),
        store: store.clone(),
        clock: clock.clone(),
        policy,
        control: control_options(&settings.limits),
        peers: sync::Arc::new(peers),
        executor: executor.clone(),
    };
    let directory = sync::Arc::new(directory::Directory::new(shared));
    let drain = drain::Signal::new();
    let switch: sync::Arc<dyn lane::Factory> =
        sync::Arc::new(directory::CallerLanes(directory.clone()));
    let limits = session::Limits {
        max_request_bytes: settings.limits.message_bytes,
        startup_timeout: settings.limits.startup_timeout,
        ..session::Limits::default()
    };
    let sessions = session::Context::new(switch, clock.clone(), limits, drain.clone());
    let bounds = listener::Limits {
        connections: settings.limits.callers,
        connections_per_address: settings.limits.callers_per_address,
    };
    let listener =
        listener::Listener::bind(settings.listen.callers, sync::Arc::new(sessions), bounds).await?;
    let listener = sync::Arc::new(listener);
    let report = sync::Arc::new(report::Report::new(
        settings.vm.name.clone(),
        incarnation,
        directory.clone(),
        drain.clone(),
    ));
    let metrics = telemetry::Handle::install();
    let server = admin::Server::bind(settings.listen.admin, report.clone(), metrics).await?;
    let admin = server.address()?;
    executor.spawn(server.run(executor.clone())).detach();
    let peer_listener = async_net::TcpListener::bind(settings.listen.peers).await?;
    let record = enrol::Record {
        vm: settings.vm.name.clone(),
        domain: settings.vm.failure_domain.clone(),
        incarnation,
        callers: listener.address()?,
        peers: peer_listener.local_addr()?,
        admin,
        draining: false,
        lease: None,
    };
    let enrolment = enrolment(&store, &clock, record);
    let fleet = fleet::Fleet::new(directory.clone(), enrolment.clone(), client);
    let gossip = sync::Arc::new(gossip::Gossip::new(
        enrolment.clone(),
        sync::Arc::new(fleet),
        report.clone(),
        settings.peers.seeds,
    ));
    let handler = handler::Handler {
        directory: directory.clone(),
        gossip: gossip.clone(),
    };
    let server = accept::Server {
        handler: sync::Arc::new(handler),
        clock,
        executor: executor.clone(),
        hello,
        idle_timeout: accept::IDLE_TIMEOUT,
    };
    let accepting = serve_peers(peer_listener, sync::Arc::new(server), executor.clone());
    executor.spawn(accepting).detach();
    let context = sync::Arc::new(Context {
        follower: follow::Follower::new(store, gossip.clone()),
        report,
        directory,
        enrolment,
        gossip,
        drain,
    });
    spawn_tasks(&executor, &context, &listener);
    Ok(Components {
        context,
        listener,
        admin,
    })
}

fn control_options(limits: &settings::Limits) -> control::Options {
    let mut options = control::Options::default();
    options.link.limit = limits.answer_bytes;
    options
}

fn enrolment(
    store: &sync::Arc<dyn store::Store>,
    clock: &sync::Arc<dyn clock::Clock>,
    record: enrol::Record,
) -> sync::Arc<enrol::Enrolment> {
    let enrolment = enrol::Enrolment::new(store.clone(), clock.clone(), record);
    sync::Arc::new(enrolment)
}

fn spawn_tasks(
    executor: &sync::Arc<async_executor::Executor<'static>>,
    context: &sync::Arc<Context>,
    listener: &sync::Arc<listener::Listener>,
) {
    let enrolled = context.clone();
    executor
        .spawn(async move { enrolled.enrolment.run().await })
        .detach();
    let follower = context.clone();
    executor
        .spawn(async move { follower.follower.run().await })
        .detach();
    executor.spawn(context.gossip.clone().run()).detach();
    executor.spawn(context.gossip.clone().poll()).detach();
    let listener = listener.clone();
    let tasks = executor.clone();
    executor
        .spawn(async move {
            listener.run(&tasks).await;
            listener.refuse_callers(&tasks).await;
        })
        .detach();
}

async fn serve_peers(
    listener: async_net::TcpListener,
    server: sync::Arc<accept::Server>,
    executor: sync::Arc<async_executor::Executor<'static>>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let server = server.clone();
                let serve = async move {
                    if let Err(error) = server.serve(Box::new(stream)).await {
                        tracing::debug!(%error, "peer connection ended");
                    }
                };
                executor.spawn(serve).detach();
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept peer connection");
                async_io::Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Returns whether the task ended within the timeout.
async fn completes_within(timeout: time::Duration, task: impl Future<Output = ()>) -> bool {
    let done = async {
        task.await;
        true
    };
    let late = async {
        async_io::Timer::after(timeout).await;
        false
    };
    done.or(late).await
}

#[cfg(test)]
mod tests;
