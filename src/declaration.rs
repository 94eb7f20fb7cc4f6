//! Reads the operators' INI file into a checked catalog.
//!
//! ```ini
//! [group dome-sched-1]
//! database = dome
//! instances = a@patan-hall:10.0.1.5:5432, b@kirtipur-hall:10.0.2.5:5432, c@bhaktapur-hall:10.0.3.5:5432
//! connections = 20
//! slots = 3
//! deadline = 2s
//! leaving = b
//!
//! [age dome-sched-1 calendar]
//! tables = shows, calendar
//! limit = 5s
//!
//! [serving]
//! vms = *
//! ```
//!
//! `leaving`, `[age ...]` and `[serving]` are optional. The catalog is sorted by name, so the
//! order of a file does not matter: the same declarations always give the same catalog.

use std::time;

use compact_str::CompactString;
use compact_str::format_compact;

use crate::catalog;
use crate::database;
use crate::document;
use crate::fault;
use crate::section;
use crate::value;

/// Number of instances in a group: with three, a majority of two remains after the loss of any one.
pub const INSTANCES_PER_GROUP: usize = 3;

const GROUP_KEYS: [&str; 6] = [
    "database",
    "instances",
    "leaving",
    "connections",
    "slots",
    "deadline",
];
const AGE_KEYS: [&str; 2] = ["tables", "limit"];
const SERVING_KEYS: [&str; 1] = ["vms"];
const DEFAULT_SCHEMA: &str = "public.";
const ALL_VMS: &str = "*";
const MIN_DEADLINE: time::Duration = time::Duration::from_millis(10);
const MAX_DEADLINE: time::Duration = time::Duration::from_mins(10);
const MIN_AGE: time::Duration = time::Duration::from_millis(1);
const MAX_AGE: time::Duration = time::Duration::from_hours(24);
const MAX_CONNECTIONS: usize = 10_000;

/// The content of a valid operators' file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Declaration {
    /// All declarations of the file.
    pub catalog: catalog::Catalog,
    /// Declarations that are valid but probably not intended.
    pub warnings: Vec<fault::Fault>,
}

/// A group and the section that declares it.
struct Source<'a> {
    section: &'a section::Section,
    group: database::Group,
}

impl Declaration {
    /// Reads and checks a whole file.
    ///
    /// # Errors
    /// All errors in the file, in the order of its lines.
    ///
    /// ```
    /// let declaration = mangotray::declaration::Declaration::parse(
    ///     "[group g]\ndatabase = d\ninstances = a@x:10.0.0.1:5, b@y:10.0.0.2:5, c@z:10.0.0.3:5\n\
    ///      connections = 20\nslots = 3\ndeadline = 2s\n",
    /// ).unwrap();
    /// assert_eq!(declaration.catalog.groups[0].instances[2].domain, "z");
    /// assert!(declaration.warnings.is_empty());
    /// ```
    pub fn parse(text: &str) -> Result<Self, Vec<fault::Fault>> {
        let mut document = document::Document::parse(text);
        let mut faults = std::mem::take(&mut document.faults);
        check_sections(&document, &mut faults);
        let mut sources = groups(&document, &mut faults);
        ages(&document, &mut sources, &mut faults);
        check::unique(&sources, &mut faults);
        let vms = serving(&document, &mut faults);
        if !faults.is_empty() {
            faults.sort_by_key(|fault| fault.line);
            return Err(faults);
        }
        let warnings = sources.iter().filter_map(check::domain_warning).collect();
        Ok(Self {
            catalog: sorted_catalog(sources, vms),
            warnings,
        })
    }
}

fn sorted_catalog(sources: Vec<Source<'_>>, vms: Vec<CompactString>) -> catalog::Catalog {
    let mut groups: Vec<_> = sources.into_iter().map(|source| source.group).collect();
    groups.sort_by(|a, b| a.name.cmp(&b.name));
    catalog::Catalog { groups, vms }
}

fn check_sections(document: &document::Document, faults: &mut Vec<fault::Fault>) {
    let is_known = |title: &str| {
        let words: Vec<_> = title.split(' ').collect();
        matches!(words[..], ["group", _] | ["age", _, _] | ["serving"])
    };
    let unknown = document.sections.iter().filter(|s| !is_known(&s.title));
    let reason = "unknown section; known are: [group NAME], [age GROUP NAME], [serving]";
    faults.extend(
        unknown.map(|s| fault::Fault::new(s.line, format_compact!("[{}]", s.title), reason)),
    );
    let is_group = |s: &section::Section| s.title.split(' ').next() == Some("group");
    if !document.sections.iter().any(is_group) {
        faults.push(fault::Fault::new(
            Some(1),
            "",
            "declares no [group NAME]; applying it would end all service",
        ));
    }
}

fn groups<'a>(document: &'a document::Document, faults: &mut Vec<fault::Fault>) -> Vec<Source<'a>> {
    document
        .sections
        .iter()
        .filter_map(|section| {
            let name = section.title.strip_prefix("group ")?;
            let group = group(section, name, faults)?;
            Some(Source { section, group })
        })
        .collect()
}

fn group(
    section: &section::Section,
    name: &str,
    faults: &mut Vec<fault::Fault>,
) -> Option<database::Group> {
    section.check_keys(&GROUP_KEYS, faults);
    let name = section_name(section, name, faults);
    let database = section.required("database", value::name, faults);
    let instances = section.required("instances", instances, faults);
    let leaving = section.optional("leaving", value::list(value::name), faults);
    let connections = section.required("connections", value::count, faults);
    let slots = section.required("slots", value::count, faults);
    let bounds = value::within(MIN_DEADLINE, MAX_DEADLINE);
    let deadline = section.required("deadline", bounds, faults);
    let mut group = database::Group {
        name: name?,
        database: database?,
        instances: instances?,
        connections: connections?,
        slots: slots?,
        deadline: deadline?,
        ages: Vec::new(),
    };
    mark_leaving(section, &mut group, &leaving.unwrap_or_default(), faults);
    check::group(section, &group, faults);
    Some(group)
}

fn section_name(
    section: &section::Section,
    name: &str,
    faults: &mut Vec<fault::Fault>,
) -> Option<CompactString> {
    value::name(name)
        .map_err(|reason| {
            let key = format_compact!("[{}]", section.title);
            faults.push(fault::Fault::new(section.line, key, reason));
        })
        .ok()
}

fn instances(text: &str) -> value::Result<Vec<database::Instance>> {
    let mut instances = value::list(instance)(text)?;
    if instances.len() != INSTANCES_PER_GROUP {
        return Err(format_compact!(
            "{} instances; a group has exactly {INSTANCES_PER_GROUP}, as writes are confirmed and \
             promotions decided by a majority of 2, which must remain after the loss of any one",
            instances.len()
        ));
    }
    instances.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(instances)
}

fn instance(text: &str) -> value::Result<database::Instance> {
    let parts = text
        .split_once('@')
        .and_then(|(name, rest)| Some((name, rest.split_once(':')?)));
    let Some((name, (domain, address))) = parts else {
        return Err(format_compact!(
            "{text:?} is not an instance; expected NAME@FAILURE-DOMAIN:IP:PORT"
        ));
    };
    Ok(database::Instance {
        name: value::name(name)?,
        address: value::remote(address)?,
        domain: value::name(domain)?,
        leaving: false,
    })
}

fn mark_leaving(
    section: &section::Section,
    group: &mut database::Group,
    names: &[CompactString],
    faults: &mut Vec<fault::Fault>,
) {
    if names.len() > 1 {
        let reason = "only one instance may leave at a time; two must remain as a majority";
        faults.push(section.fault("leaving", reason));
    }
    for name in names {
        match group.instances.iter_mut().find(|i| i.name == *name) {
            Some(instance) => instance.leaving = true,
            None => faults.push(section.fault("leaving", format!("no instance {name:?}"))),
        }
    }
}

fn ages(document: &document::Document, sources: &mut [Source<'_>], faults: &mut Vec<fault::Fault>) {
    for section in &document.sections {
        let words: Vec<_> = section.title.split(' ').collect();
        let ["age", group, label] = words[..] else {
            continue;
        };
        section_name(section, label, faults);
        let age = age(section, faults);
        let group_title = format_compact!("group {group}");
        if !document.sections.iter().any(|s| s.title == group_title) {
            let key = format_compact!("[{}]", section.title);
            let reason = format!("no [group {group}] in this file");
            faults.push(fault::Fault::new(section.line, key, reason));
        }
        let source = sources.iter_mut().find(|s| s.group.name == group);
        if let (Some(age), Some(source)) = (age, source) {
            check::tables(section, &age, &source.group, faults);
            source.group.ages.push(age);
        }
    }
    for source in sources {
        source.group.ages.sort_by(|a, b| a.tables.cmp(&b.tables));
    }
}

fn age(section: &section::Section, faults: &mut Vec<fault::Fault>) -> Option<database::Age> {
    section.check_keys(&AGE_KEYS, faults);
    let tables = section.required("tables", value::list(table), faults);
    let limit = section.required("limit", value::within(MIN_AGE, MAX_AGE), faults);
    let mut age = database::Age {
        tables: tables?,
        limit: limit?,
    };
    age.tables.sort();
    Some(age)
}

/// Parses the name of a table like an unquoted name in a statement: `Shows` and `public.shows` are
/// the table that the statement parser calls `shows`.
fn table(text: &str) -> value::Result<CompactString> {
    let name = value::name(text)?.to_ascii_lowercase();
    Ok(name.strip_prefix(DEFAULT_SCHEMA).unwrap_or(&name).into())
}

fn serving(document: &document::Document, faults: &mut Vec<fault::Fault>) -> Vec<CompactString> {
    let Some(section) = document.sections.iter().find(|s| s.title == "serving") else {
        return Vec::new();
    };
    section.check_keys(&SERVING_KEYS, faults);
    let mut vms = section.required("vms", vms, faults).unwrap_or_default();
    vms.sort();
    if let Some(name) = check::first_duplicate(vms.iter()) {
        faults.push(section.fault("vms", format!("{name:?} is listed twice")));
    }
    vms
}

fn vms(text: &str) -> value::Result<Vec<CompactString>> {
    if text == ALL_VMS {
        return Ok(Vec::new());
    }
    value::list(value::name)(text)
}

mod check;
mod compare;
mod print;

pub use compare::diff;
pub use print::render;

#[cfg(test)]
mod tests;
