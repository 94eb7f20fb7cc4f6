//! Stand-in of a requester.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::world::Position;

/// One session.
pub struct Session {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    pub rows: Vec<String>,
    /// Digest, or code of the error.
    pub end: Result<String, String>,
    pub text: String,
    pub state: String,
    pub position: Option<Position>,
    pub at: Instant,
}

impl Session {
    /// Opens a session; the error is what the node answered, or why there was no answer.
    pub fn open(address: SocketAddr, start: &str) -> Result<Self, String> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))
            .map_err(|error| error.to_string())?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
        let writer = stream.try_clone().map_err(|error| error.to_string())?;
        let mut session = Self {
            writer,
            reader: BufReader::new(stream),
        };
        session.send(&format!("START {start}"))?;
        let line = session.line()?;
        if line.starts_with("READY I") {
            Ok(session)
        } else {
            Err(line)
        }
    }

    /// How long an answer is waited for.
    pub fn patience(&self, limit: Duration) {
        let _ = self.writer.set_read_timeout(Some(limit));
    }

    pub fn send(&mut self, line: &str) -> Result<(), String> {
        let sent = self.writer.write_all(format!("{line}\r\n").as_bytes());
        sent.map_err(|error| error.to_string())
    }

    fn line(&mut self) -> Result<String, String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => Err("closed".into()),
            Ok(_) => Ok(line.trim_end_matches(['\r', '\n']).to_owned()),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Receives one answer.
    pub fn receive(&mut self) -> Result<Reply, String> {
        let (mut rows, mut end, mut text) = (Vec::new(), None, String::new());
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => rows.push(rest.to_owned()),
                "DONE" => end = Some(Ok(rest.to_owned())),
                "ERR" => {
                    let (code, more) = rest.split_once(' ').unwrap_or((rest, ""));
                    more.clone_into(&mut text);
                    end = Some(Err(code.to_owned()));
                }
                "READY" => {
                    let (state, position) = rest.split_once(' ').unwrap_or((rest, ""));
                    let position = position.split_once('.').and_then(|(term, number)| {
                        Some((term.parse().ok()?, number.parse().ok()?))
                    });
                    let end = end.ok_or("READY without an end")?;
                    return Ok(Reply {
                        rows,
                        end,
                        text,
                        state: state.to_owned(),
                        position,
                        at: Instant::now(),
                    });
                }
                _ => return Err(format!("unexpected {line:?}")),
            }
        }
    }

    pub fn query(&mut self, id: &str, text: &str) -> Result<Reply, String> {
        self.send(&format!("QUERY {id} {text}"))?;
        self.receive()
    }
}
