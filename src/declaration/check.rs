//! Checks that involve several entries of a declaration.

use std::collections;

use crate::database;
use crate::declaration;
use crate::fault;
use crate::section;

/// Checks the entries of one group against each other.
pub(super) fn group(
    section: &section::Section,
    group: &database::Group,
    faults: &mut Vec<fault::Fault>,
) {
    if group.connections > declaration::MAX_CONNECTIONS {
        let reason = format!("more than {}", declaration::MAX_CONNECTIONS);
        faults.push(section.fault("connections", reason));
    }
    if group.slots > group.connections {
        let reason = format!(
            "{} slots cannot be used over {} connections",
            group.slots, group.connections
        );
        faults.push(section.fault("slots", reason));
    }
    if let Some(name) = first_duplicate(group.instances.iter().map(|i| &i.name)) {
        let reason = format!("two instances are named {name:?}");
        faults.push(section.fault("instances", reason));
    }
}

/// Checks that no table of a group has two limits.
pub(super) fn tables(
    section: &section::Section,
    age: &database::Age,
    group: &database::Group,
    faults: &mut Vec<fault::Fault>,
) {
    let declared = group.ages.iter().flat_map(|age| &age.tables);
    if let Some(table) = first_duplicate(declared.chain(&age.tables)) {
        let reason = format!("table {table:?} of {} is listed twice", group.name);
        faults.push(section.fault("tables", reason));
    }
}

/// Checks that no two groups share a database and no two instances an address.
pub(super) fn unique(sources: &[declaration::Source<'_>], faults: &mut Vec<fault::Fault>) {
    let mut databases = collections::HashMap::new();
    let mut addresses = collections::HashMap::new();
    for declaration::Source { section, group } in sources {
        if let Some(other) = databases.insert(&group.database, &group.name) {
            let reason = format!("{:?} is also the database of {other}", group.database);
            faults.push(section.fault("database", reason));
        }
        for instance in &group.instances {
            if let Some(other) = addresses.insert(instance.address, &group.name) {
                let reason = format!(
                    "{} is also the address of an instance of {other}",
                    instance.address
                );
                faults.push(section.fault("instances", reason));
            }
        }
    }
}

/// Warns when the loss of one failure domain would lose a group's majority.
pub(super) fn domain_warning(source: &declaration::Source<'_>) -> Option<fault::Fault> {
    let domains = source.group.instances.iter().map(|i| &i.domain);
    let domain = first_duplicate(domains)?;
    let reason = format!(
        "two or more instances run in {domain:?}; its loss stops writes until one of them returns"
    );
    Some(source.section.fault("instances", reason))
}

/// Returns the first item that equals an earlier one.
pub(super) fn first_duplicate<T: Eq + std::hash::Hash>(
    items: impl Iterator<Item = T>,
) -> Option<T> {
    let mut seen = collections::HashSet::new();
    let mut items = items;
    items.find_map(|item| {
        if seen.contains(&item) {
            return Some(item);
        }
        seen.insert(item);
        None
    })
}
