//! Names of the tables that a parsed query reads.

use std::collections;
use std::ops;

use compact_str::CompactString;
use sqlparser::ast;
use sqlparser::ast::Visit;

/// Names of the tables in a statement: sorted, in lower case unless quoted, without the schema
/// `public`. The name of a common table expression is left out only if it cannot mean a table.
/// A superfluous name does no harm: it only denies the statement an exemption.
///
/// ```
/// use mangotray::{relation, sql};
/// let text = "WITH open AS (SELECT * FROM public.Shows) SELECT * FROM open, seats";
/// let parsed = sql::split(text).unwrap()[0].parse().unwrap();
/// assert_eq!(relation::tables(&parsed), ["seats", "shows"]);
/// ```
#[must_use]
pub fn tables(statement: &ast::Statement) -> Vec<CompactString> {
    let mut found = match statement {
        ast::Statement::Query(query) => query_tables(query),
        other => visited_tables(other),
    };
    found.remove("");
    found.into_iter().collect()
}

type Names = collections::BTreeSet<CompactString>;

/// Tables of a query. A common table expression can refer to earlier ones; in a recursive list it
/// can also refer to itself and to later ones.
fn query_tables(query: &ast::Query) -> Names {
    let mut defined = Names::new();
    let mut found = Names::new();
    let Some(with) = &query.with else {
        return visited_tables(query);
    };
    if with.recursive {
        defined.extend(with.cte_tables.iter().map(|cte| folded(&cte.alias.name)));
    }
    for cte in &with.cte_tables {
        found.extend(visited_tables(&cte.query).difference(&defined).cloned());
        defined.insert(folded(&cte.alias.name));
    }
    let rest = ast::Query {
        with: None,
        ..query.clone()
    };
    found.extend(visited_tables(&rest).difference(&defined).cloned());
    found
}

fn visited_tables<V: Visit>(node: &V) -> Names {
    let mut names = Names::new();
    let _ = ast::visit_relations(node, |relation| {
        names.insert(table_name(relation));
        ops::ControlFlow::<()>::Continue(())
    });
    names
}

fn table_name(relation: &ast::ObjectName) -> CompactString {
    let parts: Vec<_> = relation
        .0
        .iter()
        .map(|part| {
            part.as_ident()
                .map_or_else(|| part.to_string().into(), folded)
        })
        .collect();
    match parts.as_slice() {
        [schema, table] if schema == "public" => table.clone(),
        _ => parts.join(".").into(),
    }
}

fn folded(name: &ast::Ident) -> CompactString {
    match name.quote_style {
        Some(_) => name.value.as_str().into(),
        None => name.value.to_ascii_lowercase().into(),
    }
}

#[cfg(test)]
mod tests;
