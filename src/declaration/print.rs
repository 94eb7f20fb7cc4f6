//! Writes a catalog as an operators' file.

use std::fmt::Write;

use crate::catalog;
use crate::database;
use crate::declaration;

/// Renders a catalog as text that parses to the same catalog again.
///
/// A catalog does not keep the names of `[age ...]` sections, so they are numbered instead.
///
/// ```
/// use mangotray::declaration;
/// let text = "[group g]\ndatabase = d\n\
///     instances = a@x:10.0.0.1:5, b@y:10.0.0.2:5, c@z:10.0.0.3:5\n\
///     connections = 20\nslots = 3\ndeadline = 2s\n";
/// let catalog = declaration::Declaration::parse(text).unwrap().catalog;
/// let again = declaration::Declaration::parse(&declaration::render(&catalog)).unwrap();
/// assert_eq!(again.catalog, catalog);
/// ```
#[must_use]
pub fn render(catalog: &catalog::Catalog) -> String {
    let mut text = String::new();
    catalog.groups.iter().for_each(|g| group(&mut text, g));
    let vms = if catalog.vms.is_empty() {
        declaration::ALL_VMS.to_owned()
    } else {
        catalog.vms.join(", ")
    };
    line(&mut text, format_args!("[serving]\nvms = {vms}"));
    text
}

fn group(text: &mut String, group: &database::Group) {
    let instances: Vec<_> = group.instances.iter().map(instance).collect();
    let leaving = group.instances.iter().find(|i| i.leaving);
    line(text, format_args!("[group {}]", group.name));
    line(text, format_args!("database = {}", group.database));
    line(text, format_args!("instances = {}", instances.join(", ")));
    if let Some(instance) = leaving {
        line(text, format_args!("leaving = {}", instance.name));
    }
    line(text, format_args!("connections = {}", group.connections));
    line(text, format_args!("slots = {}", group.slots));
    let deadline = humantime::format_duration(group.deadline);
    line(text, format_args!("deadline = {deadline}\n"));
    for (index, age) in group.ages.iter().enumerate() {
        let limit = humantime::format_duration(age.limit);
        line(text, format_args!("[age {} {}]", group.name, index + 1));
        line(text, format_args!("tables = {}", age.tables.join(", ")));
        line(text, format_args!("limit = {limit}\n"));
    }
}

fn instance(instance: &database::Instance) -> String {
    format!("{}@{}:{}", instance.name, instance.domain, instance.address)
}

fn line(text: &mut String, content: std::fmt::Arguments<'_>) {
    writeln!(text, "{content}").expect("writing to a string cannot fail");
}
