//! A blocking `PostgreSQL` client that uses little memory: one socket and one buffer.

use std::io::Read;
use std::io::Write;
use std::net;
use std::time;

const PROTOCOL_VERSION: i32 = 196_608;
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(20);
const HEADER_BYTES: usize = 5;
const READY_FOR_QUERY: u8 = b'Z';
const ERROR_RESPONSE: u8 = b'E';

/// One connection that is ready for statements.
pub struct Client {
    socket: net::TcpStream,
}

impl Client {
    /// Connects and waits until the proxy is ready for statements.
    pub fn connect(proxy: net::SocketAddr, database: &str) -> eyre::Result<Self> {
        let socket = net::TcpStream::connect(proxy)?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(READ_TIMEOUT))?;
        let mut client = Self { socket };
        let body = format!("user\0desk\0database\0{database}\0\0");
        let length = i32::try_from(body.len() + 8)?;
        let mut message = length.to_be_bytes().to_vec();
        message.extend(PROTOCOL_VERSION.to_be_bytes());
        message.extend(body.bytes());
        client.exchange(&message)?;
        Ok(client)
    }

    /// Runs one statement and waits for the end of its answer.
    pub fn run(&mut self, sql: &str) -> eyre::Result<()> {
        let mut message = vec![b'Q'];
        message.extend(i32::try_from(sql.len() + 5)?.to_be_bytes());
        message.extend(sql.bytes());
        message.push(0);
        self.exchange(&message)
    }

    fn exchange(&mut self, message: &[u8]) -> eyre::Result<()> {
        self.socket.write_all(message)?;
        let mut refusal = None;
        loop {
            let (tag, body) = self.read_message()?;
            match tag {
                READY_FOR_QUERY => return refusal.map_or(Ok(()), Err),
                ERROR_RESPONSE => refusal = Some(eyre::eyre!("{}", String::from_utf8_lossy(&body))),
                _ => {}
            }
        }
    }

    fn read_message(&mut self) -> eyre::Result<(u8, Vec<u8>)> {
        let mut header = [0; HEADER_BYTES];
        self.socket.read_exact(&mut header)?;
        let [tag, length @ ..] = header;
        let mut body = vec![0; usize::try_from(i32::from_be_bytes(length))? - 4];
        self.socket.read_exact(&mut body)?;
        Ok((tag, body))
    }
}
