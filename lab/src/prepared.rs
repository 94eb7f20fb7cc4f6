//! Prepared statements and portals of a session.

use std::collections::HashMap;
use std::sync::Arc;

use pgwire::messages::data;
use pgwire::messages::extendedquery;
use rusqlite::types;

use crate::column;
use crate::output;
use crate::sqlstate;
use crate::statement;
use crate::value;

/// A statement with the types of its parameters and columns.
#[derive(Clone)]
pub(crate) struct Prepared {
    pub(crate) statement: Arc<statement::Statement>,
    pub(crate) parameter_oids: Vec<u32>,
    pub(crate) columns: Vec<column::Column>,
}

/// A prepared statement bound to parameter values.
#[derive(Clone)]
pub(crate) struct Portal {
    pub(crate) prepared: Prepared,
    pub(crate) values: Vec<types::Value>,
    /// Format codes of the result columns, as in the Bind message.
    pub(crate) result_formats: Vec<i16>,
}

/// Prepared statements and portals of a session, by name.
#[derive(Default)]
pub(crate) struct Cache {
    statements: HashMap<String, Prepared>,
    portals: HashMap<String, Portal>,
}

impl Cache {
    pub(crate) fn insert(&mut self, name: Option<String>, prepared: Prepared) {
        self.statements.insert(name.unwrap_or_default(), prepared);
    }

    pub(crate) fn statement(&self, name: &str) -> Result<&Prepared, sqlstate::Error> {
        self.statements.get(name).ok_or_else(|| {
            let message = format!("prepared statement \"{name}\" does not exist");
            sqlstate::Error::new("26000", message)
        })
    }

    pub(crate) fn portal(&self, name: &str) -> Result<&Portal, sqlstate::Error> {
        self.portals.get(name).ok_or_else(|| {
            let message = format!("portal \"{name}\" does not exist");
            sqlstate::Error::new("34000", message)
        })
    }

    pub(crate) fn bind(&mut self, bind: extendedquery::Bind) -> Result<(), sqlstate::Error> {
        let name = bind.statement_name.unwrap_or_default();
        let prepared = self.statement(&name)?.clone();
        if bind.parameters.len() != prepared.parameter_oids.len() {
            let message = "bind message has the wrong number of parameters";
            return Err(sqlstate::Error::new("08P01", message));
        }
        let decoded = bind
            .parameters
            .iter()
            .enumerate()
            .map(|(index, parameter)| {
                let kind = value::Kind::from_oid(prepared.parameter_oids[index]);
                let format = output::format(&bind.parameter_format_codes, index);
                let bytes = parameter.as_ref();
                bytes.map_or(Ok(types::Value::Null), |bytes| kind.decode(bytes, format))
            });
        let portal = Portal {
            values: decoded.collect::<Result<_, _>>()?,
            prepared,
            result_formats: bind.result_column_format_codes,
        };
        self.portals
            .insert(bind.portal_name.unwrap_or_default(), portal);
        Ok(())
    }

    pub(crate) fn describe(
        &self,
        describe: extendedquery::Describe,
        output: &mut output::Output,
    ) -> Result<(), sqlstate::Error> {
        let name = describe.name.unwrap_or_default();
        let (columns, formats) = if describe.target_type == extendedquery::TARGET_TYPE_BYTE_PORTAL {
            let portal = self.portal(&name)?;
            (&portal.prepared.columns, portal.result_formats.as_slice())
        } else {
            let prepared = self.statement(&name)?;
            let oids = prepared.parameter_oids.clone();
            output.push(&data::ParameterDescription::new(oids));
            (&prepared.columns, [].as_slice())
        };
        if columns.is_empty() {
            output.push(&data::NoData::new());
        } else {
            output.columns(columns, formats);
        }
        Ok(())
    }

    pub(crate) fn close(&mut self, close: extendedquery::Close) {
        let name = close.name.unwrap_or_default();
        if close.target_type == extendedquery::TARGET_TYPE_BYTE_PORTAL {
            self.portals.remove(&name);
        } else {
            self.statements.remove(&name);
        }
    }
}
