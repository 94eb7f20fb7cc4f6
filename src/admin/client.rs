//! Client for the status of a proxy.

use std::net;
use std::time;

use eyre::WrapErr;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body;
use hyper::header;

use crate::admin;

/// Largest response body that is read. A server at a wrong address could otherwise exhaust memory.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Fetches `/status` from a proxy's admin address.
///
/// # Errors
/// When the proxy cannot be reached, its response is not a status, or `timeout` has passed.
///
/// ```
/// use std::time::Duration;
/// let nobody = "127.0.0.1:1".parse().unwrap();
/// let fetched = mangotray::admin::fetch(nobody, Duration::from_secs(5));
/// assert!(futures_lite::future::block_on(fetched).is_err());
/// ```
pub async fn fetch(
    address: net::SocketAddr,
    timeout: time::Duration,
) -> eyre::Result<admin::Status> {
    let timed_out = async {
        async_io::Timer::after(timeout).await;
        let waited = humantime::format_duration(timeout);
        Err(eyre::eyre!("no answer within {waited}"))
    };
    get(address)
        .or(timed_out)
        .await
        .wrap_err_with(|| format!("status of {address}"))
}

async fn get(address: net::SocketAddr) -> eyre::Result<admin::Status> {
    let stream = async_net::TcpStream::connect(address).await?;
    let stream = smol_hyper::rt::FuturesIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(stream).await?;
    let request = hyper::Request::get("/status")
        .header(header::HOST, address.to_string())
        .body(http_body_util::Empty::<body::Bytes>::new())?;
    let exchange = async {
        let answer = sender.send_request(request).await?;
        let code = answer.status();
        eyre::ensure!(code.is_success(), "answered {code}");
        let limited = http_body_util::Limited::new(answer.into_body(), MAX_BODY_BYTES);
        let bytes = limited.collect().await.map_err(|e| eyre::eyre!(e))?;
        Ok(serde_json::from_slice(&bytes.to_bytes())?)
    };
    let closed = async {
        connection.await?;
        std::future::pending().await
    };
    exchange.or(closed).await
}
