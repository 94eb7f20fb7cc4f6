//! A caller's connection to one proxy, through the `tokio-postgres` client library.

use std::net;
use std::time;

use compact_str::CompactString;

use crate::ledger;

/// Longest wait for a new connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Answer to one request.
#[derive(Debug)]
pub enum Answer {
    /// Rows of the last statement; empty for statements without rows.
    Rows(Vec<tokio_postgres::SimpleQueryRow>),
    /// A complete error report: the outcome of a commit that it states, and its SQLSTATE
    /// with its detail, or its message if it has none.
    Refused(ledger::Outcome, CompactString),
    /// The connection ended, or the answer timed out.
    Lost,
}

impl Answer {
    /// Outcome of a commit, as far as the answer states it.
    ///
    /// ```
    /// use mangotray_lab::{ledger::Outcome, link::Answer};
    /// assert_eq!(Answer::Lost.told(), Outcome::Unknown);
    /// ```
    #[must_use]
    pub fn told(&self) -> ledger::Outcome {
        match self {
            Self::Rows(_) => ledger::Outcome::Confirmed,
            Self::Refused(told, _) => *told,
            Self::Lost => ledger::Outcome::Unknown,
        }
    }
}

/// An open connection; dropping it closes the socket.
#[derive(Debug)]
pub struct Link {
    client: tokio_postgres::Client,
    one_way_delay: time::Duration,
}

impl Link {
    /// Connects to a proxy; `one_way_delay` is added to each request and each answer.
    ///
    /// # Errors
    /// When the proxy refuses the connection, or does not accept it in time.
    pub async fn open(
        proxy: net::SocketAddr,
        database: &str,
        one_way_delay: time::Duration,
    ) -> eyre::Result<Self> {
        let mut config = tokio_postgres::Config::new();
        config
            .host(proxy.ip().to_string())
            .port(proxy.port())
            .user("desk")
            .dbname(database);
        let connecting =
            tokio::time::timeout(CONNECT_TIMEOUT, config.connect(tokio_postgres::NoTls));
        let (client, connection) = connecting.await??;
        tokio::spawn(connection);
        Ok(Self {
            client,
            one_way_delay,
        })
    }

    /// False once the other side has closed the connection.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.client.is_closed()
    }

    /// Sends a request and waits for its answer; also returns the time that this took,
    /// without the added delays.
    pub async fn query(&self, sql: &str, timeout: time::Duration) -> (Answer, time::Duration) {
        tokio::time::sleep(self.one_way_delay).await;
        let sent = time::Instant::now();
        let result = tokio::time::timeout(timeout, self.client.simple_query(sql)).await;
        let elapsed = sent.elapsed();
        tokio::time::sleep(self.one_way_delay).await;
        let answer = match result {
            Err(_) => Answer::Lost,
            Ok(Err(error)) => failure(&error),
            Ok(Ok(messages)) => Answer::Rows(messages.into_iter().filter_map(row).collect()),
        };
        (answer, elapsed)
    }
}

fn failure(error: &tokio_postgres::Error) -> Answer {
    error.as_db_error().map_or(Answer::Lost, |report| {
        let (code, message) = (report.code().code(), report.message());
        let told = ledger::Outcome::from_error(code, message, report.detail());
        let text = report.detail().unwrap_or(message);
        Answer::Refused(told, compact_str::format_compact!("{code} {text}"))
    })
}

fn row(message: tokio_postgres::SimpleQueryMessage) -> Option<tokio_postgres::SimpleQueryRow> {
    match message {
        tokio_postgres::SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    }
}
