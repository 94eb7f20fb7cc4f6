//! Environment of a run or a demonstration: stand-ins in this process, and proxies as
//! separate processes.

use std::net;
use std::path;
use std::sync;
use std::thread;
use std::time;

use mangotray::apply;
use mangotray::catalog;
use mangotray::id;
use mangotray::policy;
use mangotray::role;
use mangotray::settings;
use mangotray::store;

use crate::cluster;
use crate::declare;
use crate::platform;
use crate::profile;
use crate::proxy;
use crate::remote;

/// Number of threads that run the stand-ins.
const STAND_IN_THREADS: usize = 3;

/// Timeout of a proxy's calls to the platform.
const PLATFORM_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Delay before a change of the platform's VM list becomes visible.
const VM_LIST_LAG: time::Duration = time::Duration::from_secs(3);

/// Interval at which a condition is polled.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

type Executor = sync::Arc<async_executor::Executor<'static>>;

/// Settings of an environment.
#[derive(Clone, Debug)]
pub struct Options {
    /// The lab's binary, which also runs the proxies.
    pub program: path::PathBuf,
    /// Profile with sizes, delays and tables.
    pub profile: profile::Profile,
    /// Number of groups to start, at most that of the profile.
    pub groups: usize,
    /// Address that each proxy listens on for callers; port 0 lets the system choose one.
    pub caller_addresses: Vec<net::SocketAddr>,
    /// Policy of the proxies.
    pub policy: policy::Policy,
}

/// Running platform, groups and proxies.
pub struct Environment {
    /// The platform's stand-in.
    pub platform: sync::Arc<platform::Platform>,
    /// The stand-in groups, in the order of the profile.
    pub clusters: Vec<sync::Arc<cluster::Cluster>>,
    /// Running proxies; `None` for a proxy that has crashed or drained.
    pub proxies: Vec<Option<proxy::Proxy>>,
    /// Addresses that the proxies listen on for callers, including those of proxies that
    /// have crashed or drained.
    pub caller_addresses: Vec<net::SocketAddr>,
    profile: profile::Profile,
    /// Directory of the proxies' setup files.
    setup_directory: tempfile::TempDir,
    /// Closing it ends the threads of the stand-ins.
    stop_sender: async_channel::Sender<()>,
    /// Threads of the stand-ins, and of proxies that drain.
    threads: Vec<thread::JoinHandle<()>>,
}

impl Environment {
    /// Starts everything and applies the groups' declaration.
    ///
    /// # Errors
    /// When a stand-in or proxy cannot be started, or the declaration cannot be applied.
    pub fn start(options: &Options) -> eyre::Result<Self> {
        let executor = sync::Arc::new(async_executor::Executor::new());
        let (stop_sender, stop_receiver) = async_channel::bounded(1);
        let threads = (0..STAND_IN_THREADS)
            .map(|index| spawn_stand_in_thread(index, &executor, &stop_receiver))
            .collect::<Result<_, _>>()?;
        let platform = platform::Platform::start(platform::Options::default(), &executor)?;
        let clusters = (0..options.groups)
            .map(|index| cluster::Cluster::start(options.profile.cluster(index), &executor))
            .collect::<Result<Vec<_>, _>>()?;
        let mut environment = Self {
            platform,
            clusters,
            proxies: Vec::new(),
            caller_addresses: Vec::new(),
            profile: options.profile.clone(),
            setup_directory: tempfile::tempdir()?,
            stop_sender,
            threads,
        };
        environment.platform.set_list_lag(VM_LIST_LAG);
        environment.list_vms(options.caller_addresses.len());
        async_io::block_on(environment.apply(&executor))?;
        for (index, callers) in options.caller_addresses.iter().enumerate() {
            environment.add_proxy(index, *callers, options)?;
        }
        Ok(environment)
    }

    /// The groups' declaration, as an operator would write it.
    #[must_use]
    pub fn catalog(&self) -> catalog::Catalog {
        let groups = self.clusters.iter();
        catalog::Catalog {
            groups: groups
                .map(|cluster| self.profile.declare(cluster))
                .collect(),
            vms: Vec::new(),
        }
    }

    /// Applies the groups' declaration, as an operator would.
    async fn apply(&self, executor: &Executor) -> eyre::Result<()> {
        let options = mangotray::platform::Options::new(self.platform.address());
        let store = mangotray::platform::Client::new(options, executor);
        let request = apply::Request {
            id: apply::new_id(),
            by: "lab".into(),
            text: declare::text(&self.catalog()).into(),
            base: None,
        };
        match apply::put(&store, &request).await {
            Ok(apply::Verdict::Applied(_)) => Ok(()),
            other => Err(eyre::eyre!("declaration not applied: {other:?}")),
        }
    }

    /// Replica that a fault affects: the first instance that is not the primary.
    #[must_use]
    pub fn replica(&self, group: usize) -> id::Index {
        let primary = self.primary(group);
        (0..cluster::INSTANCE_COUNT)
            .find(|index| Some(*index) != primary)
            .unwrap_or_default()
    }

    /// Index of the primary of a group; that with the highest fence if there are several.
    #[must_use]
    pub fn primary(&self, group: usize) -> Option<id::Index> {
        remote::primary(&self.clusters[group])
    }

    /// Kills a proxy. The platform's VM list still contains it until the lag has passed.
    pub fn crash_proxy(&mut self) {
        if let Some(proxy) = self.take_proxy(false) {
            proxy.crash();
        }
    }

    /// Shuts a proxy down gracefully, in the background.
    pub fn drain_proxy(&mut self) {
        if let Some(proxy) = self.take_proxy(true) {
            self.threads.push(thread::spawn(move || {
                if let Err(error) = proxy.drain() {
                    tracing::warn!(%error, "failed to drain the proxy");
                }
            }));
        }
    }

    /// Removes the last running proxy from the proxies and from the VM list, where it stays
    /// as `leaving` if so given. Never removes the first proxy.
    fn take_proxy(&mut self, leaving: bool) -> Option<proxy::Proxy> {
        let index = self.proxies.iter().rposition(Option::is_some)?;
        if index == 0 {
            return None;
        }
        let proxy = self.proxies[index].take();
        let listings = (0..self.proxies.len()).filter_map(|vm| {
            let listed_as_leaving = vm == index && leaving;
            (listed_as_leaving || self.proxies[vm].is_some())
                .then(|| self.listing(vm, listed_as_leaving))
        });
        self.platform.set_vms(listings.collect());
        proxy
    }

    fn list_vms(&self, proxy_count: usize) {
        let listings = (0..proxy_count).map(|vm| self.listing(vm, false)).collect();
        self.platform.set_vms(listings);
    }

    fn listing(&self, vm: usize, leaving: bool) -> store::Listing {
        store::Listing {
            vm: vm_name(vm),
            domain: self.domain(vm),
            leaving,
        }
    }

    fn domain(&self, vm: usize) -> id::Domain {
        let domains = self.profile.domains;
        domains[vm % domains.len()].into()
    }

    fn add_proxy(
        &mut self,
        index: usize,
        callers: net::SocketAddr,
        options: &Options,
    ) -> eyre::Result<()> {
        let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let settings = settings::Settings {
            vm: settings::Vm {
                name: vm_name(index),
                failure_domain: self.domain(index),
                region: self.profile.region.into(),
            },
            listen: settings::Listen {
                callers,
                peers: any_port,
                admin: any_port,
            },
            platform: settings::Platform {
                address: self.platform.address(),
                timeout: PLATFORM_TIMEOUT,
            },
            peers: settings::Peers::default(),
            limits: settings::Limits::default(),
            log: settings::Log::default(),
        };
        let setup = proxy::Setup {
            settings,
            policy: options.policy,
        };
        let file = self.setup_directory.path().join(format!("{index}.json"));
        let proxy = proxy::Proxy::start(&options.program, &file, &setup)?;
        self.caller_addresses.push(proxy.caller_address());
        self.proxies.push(Some(proxy));
        Ok(())
    }

    /// Waits until all instances of each group have the same stamp and fence, and one of
    /// them is the primary; false when `timeout` ends first.
    #[must_use]
    pub fn wait_until_settled(&self, timeout: time::Duration) -> bool {
        wait_until(timeout, || {
            (0..self.clusters.len()).all(|group| self.is_settled(group))
        })
    }

    /// Kills the proxies and waits until the instances are idle and agree; false when
    /// `timeout` ends first. Before that, requests that callers have abandoned may still
    /// commit between two reads of an audit.
    #[must_use]
    pub fn quiesce(&mut self, timeout: time::Duration) -> bool {
        self.end_proxies();
        wait_until(timeout, || {
            (0..self.clusters.len()).all(|group| self.is_idle(group) && self.is_settled(group))
        })
    }

    fn is_idle(&self, group: usize) -> bool {
        (0..cluster::INSTANCE_COUNT).all(|index| self.clusters[group].stats(index).batches == 0)
    }

    fn end_proxies(&mut self) {
        let running = self.proxies.iter_mut().filter_map(Option::take);
        running.for_each(proxy::Proxy::crash);
    }

    fn is_settled(&self, group: usize) -> bool {
        let statuses = (0..cluster::INSTANCE_COUNT).map(|index| self.clusters[group].status(index));
        let statuses: Vec<_> = statuses.collect();
        let agrees = |status: &mangotray::status::Status| {
            (status.stamp, status.fence) == (statuses[0].stamp, statuses[0].fence)
        };
        let primaries = statuses
            .iter()
            .filter(|status| status.role == role::Role::Primary);
        statuses.iter().all(agrees) && primaries.count() == 1
    }

    /// Kills the proxies and stops the stand-ins.
    pub fn stop(mut self) {
        self.end_proxies();
        self.stop_sender.close();
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Polls `condition` until it holds; false when `timeout` ends first.
pub fn wait_until(timeout: time::Duration, condition: impl Fn() -> bool) -> bool {
    let deadline = time::Instant::now() + timeout;
    while !condition() {
        if time::Instant::now() >= deadline {
            return false;
        }
        thread::sleep(POLL_INTERVAL);
    }
    true
}

fn vm_name(index: usize) -> id::Vm {
    compact_str::format_compact!("entry-{}", index + 1)
}

/// Starts a thread that runs the stand-ins' tasks until `stop_receiver` is closed.
fn spawn_stand_in_thread(
    index: usize,
    executor: &Executor,
    stop_receiver: &async_channel::Receiver<()>,
) -> std::io::Result<thread::JoinHandle<()>> {
    let executor = sync::Arc::clone(executor);
    let stop_receiver = stop_receiver.clone();
    thread::Builder::new()
        .name(format!("stand-ins-{index}"))
        .spawn(move || {
            let _ = async_io::block_on(executor.run(stop_receiver.recv()));
        })
}
