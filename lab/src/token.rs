//! Tokens of SQL text: words, literals and signs.

use crate::sqlstate;

/// A word, literal or sign.
pub(crate) struct Token {
    pub(crate) text: String,
    /// Whether white space or a comment precedes it.
    pub(crate) after_space: bool,
}

impl Token {
    /// Text in lower case; literals and quoted names are unchanged.
    pub(crate) fn lower(&self) -> String {
        if self.text.starts_with(['\'', '"']) {
            return self.text.clone();
        }
        self.text.to_ascii_lowercase()
    }
}

/// Number of a parameter such as `$1`.
pub(crate) fn parameter(word: &str) -> Option<usize> {
    word.strip_prefix('$')?.parse().ok()
}

/// Splits SQL text into tokens; comments are dropped.
///
/// # Errors
/// When a literal, quoted name or comment is unterminated.
pub(crate) fn scan(sql: &str) -> Result<Vec<Token>, sqlstate::Error> {
    let mut tokens = Vec::new();
    let mut rest = sql;
    let mut after_space = false;
    while let Some(first) = rest.chars().next() {
        let length = token_length(rest, first)?;
        let (text, after) = rest.split_at(length);
        rest = after;
        if first.is_whitespace() || text.starts_with("--") || text.starts_with("/*") {
            after_space = true;
            continue;
        }
        let text = text.to_owned();
        tokens.push(Token { text, after_space });
        after_space = false;
    }
    Ok(tokens)
}

fn token_length(rest: &str, first: char) -> Result<usize, sqlstate::Error> {
    let unterminated = || sqlstate::Error::new("42601", "syntax error: unterminated token");
    let require_end = |end: Option<usize>| end.ok_or_else(unterminated);
    if rest.starts_with("--") {
        return Ok(rest.find('\n').unwrap_or(rest.len()));
    }
    if rest.starts_with("/*") {
        return require_end(rest.find("*/").map(|end| end + 2));
    }
    if rest.starts_with("::") {
        return Ok(2);
    }
    match first {
        '\'' | '"' => require_end(rest[1..].find(first).map(|end| end + 2)),
        _ if is_word(first) => Ok(rest.find(|next| !is_word(next)).unwrap_or(rest.len())),
        _ => Ok(first.len_utf8()),
    }
}

fn is_word(character: char) -> bool {
    character.is_alphanumeric() || matches!(character, '_' | '$')
}
