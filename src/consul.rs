//! Requests and answers of the platform's key-value service, in the form of Consul's HTTP API.

use base64::Engine;
use base64::engine::general_purpose;
use compact_str::CompactString;

use crate::http;
use crate::store;

/// Bytes of a key that are percent-encoded in a path.
const ESCAPED_KEY_BYTES: &percent_encoding::AsciiSet = &percent_encoding::NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'~');

/// One entry of the service's JSON answers.
#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Row {
    key: CompactString,
    value: Option<String>,
    modify_index: store::Version,
    session: Option<store::Lease>,
}

/// Body of a request that creates a session.
#[derive(serde::Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Session {
    /// Time after which the session ends unless it is renewed, with its unit, such as `5000ms`.
    #[serde(rename = "TTL")]
    pub ttl: String,
    /// Treatment of the session's entries when it ends, such as `delete`.
    pub behavior: &'static str,
}

/// Answer to a request that creates a session.
#[derive(serde::Deserialize)]
pub struct SessionId {
    /// Identifier of the session.
    #[serde(rename = "ID")]
    pub id: store::Lease,
}

/// Builds a request that reads.
pub fn get(path: &str) -> http::Request {
    request(hyper::Method::GET, path, bytes::Bytes::new())
}

/// Builds a request that changes data.
pub fn put(path: &str, body: bytes::Bytes) -> http::Request {
    request(hyper::Method::PUT, path, body)
}

fn request(method: hyper::Method, path: &str, body: bytes::Bytes) -> http::Request {
    hyper::Request::builder()
        .method(method)
        .uri(path)
        .header(hyper::header::HOST, "platform")
        .body(http_body_util::Full::new(body))
        .expect("paths are percent-encoded")
}

/// Percent-encodes a key for use in a path; slashes stay.
pub fn escape(key: &str) -> percent_encoding::PercentEncode<'_> {
    percent_encoding::utf8_percent_encode(key, ESCAPED_KEY_BYTES)
}

/// Checks the status of an answer to a change. The caller handles 404.
///
/// # Errors
/// `NotRun` for the other 4xx statuses and 503, with which the service refuses a call before it
/// runs it; `Unknown` for all other statuses, which do not tell whether the change was made.
pub fn check_change(answer: http::Answer) -> Result<http::Answer, store::Failure> {
    let status = answer.status;
    let detail = || CompactString::from(format!("platform answered {status}"));
    if status.is_success() || status == hyper::StatusCode::NOT_FOUND {
        return Ok(answer);
    }
    if status.is_client_error() || status == hyper::StatusCode::SERVICE_UNAVAILABLE {
        return Err(store::Failure::NotRun(detail()));
    }
    Err(store::Failure::Unknown(detail()))
}

/// Parses the entries of an answer to a read; a 404 has none.
///
/// # Errors
/// `NotRun` when the status is not a success or the body cannot be parsed.
pub fn entries(answer: &http::Answer) -> Result<Vec<store::Entry>, store::Failure> {
    if answer.status == hyper::StatusCode::NOT_FOUND {
        return Ok(Vec::new());
    }
    parse::<Vec<Row>>(answer)?.into_iter().map(entry).collect()
}

/// Parses the JSON value of an answer to a read.
///
/// # Errors
/// `NotRun` when the status is not a success or the body cannot be parsed.
pub fn parse<T: serde::de::DeserializeOwned>(answer: &http::Answer) -> Result<T, store::Failure> {
    if !answer.status.is_success() {
        let detail = format!("platform answered {}", answer.status);
        return Err(store::Failure::NotRun(detail.into()));
    }
    serde_json::from_slice(&answer.body).map_err(|error| unreadable(&error))
}

fn entry(row: Row) -> Result<store::Entry, store::Failure> {
    let value = general_purpose::STANDARD
        .decode(row.value.unwrap_or_default())
        .map_err(|error| unreadable(&error))?;
    Ok(store::Entry {
        key: row.key,
        value: value.into(),
        version: row.modify_index,
        lease: row.session,
    })
}

/// Failure of a read whose answer cannot be parsed.
fn unreadable(error: &dyn std::error::Error) -> store::Failure {
    store::Failure::NotRun(error.to_string().into())
}

#[cfg(test)]
mod tests;
