//! A crowd of HTTP clients that do not behave: each connection repeats one fault until the time is up.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use getopts::Matches;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::number;

/// Size of a body within the default limits of a gateway, in bytes.
const BODY_BYTES: usize = 4 * 1024 * 1024;

/// Size of the body that is sent in small chunks, in bytes.
const SMALL_CHUNKS_BODY_BYTES: usize = 1024 * 1024;

/// Size of a head within the default limits of a gateway, in bytes.
const HEAD_BYTES: usize = 16 * 1024;

/// Bytes per write, unless a client sends in smaller parts.
const WRITE_BYTES: usize = 64 * 1024;

/// Requests that are sent ahead with one write.
const PIPELINED: usize = 64;

/// Interval between the bytes of clients that send or read slowly.
const SLOW_INTERVAL: Duration = Duration::from_secs(1);

/// Time to wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause before a connection that has ended is replaced.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

/// What each connection of a crowd does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Sends nothing.
    Silent,
    /// Sends a head byte by byte.
    SlowHead,
    /// Sends half of a short body.
    HalfBody,
    /// Sends a whole body.
    Body,
    /// Sends a body without its last byte.
    PartialBody,
    /// Sends a body in large chunks.
    Chunks,
    /// Sends a body in very small chunks.
    SmallChunks,
    /// Sends a body in small writes.
    SmallWrites,
    /// Sends chunks without end.
    EndlessChunks,
    /// Declares a body far over any limit, and sends it.
    Declared,
    /// Sends requests ahead and reads no response.
    Pipeline,
    /// Sends requests, and reads their responses byte by byte.
    SlowRead,
    /// Sends requests with very many short header fields.
    Fields,
    /// Sends requests whose prompt has very many short parts.
    Parts,
    /// Sends JSON with very many short strings.
    ShortStrings,
}

impl Fault {
    /// Returns the fault with this name in the command line.
    pub fn parse(name: &str) -> Option<Fault> {
        Some(match name {
            "silent" => Fault::Silent,
            "slow-head" => Fault::SlowHead,
            "half-body" => Fault::HalfBody,
            "body" => Fault::Body,
            "partial-body" => Fault::PartialBody,
            "chunks" => Fault::Chunks,
            "small-chunks" => Fault::SmallChunks,
            "small-writes" => Fault::SmallWrites,
            "endless-chunks" => Fault::EndlessChunks,
            "declared" => Fault::Declared,
            "pipeline" => Fault::Pipeline,
            "slow-read" => Fault::SlowRead,
            "fields" => Fault::Fields,
            "parts" => Fault::Parts,
            "short-strings" => Fault::ShortStrings,
            _ => return None,
        })
    }
}

/// A crowd of clients.
pub struct Crowd {
    /// Addresses that the connections are spread over.
    pub to: Vec<SocketAddr>,
    /// What each connection does.
    pub fault: Fault,
    /// Method of the requests.
    pub method: String,
    /// Path of the requests.
    pub path: String,
    /// Further header lines, each with its line end.
    pub headers: String,
    /// When the crowd leaves.
    pub until: Instant,
    /// Number of prompts that were sent.
    pub prompts: Cell<u64>,
}

impl Crowd {
    fn head(&self, framing: &str) -> Vec<u8> {
        let Crowd { method, path, headers, .. } = self;
        format!("{method} {path} HTTP/1.1\r\nHost: club.example\r\n{headers}{framing}\r\n")
            .into_bytes()
    }

    fn head_with_length(&self, length: usize) -> Vec<u8> {
        self.head(&format!("Content-Length: {length}\r\n"))
    }

    fn chunked_head(&self) -> Vec<u8> {
        self.head("Transfer-Encoding: chunked\r\n")
    }

    /// Returns header fields of `each` that fill the head up to [`HEAD_BYTES`].
    fn filler(&self, mut each: impl FnMut(usize) -> String) -> String {
        let left = HEAD_BYTES - self.head("").len() - 64;
        let mut text = String::new();
        for n in 0.. {
            let next = each(n);
            if text.len() + next.len() > left {
                break;
            }
            text += &next;
        }
        text
    }

    /// Keeps `connections` open until the time is up.
    pub async fn play(self, connections: usize) {
        let crowd = Rc::new(self);
        let all = (0..connections).map(|n| actix_rt::spawn(crowd.clone().run(n)));
        for task in all.collect::<Vec<_>>() {
            // Fails only if the runtime shuts down.
            let _ = task.await;
        }
    }

    /// Opens connection `n` again and again until the time is up.
    async fn run(self: Rc<Self>, n: usize) {
        let to = self.to[n % self.to.len()];
        while Instant::now() < self.until {
            if let Ok(Ok(mut s)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await {
                // Resets the connection, so that no port waits for stray segments.
                let _ = SockRef::from(&s).set_linger(Some(Duration::ZERO));
                let _ = timeout_at(self.until, self.misbehave(&mut s)).await;
            }
            sleep(RECONNECT_PAUSE).await;
        }
    }

    /// Plays the fault once. Returns when the server has closed the connection or answered.
    async fn misbehave(&self, s: &mut TcpStream) -> std::io::Result<()> {
        match self.fault {
            Fault::Silent => {}
            Fault::SlowHead => {
                for b in self.head(&self.filler(|n| format!("F{n}: x\r\n"))) {
                    s.write_all(&[b]).await?;
                    sleep(SLOW_INTERVAL).await;
                }
            }
            Fault::HalfBody => {
                s.write_all(&self.head_with_length(100)).await?;
                s.write_all(&[b'x'; 50]).await?;
            }
            Fault::Body => {
                s.write_all(&self.head_with_length(BODY_BYTES)).await?;
                write_body(s, BODY_BYTES, WRITE_BYTES).await?;
            }
            Fault::PartialBody => {
                s.write_all(&self.head_with_length(BODY_BYTES)).await?;
                write_body(s, BODY_BYTES - 1, WRITE_BYTES).await?;
            }
            Fault::SmallWrites => {
                s.set_nodelay(true)?;
                s.write_all(&self.head_with_length(BODY_BYTES)).await?;
                write_body(s, BODY_BYTES, 100).await?;
            }
            Fault::Chunks => {
                s.write_all(&self.chunked_head()).await?;
                for _ in 0..BODY_BYTES / WRITE_BYTES {
                    s.write_all(&chunk(WRITE_BYTES)).await?;
                }
                s.write_all(b"0\r\n\r\n").await?;
            }
            Fault::SmallChunks => {
                s.write_all(&self.chunked_head()).await?;
                let several = chunk(16).repeat(WRITE_BYTES / 16);
                for _ in 0..SMALL_CHUNKS_BODY_BYTES / WRITE_BYTES {
                    s.write_all(&several).await?;
                }
                s.write_all(b"0\r\n\r\n").await?;
            }
            Fault::EndlessChunks => {
                s.write_all(&self.chunked_head()).await?;
                loop {
                    s.write_all(&chunk(WRITE_BYTES)).await?;
                }
            }
            Fault::Declared => {
                s.write_all(&self.head_with_length(1 << 30)).await?;
                write_body(s, 1 << 30, WRITE_BYTES).await?;
            }
            Fault::Pipeline => {
                let several = self.head("").repeat(PIPELINED);
                loop {
                    s.write_all(&several).await?;
                }
            }
            Fault::SlowRead => {
                s.write_all(&self.head("").repeat(PIPELINED)).await?;
                loop {
                    sleep(SLOW_INTERVAL).await;
                    s.read_exact(&mut [0; 10]).await?;
                }
            }
            Fault::Fields => {
                s.write_all(&self.head(&self.filler(|n| format!("{n:x}:\r\n")))).await?
            }
            Fault::Parts => {
                // No two requests have parts in common.
                let first = self.prompts.get() << 16;
                self.prompts.set(self.prompts.get() + 1);
                let parts = self.filler(|n| format!("{:x}:9,", first + n as u64));
                s.write_all(&self.head(&format!("X-Prompt-Parts: {parts}ffff:9\r\n"))).await?;
            }
            Fault::ShortStrings => {
                let text = format!("[{}\"\"]", "\"\",".repeat((BODY_BYTES - 4) / 3));
                let account = format!(r#"{{"name":"a","keys":{text},"prepaid":1}}"#);
                let body = format!(r#"{{"version":9,"accounts":[{account}]}}"#);
                s.write_all(&self.head_with_length(body.len())).await?;
                s.write_all(body.as_bytes()).await?;
            }
        }
        // Ends once the server answers or closes the connection.
        s.read(&mut [0; 4096]).await.map(|_| ())
    }
}

fn chunk(bytes: usize) -> Vec<u8> {
    let mut out = format!("{bytes:x}\r\n").into_bytes();
    out.resize(out.len() + bytes, b'x');
    out.extend_from_slice(b"\r\n");
    out
}

/// Writes a body of `bytes` in parts of `part` bytes.
async fn write_body(s: &mut TcpStream, bytes: usize, part: usize) -> std::io::Result<()> {
    let buf = vec![b'x'; part];
    let mut left = bytes;
    while left > 0 {
        let n = left.min(part);
        s.write_all(&buf[..n]).await?;
        left -= n;
    }
    Ok(())
}

/// Runs a crowd with the command-line options, and returns when its time is up.
pub async fn run(m: &Matches) -> Result<(), String> {
    let address = |a: &String| a.parse().map_err(|_| format!("'{a}' is not an address"));
    let to: Vec<SocketAddr> = m.free[1..].iter().map(address).collect::<Result<_, _>>()?;
    if to.is_empty() {
        return Err("name an address to connect to".to_owned());
    }
    let name = m.opt_str("fault").unwrap_or_default();
    let fault = Fault::parse(&name).ok_or_else(|| format!("--fault: no fault '{name}'"))?;
    let until = Instant::now() + Duration::from_millis(number(m, "ms", 1_000)?);
    let headers = m.opt_strs("header").iter().map(|h| format!("{h}\r\n")).collect();
    let crowd = Crowd {
        to,
        fault,
        method: m.opt_str("method").unwrap_or_else(|| "GET".to_owned()),
        path: m.opt_str("path").unwrap_or_else(|| "/".to_owned()),
        headers,
        until,
        prompts: Cell::new(1),
    };
    crowd.play(number(m, "connections", 1)? as usize).await;
    Ok(())
}
