//! A demonstration: one stand-in group and a stand-in platform in this process, and two proxies.

use std::net;
use std::sync;
use std::time;

use mangotray::policy;

use crate::control;
use crate::environment;
use crate::profile;
use crate::ready;
use crate::remote;

/// Proxies of the demonstration.
const PROXIES: u16 = 2;

/// Longest wait until the proxies accept writes.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Serves for `lasts`, or without end if that is `None`.
///
/// # Errors
/// When a port is not free, or the proxies are not ready in time.
pub fn serve(port: u16, lasts: Option<time::Duration>) -> eyre::Result<()> {
    let profile = profile::Profile::tarapath();
    let control_port = port.checked_add(PROXIES).ok_or_else(|| {
        eyre::eyre!("port {port} is too high: the next {PROXIES} ports are needed as well")
    })?;
    let control = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, control_port));
    let listener = async_io::block_on(async_net::TcpListener::bind(control))?;
    let environment = environment::Environment::start(&environment::Options {
        program: std::env::current_exe()?,
        profile: profile.clone(),
        groups: 1,
        caller_addresses: (port..control_port)
            .map(|port| net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port)))
            .collect(),
        policy: policy::Policy::Default,
    })?;
    ready::wait(
        &profile,
        &[profile.group(0)],
        &environment.caller_addresses,
        READY_TIMEOUT,
    )?;
    println!("ready");
    println!("{}", usage_text(port, control));
    let handler = remote::Router(
        remote::Group(sync::Arc::clone(&environment.clusters[0])),
        remote::Platform(sync::Arc::clone(&environment.platform)),
    );
    async_io::block_on(async {
        let serving = control::serve(listener, &handler);
        futures_lite::future::or(serving, wait_for_end(lasts)).await
    })?;
    environment.stop();
    Ok(())
}

async fn wait_for_end(duration: Option<time::Duration>) -> eyre::Result<()> {
    match duration {
        Some(duration) => async_io::Timer::after(duration).await,
        None => futures_lite::future::pending().await,
    };
    Ok(())
}

/// Commands to try, printed at the start.
fn usage_text(port: u16, control: net::SocketAddr) -> String {
    let other = port + 1;
    let lab = "cargo run --release --bin mangotray-lab -- fault";
    format!(
        "\
Book a seat through one proxy, and read it at once through the other:

  psql -h 127.0.0.1 -p {port} -U desk dome_sched -c \"INSERT INTO bookings VALUES ('b-1', 'desk', 1, 'm', 3)\"
  psql -h 127.0.0.1 -p {other} -U desk dome_sched -c \"SELECT * FROM bookings\"

A session's token names the write that its reads must include; another session can set it as
its own:

  psql -h 127.0.0.1 -p {port} -U desk dome_sched
  dome_sched=> INSERT INTO bookings VALUES ('b-2', 'desk', 2, 'm', 3);
  dome_sched=> SHOW mangotray.token;
  dome_sched=> SET mangotray.deadline = '500ms';

Crash the primary, write again, and restart the crashed instance:

  {lab} {control} status
  {lab} {control} crash primary
  psql -h 127.0.0.1 -p {other} -U desk dome_sched -c \"INSERT INTO bookings VALUES ('b-3', 'desk', 3, 'm', 3)\"
  {lab} {control} status
  {lab} {control} restart 0

The platform's service can fail as well; reads and writes continue:

  {lab} {control} platform outage on
  {lab} {control} platform outage off"
    )
}
