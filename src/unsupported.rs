//! Recognizes statements that transaction pooling does not support.

use sqlparser::tokenizer;

use crate::function;
use crate::sql;

/// Names the first feature of a statement that transaction pooling does not support, if any.
///
/// ```
/// use mangotray::{sql, unsupported};
/// let find = |text| {
///     let statement = &sql::split(text).unwrap()[0];
///     unsupported::find(statement, &statement.words())
/// };
/// assert_eq!(find("LISTEN shows").as_deref(), Some("LISTEN"));
/// assert_eq!(find("SET work_mem = 4").unwrap(), "SET work_mem outside a transaction's scope");
/// assert_eq!(find("SELECT 1"), None);
/// ```
#[must_use]
pub fn find(statement: &sql::Statement, words: &[String]) -> Option<String> {
    let first = words.first()?.as_str();
    let second = words.get(1).map_or("", String::as_str);
    let feature = match first {
        "listen" | "unlisten" | "notify" | "discard" | "execute" | "deallocate" | "copy"
        | "load" | "reset" => Some(first.to_uppercase()),
        "prepare" if second == "transaction" => Some("PREPARE TRANSACTION".into()),
        "prepare" => Some("PREPARE".into()),
        "set" => unsupported_set(words),
        "commit" | "end" | "rollback" | "abort" => unsupported_end(words),
        "create" if creates_temporary(words) => Some("a temporary object".into()),
        "declare" if declares_with_hold(words) => Some("DECLARE CURSOR WITH HOLD".into()),
        _ if into_temporary(words) => Some("a temporary table".into()),
        _ => None,
    };
    feature.or_else(|| unsupported_call(statement))
}

/// Checks a `SET`. Only `SET LOCAL` and `SET TRANSACTION` end with the transaction; any other
/// outlives it. A change of the access mode is refused as well: it would turn a transaction that
/// runs as read-only into one whose commit must be confirmed.
fn unsupported_set(words: &[String]) -> Option<String> {
    let ends_with_transaction = words
        .get(1)
        .is_some_and(|word| word == "local" || word == "transaction");
    let sets_access_mode = words.iter().any(|word| word.ends_with("_read_only"))
        || words
            .windows(2)
            .any(|pair| pair[0] == "read" && pair[1] == "write");
    let sets_proxy_setting = words.iter().any(|word| word == "mangotray");
    match (
        ends_with_transaction,
        sets_access_mode || sets_proxy_setting,
    ) {
        (false, _) => Some(format!(
            "SET {}outside a transaction's scope",
            setting_prefix(words)
        )),
        (true, true) => Some("SET LOCAL of this setting".into()),
        (true, false) => None,
    }
}

/// Name of the setting and a space; empty if there is no name.
fn setting_prefix(words: &[String]) -> String {
    let mut words = words.iter().skip(1).filter(|word| *word != "session");
    words
        .next()
        .map_or(String::new(), |name| format!("{name} "))
}

fn unsupported_end(words: &[String]) -> Option<String> {
    if words.get(1).is_some_and(|word| word == "prepared") {
        return Some("a prepared transaction".into());
    }
    let chain = words
        .windows(2)
        .any(|pair| pair[0] == "and" && pair[1] == "chain");
    chain.then(|| "AND CHAIN".into())
}

fn creates_temporary(words: &[String]) -> bool {
    words
        .iter()
        .take(5)
        .any(|word| matches!(word.as_str(), "temp" | "temporary" | "pg_temp"))
}

fn declares_with_hold(words: &[String]) -> bool {
    words
        .windows(2)
        .any(|pair| pair[0] == "with" && pair[1] == "hold")
}

fn into_temporary(words: &[String]) -> bool {
    words.windows(3).any(|triple| {
        triple[0] == "into"
            && (is_temporary(&triple[1]) || (is_scope(&triple[1]) && is_temporary(&triple[2])))
    })
}

fn is_temporary(word: &str) -> bool {
    matches!(word, "temp" | "temporary" | "pg_temp")
}

fn is_scope(word: &str) -> bool {
    matches!(word, "local" | "global")
}

fn unsupported_call(statement: &sql::Statement) -> Option<String> {
    statement.call_indices().find_map(|index| {
        let name = statement.function_name(index);
        let unsupported = function::needs_session(&name)
            || (name == "set_config" && !transaction_scoped(statement, index));
        unsupported.then(|| format!("function {name}"))
    })
}

/// Whether `set_config('name', ..., true)` changes a setting for one transaction only, and the
/// setting is neither an access mode nor one of the proxy.
fn transaction_scoped(statement: &sql::Statement, index: usize) -> bool {
    let tokens = statement.tokens();
    let allowed = match tokens.get(index + 2) {
        Some(tokenizer::Token::SingleQuotedString(name)) => {
            let name = name.to_ascii_lowercase();
            !name.ends_with("_read_only") && !name.starts_with("mangotray.")
        }
        _ => false,
    };
    let Some(close) = closing_index(tokens, index + 1) else {
        return false;
    };
    allowed
        && statement.word(close - 1) == "true"
        && tokens.get(close - 2) == Some(&tokenizer::Token::Comma)
}

/// Index of the parenthesis that closes the one at `open`.
fn closing_index(tokens: &[tokenizer::Token], open: usize) -> Option<usize> {
    let mut depth = 0_usize;
    tokens
        .iter()
        .enumerate()
        .skip(open)
        .find_map(|(index, token)| {
            match token {
                tokenizer::Token::LParen => depth += 1,
                tokenizer::Token::RParen => depth = depth.checked_sub(1)?,
                _ => {}
            }
            (depth == 0).then_some(index)
        })
}
