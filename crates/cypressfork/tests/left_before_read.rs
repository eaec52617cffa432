//! Callers that leave before the gateway has read their requests. Runs real processes on loopback.

#![allow(missing_docs)]

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{self, sleep};
use std::time::Duration;

use support::crashing::{header, read_request};
use support::gateways::*;
use support::wait_for;

const CALLERS: usize = 30;

/// Time for which the gateway does not run.
const PAUSE: Duration = Duration::from_millis(800);

/// Starts a replica that counts the requests that reach it.
fn start_counting_replica(arrivals: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut s in listener.incoming().flatten() {
            let arrivals = arrivals.clone();
            thread::spawn(move || {
                while let Some(text) = read_request(&mut s) {
                    arrivals.fetch_add(1, Ordering::Relaxed);
                    let id = header(&text, "x-request-id");
                    let head = format!("X-Request-Id: {id}\r\nContent-Length: 2");
                    if write!(s, "HTTP/1.1 200 OK\r\n{head}\r\n\r\n{{}}").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Guards against requests that are sent to replicas although their callers have given up waiting for the gateway.
#[test]
fn a_request_whose_caller_has_left_reaches_no_replica() {
    let mut f = Fleet::new(1);
    f.start_control(0, true);
    f.start_gateway();
    f.publish(3);
    let arrivals = Arc::<AtomicUsize>::default();
    f.send_heartbeat(start_counting_replica(arrivals.clone()), 1);
    wait_for("a response", || f.get("/board/x").is_some_and(|a| a.0 == 200));
    // Open connections, so that the paused gateway has to accept none.
    let mut callers: Vec<_> = (0..CALLERS).map(|_| TcpStream::connect(f.listen).unwrap()).collect();
    sleep(PAUSE / 4);
    let gateway = f.gateway.as_ref().unwrap();
    let before = arrivals.load(Ordering::Relaxed);
    gateway.signal("STOP");
    for s in &mut callers {
        let head = format!("GET /board/x HTTP/1.1\r\nHost: {HOST}\r\n{CALLER_HEADERS}\r\n");
        s.write_all(head.as_bytes()).unwrap();
    }
    drop(callers);
    sleep(PAUSE);
    gateway.signal("CONT");
    wait_for("a response", || f.get("/board/x").is_some_and(|a| a.0 == 200));
    sleep(PAUSE);
    assert_eq!(arrivals.load(Ordering::Relaxed) - before, 1, "only the last request");
}
