//! SQL errors with their SQLSTATE.

/// SQL error as it is sent to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Error {
    pub(crate) code: &'static str,
    pub(crate) message: String,
}

impl Error {
    pub(crate) fn new(code: &'static str, message: impl Into<String>) -> Self {
        let message = message.into();
        Self { code, message }
    }

    /// Error of a write in a read-only transaction, as all are on a replica.
    pub(crate) fn read_only(tag: &str) -> Self {
        let message = format!("cannot execute {tag} in a read-only transaction");
        Self::new("25006", message)
    }

    /// Error in a transaction that the instance has rolled back.
    pub(crate) fn transaction_revoked() -> Self {
        let message = "transaction rolled back: the instance is no longer the primary";
        Self::new("25006", message)
    }

    /// Error of a statement after another one of its transaction has failed.
    pub(crate) fn transaction_failed() -> Self {
        let message =
            "current transaction is aborted, commands ignored until end of transaction block";
        Self::new("25P02", message)
    }
}

impl From<rusqlite::Error> for Error {
    fn from(error: rusqlite::Error) -> Self {
        let message = error.to_string();
        let code = match error.sqlite_error().map(|error| error.extended_code) {
            Some(
                rusqlite::ffi::SQLITE_CONSTRAINT_UNIQUE
                | rusqlite::ffi::SQLITE_CONSTRAINT_PRIMARYKEY,
            ) => "23505",
            Some(rusqlite::ffi::SQLITE_CONSTRAINT_NOTNULL) => "23502",
            Some(rusqlite::ffi::SQLITE_CONSTRAINT_CHECK) => "23514",
            Some(rusqlite::ffi::SQLITE_CONSTRAINT_FOREIGNKEY) => "23503",
            Some(rusqlite::ffi::SQLITE_BUSY) => "55P03",
            _ if message.contains("no such table") => "42P01",
            _ if message.contains("no such column") => "42703",
            _ if message.contains("no such function") => "42883",
            _ if message.contains("already exists") => "42P07",
            _ if message.contains("syntax error") || message.contains("incomplete input") => {
                "42601"
            }
            _ => "XX000",
        };
        Self { code, message }
    }
}
