//! State of the whole system, merged from the answers of its proxies.

use std::collections;
use std::net;

use compact_str::CompactString;
use compact_str::format_compact;

use crate::admin;
use crate::id;
use crate::role;
use crate::stamp;

mod print;

/// Output of `mangotray status`.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Overview {
    /// Proxies, by name.
    pub vms: Vec<Vm>,
    /// Groups, by name.
    pub groups: Vec<Group>,
    /// Problems that need attention; empty for a healthy system.
    pub problems: Vec<CompactString>,
}

/// One proxy and its answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Vm {
    /// Name of the VM, or the admin address when the name is unknown.
    pub name: id::Vm,
    /// Admin address that was queried.
    pub admin: net::SocketAddr,
    /// Status; `None` when the proxy did not answer.
    pub status: Option<admin::Status>,
    /// Error of the query, when the proxy did not answer.
    pub error: Option<CompactString>,
}

/// One group, merged from the answers of all proxies.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Group {
    /// Name in the operators' file.
    pub name: id::Group,
    /// Primary in the highest term, when one is known.
    pub primary: Option<CompactString>,
    /// Highest term that any proxy reports.
    pub term: id::Term,
    /// Instances in the order of the catalog.
    pub instances: Vec<Instance>,
    /// Requests that run on the instances or wait for them, on all proxies.
    pub queue: usize,
    /// Promotions that the proxies completed since they began to serve the group.
    pub promotions: u64,
    /// Longest of the last failover gaps that each proxy reports, in milliseconds.
    pub last_failover_gap_ms: Option<u64>,
}

/// One instance, merged from the answers of all proxies.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Instance {
    /// Name in the operators' file.
    pub name: CompactString,
    /// Role at the highest fence term that any proxy reports.
    pub role: Option<role::Role>,
    /// Highest stamp that any proxy reports.
    pub stamp: stamp::Stamp,
    /// Highest fence term that any proxy reports.
    pub fence: id::Term,
    /// Records behind the newest instance; the smallest number that any proxy reports.
    pub lag_records: Option<u64>,
    /// Proxies that reach the instance.
    pub reached_by: usize,
    /// Proxies that know the instance.
    pub known_by: usize,
    /// Connections of all proxies to the instance.
    pub connections: usize,
    /// Requests that run on the instance or wait for it, on all proxies.
    pub busy: usize,
}

impl Overview {
    /// Merges the proxies' answers and lists the problems that they show.
    ///
    /// ```
    /// let overview = mangotray::overview::Overview::new(Vec::new());
    /// assert_eq!(overview.problems, ["no proxy is registered"]);
    /// ```
    #[must_use]
    pub fn new(mut vms: Vec<Vm>) -> Self {
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        let groups = merge(&vms);
        let problems = problems(&vms, &groups);
        Self {
            vms,
            groups,
            problems,
        }
    }
}

fn merge(vms: &[Vm]) -> Vec<Group> {
    let mut merged = collections::BTreeMap::new();
    let views = vms.iter().filter_map(|vm| vm.status.as_ref());
    for view in views.flat_map(|status| &status.groups) {
        merged
            .entry(view.name.clone())
            .or_insert_with(Group::default)
            .add(view);
    }
    merged.into_values().collect()
}

impl Group {
    fn add(&mut self, view: &admin::Group) {
        self.name.clone_from(&view.name);
        if view.term > self.term {
            self.term = view.term;
            self.primary = None;
        }
        if view.term == self.term && self.primary.is_none() {
            self.primary.clone_from(&view.primary);
        }
        self.queue += view.queue;
        self.promotions += view.promotions;
        self.last_failover_gap_ms = self.last_failover_gap_ms.max(view.last_failover_gap_ms);
        for instance in &view.instances {
            self.instance(&instance.name).add(instance);
        }
    }

    fn instance(&mut self, name: &CompactString) -> &mut Instance {
        let found = self.instances.iter().position(|i| i.name == *name);
        let index = found.unwrap_or_else(|| {
            self.instances.push(Instance {
                name: name.clone(),
                ..Instance::default()
            });
            self.instances.len() - 1
        });
        &mut self.instances[index]
    }
}

impl Instance {
    fn add(&mut self, view: &admin::Instance) {
        if self.role.is_none() || view.fence > self.fence {
            self.role = view.role;
        }
        let lags = [self.lag_records, view.lag_records];
        self.lag_records = lags.into_iter().flatten().min();
        self.fence = self.fence.max(view.fence);
        self.stamp = self.stamp.max(view.stamp);
        self.reached_by += usize::from(view.reachable);
        self.known_by += 1;
        self.connections += view.connections;
        self.busy += view.busy;
    }
}

fn problems(vms: &[Vm], groups: &[Group]) -> Vec<CompactString> {
    if vms.is_empty() {
        return vec!["no proxy is registered".into()];
    }
    let statuses = || vms.iter().filter_map(|vm| vm.status.as_ref());
    let newest = statuses().map(|s| s.revision).max().unwrap_or_default();
    let unanswered = vms.iter().filter_map(|vm| {
        let error = vm.error.as_ref()?;
        Some(format_compact!("{}: no status: {error}", vm.name))
    });
    let outdated = statuses()
        .filter(|s| s.revision < newest)
        .map(|s| format_compact!("{}: still at revision {}, not {newest}", s.vm, s.revision));
    let unconfigured = (newest == 0 && statuses().next().is_some())
        .then(|| "no configuration is in force; apply a file".into());
    unanswered
        .chain(outdated)
        .chain(unconfigured)
        .chain(groups.iter().flat_map(group_problems))
        .collect()
}

fn group_problems(group: &Group) -> Vec<CompactString> {
    let without_primary = group
        .primary
        .is_none()
        .then(|| format_compact!("{}: no primary is known; writes are refused", group.name));
    let partly_unreachable = group.instances.iter().filter_map(|instance| {
        let Instance {
            name,
            reached_by,
            known_by,
            ..
        } = instance;
        (reached_by < known_by).then(|| {
            format_compact!(
                "{}: instance {name} is reached by {reached_by} of {known_by} proxies",
                group.name
            )
        })
    });
    without_primary
        .into_iter()
        .chain(partly_unreachable)
        .collect()
}

#[cfg(test)]
mod tests;
