//! `mangotray status`.

use std::net;
use std::time;

use compact_str::ToCompactString;
use compact_str::format_compact;
use futures_util::StreamExt;

use crate::admin;
use crate::cli;
use crate::command;
use crate::console;
use crate::enrol;
use crate::exit;
use crate::id;
use crate::overview;
use crate::store;

/// Maximum number of proxies queried at the same time.
const MAX_CONCURRENT_REQUESTS: usize = 64;

/// A proxy to query; the name is unknown for an address from the command line.
struct Target {
    name: Option<id::Vm>,
    admin: net::SocketAddr,
}

/// Proxies to query, from the platform and the command line.
#[derive(Default)]
struct Listing {
    targets: Vec<Target>,
    /// Errors due to which the platform's list is missing or incomplete. Without them an operator
    /// would conclude that a proxy missing from the list has stopped.
    failures: Vec<String>,
}

pub(super) fn run(
    arguments: &cli::Status,
    console: &mut console::Console,
) -> eyre::Result<exit::Code> {
    if arguments.platform.is_none() && arguments.admin.is_empty() {
        console.error("at least one of --platform and --admin is required")?;
        return Ok(exit::Code::Usage);
    }
    let Listing { targets, failures } = gather(arguments);
    let statuses = futures_util::stream::iter(targets)
        .map(|target| ask(target, arguments.timeout))
        .buffer_unordered(MAX_CONCURRENT_REQUESTS)
        .collect();
    let vms = async_io::block_on(statuses);
    for failure in &failures {
        console.error(failure)?;
    }
    let mut overview = overview::Overview::new(vms);
    if !failures.is_empty() && overview.vms.is_empty() {
        // Without the list it is unknown whether any proxy is registered.
        overview.problems.clear();
    }
    show(arguments, &overview, console)?;
    Ok(exit_code(&overview, !failures.is_empty()))
}

fn exit_code(overview: &overview::Overview, list_failed: bool) -> exit::Code {
    let unanswered = overview.vms.iter().all(|vm| vm.status.is_none());
    if unanswered && (list_failed || !overview.vms.is_empty()) {
        exit::Code::Unreachable
    } else if list_failed || !overview.problems.is_empty() {
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

fn gather(arguments: &cli::Status) -> Listing {
    let mut listing = arguments
        .platform
        .map(|address| list(address, arguments.timeout))
        .unwrap_or_default();
    for admin in &arguments.admin {
        if listing.targets.iter().all(|target| target.admin != *admin) {
            let (name, admin) = (None, *admin);
            listing.targets.push(Target { name, admin });
        }
    }
    listing
}

fn list(address: net::SocketAddr, timeout: time::Duration) -> Listing {
    let entries = command::with_store(address, timeout, async |store| {
        store.list(enrol::KEY_PREFIX).await
    });
    let mut listing = Listing::default();
    match entries {
        Ok(entries) => entries.iter().for_each(|entry| listing.add(entry)),
        Err(failure) => {
            let detail = command::failure_detail(&failure);
            let message = format!("platform at {address}: cannot list the proxies: {detail}");
            listing.failures.push(message);
        }
    }
    listing
}

impl Listing {
    fn add(&mut self, entry: &store::Entry) {
        match serde_json::from_slice::<enrol::Record>(&entry.value) {
            Ok(record) => self.targets.push(Target {
                name: Some(record.vm),
                admin: record.admin,
            }),
            Err(error) => {
                let message = format!("{}: registration cannot be read: {error}", entry.key);
                self.failures.push(message);
            }
        }
    }
}

async fn ask(target: Target, timeout: time::Duration) -> overview::Vm {
    let answer = admin::fetch(target.admin, timeout).await;
    let listed_name = target.name;
    let (name, status, error) = match answer {
        Ok(status) => (
            listed_name.unwrap_or_else(|| status.vm.clone()),
            Some(status),
            None,
        ),
        Err(error) => {
            let name = listed_name.unwrap_or_else(|| target.admin.to_compact_string());
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
