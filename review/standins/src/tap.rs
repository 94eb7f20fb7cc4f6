//! Proxies of the cases: one between a node and the platform, one between the nodes and an
//! instance. They forward bytes, record what passes, and hold it back where a case says so.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

use crate::common::{Executor, Record, pause};

/// What the platform has seen of promotion calls.
#[derive(Default)]
pub struct Calls {
    /// Highest generation number seen so far.
    pub highest: u64,
    /// Calls that arrived so far.
    pub count: usize,
    /// Descriptions of calls with a lower number than one seen before.
    pub stale: Vec<String>,
}

/// The link between one node and the platform.
pub struct Link {
    pub node: String,
    /// Nothing passes while this is set. Bytes that were sent stay where they are, and arrive
    /// afterwards unless their sender has reset the connection.
    pub cut: Cell<bool>,
    /// When the platform's acceptance of a promotion's record was last passed on to the node.
    pub recorded: Cell<Option<Instant>>,
    /// Cut the link at the moment of the next such acceptance.
    pub cut_at_record: Cell<bool>,
    calls: Rc<RefCell<Calls>>,
    record: Record,
}

impl Link {
    pub async fn start(
        node: String,
        platform: SocketAddr,
        calls: &Rc<RefCell<Calls>>,
        record: &Record,
        executor: &Executor,
    ) -> eyre::Result<(Rc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let link = Rc::new(Self {
            node,
            cut: Cell::default(),
            recorded: Cell::default(),
            cut_at_record: Cell::default(),
            calls: Rc::clone(calls),
            record: record.clone(),
        });
        let (served, tasks) = (Rc::clone(&link), Rc::clone(executor));
        executor
            .spawn(async move {
                while let Ok((client, _)) = listener.accept().await {
                    tasks
                        .spawn(Rc::clone(&served).serve(client, platform))
                        .detach();
                }
            })
            .detach();
        Ok((link, address))
    }

    async fn serve(self: Rc<Self>, client: TcpStream, platform: SocketAddr) {
        if self.cut.get() {
            // In a partition this connection would not have been opened: nothing sent on it counts.
            while self.cut.get() {
                pause(5).await;
            }
            return;
        }
        let Ok(server) = TcpStream::connect(platform).await else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let awaits_record = Cell::new(false);
        let there = self.requests(client.clone(), server.clone(), &awaits_record);
        let back = self.answers(server, client, &awaits_record);
        there.or(back).await;
    }

    async fn requests(&self, mut from: TcpStream, mut to: TcpStream, awaits_record: &Cell<bool>) {
        let mut buffer = vec![0; 65536];
        loop {
            // Nothing is read during a cut, so that a reset by the sender discards what it sent.
            if from.peek(&mut [0]).await.is_err() {
                return;
            }
            if self.cut.get() {
                while self.cut.get() {
                    pause(5).await;
                }
                if !matches!(rustix::net::sockopt::socket_error(&from), Ok(Ok(()))) {
                    self.record.note(&format!(
                        "{}: bytes held up by the cut are lost: their sender has reset the connection",
                        self.node
                    ));
                    return;
                }
            }
            let Ok(count @ 1..) = from.read(&mut buffer).await else {
                // The platform still handles what was sent before the connection was closed.
                return pause(1000).await;
            };
            self.note_request(&String::from_utf8_lossy(&buffer[..count]), awaits_record);
            if to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }

    async fn answers(&self, mut from: TcpStream, mut to: TcpStream, awaits_record: &Cell<bool>) {
        let mut buffer = vec![0; 65536];
        loop {
            let Ok(count @ 1..) = from.read(&mut buffer).await else {
                return;
            };
            while self.cut.get() {
                pause(5).await;
            }
            if to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
            if awaits_record.replace(false) && buffer.starts_with(b"HTTP/1.1 200") {
                self.record.note(&format!(
                    "{}: the store has accepted the record of its promotion",
                    self.node
                ));
                self.recorded.set(Some(Instant::now()));
                if self.cut_at_record.replace(false) {
                    self.cut.set(true);
                    self.record
                        .note(&format!("{}: CUT from the platform", self.node));
                }
            }
        }
    }

    fn note_request(&self, text: &str, awaits_record: &Cell<bool>) {
        let head = text.lines().next().unwrap_or_default();
        if head.starts_with("POST /v1/kv-txn") && text.contains("\"mangotray/promotion/") {
            awaits_record.set(true);
        }
        if head.starts_with("POST /v1/kv-txn")
            && text.contains("\"key\":\"mangotray/promoter\",\"rev\":0")
        {
            self.record.note(&format!(
                "{}: asks the store for the lease of the duty",
                self.node
            ));
        }
        if !head.starts_with("POST /failover") {
            return;
        }
        let header = |name: &str| {
            let mut lines = text.lines().filter_map(|line| line.split_once(':'));
            let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
            found
                .map(|(_, value)| value.trim().to_owned())
                .unwrap_or_default()
        };
        let fence: u64 = header("fence-token").parse().unwrap_or_default();
        let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        let mut calls = self.calls.borrow_mut();
        let highest = calls.highest;
        calls.count += 1;
        let call = format!(
            "POST /failover arrives at the platform from {}: Duty-Holder {}, Fence-Token {fence}, {body}; highest seen before: {highest}",
            self.node,
            header("duty-holder"),
        );
        self.record.note(&call);
        if fence < highest {
            calls.stale.push(call);
        }
        calls.highest = highest.max(fence);
    }
}

/// Statements of requesters that have reached an instance, by their ids.
pub type Runs = Rc<RefCell<BTreeMap<String, (String, Instant)>>>;

/// Starts a proxy in front of an instance that delays each message by `one_way_ms`.
pub async fn instance_link(
    id: &str,
    target: SocketAddr,
    one_way_ms: u64,
    runs: &Runs,
    executor: &Executor,
) -> eyre::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (id, runs, tasks) = (id.to_owned(), Rc::clone(runs), Rc::clone(executor));
    executor
        .spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let (id, runs) = (id.clone(), Rc::clone(&runs));
                tasks
                    .spawn(async move {
                        let Ok(server) = TcpStream::connect(target).await else {
                            return;
                        };
                        let _ = (client.set_nodelay(true), server.set_nodelay(true));
                        let note = |chunk: &[u8]| {
                            for line in String::from_utf8_lossy(chunk).lines() {
                                let mut words = line.split(' ');
                                let query = words.next() == Some("QUERY");
                                let statement = words.next().filter(|word| query && *word != "-");
                                if let Some(statement) = statement {
                                    let run = (id.clone(), Instant::now());
                                    runs.borrow_mut().insert(statement.to_owned(), run);
                                }
                            }
                        };
                        let there = pump(client.clone(), server.clone(), one_way_ms, note);
                        let back = pump(server, client, one_way_ms, |_| {});
                        there.or(back).await;
                    })
                    .detach();
            }
        })
        .detach();
    Ok(address)
}

async fn pump(mut from: TcpStream, mut to: TcpStream, delay_ms: u64, note: impl Fn(&[u8])) {
    let mut buffer = vec![0; 4096];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        pause(delay_ms).await;
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
        note(&buffer[..count]);
    }
}
