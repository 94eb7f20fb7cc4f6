//! Statements of the control path: status, fencing and promotion.

use mangotray::role;
use rusqlite::types;

use crate::column;
use crate::database;
use crate::instance;
use crate::sqlstate;
use crate::value;

/// A statement of the control path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    Status,
    Fence(u64),
    Promote(u64),
}

impl Command {
    /// Parses the lower-case tokens of `SELECT * FROM group_NAME(TERM)`; `None` for any other
    /// statement.
    pub(crate) fn recognise(words: &[String]) -> Option<Self> {
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        match words.as_slice() {
            ["select", "*", "from", "group_status", "(", ")"] => Some(Self::Status),
            ["select", "*", "from", "group_fence", "(", term, ")"] => {
                term.parse().ok().map(Self::Fence)
            }
            ["select", "*", "from", "group_promote", "(", term, ")"] => {
                term.parse().ok().map(Self::Promote)
            }
            _ => None,
        }
    }

    /// Runs the statement, without taking a slot and outside of transactions.
    pub(crate) fn run(
        self,
        instance: &instance::Instance,
    ) -> Result<database::Answer, sqlstate::Error> {
        let status = match self {
            Self::Status => instance.status(),
            Self::Fence(term) => instance.fence(term),
            Self::Promote(term) => instance.promote(term)?,
        };
        let role = match status.role {
            role::Role::Primary => "primary",
            role::Role::Replica => "replica",
        };
        let cells = [
            ("term", status.stamp.term.to_string()),
            ("position", status.stamp.position.to_string()),
            ("fence", status.fence.to_string()),
            ("role", role.to_owned()),
            ("voter", status.voter.to_string()),
            ("incarnation", status.incarnation.to_string()),
        ];
        let column = |name: &str| column::Column {
            name: name.to_owned(),
            kind: Some(value::Kind::Text),
        };
        Ok(database::Answer {
            columns: cells.iter().map(|(name, _)| column(name)).collect(),
            rows: vec![cells.map(|(_, cell)| types::Value::Text(cell)).to_vec()],
            tag: "SELECT 1".to_owned(),
        })
    }
}
