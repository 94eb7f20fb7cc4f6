//! Proxies, stand-in groups and a stand-in platform that the sections measure.

use std::net;
use std::sync;
use std::thread;
use std::time;

use mangotray::apply;
use mangotray::catalog;
use mangotray::daemon;
use mangotray::database;
use mangotray::id;
use mangotray::policy;
use mangotray::seat;
use mangotray::settings;

use crate::capacity::client;
use crate::capacity::relay;
use crate::capacity::usage;
use crate::cluster;
use crate::declare;
use crate::environment;
use crate::platform;
use crate::profile;

const STAND_IN_THREADS: usize = 3;
const START_TIMEOUT: time::Duration = time::Duration::from_mins(1);
const PLATFORM_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Callers that a proxy admits; above the largest number that a section connects.
const MAX_CALLERS: usize = 10_000;

/// Numbers of the parts to start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Proxies.
    pub proxies: usize,
    /// Groups that the proxies serve.
    pub groups: usize,
    /// Groups that are declared but assigned to a VM that does not run; in place of `groups`.
    pub foreign_groups: usize,
    /// Whether bytes to the platform and to the instances are counted.
    pub count_traffic: bool,
}

/// Running proxies and stand-ins.
pub struct Bench {
    /// The platform's stand-in.
    pub platform: sync::Arc<platform::Platform>,
    /// The stand-in groups.
    pub clusters: Vec<sync::Arc<cluster::Cluster>>,
    /// Addresses at which the proxies accept callers.
    pub callers: Vec<net::SocketAddr>,
    /// Bytes between the proxies and the platform.
    pub store: sync::Arc<relay::Traffic>,
    /// Bytes between the proxies and the instances.
    pub instances: sync::Arc<relay::Traffic>,
    profile: profile::Profile,
    daemons: Vec<daemon::Daemon>,
    stop: async_channel::Sender<()>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Bench {
    /// Starts everything and waits until every proxy answers statements for every group.
    pub fn start(options: Options) -> eyre::Result<Self> {
        let profile = profile::Profile {
            statement_cost: time::Duration::ZERO,
            delay: time::Duration::ZERO,
            ..profile::Profile::tarapath()
        };
        let executor = sync::Arc::new(async_executor::Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let threads = (0..STAND_IN_THREADS)
            .map(|_| spawn_executor_thread(&executor, &stopped))
            .collect::<Result<_, _>>()?;
        let platform = platform::Platform::start(platform::Options::default(), &executor)?;
        let clusters = (0..options.groups)
            .map(|index| cluster::Cluster::start(profile.cluster(index), &executor))
            .collect::<Result<Vec<_>, _>>()?;
        let mut bench = Self {
            platform,
            clusters,
            callers: Vec::new(),
            store: sync::Arc::default(),
            instances: sync::Arc::default(),
            profile,
            daemons: Vec::new(),
            stop,
            threads,
        };
        let catalog = bench.catalog(options)?;
        apply(&bench.platform, &catalog, &executor)?;
        bench.add_proxies(options)?;
        bench.wait_until_served()?;
        Ok(bench)
    }

    /// Name of a group's database.
    pub fn database(&self, group: usize) -> String {
        self.profile.group(group).into()
    }

    /// For each proxy, whether it serves the first group itself instead of forwarding.
    pub fn serving(&self) -> eyre::Result<Vec<bool>> {
        let key = seat::key(&self.database(0));
        let entries = self.platform.entries();
        let entry = entries.iter().find(|entry| entry.key == key);
        let seats = entry.map_or(Ok(Vec::new()), |entry| seat::decode(&entry.value))?;
        let serves = |index| seats.iter().any(|seat| seat.vm == vm(index));
        Ok((0..self.callers.len()).map(serves).collect())
    }

    /// Stops the proxies and the stand-ins.
    pub fn stop(self) {
        self.store.stop();
        self.instances.stop();
        self.daemons.into_iter().for_each(daemon::Daemon::crash);
        drop(self.clusters);
        self.stop.close();
        for thread in self.threads {
            let _ = thread.join();
        }
    }

    fn catalog(&self, options: Options) -> eyre::Result<catalog::Catalog> {
        let mut groups: Vec<_> = self
            .clusters
            .iter()
            .map(|cluster| self.profile.declare(cluster))
            .collect();
        if options.count_traffic {
            let instances = groups.iter_mut().flat_map(|group| &mut group.instances);
            for instance in instances {
                instance.address = relay::start(instance.address, &self.instances)?;
            }
        }
        groups.extend((0..options.foreign_groups).map(foreign_group));
        let absent = (options.foreign_groups > 0).then(|| id::Vm::from("absent"));
        Ok(catalog::Catalog {
            groups,
            vms: absent.into_iter().collect(),
        })
    }

    fn add_proxies(&mut self, options: Options) -> eyre::Result<()> {
        let mut address = self.platform.address();
        if options.count_traffic {
            address = relay::start(address, &self.store)?;
        }
        let domains = self.profile.domains;
        for index in 0..options.proxies {
            let settings = settings(index, domains[index % domains.len()], address);
            // The daemon's threads inherit this thread's name; see `usage`.
            let starting = thread::Builder::new()
                .name(usage::PROXY_THREAD_NAME.to_owned())
                .spawn(move || daemon::Daemon::start(&settings, policy::Policy::Default))?;
            let started = starting.join();
            let daemon = started.map_err(|_| eyre::eyre!("a proxy panicked at its start"))??;
            self.callers.push(daemon.caller_address());
            self.daemons.push(daemon);
        }
        Ok(())
    }

    fn wait_until_served(&self) -> eyre::Result<()> {
        let configured = || self.daemons.iter().all(|daemon| daemon.revision() > 0);
        eyre::ensure!(
            environment::wait_until(START_TIMEOUT, configured),
            "a proxy has not received the configuration in time"
        );
        for proxy in &self.callers {
            for group in 0..self.clusters.len() {
                let database = self.database(group);
                let answers = || {
                    let client = client::Client::connect(*proxy, &database);
                    client.is_ok_and(|mut client| client.run("SELECT 1").is_ok())
                };
                let answered = environment::wait_until(START_TIMEOUT, answers);
                eyre::ensure!(
                    answered,
                    "proxy {proxy} does not answer for {database} in time"
                );
            }
        }
        Ok(())
    }
}

fn spawn_executor_thread(
    executor: &sync::Arc<async_executor::Executor<'static>>,
    stopped: &async_channel::Receiver<()>,
) -> std::io::Result<thread::JoinHandle<()>> {
    let executor = sync::Arc::clone(executor);
    let stopped = stopped.clone();
    thread::Builder::new()
        .name("stand-ins".to_owned())
        .spawn(move || {
            let _ = async_io::block_on(executor.run(stopped.recv()));
        })
}

fn apply(
    platform: &platform::Platform,
    catalog: &catalog::Catalog,
    executor: &sync::Arc<async_executor::Executor<'static>>,
) -> eyre::Result<()> {
    let options = mangotray::platform::Options::new(platform.address());
    let store = mangotray::platform::Client::new(options, executor);
    let request = apply::Request {
        id: apply::new_id(),
        by: "lab".into(),
        text: declare::text(catalog).into(),
        base: None,
    };
    match async_io::block_on(apply::put(&store, &request)) {
        Ok(apply::Verdict::Applied(_)) => Ok(()),
        other => Err(eyre::eyre!("the declaration was not applied: {other:?}")),
    }
}

fn settings(index: usize, domain: &str, platform: net::SocketAddr) -> settings::Settings {
    let free = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    settings::Settings {
        vm: settings::Vm {
            name: vm(index),
            failure_domain: domain.into(),
            region: "default".into(),
        },
        listen: settings::Listen {
            callers: free,
            peers: free,
            admin: free,
        },
        platform: settings::Platform {
            address: platform,
            timeout: PLATFORM_TIMEOUT,
        },
        peers: settings::Peers::default(),
        limits: settings::Limits {
            callers: MAX_CALLERS,
            callers_per_address: MAX_CALLERS,
            ..settings::Limits::default()
        },
        log: settings::Log::default(),
    }
}

fn vm(index: usize) -> id::Vm {
    compact_str::format_compact!("entry-{}", index + 1)
}

/// Address of the first instance of the foreign groups; nothing connects to it.
const FIRST_FOREIGN_ADDRESS: u32 = net::Ipv4Addr::new(10, 0, 0, 1).to_bits();

/// A group with the sizes of the tarapath profile, to whose instances nothing connects.
pub fn foreign_group(index: usize) -> database::Group {
    let name = compact_str::format_compact!("dome_sched_{index}");
    let domains = profile::Profile::tarapath().domains;
    let instances = domains.iter().enumerate().map(|(number, domain)| {
        let offset = u32::try_from(index * domains.len() + number);
        let address = net::Ipv4Addr::from_bits(FIRST_FOREIGN_ADDRESS + offset.unwrap_or_default());
        database::Instance {
            name: compact_str::format_compact!("{name}-{number}"),
            address: net::SocketAddr::from((address, 5432)),
            domain: (*domain).into(),
            leaving: false,
        }
    });
    database::Group {
        name: name.clone(),
        database: name.clone(),
        instances: instances.collect(),
        connections: 20,
        slots: 3,
        deadline: time::Duration::from_secs(2),
        ages: vec![profile::Profile::tarapath().age()],
    }
}
