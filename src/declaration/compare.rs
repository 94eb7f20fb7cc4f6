//! Compares two catalogs in the terms of the operators' file.

use std::collections;
use std::time;

use compact_str::CompactString;

use crate::catalog;
use crate::change;
use crate::database;

/// Lists the changes from `old` to `new`; empty when both declare the same.
///
/// ```
/// use mangotray::{catalog, declaration};
/// let text = "[group g]\ndatabase = d\n\
///     instances = a@x:10.0.0.1:5, b@y:10.0.0.2:5, c@z:10.0.0.3:5\n\
///     connections = 20\nslots = 3\ndeadline = 2s\n";
/// let parse = |text: &str| declaration::Declaration::parse(text).unwrap().catalog;
/// let changes = declaration::diff(&parse(text), &parse(&text.replace("= 3", "= 4")));
/// assert_eq!(changes[0].to_string(), "~ group g: slots 3 -> 4");
/// ```
#[must_use]
pub fn diff(old: &catalog::Catalog, new: &catalog::Catalog) -> Vec<change::Change> {
    let find = |catalog: &catalog::Catalog, name: &str| {
        catalog.groups.iter().find(|g| g.name == name).cloned()
    };
    let removed = old.groups.iter().filter(|g| find(new, &g.name).is_none());
    let removed = removed.map(|g| change::Change::GroupRemoved(g.name.clone()));
    let added_or_changed = new.groups.iter().flat_map(|g| match find(old, &g.name) {
        None => vec![change::Change::GroupAdded(g.name.clone())],
        Some(before) => group(&before, g),
    });
    let serving =
        (old.vms != new.vms).then(|| change::Change::Serving(old.vms.clone(), new.vms.clone()));
    removed.chain(added_or_changed).chain(serving).collect()
}

fn group(old: &database::Group, new: &database::Group) -> Vec<change::Change> {
    use change::Detail;
    let mut details = Vec::new();
    if old.database != new.database {
        let names = (old.database.clone(), new.database.clone());
        details.push(Detail::Database(names.0, names.1));
    }
    details.extend(instances(old, new));
    if old.connections != new.connections {
        details.push(Detail::Connections(old.connections, new.connections));
    }
    if old.slots != new.slots {
        details.push(Detail::Slots(old.slots, new.slots));
    }
    if old.deadline != new.deadline {
        details.push(Detail::Deadline(old.deadline, new.deadline));
    }
    details.extend(ages(&old.ages, &new.ages));
    let group_change = |detail| change::Change::Group(new.name.clone(), detail);
    details.into_iter().map(group_change).collect()
}

fn instances(old: &database::Group, new: &database::Group) -> Vec<change::Detail> {
    let find = |group: &database::Group, name: &str| {
        group.instances.iter().find(|i| i.name == name).cloned()
    };
    let removed = old
        .instances
        .iter()
        .filter(|i| find(new, &i.name).is_none());
    let removed = removed.map(|i| change::Detail::InstanceRemoved(i.name.clone()));
    let added_or_changed = new.instances.iter().flat_map(|i| match find(old, &i.name) {
        None => instance_added(i),
        Some(before) => instance(&before, i),
    });
    removed.chain(added_or_changed).collect()
}

fn instance_added(new: &database::Instance) -> Vec<change::Detail> {
    let name = || new.name.clone();
    let added = change::Detail::InstanceAdded(name(), new.domain.clone(), new.address);
    let leaving = new.leaving.then(|| change::Detail::Leaving(name()));
    std::iter::once(added).chain(leaving).collect()
}

fn instance(old: &database::Instance, new: &database::Instance) -> Vec<change::Detail> {
    use change::Detail;
    let name = || new.name.clone();
    let mut details = Vec::new();
    if old.address != new.address {
        details.push(Detail::Address(name(), old.address, new.address));
    }
    if old.domain != new.domain {
        let domains = (old.domain.clone(), new.domain.clone());
        details.push(Detail::Domain(name(), domains.0, domains.1));
    }
    match (old.leaving, new.leaving) {
        (false, true) => details.push(Detail::Leaving(name())),
        (true, false) => details.push(Detail::Returning(name())),
        _ => {}
    }
    details
}

fn ages(old: &[database::Age], new: &[database::Age]) -> Vec<change::Detail> {
    let (before, after) = (limits(old), limits(new));
    let tables: collections::BTreeSet<_> = before.keys().chain(after.keys()).collect();
    let limits = tables.into_iter().filter_map(|table| {
        let pair = (before.get(table).copied(), after.get(table).copied());
        (pair.0 != pair.1).then(|| change::Detail::Age(table.clone(), pair.0, pair.1))
    });
    let table_sets =
        |ages: &[database::Age]| -> Vec<_> { ages.iter().map(|a| a.tables.clone()).collect() };
    let regrouped = before.keys().eq(after.keys()) && table_sets(old) != table_sets(new);
    let regrouped = regrouped.then(|| change::Detail::AgeTables(table_sets(old), table_sets(new)));
    limits.chain(regrouped).collect()
}

fn limits(ages: &[database::Age]) -> collections::BTreeMap<CompactString, time::Duration> {
    ages.iter()
        .flat_map(|age| age.tables.iter().map(|table| (table.clone(), age.limit)))
        .collect()
}
