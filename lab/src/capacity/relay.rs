//! A relay that counts the bytes it carries, both ways.

use std::io::Read;
use std::io::Write;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;

const BUFFER: usize = 64 << 10;

/// What relays have carried.
#[derive(Debug, Default)]
pub struct Count {
    bytes: atomic::AtomicUsize,
    chunks: atomic::AtomicUsize,
    stopped: atomic::AtomicBool,
}

impl Count {
    /// Bytes within the connections, without the headers of packets.
    pub fn bytes(&self) -> usize {
        self.bytes.load(atomic::Ordering::Relaxed)
    }

    /// Reads that got bytes: about the number of packets with a payload.
    pub fn chunks(&self) -> usize {
        self.chunks.load(atomic::Ordering::Relaxed)
    }

    /// Ends the relays once their connections are closed.
    pub fn stop(&self) {
        self.stopped.store(true, atomic::Ordering::Relaxed);
    }
}

/// Starts a relay to `target`; returns where it listens.
pub fn start(target: net::SocketAddr, count: &sync::Arc<Count>) -> eyre::Result<net::SocketAddr> {
    let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let count = sync::Arc::clone(count);
    thread::Builder::new()
        .name("relay".to_owned())
        .spawn(move || accept(&listener, target, &count))?;
    Ok(address)
}

fn accept(listener: &net::TcpListener, target: net::SocketAddr, count: &sync::Arc<Count>) {
    for near in listener.incoming().map_while(Result::ok) {
        if count.stopped.load(atomic::Ordering::Relaxed) {
            return;
        }
        let Ok(far) = net::TcpStream::connect(target) else {
            continue;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        if let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) {
            carry(near, far, count);
            carry(far_copy, near_copy, count);
        }
    }
}

fn carry(mut from: net::TcpStream, mut to: net::TcpStream, count: &sync::Arc<Count>) {
    let count = sync::Arc::clone(count);
    thread::spawn(move || {
        let mut buffer = vec![0; BUFFER];
        while let Ok(length @ 1..) = from.read(&mut buffer) {
            count.bytes.fetch_add(length, atomic::Ordering::Relaxed);
            count.chunks.fetch_add(1, atomic::Ordering::Relaxed);
            if to.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(net::Shutdown::Both);
        let _ = from.shutdown(net::Shutdown::Both);
    });
}
