//! Statements that run on an instance, and the commands that are sent for them.

use std::collections;

use compact_str::CompactString;
use compact_str::format_compact;
use mangotray::id;
use mangotray::stamp;

use crate::checkout;
use crate::connection;
use crate::statement;
use crate::upstream;

/// Longest text, in bytes, that is used in the name of a prepared statement without encoding.
const MAX_PLAIN_NAME: usize = 48;

/// The prepared statements of a session, by the names that its caller gave them.
pub(crate) type Prepared = collections::BTreeMap<statement::Name, statement::Shape>;

/// A statement that runs on an instance.
pub struct Query {
    /// Id that the caller gave to the request.
    pub id: statement::Id,
    /// When the request arrived.
    pub arrived: id::Time,
    /// The statement's text as the caller sent it.
    pub text: CompactString,
    /// Whether the statement reads or writes.
    pub access: statement::Access,
    /// For a prepared statement: its name on connections, its definition, and its arguments.
    pub prepared: Option<(CompactString, statement::Shape, CompactString)>,
}

impl Query {
    /// Returns the statement of a request that arrived at `arrived`; `None` if it executes a
    /// prepared statement that the session does not have.
    #[must_use]
    pub(crate) fn new(
        request: &statement::Request,
        arrived: id::Time,
        statements: &Prepared,
    ) -> Option<Self> {
        let (access, prepared) = match &request.statement {
            statement::Statement::Read => (statement::Access::Read, None),
            statement::Statement::Execute { name, arguments } => {
                let shape = statements.get(name)?;
                let handle = prepared_name(shape);
                (
                    shape.access,
                    Some((handle, shape.clone(), arguments.clone())),
                )
            }
            _ => (statement::Access::Write, None),
        };
        Some(Self {
            id: request.id.clone(),
            arrived,
            text: request.text.clone(),
            access,
            prepared,
        })
    }

    /// Returns the commands to send for the statement on a connection, after those that set the
    /// session's values and prepare the statement there.
    pub fn commands(
        &self,
        checkout: &mut checkout::Checkout,
        values: &connection::Values,
        after: Option<stamp::Stamp>,
        in_transaction: bool,
    ) -> Vec<upstream::Command> {
        let shape = self
            .prepared
            .as_ref()
            .map(|(handle, shape, _)| (handle, shape));
        let mut commands = checkout.setup_commands(values, shape, in_transaction);
        commands.push(match &self.prepared {
            Some((handle, _, arguments)) => upstream::Command::Execute {
                id: self.id.clone(),
                handle: handle.clone(),
                arguments: arguments.clone(),
                after,
            },
            None => upstream::Command::Run {
                id: self.id.clone(),
                text: self.text.clone(),
                after,
            },
        });
        commands
    }
}

/// Returns the name of a prepared statement on connections. It depends only on the statement's
/// access and text, so that sessions share prepared statements. A text that is long or contains
/// white space is encoded in hexadecimal digits.
#[must_use]
pub fn prepared_name(shape: &statement::Shape) -> CompactString {
    let access = match shape.access {
        statement::Access::Read => 'r',
        statement::Access::Write => 'w',
    };
    let plain = shape.text.len() <= MAX_PLAIN_NAME && !shape.text.contains(char::is_whitespace);
    if plain {
        return format_compact!("{access}_{}", shape.text);
    }
    let hex: Vec<_> = shape
        .text
        .bytes()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    format_compact!("{access}x{}", hex.concat())
}
