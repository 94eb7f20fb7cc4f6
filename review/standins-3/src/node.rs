//! A node of the project, started with the command and the template of its deploy file.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

/// Ports to choose from, below the range of ephemeral ones: an outgoing connection could otherwise
/// take a node's port before the node listens.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

static NEXT: std::sync::atomic::AtomicU16 = std::sync::atomic::AtomicU16::new(0);

// A port that no program listens on. Each script begins at another place, by its process id.
fn free_port() -> SocketAddr {
    let count = PORTS.end - PORTS.start;
    let offset = u16::try_from(std::process::id() * 97 % u32::from(count)).unwrap_or_default();
    loop {
        let step = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        assert!(step < count, "no port is free");
        let address = SocketAddr::from(([127, 0, 0, 1], PORTS.start + (offset + step) % count));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl Node {
    /// Fills in `deploy/node.ini` with the figures of the sheets; `keys` tells whether requesters need
    /// one.
    pub fn new(name: &str, zone: &str, store: SocketAddr, folder: &Path, keys: bool) -> Self {
        let with_keys = |text: &str| if keys { text.to_owned() } else { String::new() };
        let (callers, ready, peers) = (free_port(), free_port(), free_port());
        let template = std::fs::read_to_string("deploy/node.ini")
            .expect("the script runs in the repository's root");
        let values = [
            ("{{node_name}}", name.to_owned()),
            ("{{zone}}", zone.to_owned()),
            ("{{listen.front}}", callers.to_string()),
            ("{{listen.ready}}", ready.to_string()),
            ("{{ip}}:{{internal_ports.0}}", peers.to_string()),
            ("{{platform.addr}}", store.to_string()),
            ("{{platform.ttl_min_ms}}", "1000".into()),
            ("{{cloud.addr}}", store.to_string()),
            ("{{bounds.grace_s}}", "6".into()),
            ("{{limits.max_fds}}", "4200".into()),
            (
                "{{#bounds.revoke_strict}}{{bounds.revoke_ms}}{{/bounds.revoke_strict}}",
                with_keys("5000"),
            ),
            ("{{bounds.quota_window_s}}", with_keys("5")),
            ("{{bounds.quota_excess}}", with_keys("0.1")),
            ("{{bounds.quota_slack}}", with_keys("20")),
        ];
        let text = values
            .iter()
            .fold(template, |text, (name, value)| text.replace(name, value));
        assert!(
            !text.contains("{{"),
            "the template has unknown places: {text}"
        );
        let settings = folder.join(format!("{name}.ini"));
        std::fs::write(&settings, text).expect("the folder can be written");
        Self {
            name: name.to_owned(),
            callers,
            ready,
            peers,
            settings,
            folder: folder.to_owned(),
            child: None,
        }
    }

    pub fn start(&mut self) {
        let log = self.folder.join(format!("{}.log", self.name));
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .expect("the folder can be written");
        let child = Command::new("target/release/mangotray-node")
            .env("MANGOTRAY_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log is open"))
            .stderr(log)
            .spawn()
            .expect("the node's program is built");
        self.child = Some(child);
    }

    pub fn signal(&self, signal: rustix::process::Signal) {
        let id = self
            .child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok());
        if let Some(id) = id.and_then(rustix::process::Pid::from_raw) {
            let _ = rustix::process::kill_process(id, signal);
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child
            .as_mut()
            .and_then(|child| child.try_wait().ok().flatten())
    }

    /// Whether the readiness probe is answered with 200.
    pub fn is_ready(&self) -> bool {
        use std::io::{Read, Write};
        let Ok(mut stream) = std::net::TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(std::time::Duration::from_secs(1)));
        let _ = stream.write_all(b"GET /v1/ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n");
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        answer.starts_with("HTTP/1.1 200")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
