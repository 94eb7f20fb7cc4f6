//! A requester's session.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Session {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

#[allow(dead_code)]
#[derive(Clone, Debug)]
pub struct Answer {
    pub rows: Vec<String>,
    /// The digest, or the code of the error.
    pub end: Result<String, String>,
    pub state: String,
}

impl Session {
    pub fn open(address: SocketAddr, database: &str) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
        let mut session = Self {
            writer: stream.try_clone().ok()?,
            reader: BufReader::new(stream),
        };
        session.send(&format!("START {database} u1"))?;
        session.line()?.starts_with("READY I").then_some(session)
    }

    fn send(&mut self, line: &str) -> Option<()> {
        self.writer.write_all(format!("{line}\r\n").as_bytes()).ok()
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        self.reader.read_line(&mut line).ok()?;
        line.strip_suffix("\r\n").map(str::to_owned)
    }

    /// Sends a request and waits for its answer; `None` if the connection ends or nothing comes.
    pub fn query(&mut self, id: &str, text: &str) -> Option<Answer> {
        self.send(&format!("QUERY {id} {text}"))?;
        let (mut rows, mut end) = (Vec::new(), None);
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => rows.push(rest.to_owned()),
                "DONE" => end = Some(Ok(rest.to_owned())),
                "ERR" => end = Some(Err(rest.split(' ').next().unwrap_or_default().to_owned())),
                _ => {
                    let state = rest.split(' ').next().unwrap_or_default().to_owned();
                    return end.map(|end| Answer { rows, end, state });
                }
            }
        }
    }
}
