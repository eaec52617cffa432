//! Tests what an HTTP client reports when a connection that it reuses closes.

#![allow(missing_docs)]

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Method, Uri};
use bytes::Bytes;
use cypressfork_http::client::{Connection, ExchangeError, OutboundRequest};
use rstest::rstest;
use tokio::time::{Instant, sleep};

/// Larger than the buffers of a connection, so that the server reads a part before all of it is sent.
const LARGE_BODY: usize = 64 * 1024 * 1024;

/// Serves one request, reads `part` bytes of the next if it is not 0, then closes the connection.
fn serve(part: usize, closed: Sender<()>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut s, _) = listener.accept().unwrap();
        let mut buf = [0; 4096];
        assert!(s.read(&mut buf).unwrap() > 0);
        s.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
        if part > 0 {
            s.read_exact(&mut buf[..part]).unwrap();
        }
        drop(s);
        let _ = closed.send(());
    });
    address
}

async fn send(c: &mut Connection, body: &Bytes) -> Result<(), ExchangeError> {
    let (method, uri) = (Method::POST, Uri::from_static("/x"));
    c.send(OutboundRequest { method: &method, uri: &uri, headers: HeaderMap::new(), body }).await
}

/// Opens a connection to a server as in [`serve`] and completes the first exchange.
async fn reuse(part: usize) -> (Connection, Receiver<()>) {
    let (tx, rx) = channel();
    let mut c = Connection::open(serve(part, tx)).await.unwrap();
    send(&mut c, &Bytes::from_static(b"first")).await.unwrap();
    c.read_head().await.unwrap();
    while c.read_chunk().await.unwrap().is_some() {}
    c.mark_idle(Instant::now());
    (c, rx)
}

/// Guards against a request that is sent twice without being counted as a retry: the server read a part of it before
/// the connection closed.
#[test]
fn a_partly_sent_request_is_not_reported_as_unsent() {
    actix_rt::System::new().block_on(async {
        let (mut c, _closed) = reuse(100).await;
        let error = send(&mut c, &Bytes::from(vec![b'x'; LARGE_BODY])).await.unwrap_err();
        assert!(matches!(error, ExchangeError::Closed(_)), "{error:?}");
    });
}

/// Guards against a request that is lost, or reported as possibly run, when nothing of it was sent.
#[test]
fn a_request_on_a_closed_connection_is_reported_as_unsent() {
    actix_rt::System::new().block_on(async {
        let (mut c, closed) = reuse(0).await;
        closed.recv().unwrap();
        // The server's kernel resets the connection at the first bytes after the close.
        let _ = send(&mut c, &Bytes::from_static(b"reset")).await;
        sleep(Duration::from_millis(100)).await;
        c.mark_idle(Instant::now());
        let error = send(&mut c, &Bytes::from_static(b"second")).await.unwrap_err();
        assert_eq!(error, ExchangeError::Stale);
    });
}

/// Guards against a request on a connection that has received bytes, or has been closed, since the runtime last polled it.
#[rstest]
#[case::bytes(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")]
#[case::the_end(b"")]
fn bytes_that_the_runtime_has_not_seen_yet_are_noticed(#[case] surplus: &'static [u8]) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (send_surplus, surplus_wanted) = channel();
    let (surplus_sent, sent) = channel();
    thread::spawn(move || {
        let (mut s, _) = listener.accept().unwrap();
        assert!(s.read(&mut [0; 4096]).unwrap() > 0);
        s.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
        surplus_wanted.recv().unwrap();
        s.write_all(surplus).unwrap();
        if surplus.is_empty() {
            s.shutdown(Shutdown::Both).unwrap();
        }
        surplus_sent.send(()).unwrap();
        let _ = surplus_wanted.recv();
    });
    actix_rt::System::new().block_on(async {
        let mut c = Connection::open(address).await.unwrap();
        send(&mut c, &Bytes::from_static(b"first")).await.unwrap();
        c.read_head().await.unwrap();
        while c.read_chunk().await.unwrap().is_some() {}
        c.mark_idle(Instant::now());
        assert!(c.is_fresh(Instant::now()));
        // Blocks the runtime, so that it does not poll the socket.
        send_surplus.send(()).unwrap();
        sent.recv().unwrap();
        thread::sleep(Duration::from_millis(50));
        assert!(!c.is_fresh(Instant::now()));
    });
}
