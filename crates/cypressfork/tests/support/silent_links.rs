//! A proxy between processes that can let open links fall silent: it acknowledges their bytes and drops them.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use cypressfork_wire::frame::{LENGTH_PREFIX_LEN, MAX_HANDSHAKE_FRAME, parse_length};
use cypressfork_wire::{Frame, decode};

use super::own_ip;

/// The bytes of a link that are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// Those of both processes.
    Both,
    /// Those of the process that opened the link.
    Opener,
    /// Those of the process that accepted it.
    Acceptor,
}

/// A link through the proxy.
struct ProxiedLink {
    opener: String,
    acceptor: String,
    opener_silent: AtomicBool,
    acceptor_silent: AtomicBool,
}

/// The links between processes.
#[derive(Clone, Default)]
pub struct SilentLinks {
    open: Arc<Mutex<Vec<Arc<ProxiedLink>>>>,
}

impl SilentLinks {
    /// Listens on a free port for links to the process `acceptor` at `to`. Returns the proxy's address.
    pub fn serve(&self, acceptor: &str, to: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind((own_ip(), 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let (open, acceptor) = (self.open.clone(), acceptor.to_owned());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let (open, acceptor) = (open.clone(), acceptor.clone());
                thread::spawn(move || forward(&open, client, acceptor, to));
            }
        });
        address
    }

    /// Lets the open links that `matches` selects by the names of opener and acceptor fall silent for good. New links
    /// work. Returns the number of links.
    pub fn silence(&self, silence: Silence, matches: impl Fn(&str, &str) -> bool) -> usize {
        let mut open = self.open.lock().unwrap();
        let silenced = open.extract_if(.., |l| matches(&l.opener, &l.acceptor));
        silenced
            .map(|l| {
                l.opener_silent.store(silence != Silence::Acceptor, Ordering::SeqCst);
                l.acceptor_silent.store(silence != Silence::Opener, Ordering::SeqCst);
            })
            .count()
    }

    /// Returns whether a link from `opener` to `acceptor` is open and not silent.
    pub fn is_open(&self, opener: &str, acceptor: &str) -> bool {
        let open = self.open.lock().unwrap();
        open.iter().any(|l| l.opener == opener && l.acceptor == acceptor)
    }
}

/// Forwards a link to `to` until either side ends.
fn forward(
    open: &Mutex<Vec<Arc<ProxiedLink>>>,
    mut client: TcpStream,
    acceptor: String,
    to: SocketAddr,
) -> Option<()> {
    let (opener, hello) = read_hello(&mut client)?;
    let mut server = TcpStream::connect(to).ok()?;
    client.set_nodelay(true).ok()?;
    server.set_nodelay(true).ok()?;
    server.write_all(&hello).ok()?;
    let (opener_silent, acceptor_silent) = Default::default();
    let link = Arc::new(ProxiedLink { opener, acceptor, opener_silent, acceptor_silent });
    open.lock().unwrap().push(link.clone());
    let (from_server, to_client, l) =
        (server.try_clone().ok()?, client.try_clone().ok()?, link.clone());
    let answers = thread::spawn(move || copy(from_server, to_client, &l.acceptor_silent));
    copy(client, server, &link.opener_silent);
    let _ = answers.join();
    open.lock().unwrap().retain(|l| !Arc::ptr_eq(l, &link));
    Some(())
}

/// Reads the first frame of a link. Returns the name of the process that opened it, and the frame's bytes.
fn read_hello(client: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut bytes = vec![0; LENGTH_PREFIX_LEN];
    client.read_exact(&mut bytes).ok()?;
    let len = parse_length(*bytes.first_chunk()?, MAX_HANDSHAKE_FRAME).ok()?;
    bytes.resize(LENGTH_PREFIX_LEN + len, 0);
    client.read_exact(&mut bytes[LENGTH_PREFIX_LEN..]).ok()?;
    match decode(&bytes[LENGTH_PREFIX_LEN..]) {
        Ok(Frame::Hello(h)) => Some((h.name, bytes)),
        _ => None,
    }
}

/// Copies one direction until it ends. Bytes and the end are dropped once it is `silent`.
fn copy(mut from: TcpStream, mut to: TcpStream, silent: &AtomicBool) {
    let mut buf = [0; 16 * 1024];
    while let Ok(n @ 1..) = from.read(&mut buf) {
        if !silent.load(Ordering::SeqCst) && to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    if !silent.load(Ordering::SeqCst) {
        let _ = to.shutdown(Shutdown::Both);
    }
}
