//! Callers' prepared statements over connections that are shared between them.
//!
//! An upstream connection serves another session with each transaction, so nothing may
//! be expected of it. Each batch that is sent on prepares what it refers to, under
//! names made from the statement's text, and drops it again; the messages that the
//! caller did not send have their answers removed.

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

/// Prepared statements that one session may keep.
pub const STATEMENT_LIMIT: usize = 2_000;

/// Bytes of SQL text that one session may keep in prepared statements.
pub const TEXT_LIMIT: usize = 16 * 1024 * 1024;

/// One prepared statement.
#[derive(Debug, PartialEq, Eq)]
pub struct Statement {
    /// SQL text.
    pub query: sync::Arc<str>,
    /// Parameter types, as encoded.
    pub types: bytes::Bytes,
    /// Its name on upstream connections, the same in every session.
    pub upstream_name: CompactString,
    /// What the text needs.
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

/// The statement that each message of a batch refers to, if it is known.
pub type References = Vec<Option<sync::Arc<Statement>>>;

/// What a message of the caller does to its prepared statements once it has run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The name stands for this statement from now on.
    Store(CompactString, sync::Arc<Statement>),
    /// The name stands for nothing.
    Remove(CompactString),
}

/// The prepared statements of one session, by the caller's names.
#[derive(Clone, Debug, Default)]
pub struct Statements {
    by_name: collections::HashMap<CompactString, sync::Arc<Statement>>,
    text_bytes: usize,
}

impl Statements {
    /// No statements.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The statement behind a caller's name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&sync::Arc<Statement>> {
        self.by_name.get(name)
    }

    /// Finds what each message of a batch refers to, portals included.
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

    /// Makes a batch self-contained, for a connection of which nothing is known.
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

    /// Takes over the effects of messages that have run.
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

    /// Whether the session keeps as many statements as it may. What goes wrong without
    /// this bound: one caller that never closes its statements fills the memory of a
    /// proxy that serves many.
    ///
    /// # Errors
    /// The refusal to send instead of running the batch.
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

/// The effect that a message has when it runs, if any.
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
