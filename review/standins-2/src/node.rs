//! The project's nodes, started with the command and the template of its deploy file.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Node {
    /// Starts a node. The current folder is the repository's root.
    pub fn start(
        number: usize,
        zone: &str,
        store: SocketAddr,
        folder: &Path,
    ) -> Result<Self, String> {
        let ports = [free_port()?, free_port()?, free_port()?];
        let [front, ready, inner] = [0, 1, 2].map(|index| ports[index].1);
        drop(ports);
        let name = format!("front-{zone}-{number}");
        let fields: BTreeMap<&str, String> = [
            ("node_name", name.clone()),
            ("zone", zone.to_owned()),
            ("ip", "127.0.0.1".to_owned()),
            ("listen.front", front.to_string()),
            ("listen.ready", ready.to_string()),
            ("internal_ports.0", inner.port().to_string()),
            ("platform.addr", store.to_string()),
            ("platform.ttl_min_ms", "1000".to_owned()),
            ("cloud.addr", store.to_string()),
            ("bounds.grace_s", "6".to_owned()),
            ("limits.max_fds", "4200".to_owned()),
        ]
        .into();
        let deploy =
            std::fs::read_to_string("deploy/system.toml").map_err(|error| error.to_string())?;
        let field = |name: &str| {
            let lines = deploy.lines().filter_map(|line| line.split_once('='));
            let found = lines.into_iter().find(|(key, _)| key.trim() == name);
            found
                .map(|(_, value)| value.trim().trim_matches('"').to_owned())
                .ok_or(format!("no {name} in the deploy file"))
        };
        let template =
            std::fs::read_to_string(field("template")?).map_err(|error| error.to_string())?;
        let settings: PathBuf = folder.join(format!("{name}.settings"));
        std::fs::write(&settings, render(&template, &fields)).map_err(|error| error.to_string())?;
        let run = field("run")?;
        let mut words = run.split(' ');
        let log = std::fs::File::create(folder.join(format!("{name}.log")))
            .map_err(|error| error.to_string())?;
        let mut command = Command::new(words.next().unwrap_or_default());
        command
            .args(words)
            .env_clear()
            .env("MANGOTRAY_CONFIG", &settings);
        for kept in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(kept) {
                command.env(kept, value);
            }
        }
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = command
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{run}: {error}"))?;
        Ok(Self {
            name,
            front,
            ready,
            child,
        })
    }

    /// Waits until the node reports itself ready.
    pub fn wait_ready(&self, until: Instant) -> bool {
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let asked =
            stream.write_all(b"GET /v1/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
        let mut answer = String::new();
        asked.is_ok()
            && stream.read_to_string(&mut answer).is_ok()
            && answer.starts_with("HTTP/1.1 200")
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

// A free port below those that the system gives to outgoing connections, which could take a port of that
// range between this look and the node's start.
fn free_port() -> Result<(TcpListener, SocketAddr), String> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 12_000 + (std::process::id() % 400) as u16 * 40;
    for _ in 0..400 {
        let port = first + NEXT.fetch_add(1, Ordering::SeqCst);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener
                .local_addr()
                .map(|address| (listener, address))
                .map_err(|error| error.to_string());
        }
    }
    Err("no port is free".to_owned())
}

// Fills a template in. None of the fields of its sections has a value here.
fn render(template: &str, fields: &BTreeMap<&str, String>) -> String {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let name = text[start + 3..]
            .split("}}")
            .next()
            .unwrap_or_default()
            .to_owned();
        let close = format!("{{{{/{name}}}}}");
        let end = text.find(&close).map_or(text.len(), |at| at + close.len());
        text.replace_range(start..end, "");
    }
    while let Some(start) = text.find("{{") {
        let end = text[start..]
            .find("}}")
            .map_or(text.len(), |at| start + at + 2);
        let name = text[start + 2..end - 2].to_owned();
        text.replace_range(
            start..end,
            fields.get(name.as_str()).map_or("", String::as_str),
        );
    }
    text
}
