//! Loopback proxies between the processes, and in front of stand-in replicas.
//!
//! The first frame on a link between two processes names the one that connects. So a proxy in front
//! of one process can treat each of the others differently, and each direction by itself.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_wire::frame::{self, LENGTH_PREFIX, MAX_HANDSHAKE_FRAME};
use cypressfork_wire::{Frame, decode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// Bytes that are passed on at a time.
const PIECE: usize = 16 * 1024;

/// Some of the processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Side {
    /// All of them.
    All,
    /// Those whose name begins so.
    Named(String),
}

impl Side {
    fn has(&self, name: &str) -> bool {
        match self {
            Side::All => true,
            // A number does not begin another one: names end, or go on with a digit.
            Side::Named(own) => name == own || (own.ends_with('-') && name.starts_with(own)),
        }
    }
}

/// What one side sends does not arrive at the other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cut {
    /// The senders.
    pub from: Side,
    /// The receivers.
    pub to: Side,
}

/// The state of all links between the processes.
#[derive(Default)]
pub struct Net {
    cuts: RefCell<Vec<(u64, Cut)>>,
    delays: RefCell<Vec<(u64, String, Duration)>>,
    ids: Cell<u64>,
    changed: Notify,
    links: RefCell<Vec<AbortHandle>>,
}

impl Net {
    /// Cuts; returns what heals it.
    pub fn cut(&self, cuts: impl IntoIterator<Item = Cut>) -> u64 {
        let id = self.ids.get() + 1;
        self.ids.set(id);
        self.cuts.borrow_mut().extend(cuts.into_iter().map(|c| (id, c)));
        id
    }

    /// Delays each piece that goes over links to a process; returns what heals it.
    pub fn delay(&self, to: &str, span: Duration) -> u64 {
        let id = self.ids.get() + 1;
        self.ids.set(id);
        self.delays.borrow_mut().push((id, to.to_owned(), span));
        id
    }

    /// Heals one cut or delay.
    pub fn heal(&self, id: u64) {
        self.cuts.borrow_mut().retain(|(own, _)| *own != id);
        self.delays.borrow_mut().retain(|(own, ..)| *own != id);
        self.changed.notify_waiters();
    }

    /// Closes all open links.
    pub fn reset(&self) {
        self.links.borrow_mut().drain(..).for_each(|l| l.abort());
    }

    fn is_cut(&self, from: &str, to: &str) -> bool {
        self.cuts.borrow().iter().any(|(_, c)| c.from.has(from) && c.to.has(to))
    }

    fn delay_of(&self, from: &str, to: &str) -> Duration {
        let delays = self.delays.borrow();
        let own = delays.iter().filter(|(_, name, _)| name == from || name == to);
        own.map(|(.., span)| *span).max().unwrap_or_default()
    }

    /// Passes links on that come in at `listener` to the process `name` at `to`.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, name: String, to: SocketAddr) {
        while let Ok((near, _)) = listener.accept().await {
            let (net, name) = (self.clone(), name.clone());
            let link = actix_rt::spawn(async move {
                // A link that breaks is what the processes have to bear.
                let _ = pass(net, near, name, to).await;
            });
            let mut links = self.links.borrow_mut();
            links.retain(|l| !l.is_finished());
            links.push(link.abort_handle());
        }
    }
}

async fn pass(net: Rc<Net>, near: TcpStream, name: String, to: SocketAddr) -> io::Result<()> {
    near.set_nodelay(true)?;
    let (mut near_rx, near_tx) = near.into_split();
    let mut head = [0; LENGTH_PREFIX];
    near_rx.read_exact(&mut head).await?;
    let len = frame::length(head, MAX_HANDSHAKE_FRAME).map_err(io::Error::other)?;
    let mut hello = vec![0; len];
    near_rx.read_exact(&mut hello).await?;
    let from = match decode(&hello) {
        Ok(Frame::Hello(h)) => h.name,
        _ => String::new(),
    };
    let far = TcpStream::connect(to).await?;
    far.set_nodelay(true)?;
    let (far_rx, mut far_tx) = far.into_split();
    while net.is_cut(&from, &name) {
        net.changed.notified().await;
    }
    far_tx.write_all(&head).await?;
    far_tx.write_all(&hello).await?;
    let forth = pump(&net, near_rx, far_tx, &from, &name);
    let back = pump(&net, far_rx, near_tx, &name, &from);
    // Either end closes both.
    tokio::select! {
        done = forth => done,
        done = back => done,
    }
}

async fn pump(
    net: &Net,
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    from: &str,
    to: &str,
) -> io::Result<()> {
    let mut buf = vec![0; PIECE];
    loop {
        let n = rx.read(&mut buf).await?;
        while net.is_cut(from, to) {
            net.changed.notified().await;
        }
        if n == 0 {
            return Ok(());
        }
        let delay = net.delay_of(from, to);
        if !delay.is_zero() {
            sleep(delay).await;
        }
        tx.write_all(&buf[..n]).await?;
    }
}

/// A proxy in front of one server, which can vanish.
pub struct Gate {
    /// Where it is reached.
    pub address: SocketAddr,
    accepting: AbortHandle,
    open: Rc<RefCell<Vec<AbortHandle>>>,
}

impl Gate {
    /// Listens on an address of its own for connections to `to`.
    pub async fn start(to: SocketAddr) -> io::Result<Gate> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let open: Rc<RefCell<Vec<AbortHandle>>> = Rc::default();
        let all = open.clone();
        let accepting = actix_rt::spawn(async move {
            while let Ok((mut near, _)) = listener.accept().await {
                let connection = actix_rt::spawn(async move {
                    let Ok(mut far) = TcpStream::connect(to).await else { return };
                    // One that breaks is what the processes have to bear.
                    let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
                });
                let mut all = all.borrow_mut();
                all.retain(|c: &AbortHandle| !c.is_finished());
                all.push(connection.abort_handle());
            }
        });
        Ok(Gate { address, accepting: accepting.abort_handle(), open })
    }

    /// Breaks off all connections.
    pub fn reset(&self) {
        self.open.borrow_mut().drain(..).for_each(|c| c.abort());
    }

    /// Vanishes.
    pub fn close(&self) {
        self.accepting.abort();
        self.reset();
    }
}
