//! Simulates a link of low bandwidth with loopback proxies that share it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of bytes forwarded at a time.
const CHUNK_BYTES: usize = 4 * 1024;

/// A bandwidth limit shared by all connections through the proxies of this link.
#[derive(Clone)]
pub struct SlowLink {
    bytes_per_s: f64,
    free_at: Arc<Mutex<Instant>>,
}

impl SlowLink {
    pub fn new(bytes_per_s: f64) -> SlowLink {
        SlowLink { bytes_per_s, free_at: Arc::new(Mutex::new(Instant::now())) }
    }

    /// Starts a proxy to `to` that throttles the responses, and returns its address.
    pub fn proxy(&self, to: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let link = self.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(to) else { continue };
                let (client2, server2) = (client.try_clone().unwrap(), server.try_clone().unwrap());
                thread::spawn(move || copy(client2, server2, |_| {}));
                let link = link.clone();
                thread::spawn(move || copy(server, client, |n| link.carry(n)));
            }
        });
        address
    }

    /// Waits until the link has transmitted `n` more bytes.
    fn carry(&self, n: usize) {
        let due = {
            let mut free_at = self.free_at.lock().unwrap();
            let span = Duration::from_secs_f64(n as f64 / self.bytes_per_s);
            *free_at = (*free_at).max(Instant::now()) + span;
            *free_at
        };
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
}

/// Copies bytes until either side closes, and calls `before` with the size of each chunk.
fn copy(mut from: TcpStream, mut to: TcpStream, before: impl Fn(usize)) {
    let mut buf = [0; CHUNK_BYTES];
    while let Ok(n @ 1..) = from.read(&mut buf) {
        before(n);
        if to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
