//! HTTP/1.1 as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; none at the end of the connection before its first byte.
pub fn read_head(r: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if r.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if r.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(Head { first: first.trim_end().to_owned(), headers }));
        }
        if let Some((n, v)) = line.split_once(':') {
            headers.push((n.trim().to_owned(), v.trim().to_owned()));
        }
    }
}

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// By its length, by its last chunk, or with the regular end of the connection where it has neither.
    Whole,
    /// By a reset, a time-out, or the end of the connection before its length or last chunk.
    CutShort,
}

/// Reads a body by its framing. Returns what came and how it ended.
pub fn read_body(r: &mut BufReader<TcpStream>, head: &Head, is_request: bool) -> (Vec<u8>, End) {
    let mut body = Vec::new();
    let chunked = head.get("transfer-encoding").is_some_and(|v| v.contains("chunked"));
    if chunked {
        loop {
            let mut line = String::new();
            let Ok(1..) = r.read_line(&mut line) else { return (body, End::CutShort) };
            let Ok(len) = usize::from_str_radix(line.trim(), 16) else {
                return (body, End::CutShort);
            };
            let mut part = vec![0; len + 2];
            if r.read_exact(&mut part).is_err() {
                return (body, End::CutShort);
            }
            if len == 0 {
                return (body, End::Whole);
            }
            body.extend_from_slice(&part[..len]);
        }
    }
    if let Some(len) = head.get("content-length").and_then(|v| v.parse().ok()) {
        body = vec![0; len];
        return match r.read_exact(&mut body) {
            Ok(()) => (body, End::Whole),
            Err(_) => (Vec::new(), End::CutShort),
        };
    }
    if is_request {
        return (body, End::Whole);
    }
    let mut part = [0; 4096];
    loop {
        match r.read(&mut part) {
            Ok(0) => return (body, End::Whole),
            Ok(n) => body.extend_from_slice(&part[..n]),
            Err(_) => return (body, End::CutShort),
        }
    }
}

pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
    pub end: End,
}

/// Sends one request on a new connection and reads the answer until `within` has passed.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    within: Duration,
) -> io::Result<Answer> {
    let until = Instant::now() + within;
    let address: SocketAddr = address.parse().expect("an address");
    let stream = TcpStream::connect_timeout(&address, within.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    stream.set_write_timeout(Some(left))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host")) {
        text.push_str(&format!("Host: {address}\r\n"));
    }
    for (n, v) in headers {
        text.push_str(&format!("{n}: {v}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\nConnection: close\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes)?;
    let mut r = BufReader::new(stream);
    let head = read_head(&mut r)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let (body, end) = read_body(&mut r, &head, false);
    Ok(Answer { head, body, end })
}
