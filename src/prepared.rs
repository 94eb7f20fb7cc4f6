//! Prepared statements of callers on shared upstream connections.
//!
//! An upstream connection may serve another session after each transaction, so none of its state
//! is relied on. Each forwarded batch prepares the statements that it refers to, under names
//! derived from their text, and closes them again. Answers to messages that the proxy has added
//! are removed.

use std::collections;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync;

use compact_str::CompactString;
use compact_str::format_compact;

use crate::classify;
use crate::extended;
use crate::plans;
use crate::refusal;
use crate::rewrite;

/// Largest number of prepared statements per session.
pub const STATEMENT_LIMIT: usize = 2_000;

/// Largest total size of the SQL texts of a session's prepared statements, in bytes.
pub const TEXT_LIMIT: usize = 16 * 1024 * 1024;

/// One prepared statement.
#[derive(Debug, PartialEq, Eq)]
pub struct Statement {
    /// SQL text.
    pub query: sync::Arc<str>,
    /// Parameter types as encoded in the Parse message.
    pub types: bytes::Bytes,
    /// Name on upstream connections, the same in every session.
    pub upstream_name: CompactString,
    /// How the text is handled.
    pub plan: sync::Arc<classify::Plan>,
}

impl Statement {
    /// Builds a statement from a Parse message.
    ///
    /// ```
    /// use mangotray::{extended, prepared, plans};
    /// let parse = extended::Parse {
    ///     name: "s1".into(),
    ///     query: "SELECT 1".into(),
    ///     parameter_types: bytes::Bytes::from_static(&[0, 0]),
    /// };
    /// let statement = prepared::Statement::new(&parse, &plans::Cache::default());
    /// assert!(statement.upstream_name.starts_with("mangotray_"));
    /// ```
    #[must_use]
    pub fn new(parse: &extended::Parse, cache: &plans::Cache) -> Self {
        let mut hasher = collections::hash_map::DefaultHasher::new();
        parse.query.hash(&mut hasher);
        parse.parameter_types.hash(&mut hasher);
        Self {
            query: parse.query.clone(),
            types: parse.parameter_types.clone(),
            upstream_name: format_compact!("mangotray_{:016x}", hasher.finish()),
            plan: cache.plan(&parse.query),
        }
    }
}

/// Statement that each message of a batch refers to; `None` if there is none or it is unknown.
pub type References = Vec<Option<sync::Arc<Statement>>>;

/// Change that a message makes to the session's prepared statements once it has run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Stores the statement under the caller's name.
    Store(CompactString, sync::Arc<Statement>),
    /// Removes the statement of this name.
    Remove(CompactString),
}

/// The prepared statements of one session, by the caller's names.
#[derive(Clone, Debug, Default)]
pub struct Statements {
    by_name: collections::HashMap<CompactString, sync::Arc<Statement>>,
    text_bytes: usize,
}

impl Statements {
    /// Builds an empty set of statements.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the statement with a caller's name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&sync::Arc<Statement>> {
        self.by_name.get(name)
    }

    /// Finds the statement that each message of a batch refers to, also through portals.
    ///
    /// ```
    /// use mangotray::{extended, prepared, plans};
    /// let bind = extended::Message::Bind(extended::Bind {
    ///     portal: "".into(),
    ///     statement: "never prepared".into(),
    ///     parameters: bytes::Bytes::new(),
    /// });
    /// let statements = prepared::Statements::new();
    /// assert_eq!(statements.resolve(&[bind], &plans::Cache::default()), [None]);
    /// ```
    #[must_use]
    pub fn resolve(&self, messages: &[extended::Message], cache: &plans::Cache) -> References {
        let mut names = collections::HashMap::<_, Option<sync::Arc<Statement>>>::new();
        let mut portals = collections::HashMap::<_, Option<sync::Arc<Statement>>>::new();
        let find = |names: &collections::HashMap<_, _>, name: &CompactString| {
            names
                .get(name)
                .cloned()
                .unwrap_or_else(|| self.by_name.get(name).cloned())
        };
        messages
            .iter()
            .map(|message| match message {
                extended::Message::Parse(parse) => {
                    let statement = Some(sync::Arc::new(Statement::new(parse, cache)));
                    names.insert(parse.name.clone(), statement.clone());
                    statement
                }
                extended::Message::Bind(bind) => {
                    let statement = find(&names, &bind.statement);
                    portals.insert(bind.portal.clone(), statement.clone());
                    statement
                }
                extended::Message::Describe(extended::Target::Statement(name)) => {
                    find(&names, name)
                }
                extended::Message::Describe(extended::Target::Portal(portal))
                | extended::Message::Execute { portal, .. } => {
                    portals.get(portal).cloned().flatten()
                }
                extended::Message::Close(extended::Target::Statement(name)) => {
                    names.insert(name.clone(), None);
                    None
                }
                extended::Message::Close(extended::Target::Portal(_)) | extended::Message::Sync => {
                    None
                }
            })
            .collect()
    }

    /// Makes a batch self-contained, so that it can run on any upstream connection.
    ///
    /// ```
    /// use mangotray::{extended, prepared, plans};
    /// let batch = [extended::Message::Sync];
    /// let statements = prepared::Statements::new();
    /// let references = statements.resolve(&batch, &plans::Cache::default());
    /// assert_eq!(statements.rewrite(&batch, &references).frames().len(), 1);
    /// ```
    #[must_use]
    pub fn rewrite(
        &self,
        messages: &[extended::Message],
        references: &References,
    ) -> rewrite::Rewrite {
        let mut builder = rewrite::Builder::new(self);
        for (message, reference) in messages.iter().zip(references) {
            builder.push(message, reference.as_ref());
        }
        builder.finish()
    }

    /// Applies the effects of messages that have run.
    ///
    /// ```
    /// use mangotray::prepared;
    /// let mut statements = prepared::Statements::new();
    /// statements.apply([prepared::Effect::Remove("s1".into())]);
    /// assert!(statements.get("s1").is_none());
    /// ```
    pub fn apply(&mut self, effects: impl IntoIterator<Item = Effect>) {
        for effect in effects {
            match effect {
                Effect::Store(name, statement) => {
                    self.text_bytes += statement.query.len();
                    let replaced = self.by_name.insert(name, statement);
                    self.subtract_text(replaced);
                }
                Effect::Remove(name) => {
                    let replaced = self.by_name.remove(&name);
                    self.subtract_text(replaced);
                }
            }
        }
    }

    fn subtract_text(&mut self, statement: Option<sync::Arc<Statement>>) {
        self.text_bytes -= statement.map_or(0, |statement| statement.query.len());
    }

    /// Checks that the session stays within its limits on statements after a batch. Without the
    /// limits, one caller that never closes its statements could fill the memory of a proxy that
    /// serves many.
    ///
    /// # Errors
    /// The refusal for the caller; the batch must not run.
    pub fn check_limits(&self, messages: &[extended::Message]) -> Result<(), refusal::Error> {
        let text_lengths = messages.iter().filter_map(|message| match message {
            extended::Message::Parse(parse) => Some(parse.query.len()),
            _ => None,
        });
        let (count, bytes) =
            text_lengths.fold((0, 0), |(count, bytes), len| (count + 1, bytes + len));
        let within_count = self.by_name.len() + count <= STATEMENT_LIMIT || count == 0;
        if within_count && self.text_bytes + bytes <= TEXT_LIMIT {
            return Ok(());
        }
        Err(refusal::Error::new(
            refusal::TOO_MANY_STATEMENTS,
            format_compact!(
                "the session keeps {} prepared statements of {} bytes (not run)",
                self.by_name.len(),
                self.text_bytes
            ),
        )
        .hint("Close prepared statements that are no longer needed."))
    }
}

/// Effect of a message on the session's prepared statements once it has run, if any.
///
/// ```
/// use mangotray::{extended, prepared};
/// assert_eq!(prepared::effect(&extended::Message::Sync, None), None);
/// ```
#[must_use]
pub fn effect(
    message: &extended::Message,
    reference: Option<&sync::Arc<Statement>>,
) -> Option<Effect> {
    match (message, reference) {
        (extended::Message::Parse(parse), Some(statement)) => {
            Some(Effect::Store(parse.name.clone(), statement.clone()))
        }
        (extended::Message::Close(extended::Target::Statement(name)), _) => {
            Some(Effect::Remove(name.clone()))
        }
        _ => None,
    }
}

#[cfg(test)]
mod tests;
