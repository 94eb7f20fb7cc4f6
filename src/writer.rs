//! Writes answers and final errors to callers within a time limit.

use std::time;

use futures_lite::AsyncReadExt;
use futures_lite::FutureExt;
use futures_util::SinkExt;

use crate::frame;
use crate::reader;
use crate::refusal;
use crate::wire;

/// Time to write the final error.
const LAST_SEND_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Time to wait for the caller to close its side after the final error.
const LINGER_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Bytes that are read and discarded at a time.
const DISCARD_BUFFER_BYTES: usize = 4 * 1024;

/// Writes an answer.
///
/// # Errors
/// When the connection is closed or the caller does not receive the answer within `timeout`. A
/// caller that stops reading would otherwise keep the answer in memory and delay a drain.
pub async fn send(
    stream: &mut wire::Stream,
    frames: Vec<frame::Frame>,
    timeout: time::Duration,
) -> Result<(), reader::Stop> {
    let write = async {
        for frame in frames {
            stream.feed(frame).await?;
        }
        stream.flush().await
    };
    let timed_out = async {
        async_io::Timer::after(timeout).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    write.or(timed_out).await.map_err(|_| reader::Stop::Closed)
}

/// Sends the error that ends a session and closes the connection.
///
/// If a socket with unread bytes is closed, the operating system resets the connection, and the
/// caller may lose the error. The proxy therefore closes only its own direction first, and reads
/// and discards data for a limited time.
pub async fn close(mut stream: wire::Stream, error: &refusal::Error) {
    if send(&mut stream, vec![error.frame()], LAST_SEND_TIMEOUT)
        .await
        .is_err()
    {
        return;
    }
    let finish = async {
        let _ = SinkExt::<frame::Frame>::close(&mut stream).await;
        let mut socket = stream.into_inner().into_inner();
        let mut discarded = [0; DISCARD_BUFFER_BYTES];
        while socket
            .read(&mut discarded)
            .await
            .is_ok_and(|count| count > 0)
        {}
    };
    let timed_out = async {
        async_io::Timer::after(LINGER_TIMEOUT).await;
    };
    finish.or(timed_out).await;
}

/// Error for a caller that is idle when the process shuts down.
///
/// ```
/// assert_eq!(mangotray::writer::shutdown().code, "57P01");
/// ```
#[must_use]
pub fn shutdown() -> refusal::Error {
    refusal::Error::fatal(
        refusal::ADMIN_SHUTDOWN,
        "terminating connection: the proxy is shutting down",
    )
    .hint("Connect again.")
}

/// Error for a caller that leaves a transaction open without using it.
///
/// ```
/// assert_eq!(mangotray::writer::idle_transaction().code, "25P03");
/// ```
#[must_use]
pub fn idle_transaction() -> refusal::Error {
    refusal::Error::fatal(
        refusal::IDLE_TRANSACTION_TIMEOUT,
        "terminating connection due to idle-in-transaction timeout",
    )
}

/// Error for a caller that does not complete a request in time.
///
/// ```
/// assert_eq!(mangotray::writer::incomplete_request().code, "08P01");
/// ```
#[must_use]
pub fn incomplete_request() -> refusal::Error {
    refusal::Error::fatal(
        refusal::PROTOCOL_VIOLATION,
        "request was not completed in time",
    )
}

/// Error for a caller that does not complete its startup in time.
///
/// ```
/// assert_eq!(mangotray::writer::incomplete_startup().code, "08P01");
/// ```
#[must_use]
pub fn incomplete_startup() -> refusal::Error {
    refusal::Error::fatal(
        refusal::PROTOCOL_VIOLATION,
        "startup was not completed in time",
    )
}
