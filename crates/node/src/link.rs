//! Links between processes: a TCP connection on which both sides have proved themselves.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::code::Code;
use cypressfork_wire::auth::{Handshake, Key, NONCE, Opener, Sealer, Side};
use cypressfork_wire::frame::{self, CAP, CAP_STRANGER, HEAD};
use cypressfork_wire::{Ask, Frame, Goodbye, decode, encode};
use metrics::counter;
use quick_error::quick_error;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

use crate::metric;

/// How long a peer may take to connect and prove itself.
pub const OPEN_TIMEOUT: Duration = Duration::from_secs(3);

/// How long the first try of a connection may take; each further one twice as long. The system
/// sends a lost opening packet again only after a second, and a peer whose machine starts a moment
/// after this one would be reached that much later.
const FIRST_TRY: Duration = Duration::from_millis(150);

/// How long a peer may take to read what it is sent.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

quick_error! {
    /// Why a link did not open, or broke.
    #[derive(Debug)]
    pub enum Error {
        /// The connection failed.
        Io(err: io::Error) {
            from()
            display("the connection failed: {}", err)
        }
        /// The peer is no peer, or sent what cannot be understood.
        Wire(err: cypressfork_wire::Error) {
            from()
            display("{}", err)
        }
        /// The peer took too long.
        Slow {
            display("the peer took too long")
        }
        /// The peer closed the link and said why.
        Goodbye(code: i32, why: String) {
            display("the peer closed the link: CF{}: {}", code, why)
        }
    }
}

/// Who this process is on its links.
#[derive(Clone)]
pub struct Credentials {
    /// The cluster's key.
    pub key: Key,
    /// The cluster's name.
    pub cluster: String,
    /// This process's name.
    pub name: String,
}

/// Bytes that are read ahead of a message, so that one system call brings its head and the rest.
const READ_AHEAD: usize = 4 * 1024;

type Receiving = BufReader<OwnedReadHalf>;

/// What the last call on a link was for; answers have the purpose of the call before them.
#[derive(Clone, Default)]
struct Purpose(Rc<Cell<&'static str>>);

impl Purpose {
    /// The purpose of a frame, as the label of a metric.
    fn of(&self, f: &Frame) -> &'static str {
        let named = match f {
            Frame::Call(c) => Some(match c.ask {
                Ask::Watch(_) => "watch",
                Ask::Command(_) => "command",
                Ask::Query(_) => "query",
                Ask::Share(_) => "share",
                Ask::Reserve(_) => "reserve",
                _ => "members",
            }),
            Frame::Raft(_) => Some("log"),
            _ => None,
        };
        if let Some(name) = named {
            self.0.set(name);
        }
        self.0.get()
    }
}

/// The receiving half.
pub struct Reader {
    io: Receiving,
    opener: Opener,
    purpose: Purpose,
}

/// The sending half.
pub struct Writer {
    io: OwnedWriteHalf,
    sealer: Sealer,
    purpose: Purpose,
}

/// An open link.
pub struct Link {
    /// The peer's name.
    pub peer: String,
    /// The receiving half.
    pub reader: Reader,
    /// The sending half.
    pub writer: Writer,
}

async fn read_payload(io: &mut Receiving, cap: usize) -> Result<Vec<u8>, Error> {
    let mut head = [0; HEAD];
    io.read_exact(&mut head).await?;
    let len = frame::length(head, cap)?;
    let mut buf = vec![0; len];
    io.read_exact(&mut buf).await?;
    Ok(buf)
}

/// Connects and proves itself to the process at `address`.
pub async fn connect(address: SocketAddr, me: &Credentials) -> Result<Link, Error> {
    let opening = async {
        let stream = connect_soon(address).await?;
        open(stream, me, Side::Client).await
    };
    timeout(OPEN_TIMEOUT, opening).await.unwrap_or(Err(Error::Slow))
}

/// Connects, beginning anew whenever a try gets no answer in its time.
async fn connect_soon(address: SocketAddr) -> io::Result<TcpStream> {
    let mut within = FIRST_TRY;
    loop {
        match timeout(within, TcpStream::connect(address)).await {
            Ok(done) => return done,
            Err(_) => within *= 2,
        }
    }
}

/// Proves itself on a connection that was accepted.
pub async fn accept(stream: TcpStream, me: &Credentials) -> Result<Link, Error> {
    timeout(OPEN_TIMEOUT, open(stream, me, Side::Server)).await.unwrap_or(Err(Error::Slow))
}

async fn open(stream: TcpStream, me: &Credentials, side: Side) -> Result<Link, Error> {
    stream.set_nodelay(true)?;
    let (rx, mut tx) = stream.into_split();
    let mut rx = BufReader::with_capacity(READ_AHEAD, rx);
    let nonce: [u8; NONCE] = rand::random();
    let mut hs = Handshake::new(me.key.clone(), side, &me.cluster, &me.name, nonce);
    tx.write_all(&frame::prefixed(&hs.hello())).await?;
    let hello = stranger_payload(&mut rx).await?;
    let proof = match hs.on_hello(&hello) {
        Ok(p) => p,
        Err(e) => return refuse(&mut tx, e).await,
    };
    tx.write_all(&frame::prefixed(&proof)).await?;
    let theirs = stranger_payload(&mut rx).await?;
    match hs.on_proof(&theirs) {
        Ok((peer, sealer, opener)) => {
            let purpose = Purpose::default();
            let reader = Reader { io: rx, opener, purpose: purpose.clone() };
            Ok(Link { peer, reader, writer: Writer { io: tx, sealer, purpose } })
        }
        Err(e) => refuse(&mut tx, e).await,
    }
}

async fn stranger_payload(rx: &mut Receiving) -> Result<Vec<u8>, Error> {
    let payload = read_payload(rx, CAP_STRANGER).await?;
    match decode(&payload) {
        Ok(Frame::Goodbye(g)) => Err(Error::Goodbye(g.code, g.why)),
        _ => Ok(payload),
    }
}

async fn refuse(tx: &mut OwnedWriteHalf, e: cypressfork_wire::Error) -> Result<Link, Error> {
    let bye = Goodbye::new(i32::from(Code::LinkRefused.number()), e.to_string());
    tx.write_all(&frame::prefixed(&encode(&Frame::Goodbye(bye)))).await?;
    Err(Error::Wire(e))
}

impl Reader {
    /// The next message.
    pub async fn next(&mut self) -> Result<Frame, Error> {
        let sealed = read_payload(&mut self.io, CAP).await?;
        let payload = self.opener.open(&sealed)?;
        let f = decode(payload)?;
        let purpose = self.purpose.of(&f);
        let bytes = (HEAD + sealed.len()) as u64;
        counter!(metric::LINK_RECEIVED, "purpose" => purpose).increment(bytes);
        Ok(f)
    }
}

impl Writer {
    /// Sends a message; a peer that does not read it in time breaks the link.
    pub async fn send(&mut self, f: &Frame) -> Result<(), Error> {
        let bytes = frame::prefixed(&self.sealer.seal(encode(f)));
        let purpose = self.purpose.of(f);
        counter!(metric::LINK_SENT, "purpose" => purpose).increment(bytes.len() as u64);
        match timeout(WRITE_TIMEOUT, self.io.write_all(&bytes)).await {
            Ok(done) => Ok(done?),
            Err(_) => Err(Error::Slow),
        }
    }
}
