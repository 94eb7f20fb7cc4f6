//! Status, fence and promotion requests to an instance over SQL.

use std::net;
use std::time;

use bytes::Buf;
use compact_str::CompactString;
use compact_str::format_compact;
use futures_lite::FutureExt;
use futures_util::future::BoxFuture;
use pgwire::messages::data;
use pgwire::messages::response;
use pgwire::messages::simplequery;

use crate::assembly;
use crate::frame;
use crate::id;
use crate::link;
use crate::reply;
use crate::role;
use crate::stamp;
use crate::status;
use crate::upstream;
use crate::upstream::Connection;

/// Timeouts of control requests, and options of the links.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Options {
    /// Timeout of a status request, including the time to open the control link.
    #[serde(with = "humantime_serde")]
    pub probe: time::Duration,
    /// Timeout of a fence or a promotion, including the time to open the control link.
    #[serde(with = "humantime_serde")]
    pub change: time::Duration,
    /// Options of the control link and of the links that run callers' statements.
    pub link: link::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            probe: time::Duration::from_millis(200),
            change: time::Duration::from_millis(500),
            link: link::Options::default(),
        }
    }
}

/// Client for the control requests of one instance; runs one control request at a time.
pub struct Control {
    address: net::SocketAddr,
    database: CompactString,
    options: Options,
    link: async_lock::Mutex<Option<link::Link>>,
}

impl Control {
    /// Creates a client for the instance at `address`; it connects on the first request.
    ///
    /// ```
    /// use mangotray::{control, upstream, upstream::Upstream};
    /// let closed = "127.0.0.1:1".parse().unwrap();
    /// let control = control::Control::new(closed, "db", control::Options::default());
    /// let status = futures_lite::future::block_on(control.status());
    /// assert!(matches!(status, Err(upstream::Failure::NotRun(_))));
    /// ```
    #[must_use]
    pub fn new(address: net::SocketAddr, database: &str, options: Options) -> Self {
        Self {
            address,
            database: database.into(),
            options,
            link: async_lock::Mutex::new(None),
        }
    }

    async fn request(
        &self,
        sql: CompactString,
        timeout: time::Duration,
    ) -> Result<status::Status, upstream::Failure> {
        self.exchange(&sql)
            .or(async {
                async_io::Timer::after(timeout).await;
                let message = format_compact!("{sql}: no answer within {timeout:?}");
                Err(upstream::Failure::Unknown(message))
            })
            .await
    }

    async fn exchange(&self, sql: &str) -> Result<status::Status, upstream::Failure> {
        let mut kept_link = self.link.lock().await;
        // The link is moved out, so that a request dropped by its timeout drops the link as well.
        let reply = match kept_link.take() {
            None => self.exchange_on_new_link(sql).await?,
            Some(kept) => match run_query(kept, sql).await {
                // The instance had closed the link while it was idle.
                Err(upstream::Failure::NotRun(_)) => self.exchange_on_new_link(sql).await?,
                other => other?,
            },
        };
        let (link, reply) = reply;
        *kept_link = Some(link);
        drop(kept_link);
        parse_status(&reply)
    }

    async fn exchange_on_new_link(
        &self,
        sql: &str,
    ) -> Result<(link::Link, reply::Reply), upstream::Failure> {
        let link = link::Link::open(self.address, &self.database, &self.options.link).await?;
        run_query(link, sql).await
    }
}

impl upstream::Upstream for Control {
    fn status(&self) -> BoxFuture<'_, Result<status::Status, upstream::Failure>> {
        let sql = CompactString::const_new("SELECT * FROM group_status()");
        Box::pin(self.request(sql, self.options.probe))
    }

    fn fence(&self, term: id::Term) -> BoxFuture<'_, Result<status::Status, upstream::Failure>> {
        let sql = format_compact!("SELECT * FROM group_fence({term})");
        Box::pin(self.request(sql, self.options.change))
    }

    fn promote(&self, term: id::Term) -> BoxFuture<'_, Result<status::Status, upstream::Failure>> {
        let sql = format_compact!("SELECT * FROM group_promote({term})");
        Box::pin(self.request(sql, self.options.change))
    }

    fn open(&self) -> BoxFuture<'_, Result<Box<dyn upstream::Connection>, upstream::Failure>> {
        Box::pin(async {
            let link = link::Link::open(self.address, &self.database, &self.options.link).await?;
            Ok(Box::new(link) as Box<dyn upstream::Connection>)
        })
    }
}

async fn run_query(
    mut link: link::Link,
    sql: &str,
) -> Result<(link::Link, reply::Reply), upstream::Failure> {
    let query = frame::Frame::encode(&simplequery::Query::new(sql.to_owned()));
    let reply = link.run(&[query]).await?;
    Ok((link, reply))
}

/// Parses the single row of a control answer.
///
/// # Errors
/// `NotRun` for an SQL error, because the instance then changed nothing; `Unknown` when the row is
/// missing or cannot be parsed.
fn parse_status(reply: &reply::Reply) -> Result<status::Status, upstream::Failure> {
    let refusal = reply
        .frames
        .iter()
        .find(|frame| frame.tag == response::MESSAGE_TYPE_BYTE_ERROR_RESPONSE);
    if let Some(frame) = refusal {
        let message = frame.decode::<response::ErrorResponse>().map_or_else(
            |error| error.to_string(),
            |error| assembly::describe(&error),
        );
        return Err(upstream::Failure::NotRun(message.into()));
    }
    parse_row(&reply.frames).map_err(|error| upstream::Failure::Unknown(format_compact!("{error}")))
}

fn parse_row(frames: &[frame::Frame]) -> eyre::Result<status::Status> {
    let columns = find_frame(frames, data::MESSAGE_TYPE_BYTE_ROW_DESCRITION)?;
    let columns = columns.decode::<data::RowDescription>()?.fields;
    let values = find_frame(frames, data::MESSAGE_TYPE_BYTE_DATA_ROW)?;
    let values = parse_cells(values.decode::<data::DataRow>()?.data.freeze())?;
    let column = |name: &str| {
        let index = columns.iter().position(|column| column.name == name);
        index
            .and_then(|index| values.get(index))
            .ok_or_else(|| eyre::eyre!("control answer lacks column {name}"))
    };
    Ok(status::Status {
        stamp: stamp::Stamp::new(column("term")?.parse()?, column("position")?.parse()?),
        fence: column("fence")?.parse()?,
        role: parse_role(column("role")?)?,
        voter: column("voter")?.parse()?,
        incarnation: column("incarnation")?.parse()?,
    })
}

fn parse_role(text: &str) -> eyre::Result<role::Role> {
    match text {
        "primary" => Ok(role::Role::Primary),
        "replica" => Ok(role::Role::Replica),
        other => eyre::bail!("unknown role {other:?}"),
    }
}

fn find_frame(frames: &[frame::Frame], tag: u8) -> eyre::Result<&frame::Frame> {
    frames.iter().find(|frame| frame.tag == tag).ok_or_else(|| {
        eyre::eyre!(
            "control answer lacks a message of type {:?}",
            char::from(tag)
        )
    })
}

fn parse_cells(mut data: bytes::Bytes) -> eyre::Result<Vec<CompactString>> {
    let mut cells = Vec::new();
    while data.has_remaining() {
        let length = usize::try_from(data.try_get_i32()?)?;
        eyre::ensure!(
            length <= data.remaining(),
            "control answer has an incomplete row"
        );
        cells.push(CompactString::from_utf8(data.split_to(length))?);
    }
    Ok(cells)
}

#[cfg(test)]
mod tests;
