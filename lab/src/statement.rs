//! SQL statements, translated from the `PostgreSQL` dialect to that of the embedded library.

use std::collections::HashMap;

use crate::command;
use crate::sqlstate;
use crate::token;
use crate::value;

/// Kind of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verb {
    Empty,
    Read,
    Write,
    Begin {
        read_only: bool,
    },
    Commit,
    Rollback,
    Savepoint(String),
    Release(String),
    RollbackTo(String),
    /// Statements on session settings, which have no effect here.
    Setting,
    Control(command::Command),
}

/// A translated statement.
#[derive(Clone, Debug)]
pub(crate) struct Statement {
    /// SQL for the embedded library.
    pub(crate) text: String,
    pub(crate) verb: Verb,
    /// First word or words in upper case, for the command tag.
    pub(crate) tag: String,
    /// Whether it calls functions whose result can differ between instances.
    pub(crate) volatile: bool,
    pub(crate) parameter_count: usize,
    /// Parameter numbers with the types that casts give them.
    pub(crate) casts: Vec<(usize, value::Kind)>,
    /// Column names with the types that `expression::type AS alias` gives them.
    pub(crate) aliases: Vec<(String, value::Kind)>,
    /// Tokens in lower case, except literals and quoted names.
    pub(crate) tokens: Vec<String>,
}

impl Statement {
    /// Splits a query string into its statements.
    pub(crate) fn parse_all(sql: &str) -> Result<Vec<Self>, sqlstate::Error> {
        let tokens = token::scan(sql)?;
        Ok(tokens
            .split(|token| token.text == ";")
            .filter(|tokens| !tokens.is_empty())
            .map(Self::translate)
            .collect())
    }

    /// Parses the only statement of a Parse message.
    ///
    /// # Errors
    /// When there are several, or a token is unterminated.
    pub(crate) fn parse(sql: &str) -> Result<Self, sqlstate::Error> {
        let mut statements = Self::parse_all(sql)?;
        if statements.len() > 1 {
            let message = "cannot insert multiple commands into a prepared statement";
            return Err(sqlstate::Error::new("42601", message));
        }
        Ok(statements.pop().unwrap_or_else(|| Self::translate(&[])))
    }

    fn translate(tokens: &[token::Token]) -> Self {
        let words: Vec<String> = tokens.iter().map(token::Token::lower).collect();
        let mut statement = Self {
            text: String::new(),
            verb: verb(&words),
            tag: tag(&words),
            volatile: false,
            parameter_count: 0,
            casts: Vec::new(),
            aliases: Vec::new(),
            tokens: words,
        };
        let end = statement.locking_clause().unwrap_or(tokens.len());
        let mut index = 0;
        while index < end {
            index += statement.translate_token(tokens, index);
        }
        statement
    }

    /// Appends the translation of the token at `index`; returns the number of tokens used.
    fn translate_token(&mut self, tokens: &[token::Token], index: usize) -> usize {
        let token = &tokens[index];
        if token.after_space {
            self.text.push(' ');
        }
        if token.text == "::" {
            return self.translate_cast(tokens, index);
        }
        let word = self.tokens[index].as_str();
        let is_call = self.tokens.get(index + 1).is_some_and(|next| next == "(");
        match word {
            "now" | "clock_timestamp" if is_call => {
                self.volatile = true;
                self.text.push_str("datetime('now')");
                return 3;
            }
            "random" | "gen_random_uuid" | "randomblob" if is_call => self.volatile = true,
            "current_timestamp" | "current_date" | "current_time" => self.volatile = true,
            _ => {}
        }
        if let Some(number) = token::parameter(word) {
            self.parameter_count = self.parameter_count.max(number);
            self.text.push('?');
            self.text.push_str(&word[1..]);
        } else {
            self.text.push_str(&token.text);
        }
        1
    }

    /// Drops the cast at `index` and notes its type; returns the number of tokens used.
    fn translate_cast(&mut self, tokens: &[token::Token], index: usize) -> usize {
        let name = tokens.get(index + 1).map_or("", |token| &token.text);
        let kind = value::Kind::from_name(name);
        if let Some(number) = index
            .checked_sub(1)
            .and_then(|at| token::parameter(&self.tokens[at]))
        {
            self.casts.push((number, kind));
        }
        let word = |at: usize| self.tokens.get(at).map_or("", String::as_str);
        let mut next = index + 2;
        if matches!(word(next), "precision" | "varying") {
            next += 1;
        }
        if word(next) == "(" {
            next += 3;
        }
        if word(next) == "as" {
            self.aliases
                .push((word(next + 1).trim_matches('"').to_owned(), kind));
        }
        next - index
    }

    /// Index of `FOR UPDATE` or a similar clause. It is dropped, because a write transaction
    /// locks the whole database anyway.
    fn locking_clause(&self) -> Option<usize> {
        self.tokens.windows(2).position(|pair| {
            pair[0] == "for" && matches!(pair[1].as_str(), "update" | "share" | "no" | "key")
        })
    }

    /// Type of parameter `number`: that of its cast, or of the column it is compared with
    /// or inserted into, or else text.
    pub(crate) fn infer_kind(
        &self,
        number: usize,
        declared_kinds: &HashMap<String, value::Kind>,
    ) -> value::Kind {
        let cast = self.casts.iter().find(|(other, _)| *other == number);
        let is_parameter = |at: &usize| token::parameter(&self.tokens[*at]) == Some(number);
        cast.map(|(_, kind)| *kind)
            .or_else(|| {
                let mut positions = (0..self.tokens.len()).filter(is_parameter);
                positions.find_map(|at| self.infer_kind_at(at, declared_kinds))
            })
            .unwrap_or(value::Kind::Text)
    }

    /// Type of the parameter at token `at`, if the tokens around it tell.
    fn infer_kind_at(
        &self,
        at: usize,
        declared_kinds: &HashMap<String, value::Kind>,
    ) -> Option<value::Kind> {
        let word = |at: usize| self.tokens.get(at).map_or("", String::as_str);
        let before = |distance: usize| at.checked_sub(distance).map_or("", word);
        if matches!(before(1), "limit" | "offset") {
            return Some(value::Kind::Int8);
        }
        let is_sign = |word: &&str| matches!(*word, "=" | "<" | ">" | "!" | "+" | "-" | "*");
        let left = (1..=at).map(before).find(|word| !is_sign(word));
        let right = (at + 1..self.tokens.len())
            .map(word)
            .find(|word| !is_sign(word));
        let range_column = (before(1) == "and" && before(3) == "between").then(|| before(4));
        let operand_column = matches!(before(1), "between" | "in").then(|| before(2));
        let list_column = (before(1) == "(" && before(2) == "in").then(|| before(3));
        [
            operand_column,
            list_column,
            range_column,
            self.insert_column(at),
            left,
            right,
        ]
        .into_iter()
        .flatten()
        .find_map(|column| declared_kinds.get(column).copied())
    }

    /// Column that the token at `at` in the VALUES of an INSERT is inserted into.
    fn insert_column(&self, at: usize) -> Option<&str> {
        let values = self.tokens.iter().position(|word| word == "values")?;
        let opening = self.tokens.iter().position(|word| word == "(")?;
        if opening > values || at < values {
            return None;
        }
        let mut depth = 0;
        let mut index = 0;
        for word in &self.tokens[values..at] {
            match word.as_str() {
                "(" => depth += 1,
                ")" => depth -= 1,
                "," if depth == 0 => index = 0,
                "," if depth == 1 => index += 1,
                _ => {}
            }
        }
        let columns = self.tokens[opening + 1..values].split(|word| word == ",");
        let column = columns.map(|words| &words[0]).nth(index)?;
        (depth == 1).then_some(column.as_str())
    }

    /// Whether the statement needs the instance's write lock.
    pub(crate) fn writes(&self) -> bool {
        match self.verb {
            Verb::Write | Verb::Begin { read_only: false } => true,
            Verb::Read => self.locking_clause().is_some(),
            _ => false,
        }
    }
}

fn tag(words: &[String]) -> String {
    let first = words.first().map(String::as_str).unwrap_or_default();
    let word_count = if matches!(first, "create" | "drop" | "alter") {
        2
    } else {
        1
    };
    words[..word_count.min(words.len())]
        .join(" ")
        .to_uppercase()
}

fn verb(words: &[String]) -> Verb {
    let has = |word: &str| words.iter().any(|other| other == word);
    let first = words.first().map(String::as_str).unwrap_or_default();
    let last = || words.last().cloned().unwrap_or_default();
    match first {
        "" => Verb::Empty,
        "begin" | "start" => Verb::Begin {
            read_only: has("only"),
        },
        "commit" | "end" => Verb::Commit,
        "rollback" | "abort" if has("to") => Verb::RollbackTo(last()),
        "rollback" | "abort" => Verb::Rollback,
        "savepoint" => Verb::Savepoint(last()),
        "release" => Verb::Release(last()),
        "set" | "reset" | "discard" | "deallocate" | "listen" | "unlisten" | "show" => {
            Verb::Setting
        }
        "select" => command::Command::recognise(words).map_or(Verb::Read, Verb::Control),
        "values" => Verb::Read,
        "with" | "explain" if !has("insert") && !has("update") && !has("delete") => Verb::Read,
        _ => Verb::Write,
    }
}
