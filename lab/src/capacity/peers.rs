//! Resources that connections between proxies use while they are idle.

use std::net;
use std::sync;
use std::thread;
use std::time;

use mangotray::dial;
use mangotray::dial::Connector;
use mangotray::enrol;
use mangotray::hello;

use crate::capacity;
use crate::capacity::bench;
use crate::capacity::fit;
use crate::capacity::relay;
use crate::capacity::usage;

const CONNECTION_COUNTS: [usize; 4] = [100, 200, 400, 800];

/// Numbers of connections through the relay; smaller, as each uses two of its threads.
const RELAYED_CONNECTION_COUNTS: [usize; 3] = [25, 50, 100];

/// Key that the proxies send in their hello message.
const HELLO_KEY: &str = "mangotray";

/// Measures both ends of a connection together: a proxy has equally many of each.
pub fn measure(options: &capacity::Options) -> eyre::Result<Vec<fit::Series>> {
    let bench = bench::Bench::start(bench::Options {
        proxies: 1,
        groups: 1,
        ..bench::Options::default()
    })?;
    let entries = bench.platform.entries();
    let entry = entries
        .iter()
        .find(|entry| entry.key.starts_with(enrol::KEY_PREFIX));
    let entry = entry.ok_or_else(|| eyre::eyre!("the proxy is not registered"))?;
    let record: enrol::Record = serde_json::from_slice(&entry.value)?;
    let (mut memory, mut load) = (Vec::new(), Vec::new());
    let empty = usage::resident_kilobytes()?;
    let mut peers = Peers::start()?;
    for size in CONNECTION_COUNTS {
        peers.connect(record.peers, size)?;
        let spent = usage::cpu_percent(options.window)?;
        let size = usage::float(size);
        load.push((size, spent));
        memory.push((size, usage::resident_kilobytes()? - empty));
    }
    drop(peers);
    let traffic = sync::Arc::default();
    let relay = relay::start(record.peers, &traffic)?;
    let (mut bytes, mut packets) = (Vec::new(), Vec::new());
    let mut peers = Peers::start()?;
    for size in RELAYED_CONNECTION_COUNTS {
        peers.connect(relay, size)?;
        let before = (traffic.bytes(), traffic.chunks());
        thread::sleep(options.window);
        let rate =
            |now: usize, before: usize| usage::float(now - before) / options.window.as_secs_f64();
        let size = usage::float(size);
        bytes.push((size, rate(traffic.bytes(), before.0)));
        packets.push((size, rate(traffic.chunks(), before.1)));
    }
    drop(peers);
    traffic.stop();
    bench.stop();
    let series = |measure: &str, unit, points| {
        fit::Series::new(measure, "idle peer connections", unit, points)
    };
    Ok(vec![
        series("resident memory, both ends", "kB", memory),
        series("processor, both ends", "% of a core", load),
        series("bytes both ways", "B/s", bytes),
        series("packets with them", "1/s", packets),
    ])
}

/// The ends that open the connections.
struct Peers {
    executor: sync::Arc<async_executor::Executor<'static>>,
    connections: Vec<dial::Connection>,
    /// Ends the executor's thread when dropped.
    _stop: async_channel::Sender<()>,
}

impl Peers {
    fn start() -> eyre::Result<Self> {
        let executor = sync::Arc::new(async_executor::Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let thread_executor = sync::Arc::clone(&executor);
        thread::Builder::new()
            .name(usage::PROXY_THREAD_NAME.to_owned())
            .spawn(move || async_io::block_on(thread_executor.run(stopped.recv())))?;
        Ok(Self {
            executor,
            connections: Vec::new(),
            _stop: stop,
        })
    }

    /// Opens connections until there are `size`.
    fn connect(&mut self, address: net::SocketAddr, size: usize) -> eyre::Result<()> {
        while self.connections.len() < size {
            let executor = sync::Arc::clone(&self.executor);
            let opening = async {
                let stream = dial::Tcp.connect(address).await?;
                let hello = hello::Hello::new(HELLO_KEY);
                dial::Connection::open(stream, &hello, executor, dial::PING_TIMEOUT).await
            };
            self.connections.push(async_io::block_on(opening)?);
        }
        thread::sleep(SETTLE_TIME);
        let alive = self.connections.iter().all(dial::Connection::alive);
        eyre::ensure!(alive, "a connection to the proxy has ended");
        Ok(())
    }
}

/// Pause after the last connection is opened, before measuring starts.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(1);
