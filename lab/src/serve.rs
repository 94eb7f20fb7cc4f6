//! Runs stand-ins as separate processes.

use std::net;
use std::sync;

use mangotray::catalog;

use crate::cli;
use crate::cluster;
use crate::control;
use crate::declare;
use crate::platform;
use crate::remote;

type Executor = sync::Arc<async_executor::Executor<'static>>;

/// Runs the platform's stand-in until interrupted.
///
/// # Errors
/// When an address is in use or not 127.0.0.1, or an entry of the VM list is invalid.
pub fn platform(arguments: &cli::Platform) -> eyre::Result<()> {
    let executor = Executor::default();
    let options = platform::Options {
        port: loopback_port(arguments.listen)?,
        ..platform::Options::default()
    };
    let platform = platform::Platform::start(options, &executor)?;
    platform.set_vms(remote::listings(arguments.vm.iter().map(String::as_str))?);
    println!("platform {}", platform.address());
    let handler = remote::Platform(platform);
    run_with_control(&executor, arguments.control, &handler)
}

/// Runs the instances of one group until interrupted, and prints the declaration of the
/// group for the configuration.
///
/// # Errors
/// When an address is in use or not 127.0.0.1, or the number of addresses is not three.
pub fn group(arguments: &cli::Group) -> eyre::Result<()> {
    let executor = Executor::default();
    let ports: Vec<_> = arguments
        .listen
        .iter()
        .map(|address| loopback_port(*address))
        .collect::<Result<_, _>>()?;
    let profile = &arguments.profile;
    let options = cluster::Options {
        ports: ports
            .try_into()
            .map_err(|ports: Vec<_>| eyre::eyre!("{} addresses given, not 3", ports.len()))?,
        ..profile.cluster(arguments.index)
    };
    let cluster = cluster::Cluster::start(options, &executor)?;
    let catalog = catalog::Catalog {
        groups: vec![profile.declare(&cluster)],
        vms: Vec::new(),
    };
    print!("{}", declare::text(&catalog));
    let handler = remote::Group(cluster);
    run_with_control(&executor, arguments.control, &handler)
}

/// Port of an address; refuses other addresses than the loopback address.
fn loopback_port(address: net::SocketAddr) -> eyre::Result<u16> {
    let is_loopback = address.ip() == net::Ipv4Addr::LOCALHOST;
    eyre::ensure!(is_loopback, "{address} is not on 127.0.0.1");
    Ok(address.port())
}

/// Runs the executor, and the control port if there is one, until that fails.
fn run_with_control(
    executor: &Executor,
    control: Option<net::SocketAddr>,
    handler: &dyn control::Handler,
) -> eyre::Result<()> {
    async_io::block_on(executor.run(async {
        let Some(address) = control else {
            return futures_lite::future::pending().await;
        };
        let listener = async_net::TcpListener::bind(address).await?;
        control::serve(listener, handler).await
    }))
}
