//! Links between processes: mutually authenticated TCP connections.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use cypressfork_core::code::Code;
use cypressfork_wire::auth::{Handshake, Key, NONCE_LEN, Opener, Sealer, Side};
use cypressfork_wire::frame::{self, LENGTH_PREFIX_LEN, MAX_FRAME, MAX_HANDSHAKE_FRAME};
use cypressfork_wire::{Ask, Frame, Goodbye, decode, encode};
use metrics::counter;
use quick_error::quick_error;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

use crate::metric;
use crate::silence;

/// Timeout for a connection and its handshake.
pub const OPEN_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout of the first connection attempt; it doubles with each further one. The operating system
/// retransmits a lost SYN only after a second, which delays links to a machine that starts slightly later.
const FIRST_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout for sending one message. It expires if the peer does not read.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

quick_error! {
    /// Why a link could not be opened, or failed.
    #[derive(Debug)]
    pub enum Error {
        /// The connection failed.
        Io(err: io::Error) {
            from()
            display("connection failed: {}", err)
        }
        /// Authentication failed or a message was invalid.
        Wire(err: cypressfork_wire::Error) {
            from()
            display("{}", err)
        }
        /// The peer did not respond or read in time.
        TimedOut {
            display("the peer timed out")
        }
        /// The peer closed the link with a result code and a reason.
        Goodbye(code: i32, reason: String) {
            display("the peer closed the link: CF{}: {}", code, reason)
        }
    }
}

/// How this process authenticates itself on links.
#[derive(Clone)]
pub struct Credentials {
    /// The cluster's key.
    pub key: Key,
    /// The cluster's name.
    pub cluster: String,
    /// Name of this process, sent to the peer.
    pub name: String,
}

/// Size of the read buffer, in bytes. One system call reads the header and body of a short message.
const READ_BUFFER: usize = 4 * 1024;

/// Memory allocated for a frame before its bytes have arrived, in bytes.
const MAX_UNREAD: usize = 64 * 1024;

type BufferedSocket = BufReader<OwnedReadHalf>;

/// The purpose of the last call on a link. Responses count for the purpose of the call before them.
#[derive(Clone, Default)]
struct Purpose(Rc<Cell<&'static str>>);

impl Purpose {
    /// Returns the purpose of a frame as a metric label, and stores that of a call.
    fn label(&self, f: &Frame) -> &'static str {
        let label = match f {
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
        if let Some(name) = label {
            self.0.set(name);
        }
        self.0.get()
    }
}

/// The receiving half of a link.
pub struct Reader {
    io: BufferedSocket,
    opener: Opener,
    purpose: Purpose,
}

/// The sending half of a link.
pub struct Writer {
    io: OwnedWriteHalf,
    sealer: Sealer,
    purpose: Purpose,
}

/// An open link.
pub struct Link {
    /// Name that the peer sent in the handshake.
    pub peer: String,
    /// The receiving half.
    pub reader: Reader,
    /// The sending half.
    pub writer: Writer,
}

impl Link {
    /// Returns the socket, the bytes that were received and not read, and both authenticators.
    pub(crate) fn into_parts(self) -> (TcpStream, BytesMut, Opener, Sealer) {
        let Reader { io, opener, .. } = self.reader;
        let Writer { io: write_half, sealer, .. } = self.writer;
        let received = BytesMut::from(io.buffer());
        let stream = io.into_inner().reunite(write_half).expect("both halves are of one socket");
        (stream, received, opener, sealer)
    }
}

/// Reads one frame of at most `cap` bytes, without its length prefix.
async fn read_payload(io: &mut BufferedSocket, cap: usize) -> Result<Vec<u8>, Error> {
    let mut head = [0; LENGTH_PREFIX_LEN];
    io.read_exact(&mut head).await?;
    let len = frame::parse_length(head, cap)?;
    let mut buf = Vec::with_capacity(len.min(MAX_UNREAD));
    // Grows as bytes arrive, because a peer can claim more than it sends.
    io.take(len as u64).read_to_end(&mut buf).await?;
    if buf.len() < len {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
    Ok(buf)
}

/// Opens a link to the process at `address`.
pub async fn connect(address: SocketAddr, credentials: &Credentials) -> Result<Link, Error> {
    let opened = async {
        let stream = connect_tcp(address).await?;
        silence::PROMPT.apply(&stream)?;
        open(stream, credentials, Side::Client).await
    };
    timeout(OPEN_TIMEOUT, opened).await.unwrap_or(Err(Error::TimedOut))
}

/// Opens a link on a connection that this process has opened.
pub async fn connect_on(stream: TcpStream, credentials: &Credentials) -> Result<Link, Error> {
    timeout(OPEN_TIMEOUT, open(stream, credentials, Side::Client))
        .await
        .unwrap_or(Err(Error::TimedOut))
}

/// Opens a TCP connection, starting over with twice the timeout whenever an attempt times out.
async fn connect_tcp(address: SocketAddr) -> io::Result<TcpStream> {
    let mut attempt_timeout = FIRST_CONNECT_TIMEOUT;
    loop {
        match timeout(attempt_timeout, TcpStream::connect(address)).await {
            Ok(result) => return result,
            Err(_) => attempt_timeout *= 2,
        }
    }
}

/// Opens a link on an accepted connection.
pub async fn accept(stream: TcpStream, credentials: &Credentials) -> Result<Link, Error> {
    timeout(OPEN_TIMEOUT, open(stream, credentials, Side::Server))
        .await
        .unwrap_or(Err(Error::TimedOut))
}

/// Performs the handshake on a connection.
async fn open(stream: TcpStream, credentials: &Credentials, side: Side) -> Result<Link, Error> {
    stream.set_nodelay(true)?;
    let (rx, mut tx) = stream.into_split();
    let mut rx = BufReader::with_capacity(READ_BUFFER, rx);
    let nonce: [u8; NONCE_LEN] = rand::random();
    let mut hs = Handshake::new(
        credentials.key.clone(),
        side,
        &credentials.cluster,
        &credentials.name,
        nonce,
    );
    tx.write_all(&frame::add_length_prefix(&hs.hello())).await?;
    let hello = read_handshake(&mut rx).await?;
    let proof = match hs.on_hello(&hello) {
        Ok(p) => p,
        Err(e) => return refuse(&mut tx, e).await,
    };
    tx.write_all(&frame::add_length_prefix(&proof)).await?;
    let peer_proof = read_handshake(&mut rx).await?;
    match hs.on_proof(&peer_proof) {
        Ok((peer, sealer, opener)) => {
            let purpose = Purpose::default();
            let reader = Reader { io: rx, opener, purpose: purpose.clone() };
            Ok(Link { peer, reader, writer: Writer { io: tx, sealer, purpose } })
        }
        Err(e) => refuse(&mut tx, e).await,
    }
}

/// Reads a handshake message, or the reason why the peer closed the link.
async fn read_handshake(rx: &mut BufferedSocket) -> Result<Vec<u8>, Error> {
    let payload = read_payload(rx, MAX_HANDSHAKE_FRAME).await?;
    match decode(&payload) {
        Ok(Frame::Goodbye(g)) => Err(Error::Goodbye(g.code, g.why)),
        _ => Ok(payload),
    }
}

/// Sends the reason to the peer and returns the error.
async fn refuse(tx: &mut OwnedWriteHalf, e: cypressfork_wire::Error) -> Result<Link, Error> {
    let bye = Goodbye::new(i32::from(Code::LinkRefused.number()), e.to_string());
    tx.write_all(&frame::add_length_prefix(&encode(&Frame::Goodbye(bye)))).await?;
    Err(Error::Wire(e))
}

impl Reader {
    /// Waits for the next message and returns it.
    pub async fn next(&mut self) -> Result<Frame, Error> {
        let sealed = read_payload(&mut self.io, MAX_FRAME).await?;
        let payload = self.opener.open(&sealed)?;
        let f = decode(payload)?;
        let purpose = self.purpose.label(&f);
        let bytes = (LENGTH_PREFIX_LEN + sealed.len()) as u64;
        counter!(metric::LINK_RECEIVED, "purpose" => purpose).increment(bytes);
        Ok(f)
    }
}

impl Reader {
    /// Waits for the next part of the stream that a tunnel carries, and returns it; empty at the regular end.
    pub async fn next_part(&mut self) -> Result<Vec<u8>, Error> {
        let sealed = read_payload(&mut self.io, MAX_FRAME).await?;
        Ok(self.opener.open(&sealed)?.to_vec())
    }
}

impl Writer {
    /// Sends a part of the stream that a tunnel carries; an empty one marks the regular end.
    pub async fn send_part(&mut self, part: &[u8]) -> Result<(), Error> {
        let bytes = frame::add_length_prefix(&self.sealer.seal(part.to_vec()));
        Ok(self.io.write_all(&bytes).await?)
    }

    /// Sends a message. Fails with [`Error::TimedOut`] if the peer does not read it in time.
    pub async fn send(&mut self, f: &Frame) -> Result<(), Error> {
        let bytes = frame::add_length_prefix(&self.sealer.seal(encode(f)));
        let purpose = self.purpose.label(f);
        counter!(metric::LINK_SENT, "purpose" => purpose).increment(bytes.len() as u64);
        match timeout(WRITE_TIMEOUT, self.io.write_all(&bytes)).await {
            Ok(result) => Ok(result?),
            Err(_) => Err(Error::TimedOut),
        }
    }
}
