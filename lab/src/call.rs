//! HTTP requests to the platform's stand-in service, and their responses.

use std::collections;
use std::time;

use base64::Engine;
use base64::engine::general_purpose;
use mangotray::store;

/// HTTP response of the stand-in service.
pub type Response = hyper::Response<http_body_util::Full<bytes::Bytes>>;

/// Kinds of call; the stand-in counts its calls by kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Read of one key.
    Get,
    /// Read of a prefix.
    List,
    /// Read of one key that waits until the key changes.
    Watch,
    /// Compare-and-swap.
    Swap,
    /// Creation of a lease.
    Grant,
    /// Renewal of a lease.
    Renew,
    /// End of a lease.
    Revoke,
    /// Read of the VM list.
    Vms,
}

impl Kind {
    /// True for calls that change stored entries or leases.
    #[must_use]
    pub const fn changes(self) -> bool {
        matches!(self, Self::Swap | Self::Grant | Self::Renew | Self::Revoke)
    }
}

/// A parsed call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Kind of the call.
    pub kind: Kind,
    /// Key, prefix or lease id; empty for calls without one.
    pub key: String,
    /// Parameters of the query string.
    pub query: collections::HashMap<String, String>,
    /// Whole request body.
    pub body: bytes::Bytes,
}

impl Call {
    /// Parses a request; `None` if the path is unknown or does not allow the method.
    ///
    /// ```
    /// use mangotray_lab::call;
    /// let uri = "/v1/kv/a?recurse".parse().unwrap();
    /// let call = call::Call::parse(&hyper::Method::GET, &uri, "".into()).unwrap();
    /// assert_eq!(call.kind, call::Kind::List);
    /// ```
    #[must_use]
    pub fn parse(method: &hyper::Method, uri: &hyper::Uri, body: bytes::Bytes) -> Option<Self> {
        let query = parse_query(uri.query().unwrap_or_default());
        let path = percent_encoding::percent_decode_str(uri.path())
            .decode_utf8()
            .ok()?
            .into_owned();
        let id_after = |prefix: &str| path.strip_prefix(prefix).map(str::to_owned);
        let is_get = *method == hyper::Method::GET;
        let (kind, key) = match () {
            () if path == "/v1/vms" => (Kind::Vms, String::new()),
            () if path == "/v1/session/create" => (Kind::Grant, String::new()),
            () => id_after("/v1/session/renew/")
                .map(|id| (Kind::Renew, id))
                .or_else(|| id_after("/v1/session/destroy/").map(|id| (Kind::Revoke, id)))
                .or_else(|| id_after("/v1/kv/").map(|key| (key_call(is_get, &query), key)))?,
        };
        (is_get != kind.changes()).then_some(Self {
            kind,
            key,
            query,
            body,
        })
    }

    /// Parses a parameter of the query string as a number.
    ///
    /// # Errors
    ///
    /// Fails when the parameter is missing or not a number.
    pub fn number(&self, name: &str) -> eyre::Result<u64> {
        let text = self.query.get(name);
        let text = text.ok_or_else(|| eyre::eyre!("no {name} in the query"))?;
        Ok(text.parse()?)
    }

    /// Parses a parameter of the query string as a duration; five minutes if it is missing.
    ///
    /// # Errors
    ///
    /// Fails when the parameter is not a duration.
    pub fn duration(&self, name: &str) -> eyre::Result<time::Duration> {
        let text = self.query.get(name).map_or("5m", String::as_str);
        Ok(humantime::parse_duration(text)?)
    }
}

fn key_call(is_get: bool, query: &collections::HashMap<String, String>) -> Kind {
    match is_get {
        false => Kind::Swap,
        true if query.contains_key("recurse") => Kind::List,
        true if query.contains_key("index") => Kind::Watch,
        true => Kind::Get,
    }
}

fn parse_query(query: &str) -> collections::HashMap<String, String> {
    query
        .split('&')
        .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

/// Builds a response with entries and the index to watch from; status 404 without entries.
///
/// # Errors
///
/// Fails when the response cannot be built.
pub fn rows(entries: &[store::Entry], index: store::Version) -> eyre::Result<Response> {
    let status = if entries.is_empty() { 404 } else { 200 };
    let rows: Vec<serde_json::Value> = entries.iter().map(row).collect();
    let mut response = json(status, &serde_json::Value::from(rows))?;
    response
        .headers_mut()
        .insert(mangotray::http::INDEX_HEADER, index.into());
    Ok(response)
}

fn row(entry: &store::Entry) -> serde_json::Value {
    serde_json::json!({
        "Key": entry.key,
        "Value": general_purpose::STANDARD.encode(&entry.value),
        "ModifyIndex": entry.version,
        "Session": entry.lease,
    })
}

/// Builds a response with a JSON body.
///
/// # Errors
///
/// Fails when the status is out of range.
pub fn json(status: u16, body: &serde_json::Value) -> eyre::Result<Response> {
    plain(status, &body.to_string())
}

/// Builds a response with a plain-text body.
///
/// # Errors
///
/// Fails when the status is out of range.
pub fn plain(status: u16, body: &str) -> eyre::Result<Response> {
    let body = http_body_util::Full::new(body.to_owned().into());
    Ok(hyper::Response::builder().status(status).body(body)?)
}

#[cfg(test)]
mod tests;
