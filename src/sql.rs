//! Splits SQL text into statements of tokens, without white space and comments.

use sqlparser::dialect;
use sqlparser::parser;
use sqlparser::tokenizer;

/// Tokens of one statement, without white space and comments.
#[derive(Clone, Debug)]
pub struct Statement {
    tokens: Vec<tokenizer::Token>,
}

/// A text cannot be split into statements with certainty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Error;

/// Splits a text into its non-empty statements.
///
/// ```
/// let statements = mangotray::sql::split("SELECT 1; ; SELECT ';'").unwrap();
/// assert_eq!(statements.len(), 2);
/// ```
///
/// # Errors
/// If the text contains invalid tokens, or characters that the tokenizer and the database treat
/// differently.
pub fn split(text: &str) -> Result<Vec<Statement>, Error> {
    if is_ambiguous(text) {
        return Err(Error);
    }
    let dialect = dialect::PostgreSqlDialect {};
    let tokens = tokenizer::Tokenizer::new(&dialect, text)
        .tokenize()
        .map_err(|_| Error)?;
    let significant: Vec<_> = tokens
        .into_iter()
        .filter(|token| {
            !matches!(
                token,
                tokenizer::Token::Whitespace(_) | tokenizer::Token::EOF
            )
        })
        .collect();
    if significant.iter().any(may_contain_comment) {
        return Err(Error);
    }
    Ok(split_at_semicolons(significant))
}

/// Whether a text contains white space that the database treats differently from the tokenizer.
/// The database ends a line comment at a bare carriage return and treats non-ASCII white space as
/// letters. The tokenizer could miss a second statement that the database runs.
fn is_ambiguous(text: &str) -> bool {
    let bare_return = text
        .as_bytes()
        .iter()
        .zip(text.as_bytes().iter().skip(1).chain(&[0]))
        .any(|(byte, next)| *byte == b'\r' && *next != b'\n');
    let unusual_space = text
        .chars()
        .any(|char| char == '\u{b}' || (!char.is_ascii() && char.is_whitespace()));
    bare_return || unusual_space
}

/// Whether an operator contains the start of a comment: the database starts a comment there, the
/// tokenizer does not.
fn may_contain_comment(token: &tokenizer::Token) -> bool {
    match token {
        tokenizer::Token::CustomBinaryOperator(text) => text.contains("--") || text.contains("/*"),
        _ => false,
    }
}

fn split_at_semicolons(tokens: Vec<tokenizer::Token>) -> Vec<Statement> {
    let mut statements = Vec::new();
    let mut current = Vec::new();
    let mut depth = 0_usize;
    for token in tokens {
        match token {
            tokenizer::Token::LParen => depth += 1,
            tokenizer::Token::RParen => depth = depth.saturating_sub(1),
            _ => {}
        }
        let at_end = token == tokenizer::Token::SemiColon && depth == 0;
        if at_end && !in_function_body(&current) {
            statements.push(Statement {
                tokens: std::mem::take(&mut current),
            });
        } else {
            current.push(token);
        }
    }
    statements.push(Statement { tokens: current });
    statements.retain(|statement| !statement.tokens.is_empty());
    statements
}

/// Whether the tokens end in a function body `BEGIN ATOMIC ... END`, which contains semicolons.
fn in_function_body(tokens: &[tokenizer::Token]) -> bool {
    word(tokens.first()).is_some_and(|first| first == "create")
        && tokens.windows(2).any(|pair| {
            word(pair.first()).as_deref() == Some("begin")
                && word(pair.last()).as_deref() == Some("atomic")
        })
}

/// Lower-case text of an unquoted word.
fn word(token: Option<&tokenizer::Token>) -> Option<String> {
    match token {
        Some(tokenizer::Token::Word(word)) if word.quote_style.is_none() => {
            Some(word.value.to_ascii_lowercase())
        }
        _ => None,
    }
}

impl Statement {
    /// Tokens of the statement.
    ///
    /// ```
    /// let statements = mangotray::sql::split("SELECT /* x */ 1").unwrap();
    /// assert_eq!(statements[0].tokens().len(), 2);
    /// ```
    #[must_use]
    pub fn tokens(&self) -> &[tokenizer::Token] {
        &self.tokens
    }

    /// Lower-case text of the unquoted word at `index`; empty for anything else.
    ///
    /// ```
    /// let statements = mangotray::sql::split("Select 1").unwrap();
    /// assert_eq!(statements[0].word(0), "select");
    /// assert_eq!(statements[0].word(1), "");
    /// ```
    #[must_use]
    pub fn word(&self, index: usize) -> String {
        word(self.tokens.get(index)).unwrap_or_default()
    }

    /// Every token as returned by [`Statement::word`].
    ///
    /// ```
    /// let statements = mangotray::sql::split("SELECT a").unwrap();
    /// assert_eq!(statements[0].words(), ["select", "a"]);
    /// ```
    #[must_use]
    pub fn words(&self) -> Vec<String> {
        (0..self.tokens.len())
            .map(|index| self.word(index))
            .collect()
    }

    /// Name at `index`, in lower case as in the database; a quoted name keeps its case.
    ///
    /// ```
    /// let statements = mangotray::sql::split("SELECT \"A\", B").unwrap();
    /// assert_eq!(statements[0].name(1).as_deref(), Some("A"));
    /// assert_eq!(statements[0].name(3).as_deref(), Some("b"));
    /// ```
    #[must_use]
    pub fn name(&self, index: usize) -> Option<String> {
        match self.tokens.get(index)? {
            tokenizer::Token::Word(word) if word.quote_style.is_some() => Some(word.value.clone()),
            _ => word(self.tokens.get(index)),
        }
    }

    /// Indices of all names directly before an opening parenthesis.
    ///
    /// ```
    /// let statements = mangotray::sql::split("SELECT count (*)").unwrap();
    /// assert!(statements[0].call_indices().eq([1]));
    /// ```
    pub fn call_indices(&self) -> impl Iterator<Item = usize> {
        let pairs = self.tokens.windows(2).enumerate();
        pairs.filter_map(|(index, pair)| {
            let is_call =
                matches!(pair[0], tokenizer::Token::Word(_)) && pair[1] == tokenizer::Token::LParen;
            is_call.then_some(index)
        })
    }

    /// Name of the function called at `index`, without its schema.
    ///
    /// ```
    /// let statements = mangotray::sql::split("SELECT Count(*)").unwrap();
    /// assert_eq!(statements[0].function_name(1), "count");
    /// ```
    #[must_use]
    pub fn function_name(&self, index: usize) -> String {
        self.name(index).unwrap_or_default()
    }

    /// Parses the statement; `None` if the parser rejects it.
    ///
    /// ```
    /// let statements = mangotray::sql::split("SELECT 1").unwrap();
    /// assert!(statements[0].parse().is_some());
    /// ```
    #[must_use]
    pub fn parse(&self) -> Option<sqlparser::ast::Statement> {
        let dialect = dialect::PostgreSqlDialect {};
        let parsed = parser::Parser::new(&dialect)
            .with_tokens(self.tokens.clone())
            .parse_statements()
            .ok()?;
        <[_; 1]>::try_from(parsed).ok().map(|[statement]| statement)
    }
}

#[cfg(test)]
mod tests;
