//! Formats catalogs in the syntax of the operators' file.

use std::fmt::Write;

use mangotray::catalog;
use mangotray::database;

const WRITES_TO_STRING: &str = "writing to a string does not fail";

/// Formats the operators' file that declares a catalog.
///
/// ```
/// use mangotray::{catalog, declaration};
/// use mangotray_lab::{cluster, declare};
/// let executor = std::sync::Arc::new(async_executor::Executor::new());
/// let group = cluster::Cluster::start(cluster::Options::default(), &executor).unwrap();
/// let catalog = catalog::Catalog { groups: vec![group.declaration()], vms: Vec::new() };
/// let parsed = declaration::Declaration::parse(&declare::text(&catalog)).unwrap();
/// assert_eq!(parsed.catalog, catalog);
/// ```
#[must_use]
pub fn text(catalog: &catalog::Catalog) -> String {
    let mut sections: Vec<_> = catalog.groups.iter().map(group).collect();
    if !catalog.vms.is_empty() {
        sections.push(format!("[serving]\nvms = {}\n", catalog.vms.join(", ")));
    }
    sections.join("\n")
}

fn group(group: &database::Group) -> String {
    let database::Group {
        name,
        database,
        connections,
        slots,
        ..
    } = group;
    let deadline = humantime::format_duration(group.deadline);
    let instances: Vec<_> = group.instances.iter().map(instance).collect();
    let mut text = format!(
        "[group {name}]\ndatabase = {database}\ninstances = {}\nconnections = {connections}\n\
         slots = {slots}\ndeadline = {deadline}\n",
        instances.join(", ")
    );
    let leaving = group.instances.iter().filter(|instance| instance.leaving);
    let leaving: Vec<_> = leaving.map(|instance| instance.name.as_str()).collect();
    if !leaving.is_empty() {
        write_key(&mut text, "leaving", &leaving.join(", "));
    }
    for (index, age) in group.ages.iter().enumerate() {
        write!(text, "\n[age {name} age-{index}]\n").expect(WRITES_TO_STRING);
        write_key(&mut text, "tables", &age.tables.join(", "));
        write_key(
            &mut text,
            "limit",
            &humantime::format_duration(age.limit).to_string(),
        );
    }
    text
}

fn instance(instance: &database::Instance) -> String {
    let database::Instance {
        name,
        address,
        domain,
        ..
    } = instance;
    format!("{name}@{domain}:{address}")
}

fn write_key(text: &mut String, key: &str, value: &str) {
    writeln!(text, "{key} = {value}").expect(WRITES_TO_STRING);
}
