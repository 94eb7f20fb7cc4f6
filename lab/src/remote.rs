//! Commands that a running stand-in accepts on its control port.

use std::sync;
use std::time;

use futures_util::FutureExt;
use futures_util::future;
use mangotray::id;
use mangotray::role;
use mangotray::store;

use crate::cluster;
use crate::control;
use crate::platform;

/// Commands for a group; `I` is the index of an instance, or `primary`.
pub const GROUP_HELP: &str = "crash I | restart I | cut I | heal I | blackhole I | \
    unblackhole I | pause I | resume I | lag I TIME | sql I QUERY | status";

/// Commands for the platform.
pub const PLATFORM_HELP: &str =
    "outage on|off | delay TIME | lose FRACTION | vms NAME@DOMAIN[@leaving]... | calls";

/// Seed for the choice of lost answers.
const LOST_ANSWER_SEED: u64 = 1;

/// Handles commands for a group.
pub struct Group(pub sync::Arc<cluster::Cluster>);

/// Handles commands for the platform.
pub struct Platform(pub sync::Arc<platform::Platform>);

/// Passes commands that start with `platform` to the platform, others to a group.
pub struct Router(pub Group, pub Platform);

impl control::Handler for Group {
    fn handle<'a>(&'a self, line: &'a str) -> future::BoxFuture<'a, eyre::Result<String>> {
        future::ready(self.run(line)).boxed()
    }
}

impl control::Handler for Platform {
    fn handle<'a>(&'a self, line: &'a str) -> future::BoxFuture<'a, eyre::Result<String>> {
        future::ready(self.run(line)).boxed()
    }
}

impl control::Handler for Router {
    fn handle<'a>(&'a self, line: &'a str) -> future::BoxFuture<'a, eyre::Result<String>> {
        match line.strip_prefix("platform ") {
            Some(line) => self.1.handle(line),
            None => self.0.handle(line),
        }
    }
}

impl Group {
    /// Carries out one command.
    fn run(&self, line: &str) -> eyre::Result<String> {
        let (verb, rest) = line.split_once(' ').unwrap_or((line, ""));
        let (target, rest) = rest.split_once(' ').unwrap_or((rest, ""));
        let cluster = &self.0;
        match verb {
            "status" => return Ok(self.status()),
            "help" => return Ok(GROUP_HELP.to_owned()),
            "sql" => return self.query(self.parse_index(target)?, rest),
            "crash" => cluster.crash(self.parse_index(target)?),
            "restart" => cluster.restart(self.parse_index(target)?),
            "cut" => cluster.set_replication_cut(self.parse_index(target)?, true),
            "heal" => cluster.set_replication_cut(self.parse_index(target)?, false),
            "blackhole" => cluster.set_blackhole(self.parse_index(target)?, true),
            "unblackhole" => cluster.set_blackhole(self.parse_index(target)?, false),
            "pause" => cluster.set_paused(self.parse_index(target)?, true),
            "resume" => cluster.set_paused(self.parse_index(target)?, false),
            "lag" => cluster.set_lag(self.parse_index(target)?, parse_duration(rest)?),
            _ => eyre::bail!("unknown command {verb:?}; known are {GROUP_HELP}"),
        }
        Ok("done".to_owned())
    }

    fn parse_index(&self, text: &str) -> eyre::Result<id::Index> {
        if text == "primary" {
            return primary(&self.0).ok_or_else(|| eyre::eyre!("the group has no primary"));
        }
        let index: id::Index = text.parse()?;
        eyre::ensure!(index < cluster::INSTANCE_COUNT, "no instance {index}");
        Ok(index)
    }

    fn query(&self, index: id::Index, sql: &str) -> eyre::Result<String> {
        let rows = self.0.query(index, sql)?;
        let lines = rows.iter().map(|row| {
            let columns = row.iter().map(|value| value.as_deref().unwrap_or("NULL"));
            columns.collect::<Vec<_>>().join(" | ")
        });
        Ok(lines.collect::<Vec<_>>().join("\n"))
    }

    fn status(&self) -> String {
        let lines = (0..cluster::INSTANCE_COUNT).map(|index| {
            let status = self.0.status(index);
            let (role, stamp, fence) = (status.role, status.stamp, status.fence);
            format!("{index} {role:?} stamp {stamp} fence {fence}")
        });
        lines.collect::<Vec<_>>().join("\n")
    }
}

impl Platform {
    /// Carries out one command.
    fn run(&self, line: &str) -> eyre::Result<String> {
        let (verb, rest) = line.split_once(' ').unwrap_or((line, ""));
        match verb {
            "calls" => return Ok(self.0.calls().to_string()),
            "help" => return Ok(PLATFORM_HELP.to_owned()),
            "outage" => self.0.set_outage(parse_switch(rest)?),
            "delay" => self.0.set_delay(parse_duration(rest)?),
            "lose" => self.0.lose_answers(rest.parse()?, LOST_ANSWER_SEED),
            "vms" => self.0.set_vms(listings(rest.split_whitespace())?),
            _ => eyre::bail!("unknown command {verb:?}; known are {PLATFORM_HELP}"),
        }
        Ok("done".to_owned())
    }
}

/// Index of the primary of a group; that with the highest fence if there are several.
#[must_use]
pub fn primary(cluster: &cluster::Cluster) -> Option<id::Index> {
    (0..cluster::INSTANCE_COUNT)
        .filter(|index| cluster.status(*index).role == role::Role::Primary)
        .max_by_key(|index| cluster.status(*index).fence)
}

/// Parses entries of the VM list, each written `NAME@DOMAIN` or `NAME@DOMAIN@leaving`.
///
/// ```
/// let listings = mangotray_lab::remote::listings(["entry-1@patan-hall"]).unwrap();
/// assert_eq!(listings[0].domain, "patan-hall");
/// ```
///
/// # Errors
/// When an entry has another form.
pub fn listings<'a>(words: impl IntoIterator<Item = &'a str>) -> eyre::Result<Vec<store::Listing>> {
    words.into_iter().map(parse_listing).collect()
}

fn parse_listing(word: &str) -> eyre::Result<store::Listing> {
    let mut parts = word.split('@');
    let (Some(vm), Some(domain), leaving, None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        eyre::bail!("{word:?} is not of the form NAME@DOMAIN or NAME@DOMAIN@leaving");
    };
    eyre::ensure!(
        matches!(leaving, None | Some("leaving")),
        "unknown state in {word:?}"
    );
    Ok(store::Listing {
        vm: vm.into(),
        domain: domain.into(),
        leaving: leaving.is_some(),
    })
}

fn parse_switch(text: &str) -> eyre::Result<bool> {
    match text {
        "on" => Ok(true),
        "off" => Ok(false),
        _ => eyre::bail!("{text:?} is neither on nor off"),
    }
}

fn parse_duration(text: &str) -> eyre::Result<time::Duration> {
    Ok(humantime::parse_duration(text)?)
}

#[cfg(test)]
mod tests;
