//! Columns and parameters of a statement, and their types.

use std::collections::HashMap;

use crate::sqlstate;
use crate::statement;
use crate::storage;
use crate::value;

/// Result column; the type is unknown for some expressions without a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Column {
    pub(crate) name: String,
    pub(crate) kind: Option<value::Kind>,
}

impl Column {
    /// Columns of a prepared statement, without running it.
    pub(crate) fn all(
        connection: &rusqlite::Connection,
        statement: &statement::Statement,
        prepared: &rusqlite::Statement<'_>,
    ) -> Vec<Self> {
        let mut known = None;
        prepared
            .columns()
            .map(|column| {
                let name = column.name().to_owned();
                let alias = statement.aliases.iter().find(|(alias, _)| *alias == name);
                let kind = column.decl_type().map(value::Kind::named);
                let kind = kind.or(alias.map(|(_, kind)| *kind)).or_else(|| {
                    let known = known.get_or_insert_with(|| declared(connection, statement));
                    known.get(&name).copied()
                });
                Self { name, kind }
            })
            .collect()
    }

    /// Types of a statement's parameters and columns, before it has run.
    pub(crate) fn describe(
        connection: &rusqlite::Connection,
        statement: &statement::Statement,
        oids: &[u32],
    ) -> Result<(Vec<u32>, Vec<Self>), sqlstate::Error> {
        let runs = matches!(
            statement.verb,
            statement::Verb::Read | statement::Verb::Write
        );
        if !runs {
            return Ok((Vec::new(), Vec::new()));
        }
        let mut prepared = connection.prepare_cached(&statement.text)?;
        let declared = declared(connection, statement);
        let given = |at: usize| oids.get(at).copied().filter(|oid| *oid != 0);
        let parameters: Vec<u32> = (0..statement.parameters)
            .map(|at| given(at).unwrap_or_else(|| statement.infer(at + 1, &declared).oid()))
            .collect();
        let mut columns = Self::all(connection, statement, &prepared);
        if columns.iter().any(|column| column.kind.is_none()) && prepared.readonly() {
            let samples = parameters
                .iter()
                .map(|oid| value::Kind::from_oid(*oid).sample());
            storage::bind(&mut prepared, &samples.collect::<Vec<_>>())?;
            let mut cursor = prepared.raw_query();
            let row = cursor.next()?;
            for (at, column) in columns.iter_mut().enumerate() {
                let value = row.and_then(|row| row.get(at).ok());
                let value = value.as_ref().and_then(value::Kind::of);
                column.kind = column.kind.or(value);
            }
        }
        Ok((parameters, columns))
    }
}

/// Declared types of the columns of all tables that the statement names.
fn declared(
    connection: &rusqlite::Connection,
    statement: &statement::Statement,
) -> HashMap<String, value::Kind> {
    let sql = "SELECT lower(c.name), c.type, lower(t.name)
        FROM sqlite_master t, pragma_table_info(t.name) c WHERE t.type = 'table'";
    let mut prepared = connection.prepare_cached(sql).expect("valid query");
    let rows = prepared
        .query_map([], |row| {
            Ok((
                row.get(0)?,
                row.get::<_, String>(1)?,
                row.get::<_, String>(2)?,
            ))
        })
        .expect("readable schema");
    rows.filter_map(Result::ok)
        .filter(|(_, _, table)| statement.tokens.contains(table))
        .map(|(column, kind, _): (String, _, _)| (column, value::Kind::named(&kind)))
        .collect()
}
