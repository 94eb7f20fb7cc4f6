//! Columns and parameters of a statement, and their types.

use std::collections::HashMap;

use crate::sqlstate;
use crate::statement;
use crate::storage;
use crate::value;

/// Result column; the type of some expressions is unknown until a row has been read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Column {
    pub(crate) name: String,
    pub(crate) kind: Option<value::Kind>,
}

impl Column {
    /// Columns of a prepared statement, without running it.
    pub(crate) fn of_statement(
        connection: &rusqlite::Connection,
        statement: &statement::Statement,
        prepared: &rusqlite::Statement<'_>,
    ) -> Vec<Self> {
        let mut declared = None;
        prepared
            .columns()
            .map(|column| {
                let name = column.name().to_owned();
                let alias = statement.aliases.iter().find(|(alias, _)| *alias == name);
                let kind = column.decl_type().map(value::Kind::from_name);
                let kind = kind.or(alias.map(|(_, kind)| *kind)).or_else(|| {
                    let declared =
                        declared.get_or_insert_with(|| declared_kinds(connection, statement));
                    declared.get(&name).copied()
                });
                Self { name, kind }
            })
            .collect()
    }

    /// Type OIDs of a statement's parameters, and its columns, before it runs. `oids` are
    /// the parameter types that the caller gave; 0 stands for an unspecified type.
    pub(crate) fn describe(
        connection: &rusqlite::Connection,
        statement: &statement::Statement,
        oids: &[u32],
    ) -> Result<(Vec<u32>, Vec<Self>), sqlstate::Error> {
        let uses_tables = matches!(
            statement.verb,
            statement::Verb::Read | statement::Verb::Write
        );
        if !uses_tables {
            return Ok((Vec::new(), Vec::new()));
        }
        let mut prepared = connection.prepare_cached(&statement.text)?;
        let declared_kinds = declared_kinds(connection, statement);
        let given_oid = |index: usize| oids.get(index).copied().filter(|oid| *oid != 0);
        let parameter_oids: Vec<u32> = (0..statement.parameter_count)
            .map(|index| {
                given_oid(index)
                    .unwrap_or_else(|| statement.infer_kind(index + 1, &declared_kinds).oid())
            })
            .collect();
        let mut columns = Self::of_statement(connection, statement, &prepared);
        if columns.iter().any(|column| column.kind.is_none()) && prepared.readonly() {
            let samples = parameter_oids
                .iter()
                .map(|oid| value::Kind::from_oid(*oid).sample());
            storage::bind_parameters(&mut prepared, &samples.collect::<Vec<_>>())?;
            let mut cursor = prepared.raw_query();
            let row = cursor.next()?;
            for (index, column) in columns.iter_mut().enumerate() {
                let value = row.and_then(|row| row.get(index).ok());
                let value = value.as_ref().and_then(value::Kind::of_value);
                column.kind = column.kind.or(value);
            }
        }
        Ok((parameter_oids, columns))
    }
}

/// Declared types of the columns of all tables that the statement names.
fn declared_kinds(
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
        .map(|(column, kind, _): (String, _, _)| (column, value::Kind::from_name(&kind)))
        .collect()
}
