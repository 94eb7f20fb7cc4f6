//! `mangotray explain`.

use compact_str::CompactString;

use crate::class;
use crate::classify;
use crate::cli;
use crate::command;
use crate::console;
use crate::database;
use crate::exit;

pub(super) fn run(
    arguments: &cli::Explain,
    console: &mut console::Console,
) -> eyre::Result<exit::Code> {
    let catalog = match &arguments.file {
        None => None,
        Some(file) => match command::read_source(file, console)? {
            Ok(source) => Some(source.catalog),
            Err(code) => return Ok(code),
        },
    };
    let groups = catalog.iter().flat_map(|catalog| &catalog.groups);
    let group = groups
        .into_iter()
        .find(|group| group.database == arguments.database);
    if catalog.is_some() && group.is_none() {
        let database = &arguments.database;
        console.error(&format!(
            "no group of this file has the database {database:?}"
        ))?;
        return Ok(exit::Code::InvalidFile);
    }
    for line in explain(&arguments.sql, group) {
        writeln!(console.out, "{line}")?;
    }
    Ok(exit::Code::Success)
}

/// Describes the classification of `sql` in lines of the form `label: text`.
fn explain(sql: &str, group: Option<&database::Group>) -> Vec<String> {
    match classify::plan(sql) {
        classify::Plan::Empty => vec!["class: none".into(), "why: no statement".into()],
        classify::Plan::Local(_) => vec![
            "class: none".into(),
            "why: the proxy answers by itself; no upstream is used".into(),
        ],
        classify::Plan::Refuse(error) => vec![
            "class: refused".into(),
            format!("why: {}", error.message),
            format!("sqlstate: {}", error.code),
        ],
        classify::Plan::Run(verdict) => run_on_upstream(&verdict, group),
    }
}

fn run_on_upstream(verdict: &classify::Verdict, group: Option<&database::Group>) -> Vec<String> {
    let mut lines = vec![
        format!("class: {}", class_name(verdict.class)),
        format!("why: {}", class_reason(verdict)),
        format!("runs on: {}", execution_place(verdict.class)),
    ];
    if verdict.class == class::Class::Read {
        lines.push(format!("tables: {}", table_list(&verdict.tables)));
        lines.extend(group.map(|group| age_line(group, &verdict.tables)));
    }
    if verdict.mixed {
        lines.push("note: a lost answer leaves open whether a commit in the middle ran".into());
    }
    lines
}

const fn class_name(class: class::Class) -> &'static str {
    match class {
        class::Class::Read => "read",
        class::Class::Write => "write",
        class::Class::Begin => "begin",
        class::Class::BeginRead => "begin read-only",
        class::Class::Commit => "commit",
        class::Class::Rollback => "rollback",
    }
}

const fn class_reason(verdict: &classify::Verdict) -> &'static str {
    match verdict.class {
        class::Class::Read => "proven to read only; may be sent again after a failure",
        class::Class::Write if verdict.needs_connection_state => {
            "depends on the state of one connection"
        }
        class::Class::Write => "not proven to read only; never sent twice",
        class::Class::Begin => "opens a transaction that may write",
        class::Class::BeginRead => "opens a transaction declared read-only",
        class::Class::Commit => {
            "ends a transaction; confirmed once a majority of the instances has it"
        }
        class::Class::Rollback => "ends a transaction without effect",
    }
}

const fn execution_place(class: class::Class) -> &'static str {
    match class {
        class::Class::Read => "any instance that is fresh enough for the caller",
        class::Class::BeginRead => "one instance that is fresh enough, until the transaction ends",
        class::Class::Write | class::Class::Begin => "the primary",
        class::Class::Commit | class::Class::Rollback => "the connection of the transaction",
    }
}

fn table_list(tables: &[CompactString]) -> String {
    if tables.is_empty() {
        "unknown or none".to_owned()
    } else {
        tables.join(", ")
    }
}

fn age_line(group: &database::Group, tables: &[CompactString]) -> String {
    match group.max_age(tables) {
        Some(limit) => {
            let limit = humantime::format_duration(limit);
            format!(
                "age: may be {limit} old, as declared for group {}",
                group.name
            )
        }
        None => format!(
            "age: fresh only; group {} does not declare an age for all of these tables",
            group.name
        ),
    }
}

#[cfg(test)]
mod tests;
