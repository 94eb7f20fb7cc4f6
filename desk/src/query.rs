//! A statement that needs an instance.

use compact_str::CompactString;
use compact_str::format_compact;
use mangotray::id;
use mangotray::stamp;

use crate::checkout;
use crate::connection;
use crate::statement;
use crate::upstream;

/// Longest name of a prepared statement that is made of its text.
const MAX_PLAIN_NAME: usize = 48;

/// A statement that needs an instance.
pub struct Query {
    /// The caller's id.
    pub id: statement::Id,
    /// When it arrived.
    pub arrived: id::Time,
    /// The caller's words.
    pub text: CompactString,
    /// Whether it reads or writes.
    pub access: statement::Access,
    /// Name on connections, shape and arguments of a prepared statement.
    pub prepared: Option<(CompactString, statement::Shape, CompactString)>,
}

impl Query {
    /// What is sent for it on a connection, values and preparing included.
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

/// One name for a shape on all connections, so that sessions share what is prepared.
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
