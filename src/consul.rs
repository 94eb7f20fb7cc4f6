//! Requests and answers of the platform in their published form.

use base64::Engine;
use base64::engine::general_purpose;
use compact_str::CompactString;

use crate::http;
use crate::store;

/// Bytes of a key that need no escape in a path.
const ESCAPED_KEY_BYTES: &percent_encoding::AsciiSet = &percent_encoding::NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'~');

/// One entry as the service writes it.
#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Row {
    key: CompactString,
    value: Option<String>,
    modify_index: store::Version,
    session: Option<store::Lease>,
}

/// Body of a request for a session.
#[derive(serde::Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Session {
    /// Time after which it ends unless renewed, with a unit.
    #[serde(rename = "TTL")]
    pub ttl: String,
    /// What happens to its entries when it ends.
    pub behavior: &'static str,
}

/// Answer to a request for a session.
#[derive(serde::Deserialize)]
pub struct SessionId {
    /// The session's number.
    #[serde(rename = "ID")]
    pub id: store::Lease,
}

/// A request that reads.
pub fn get(path: &str) -> http::Request {
    request(hyper::Method::GET, path, bytes::Bytes::new())
}

/// A request that changes something.
pub fn put(path: &str, body: bytes::Bytes) -> http::Request {
    request(hyper::Method::PUT, path, body)
}

fn request(method: hyper::Method, path: &str, body: bytes::Bytes) -> http::Request {
    hyper::Request::builder()
        .method(method)
        .uri(path)
        .header(hyper::header::HOST, "platform")
        .body(http_body_util::Full::new(body))
        .expect("paths are escaped")
}

/// A key as part of a path.
pub fn escape(key: &str) -> percent_encoding::PercentEncode<'_> {
    percent_encoding::utf8_percent_encode(key, ESCAPED_KEY_BYTES)
}

/// Sorts answers to changes by what they prove; 404 is left to the caller.
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

/// The entries in the answer to a read; none if it is 404.
pub fn entries(answer: &http::Answer) -> Result<Vec<store::Entry>, store::Failure> {
    if answer.status == hyper::StatusCode::NOT_FOUND {
        return Ok(Vec::new());
    }
    parse::<Vec<Row>>(answer)?.into_iter().map(entry).collect()
}

/// The JSON value in the answer to a read.
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

/// Failure of a read whose answer cannot be understood.
fn unreadable(error: &dyn std::error::Error) -> store::Failure {
    store::Failure::NotRun(error.to_string().into())
}

#[cfg(test)]
mod tests;
