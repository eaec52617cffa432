//! A link of small bandwidth: loopback proxies that share it towards one process.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes that are passed on at a time.
const PIECE: usize = 4 * 1024;

/// The bandwidth towards a process, shared by all its connections.
#[derive(Clone)]
pub struct SlowLink {
    bytes_per_s: f64,
    free_at: Arc<Mutex<Instant>>,
}

impl SlowLink {
    pub fn new(bytes_per_s: f64) -> SlowLink {
        SlowLink { bytes_per_s, free_at: Arc::new(Mutex::new(Instant::now())) }
    }

    /// Listens for connections to `to` and slows down what comes back on them.
    pub fn proxy(&self, to: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let link = self.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else { continue };
                let (near2, far2) = (near.try_clone().unwrap(), far.try_clone().unwrap());
                thread::spawn(move || copy(near2, far2, |_| {}));
                let link = link.clone();
                thread::spawn(move || copy(far, near, |n| link.carry(n)));
            }
        });
        address
    }

    /// Waits until `n` more bytes have gone over the link.
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

fn copy(mut from: TcpStream, mut to: TcpStream, before: impl Fn(usize)) {
    let mut buf = [0; PIECE];
    while let Ok(n @ 1..) = from.read(&mut buf) {
        before(n);
        if to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
