//! Loopback proxies between the processes and in front of simulated replicas.
//!
//! The first frame on a link carries the name of the connecting process, so the proxy in front of a
//! process can apply faults per peer and per direction.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr};
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use std::time::Duration;

use cypressfork_wire::frame::{self, LENGTH_PREFIX_LEN, MAX_HANDSHAKE_FRAME};
use cypressfork_wire::{Frame, decode};
use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use crate::plan::OpenConnections;
use crate::stutter;

/// Buffer size for forwarding, in bytes.
const BUFFER_SIZE: usize = 16 * 1024;

/// A set of processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Side {
    /// All processes.
    All,
    /// The process of this name, or, if it ends in `-`, all whose names start with it.
    Named(String),
}

impl Side {
    fn contains(&self, name: &str) -> bool {
        match self {
            Side::All => true,
            // Only names ending in `-` are prefixes, so that `gateway-1` does not match `gateway-10`.
            Side::Named(own) => name == own || (own.ends_with('-') && name.starts_with(own)),
        }
    }
}

/// A one-way partition: traffic from one side to the other is held back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cut {
    /// The senders.
    pub from: Side,
    /// The receivers.
    pub to: Side,
}

/// The links between the processes and the faults applied to them.
#[derive(Default)]
pub struct Net {
    cuts: RefCell<Vec<(u64, Cut)>>,
    delays: RefCell<Vec<(u64, String, Duration)>>,
    last_id: Cell<u64>,
    changed: Notify,
    links: RefCell<Vec<ProxiedLink>>,
}

/// A link between two processes.
struct ProxiedLink {
    task: AbortHandle,
    state: Rc<LinkState>,
}

/// What a link's task and the faults share.
struct LinkState {
    /// Name of the process that opened the link; empty until its first frame.
    from: RefCell<String>,
    /// Name of the process that accepted it.
    to: String,
    /// Whether bytes and ends are dropped, in both directions.
    is_silent: Cell<bool>,
}

impl Net {
    /// Adds partitions. Returns the id to pass to [`Net::heal`].
    pub fn cut(&self, cuts: impl IntoIterator<Item = Cut>) -> u64 {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        self.cuts.borrow_mut().extend(cuts.into_iter().map(|c| (id, c)));
        id
    }

    /// Delays each chunk on links of the process `to` by `span`. Returns the id to pass to
    /// [`Net::heal`].
    pub fn delay(&self, to: &str, span: Duration) -> u64 {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        self.delays.borrow_mut().push((id, to.to_owned(), span));
        id
    }

    /// Removes the partitions or the delay added under `id`.
    pub fn heal(&self, id: u64) {
        self.cuts.borrow_mut().retain(|(cut_id, _)| *cut_id != id);
        self.delays.borrow_mut().retain(|(delay_id, ..)| *delay_id != id);
        self.changed.notify_waiters();
    }

    /// Closes all open links between the processes.
    pub fn reset(&self) {
        self.links.borrow_mut().drain(..).for_each(|l| l.task.abort());
    }

    /// Lets the open links from and to the processes of `side` fall silent for good.
    pub fn silence(&self, side: &Side) {
        for l in self.links.borrow().iter().map(|l| &l.state) {
            if side.contains(&l.from.borrow()) || side.contains(&l.to) {
                l.is_silent.set(true);
            }
        }
    }

    /// Returns whether traffic in this direction is held back by a partition.
    fn is_cut(&self, from: &str, to: &str) -> bool {
        self.cuts.borrow().iter().any(|(_, c)| c.from.contains(from) && c.to.contains(to))
    }

    /// Returns the delay of each chunk in this direction: the longest set for one of the two processes.
    fn delay_of(&self, from: &str, to: &str) -> Duration {
        let delays = self.delays.borrow();
        let matching = delays.iter().filter(|(_, name, _)| name == from || name == to);
        matching.map(|(.., span)| *span).max().unwrap_or_default()
    }

    /// Forwards connections accepted by `listener` to the process `name` at address `to`.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, name: String, to: SocketAddr) {
        while let Ok((client, _)) = listener.accept().await {
            let (from, is_silent) = (RefCell::default(), Cell::new(false));
            let state = Rc::new(LinkState { from, to: name.clone(), is_silent });
            let (net, own) = (self.clone(), state.clone());
            let link = actix_rt::spawn(async move {
                // The processes under test handle broken links.
                let _ = forward_link(net, client, &own, to).await;
            });
            let mut links = self.links.borrow_mut();
            links.retain(|l| !l.task.is_finished());
            links.push(ProxiedLink { task: link.abort_handle(), state });
        }
    }
}

/// Forwards one link to the process at `to` until either side closes it.
async fn forward_link(
    net: Rc<Net>,
    client: TcpStream,
    state: &LinkState,
    to: SocketAddr,
) -> io::Result<()> {
    let name = &state.to;
    client.set_nodelay(true)?;
    let (mut client_rx, client_tx) = client.into_split();
    let mut head = [0; LENGTH_PREFIX_LEN];
    client_rx.read_exact(&mut head).await?;
    let len = frame::parse_length(head, MAX_HANDSHAKE_FRAME).map_err(io::Error::other)?;
    let mut hello = vec![0; len];
    client_rx.read_exact(&mut hello).await?;
    let from = match decode(&hello) {
        Ok(Frame::Hello(h)) => h.name,
        _ => String::new(),
    };
    state.from.replace(from.clone());
    let server = TcpStream::connect(to).await?;
    server.set_nodelay(true)?;
    let (server_rx, mut server_tx) = server.into_split();
    while net.is_cut(&from, name) {
        net.changed.notified().await;
    }
    server_tx.write_all(&head).await?;
    server_tx.write_all(&hello).await?;
    let to_server = forward(&net, state, client_rx, server_tx, (&from, name));
    let to_client = forward(&net, state, server_rx, client_tx, (name, &from));
    // When one direction ends, both are closed.
    tokio::select! {
        result = to_server => result,
        result = to_client => result,
    }
}

/// Forwards one direction of a link until it ends, applying the faults for that direction.
async fn forward(
    net: &Net,
    state: &LinkState,
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    (from, to): (&str, &str),
) -> io::Result<()> {
    let mut buf = vec![0; BUFFER_SIZE];
    loop {
        let n = rx.read(&mut buf).await?;
        while net.is_cut(from, to) {
            net.changed.notified().await;
        }
        if state.is_silent.get() {
            match n {
                0 => return std::future::pending().await,
                _ => continue,
            }
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

/// A connection through a [`ReplicaProxy`].
struct Forwarded {
    task: AbortHandle,
    /// The gateway's end of the connection.
    from: SocketAddr,
    /// Another handle of the gateway's socket, for its filter.
    socket: OwnedFd,
}

/// A proxy in front of one simulated replica that can reset its connections, simulate its crash, and cut gateways
/// off.
pub struct ReplicaProxy {
    /// Address of the proxy.
    pub address: SocketAddr,
    accept_task: AbortHandle,
    listener: OwnedFd,
    connections: Rc<RefCell<Vec<Forwarded>>>,
}

impl ReplicaProxy {
    /// Listens on a free port and forwards connections to `to`, which may stutter. Drops the packets from `cut_off`.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start(
        to: SocketAddr,
        cut_off: &[Ipv4Addr],
        stutters: bool,
    ) -> io::Result<ReplicaProxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let socket = listener.as_fd().try_clone_to_owned()?;
        let connections: Rc<RefCell<Vec<Forwarded>>> = Rc::default();
        let all = connections.clone();
        let accept_task = actix_rt::spawn(async move {
            for seed in 0.. {
                let Ok((mut client, from)) = listener.accept().await else { return };
                let Ok(socket) = client.as_fd().try_clone_to_owned() else { continue };
                let open = all.clone();
                let connection = actix_rt::spawn(async move {
                    if let Ok(mut server) = TcpStream::connect(to).await {
                        // The processes under test handle broken connections.
                        let _ = match stutters {
                            true => stutter::forward(&mut client, &mut server, seed).await,
                            false => copy_bidirectional(&mut client, &mut server).await.map(drop),
                        };
                    }
                    // The socket is closed with its last handle.
                    open.borrow_mut().retain(|c: &Forwarded| c.from != from);
                });
                let task = connection.abort_handle();
                all.borrow_mut().push(Forwarded { task, from, socket });
            }
        });
        let accept_task = accept_task.abort_handle();
        let proxy = ReplicaProxy { address, accept_task, listener: socket, connections };
        proxy.cut(cut_off, OpenConnections::Kept)?;
        Ok(proxy)
    }

    /// Drops the packets of new connections from `cut_off`, and no others. Open connections from there are treated
    /// as `open` says.
    ///
    /// # Errors
    /// Fails if the system does not filter packets.
    pub fn cut(&self, cut_off: &[Ipv4Addr], open: OpenConnections) -> io::Result<()> {
        let filter = drop_from(cut_off);
        SockRef::from(&self.listener).attach_filter(&filter)?;
        let is_cut =
            |c: &Forwarded| matches!(c.from.ip(), IpAddr::V4(from) if cut_off.contains(&from));
        let mut all = self.connections.borrow_mut();
        match open {
            OpenConnections::Kept => {}
            OpenConnections::Silent => {
                for c in all.iter().filter(|c| is_cut(c)) {
                    SockRef::from(&c.socket).attach_filter(&filter)?;
                }
            }
            OpenConnections::Reset => {
                for c in all.extract_if(.., |c| is_cut(c)) {
                    SockRef::from(&c.socket).set_linger(Some(Duration::ZERO))?;
                    c.task.abort();
                }
            }
        }
        Ok(())
    }

    /// Lets all packets through again.
    pub fn heal(&self) {
        let all = self.connections.borrow();
        let sockets = all.iter().map(|c| &c.socket).chain([&self.listener]);
        // Fails for sockets without a filter.
        sockets.for_each(|s| drop(SockRef::from(s).detach_filter()));
    }

    /// Closes all open connections.
    pub fn reset(&self) {
        self.connections.borrow_mut().drain(..).for_each(|c| c.task.abort());
    }

    /// Stops listening and closes all open connections.
    pub fn close(&self) {
        self.accept_task.abort();
        // The other handle of the listening socket would keep its port open.
        drop(SockRef::from(&self.listener).shutdown(Shutdown::Both));
        self.reset();
    }
}

/// Opcodes of classic BPF: load a word at an absolute offset, jump if equal, return a constant.
const BPF_LD_W_ABS: u16 = 0x20;
const BPF_JEQ_K: u16 = 0x15;
const BPF_RET_K: u16 = 0x06;

/// Offset of the source address of a packet: `SKF_NET_OFF` and its place in the IPv4 header.
const SOURCE_ADDRESS: u32 = (-0x10_0000_i32) as u32 + 12;

/// Lengths to which a filter shortens a packet: it drops or keeps it.
const DROP: u32 = 0;
const KEEP: u32 = u32::MAX;

/// Returns a socket filter that drops the packets from `sources`, at most 255.
pub fn drop_from(sources: &[Ipv4Addr]) -> Vec<SockFilter> {
    let mut filter = vec![SockFilter::new(BPF_LD_W_ABS, 0, 0, SOURCE_ADDRESS)];
    for (n, source) in sources.iter().enumerate() {
        let to_drop = (sources.len() - n) as u8;
        filter.push(SockFilter::new(BPF_JEQ_K, to_drop, 0, u32::from(*source)));
    }
    filter.push(SockFilter::new(BPF_RET_K, 0, 0, KEEP));
    filter.push(SockFilter::new(BPF_RET_K, 0, 0, DROP));
    filter
}
