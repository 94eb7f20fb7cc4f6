//! Startup of a connection to a stand-in instance.

use futures_lite::AsyncWriteExt;
use futures_lite::StreamExt;
use mangotray::wire;
use pgwire::messages::response;
use pgwire::messages::startup;

use crate::backend;
use crate::instance;
use crate::output;

/// Codes in the first four bytes of a packet, in place of a protocol version.
const CANCEL_REQUEST_CODE: i32 = 80_877_102;
const SSL_REQUEST_CODE: i32 = 80_877_103;
const GSS_ENCRYPTION_REQUEST_CODE: i32 = 80_877_104;
/// Parameters that the server reports to each caller at startup.
const SERVER_PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// Refuses encryption requests and reads the startup packet; false when the connection
/// must be closed.
pub(crate) async fn negotiate(
    instance: &instance::Instance,
    stream: &mut wire::Stream,
) -> eyre::Result<bool> {
    while let Some(packet) = stream.next().await {
        let packet = packet?;
        backend::delay_request(instance).await;
        let code = packet.body.get(..4).map(<[u8; 4]>::try_from);
        match code.transpose()?.map(i32::from_be_bytes) {
            Some(SSL_REQUEST_CODE | GSS_ENCRYPTION_REQUEST_CODE) => {
                let refusal = [response::SslResponse::BYTE_REFUSE];
                stream.get_mut().get_mut().write_all(&refusal).await?;
            }
            Some(CANCEL_REQUEST_CODE) | None => return Ok(false),
            Some(_) => return Ok(true),
        }
    }
    Ok(false)
}

/// Sends the answer to the startup packet, up to `ReadyForQuery`.
pub(crate) fn complete(instance: &instance::Instance, output: &mut output::Output) {
    output.push(&startup::Authentication::Ok);
    for (name, value) in SERVER_PARAMETERS {
        output.report(name, &value);
    }
    let incarnation = instance.status().incarnation;
    output.report("group_incarnation", &incarnation);
    output.push(&startup::BackendKeyData::new(0, startup::SecretKey::I32(0)));
    output.ready(response::TransactionStatus::Idle);
}
