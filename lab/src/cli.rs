//! Command-line arguments of the lab.

use std::net;
use std::path;

use bpaf::Bpaf;

use crate::fault;
use crate::profile;

/// Stand-ins, workloads and measurements for mangotray
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(command))]
pub enum Command {
    /// Run a profile's workload through proxies and print one line of JSON
    #[bpaf(command)]
    Run(#[bpaf(external(run))] Run),
    /// Run both profiles, every fault and every policy, and print a table of the results
    #[bpaf(command)]
    Sweep(#[bpaf(external(sweep))] Sweep),
    /// Serve one group through two proxies until interrupted, for trying out with psql
    #[bpaf(command)]
    Demo(#[bpaf(external(demo))] Demo),
    /// Run the stand-in for the platform's key-value service and VM list
    #[bpaf(command)]
    Platform(#[bpaf(external(platform))] Platform),
    /// Run the three stand-in instances of one database group, and print their declaration
    #[bpaf(command)]
    Group(#[bpaf(external(group))] Group),
    /// Run one proxy; the lab starts its proxies with this command
    #[bpaf(command, hide)]
    Proxy(#[bpaf(external(proxy))] Proxy),
    /// Send a fault to the control port of a running `platform` or `group`
    #[bpaf(command)]
    Fault(#[bpaf(external(send))] Send),
    /// Measure the resources that a proxy uses as sizes grow, for docs/CAPACITY.md
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity))] Capacity),
}

/// Arguments of one measured run.
#[derive(Clone, Debug, Bpaf)]
pub struct Run {
    /// Profile with the sizes, delays and statements: tarapath or hoasen
    #[bpaf(argument::<profile::Profile>("PROFILE"), map(Box::new))]
    pub profile: Box<profile::Profile>,
    /// Proxies to start
    #[bpaf(argument("N"), fallback(3), display_fallback)]
    pub proxies: usize,
    /// Seconds that the callers send requests
    #[bpaf(argument("SECONDS"), fallback(20), display_fallback)]
    pub seconds: u64,
    /// Seed of the callers' random choices and of lost answers
    #[bpaf(argument("K"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Fault with its start and optionally its duration, as NAME@SECONDS or
    /// NAME@SECONDS+SECONDS; may be repeated
    #[bpaf(argument("NAME@SECONDS"), many)]
    pub fault: Vec<fault::Fault>,
    /// Policy of the proxies: default, primary-only, token-only, unsafe-ack or lease-expiry
    #[bpaf(argument("POLICY"), fallback("default".to_owned()), display_fallback)]
    pub policy: String,
    /// Replication delay to each replica, such as 20ms; replaces the delay of the profile
    #[bpaf(argument("TIME"), optional)]
    pub lag: Option<humantime::Duration>,
}

/// Arguments of a sweep.
#[derive(Clone, Debug, Bpaf)]
pub struct Sweep {
    /// Seed of each run
    #[bpaf(argument("K"), fallback(3), display_fallback)]
    pub seed: u64,
    /// Run only the cases whose command contains this text
    #[bpaf(argument("TEXT"), fallback(String::new()))]
    pub only: String,
}

/// Arguments of the demonstration.
#[derive(Clone, Debug, Bpaf)]
pub struct Demo {
    /// Port of the first proxy; the second proxy listens at the next port
    #[bpaf(argument("PORT"), fallback(6432), display_fallback)]
    pub port: u16,
    /// How long to serve, such as 30s; without this flag until interrupted
    #[bpaf(argument("TIME"), optional, long("for"))]
    pub lasts: Option<humantime::Duration>,
}

/// Arguments of the platform's stand-in.
#[derive(Clone, Debug, Bpaf)]
pub struct Platform {
    /// Address of the service
    #[bpaf(argument("IP:PORT"))]
    pub listen: net::SocketAddr,
    /// Control address, at which faults are accepted
    #[bpaf(argument("IP:PORT"), optional)]
    pub control: Option<net::SocketAddr>,
    /// VMs to list, each as NAME@DOMAIN
    #[bpaf(argument("NAME@DOMAIN"), many)]
    pub vm: Vec<String>,
}

/// Arguments of a stand-in group.
#[derive(Clone, Debug, Bpaf)]
pub struct Group {
    /// Address of an instance; must be given three times
    #[bpaf(argument("IP:PORT"), many)]
    pub listen: Vec<net::SocketAddr>,
    /// Control address, at which faults are accepted
    #[bpaf(argument("IP:PORT"), optional)]
    pub control: Option<net::SocketAddr>,
    /// Profile with the sizes, delays and tables: tarapath or hoasen
    #[bpaf(
        argument::<profile::Profile>("PROFILE"),
        fallback(profile::Profile::tarapath()),
        display_fallback, map(Box::new)
    )]
    pub profile: Box<profile::Profile>,
    /// Number of the group in the profile, starting at 0
    #[bpaf(argument("N"), fallback(0), display_fallback)]
    pub index: usize,
}

/// Arguments of a proxy process.
#[derive(Clone, Debug, Bpaf)]
pub struct Proxy {
    /// JSON file with settings and policy
    #[bpaf(argument("FILE"))]
    pub setup: path::PathBuf,
}

/// Arguments of a fault for a running stand-in.
#[derive(Clone, Debug, Bpaf)]
pub struct Send {
    /// Control address of the stand-in
    #[bpaf(positional("IP:PORT"))]
    pub control: net::SocketAddr,
    /// Command, such as `crash 0`; `help` lists the commands of the stand-in
    #[bpaf(positional("WORD"), some("what to do is missing"))]
    pub words: Vec<String>,
}

/// Arguments of the capacity measurements.
#[derive(Clone, Debug, Bpaf)]
pub struct Capacity {
    /// Seconds over which processor time, traffic and calls are measured
    #[bpaf(argument("SECONDS"), fallback(10), display_fallback)]
    pub window: u64,
    /// Sections to measure; all if none is given: callers, statements, control, peers,
    /// documents, store, decisions, promotions
    #[bpaf(positional("SECTION"), many)]
    pub sections: Vec<String>,
}
