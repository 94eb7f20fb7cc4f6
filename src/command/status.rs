//! `mangotray status`.

use std::net;
use std::sync;
use std::time;

use compact_str::ToCompactString;
use compact_str::format_compact;
use futures_util::StreamExt;

use crate::admin;
use crate::cli;
use crate::command;
use crate::console;
use crate::exit;
use crate::id;
use crate::overview;
use crate::platform;
use crate::store;
use crate::store::Store as _;

/// Prefix of the keys under which proxies register; each goes with its proxy's lease.
const PREFIX: &str = "vm/";

/// Proxies that are asked at once.
const CONCURRENCY: usize = 64;

/// What this command needs from a proxy's registration.
#[derive(serde::Deserialize)]
struct Registration {
    vm: id::Vm,
    admin: net::SocketAddr,
}

/// A proxy to be asked; the name is unknown for an address given by hand.
struct Target {
    name: Option<id::Vm>,
    admin: net::SocketAddr,
}

pub(super) fn run(
    arguments: &cli::Status,
    console: &mut console::Console,
) -> eyre::Result<exit::Code> {
    if arguments.platform.is_none() && arguments.admin.is_empty() {
        console.error("give --platform, --admin or both")?;
        return Ok(exit::Code::Usage);
    }
    let executor = sync::Arc::new(async_executor::Executor::new());
    let gathered = gather(arguments, &executor);
    let (vms, failure) = async_io::block_on(executor.run(gathered));
    if let Some(failure) = &failure {
        console.error(&format!("cannot list the proxies: {failure}"))?;
    }
    let overview = overview::Overview::new(vms);
    show(arguments, &overview, console)?;
    Ok(code(&overview, failure.is_some()))
}

fn code(overview: &overview::Overview, unlisted: bool) -> exit::Code {
    let silent = overview.vms.iter().all(|vm| vm.status.is_none());
    if silent && (unlisted || !overview.vms.is_empty()) {
        exit::Code::Unreachable
    } else if unlisted || !overview.problems.is_empty() {
        exit::Code::Degraded
    } else {
        exit::Code::Success
    }
}

fn show(
    arguments: &cli::Status,
    overview: &overview::Overview,
    console: &mut console::Console,
) -> eyre::Result<()> {
    if arguments.json {
        serde_json::to_writer(&mut console.out, overview)?;
        writeln!(console.out)?;
        return Ok(());
    }
    write!(console.out, "{overview}")?;
    console.out.flush()?;
    for problem in &overview.problems {
        console.warning(problem)?;
    }
    Ok(())
}

async fn gather(
    arguments: &cli::Status,
    executor: &sync::Arc<async_executor::Executor<'static>>,
) -> (Vec<overview::Vm>, Option<String>) {
    let listed = match arguments.platform {
        Some(address) => list(address, arguments.timeout, executor).await,
        None => Ok(Vec::new()),
    };
    let (mut targets, failure) = match listed {
        Ok(targets) => (targets, None),
        Err(failure) => (Vec::new(), Some(failure)),
    };
    for admin in &arguments.admin {
        if targets.iter().all(|target| target.admin != *admin) {
            let (name, admin) = (None, *admin);
            targets.push(Target { name, admin });
        }
    }
    let vms = futures_util::stream::iter(targets)
        .map(|target| ask(target, arguments.timeout))
        .buffer_unordered(CONCURRENCY)
        .collect()
        .await;
    (vms, failure)
}

async fn list(
    address: net::SocketAddr,
    timeout: time::Duration,
    executor: &sync::Arc<async_executor::Executor<'static>>,
) -> Result<Vec<Target>, String> {
    let mut options = platform::Options::new(address);
    options.timeout = timeout;
    let client = platform::Client::new(options, executor);
    let entries = client
        .list(PREFIX)
        .await
        .map_err(|failure| command::reason(&failure).to_owned())?;
    Ok(entries.iter().filter_map(target).collect())
}

/// A registration that cannot be read is left out, but not silently: a newer proxy may
/// write a form that this client does not know.
fn target(entry: &store::Entry) -> Option<Target> {
    match serde_json::from_slice::<Registration>(&entry.value) {
        Ok(registration) => Some(Target {
            name: Some(registration.vm),
            admin: registration.admin,
        }),
        Err(error) => {
            tracing::warn!(key = %entry.key, %error, "registration cannot be read");
            None
        }
    }
}

async fn ask(target: Target, timeout: time::Duration) -> overview::Vm {
    let fetched = admin::fetch(target.admin, timeout).await;
    let given = target.name;
    let (name, status, error) = match fetched {
        Ok(status) => (
            given.unwrap_or_else(|| status.vm.clone()),
            Some(status),
            None,
        ),
        Err(error) => {
            let name = given.unwrap_or_else(|| target.admin.to_compact_string());
            (name, None, Some(format_compact!("{error:#}")))
        }
    };
    overview::Vm {
        name,
        admin: target.admin,
        status,
        error,
    }
}
