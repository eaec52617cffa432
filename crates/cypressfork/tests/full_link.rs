//! A gateway whose link is full, over real processes on loopback.
//!
//! Seen: some 430 requests a second of 6 kB stayed with one gateway whatever entry answers said, and
//! what it heard of the fleet waited behind them on its link of 10 Mbit/s, so that it served by a document
//! that was 12 s old.
//! Cause: a gateway took every connection, and callers that are answered come back.
//! Proof: on the code before, no connection is ever refused.

#![allow(missing_docs)]

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use support::gateways::*;
use support::until;

/// The link of the gateway under test: 1 Mbit/s, 125 kB/s.
const LINK_MBPS: u64 = 1;

/// The body of a request; sixteen a second fill four fifths of the link.
const BODY: usize = 6_000;

/// By the users' pages a gateway that says it is ready takes connections again within 3 s.
const TAKEN_WITHIN: Duration = Duration::from_secs(3);

fn serving() -> Fleet {
    let mut f = Fleet::new(1);
    f.start_control(0, true);
    let text = format!(
        "{}listen: \"{}\"\nlink: \"{}\"\noperators: \"{}\"\nmetrics: \"{}\"\nreport_ms: 50\nlink_mbps: {LINK_MBPS}\n",
        f.common("gateway-0"),
        f.front,
        f.link,
        f.operators,
        f.metrics,
    );
    f.gateway = Some(f.start("gateway-0", "gateway", &text));
    f.publish(3);
    f.beat(replica(), 1);
    until("an answer", || f.ask("/board/x").is_some_and(|a| a.0 == 200));
    f
}

/// Sends a request on a new connection; false if it is refused.
fn send(f: &Fleet) -> bool {
    let mut s = match TcpStream::connect(f.front) {
        Ok(s) => s,
        Err(e) if e.kind() == ErrorKind::ConnectionRefused => return false,
        Err(e) => panic!("{e}"),
    };
    let head = format!(
        "POST /board/x HTTP/1.1\r\nHost: {HOST}\r\n{CALLER}Connection: close\r\nContent-Length: {BODY}\r\n\r\n"
    );
    // One that waited to be taken as the gateway stopped listening is reset.
    let sent = s.write_all(head.as_bytes()).and_then(|()| s.write_all(&[b'x'; BODY]));
    let mut text = String::new();
    let _ = sent.and_then(|()| s.read_to_string(&mut text));
    true
}

#[test]
fn a_gateway_with_a_full_link_refuses_connections_for_a_moment() {
    let f = serving();
    until("a refused connection", || !send(&f));
    let began = Instant::now();
    until("a connection", || send(&f));
    assert!(began.elapsed() < TAKEN_WITHIN, "{:?}", began.elapsed());
    let ready = exchange(f.operators, "GET", "/readyz", "", "").map(|a| a.0);
    assert_eq!(ready, Some(200), "it goes on, and says so");
    let closed = sample(f.metrics, "cypressfork_closed_doors_total");
    assert!(closed.is_some_and(|n| n >= 1.0), "{closed:?}");
}

/// Callers that stay within the link never meet it.
#[test]
fn one_that_has_room_takes_all() {
    let f = serving();
    for _ in 0..20 {
        assert!(send(&f));
        std::thread::sleep(Duration::from_millis(150));
    }
    assert_eq!(sample(f.metrics, "cypressfork_closed_doors_total"), None);
}
