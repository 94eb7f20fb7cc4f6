//! A TCP relay that counts the bytes it forwards in both directions.

use std::io::Read;
use std::io::Write;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;

const BUFFER_BYTES: usize = 64 << 10;

/// Counters of relays, and the flag that stops them.
#[derive(Debug, Default)]
pub struct Traffic {
    bytes: atomic::AtomicUsize,
    chunks: atomic::AtomicUsize,
    stopped: atomic::AtomicBool,
}

impl Traffic {
    /// Bytes of payload, without the headers of packets.
    pub fn bytes(&self) -> usize {
        self.bytes.load(atomic::Ordering::Relaxed)
    }

    /// Reads that returned data; approximates the number of packets with a payload.
    pub fn chunks(&self) -> usize {
        self.chunks.load(atomic::Ordering::Relaxed)
    }

    /// Makes each relay stop listening at its next new connection; open connections go on.
    pub fn stop(&self) {
        self.stopped.store(true, atomic::Ordering::Relaxed);
    }
}

/// Starts a relay to `target`; returns the address that it listens at.
pub fn start(
    target: net::SocketAddr,
    traffic: &sync::Arc<Traffic>,
) -> eyre::Result<net::SocketAddr> {
    let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let traffic = sync::Arc::clone(traffic);
    thread::Builder::new()
        .name("relay".to_owned())
        .spawn(move || accept_connections(&listener, target, &traffic))?;
    Ok(address)
}

fn accept_connections(
    listener: &net::TcpListener,
    target: net::SocketAddr,
    traffic: &sync::Arc<Traffic>,
) {
    for client in listener.incoming().map_while(Result::ok) {
        if traffic.stopped.load(atomic::Ordering::Relaxed) {
            return;
        }
        let Ok(server) = net::TcpStream::connect(target) else {
            continue;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        if let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone()) {
            forward(client, server, traffic);
            forward(server_copy, client_copy, traffic);
        }
    }
}

fn forward(
    mut source: net::TcpStream,
    mut destination: net::TcpStream,
    traffic: &sync::Arc<Traffic>,
) {
    let traffic = sync::Arc::clone(traffic);
    thread::spawn(move || {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(length @ 1..) = source.read(&mut buffer) {
            traffic.bytes.fetch_add(length, atomic::Ordering::Relaxed);
            traffic.chunks.fetch_add(1, atomic::Ordering::Relaxed);
            if destination.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        let _ = destination.shutdown(net::Shutdown::Both);
        let _ = source.shutdown(net::Shutdown::Both);
    });
}
