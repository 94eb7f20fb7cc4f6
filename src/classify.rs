//! Classifies a caller's statements from their SQL text alone.
//!
//! A statement counts as a read only if that is proven: it parses as a query, contains none of
//! the words that write or lock, and calls only built-in functions that are known to have no
//! side effects. Every other statement is a write. User-defined operators, casts, views and
//! functions called in attribute notation (`row.function`) are not checked for side effects.

use compact_str::CompactString;
use compact_str::format_compact;
use sqlparser::ast;
use sqlparser::tokenizer;

use crate::class;
use crate::function;
use crate::local;
use crate::refusal;
use crate::relation;
use crate::sql;
use crate::unsupported;

/// Classification of one SQL text or of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Joint class of the statements.
    pub class: class::Class,
    /// Tables that the statements read; empty if unknown or none.
    pub tables: Vec<CompactString>,
    /// Whether there is more than one statement.
    pub multiple_statements: bool,
    /// Whether transaction control is mixed with other statements. If the answer is lost, it is
    /// then unknown whether a commit in the middle has happened.
    pub mixed: bool,
    /// Whether a statement reads state of the connection. A session keeps its connection only
    /// within a transaction.
    pub needs_connection_state: bool,
}

impl Verdict {
    /// Builds a verdict with a class and no other properties.
    ///
    /// ```
    /// use mangotray::{class, classify};
    /// assert!(classify::Verdict::of_class(class::Class::Write).tables.is_empty());
    /// ```
    #[must_use]
    pub const fn of_class(class: class::Class) -> Self {
        Self {
            class,
            tables: Vec::new(),
            multiple_statements: false,
            mixed: false,
            needs_connection_state: false,
        }
    }

    /// Joins the verdicts on statements that run in order in one batch.
    ///
    /// ```
    /// use mangotray::{class, classify};
    /// let read = classify::Verdict::of_class(class::Class::Read);
    /// let write = classify::Verdict::of_class(class::Class::Write);
    /// let both = classify::Verdict::join(vec![read, write]);
    /// assert_eq!(both.class, class::Class::Write);
    /// ```
    #[must_use]
    pub fn join(mut verdicts: Vec<Self>) -> Self {
        if verdicts.len() == 1 {
            return verdicts.remove(0);
        }
        let mixed = verdicts
            .iter()
            .any(|verdict| verdict.mixed || is_transaction_control(verdict.class));
        let class = joint_class(&verdicts);
        let needs_connection_state = verdicts
            .iter()
            .any(|verdict| verdict.needs_connection_state);
        let mut tables: Vec<_> = verdicts
            .into_iter()
            .flat_map(|verdict| verdict.tables)
            .collect();
        tables.sort_unstable();
        tables.dedup();
        Self {
            class,
            tables,
            multiple_statements: true,
            mixed,
            needs_connection_state,
        }
    }
}

fn is_transaction_control(class: class::Class) -> bool {
    !matches!(class, class::Class::Read | class::Class::Write)
}

/// Joins the classes of a batch. A batch that opens a transaction and leaves it open is a `Begin`,
/// so that the session keeps the connection; any other mix with transaction control is a write.
fn joint_class(verdicts: &[Verdict]) -> class::Class {
    let starts_transaction = verdicts
        .first()
        .is_some_and(|first| matches!(first.class, class::Class::Begin | class::Class::BeginRead));
    if starts_transaction
        && verdicts
            .iter()
            .skip(1)
            .all(|verdict| !is_transaction_control(verdict.class))
    {
        return class::Class::Begin;
    }
    if verdicts
        .iter()
        .all(|verdict| verdict.class == class::Class::Read)
    {
        return class::Class::Read;
    }
    class::Class::Write
}

/// How an SQL text is handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// The text contains no statement.
    Empty,
    /// The proxy answers these commands itself.
    Local(Vec<local::Command>),
    /// An upstream runs the text.
    Run(Verdict),
    /// The text is not supported over pooled connections.
    Refuse(refusal::Error),
}

/// Classifies a text that runs on an upstream.
///
/// ```
/// use mangotray::{class, classify};
/// let verdict = classify::classify("SELECT count(*) FROM shows").unwrap();
/// assert_eq!(verdict.class, class::Class::Read);
/// assert_eq!(verdict.tables, ["shows"]);
/// assert!(classify::classify("LISTEN shows").is_err());
/// ```
///
/// # Errors
/// The refusal for the caller, if transaction pooling does not support the text.
pub fn classify(text: &str) -> Result<Verdict, refusal::Error> {
    match sql::split(text) {
        Ok(statements) => classify_statements(&statements),
        Err(sql::Error) => Ok(Verdict::of_class(class::Class::Write)),
    }
}

/// Decides how an SQL text is handled.
///
/// ```
/// use mangotray::classify;
/// assert_eq!(classify::plan(" ; "), classify::Plan::Empty);
/// assert!(matches!(classify::plan("SHOW mangotray.token"), classify::Plan::Local(_)));
/// ```
#[must_use]
pub fn plan(text: &str) -> Plan {
    let Ok(statements) = sql::split(text) else {
        return Plan::Run(Verdict::of_class(class::Class::Write));
    };
    if statements.is_empty() {
        return Plan::Empty;
    }
    if let Some(commands) = statements
        .iter()
        .map(local::Command::from_statement)
        .collect()
    {
        return Plan::Local(commands);
    }
    match classify_statements(&statements) {
        Ok(verdict) => Plan::Run(verdict),
        Err(error) => Plan::Refuse(error),
    }
}

fn classify_statements(statements: &[sql::Statement]) -> Result<Verdict, refusal::Error> {
    let verdicts = statements
        .iter()
        .map(classify_statement)
        .collect::<Result<Vec<_>, _>>()?;
    Ok(Verdict::join(verdicts))
}

fn classify_statement(statement: &sql::Statement) -> Result<Verdict, refusal::Error> {
    let words = statement.words();
    if let Some(what) = unsupported::find(statement, &words) {
        return Err(unsupported_error(&what));
    }
    let needs_connection_state = statement
        .call_indices()
        .any(|index| function::needs_connection(&statement.function_name(index)));
    let class = transaction_class(&words);
    let parsed = match class {
        None if !needs_connection_state && has_only_read_tokens(statement, &words) => {
            statement.parse()
        }
        _ => None,
    };
    let read = parsed.filter(is_query);
    Ok(Verdict {
        class: class.unwrap_or(match read {
            Some(_) => class::Class::Read,
            None => class::Class::Write,
        }),
        tables: read.as_ref().map(relation::tables).unwrap_or_default(),
        needs_connection_state,
        ..Verdict::of_class(class::Class::Write)
    })
}

fn unsupported_error(what: &str) -> refusal::Error {
    refusal::Error::new(
        refusal::NOT_SUPPORTED,
        format_compact!("{what} is not supported through the proxy (not run)"),
    )
    .hint("Connections to the database are shared between transactions and keep no session state.")
}

/// Class of a statement that opens or ends a transaction; `None` for any other.
fn transaction_class(words: &[String]) -> Option<class::Class> {
    match words.first()?.as_str() {
        "begin" => Some(begin_class(words)),
        "start" if words.get(1).is_some_and(|word| word == "transaction") => {
            Some(begin_class(words))
        }
        "commit" | "end" => Some(class::Class::Commit),
        "abort" => Some(class::Class::Rollback),
        "rollback" if !words.iter().any(|word| word == "to") => Some(class::Class::Rollback),
        _ => None,
    }
}

/// Class of a statement that opens a transaction. A replica cannot run a serializable
/// transaction, so even a read-only one is a `Begin` and runs on the primary.
fn begin_class(words: &[String]) -> class::Class {
    let has_mode = |access: &str| {
        words
            .windows(2)
            .any(|pair| pair[0] == "read" && pair[1] == access)
    };
    let serializable = words.iter().any(|word| word == "serializable");
    if has_mode("only") && !has_mode("write") && !serializable {
        class::Class::BeginRead
    } else {
        class::Class::Begin
    }
}

/// Unquoted words that mark a query as one that writes, locks rows or creates a table. A column
/// of such a name also makes a query a write, which is safe.
const EFFECT_WORDS: &[&str] = &[
    "insert", "update", "delete", "merge", "into", "truncate", "share",
];

/// First words of statements that can be proven to only read.
const QUERY_FIRST_WORDS: &[&str] = &["select", "values", "with", "explain", "show"];

/// Whether no token of a query could write.
fn has_only_read_tokens(statement: &sql::Statement, words: &[String]) -> bool {
    let starts_query = match words.first() {
        Some(first) if first.is_empty() => {
            statement.tokens().first() == Some(&tokenizer::Token::LParen)
        }
        Some(first) => QUERY_FIRST_WORDS.contains(&first.as_str()),
        None => false,
    };
    let analyze = words
        .iter()
        .any(|word| word == "analyze" || word == "analyse");
    let unambiguous = statement.tokens().iter().all(is_unambiguous);
    let has_effect_word = words
        .iter()
        .any(|word| EFFECT_WORDS.contains(&word.as_str()));
    starts_query
        && !analyze
        && unambiguous
        && !has_effect_word
        && statement
            .call_indices()
            .all(|index| is_read_only_call(statement, index))
}

/// Whether the tokenizer and the database are certain to split this token alike.
fn is_unambiguous(token: &tokenizer::Token) -> bool {
    match token {
        tokenizer::Token::Word(word) => word.quote_style.is_some() || word.value.is_ascii(),
        tokenizer::Token::CustomBinaryOperator(_) | tokenizer::Token::Char(_) => false,
        _ => true,
    }
}

/// Whether the name at `index`, which precedes a parenthesis, calls a function that is allowed in
/// reads, or calls none.
fn is_read_only_call(statement: &sql::Statement, index: usize) -> bool {
    let before = index.checked_sub(1);
    let previous = before.map(|index| &statement.tokens()[index]);
    if previous == Some(&tokenizer::Token::Period) {
        return is_in_pg_catalog(statement, index)
            && function::is_allowed_in_reads(&statement.function_name(index));
    }
    // A name after one of these words has a list of columns and is no function call.
    let is_definition = before.is_some_and(|index| {
        matches!(statement.word(index).as_str(), "as" | "recursive")
            || (index == 0 && statement.word(index) == "with")
    });
    is_definition || function::is_allowed_in_reads(&statement.function_name(index))
}

/// Whether the name at `index` is qualified by the schema `pg_catalog` alone.
fn is_in_pg_catalog(statement: &sql::Statement, index: usize) -> bool {
    let schema = index.checked_sub(2).and_then(|at| statement.name(at));
    let longer = index
        .checked_sub(3)
        .is_some_and(|at| statement.tokens()[at] == tokenizer::Token::Period);
    schema.as_deref() == Some("pg_catalog") && !longer
}

/// Whether a parsed statement is a query that any instance may answer.
fn is_query(statement: &ast::Statement) -> bool {
    match statement {
        ast::Statement::Query(_) => true,
        ast::Statement::Explain { statement, .. } => is_query(statement),
        // The settings *_read_only differ between the primary and its replicas.
        ast::Statement::ShowVariable { variable } => !variable
            .iter()
            .any(|part| part.value.to_ascii_lowercase().ends_with("read_only")),
        _ => false,
    }
}

#[cfg(test)]
mod tests;
