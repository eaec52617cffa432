//! A gateway whose link is full, over real processes on loopback.
//!
//! Guards against callers that fill the link of a gateway and so delay its updates of the fleet: the gateway
//! must refuse connections while its link is full.

#![allow(missing_docs)]

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use support::gateways::*;
use support::wait_for;

/// Link capacity of the gateway under test, in Mbit/s.
const LINK_MBPS: u64 = 1;

/// Size of a request body in bytes; sixteen a second fill four fifths of the link.
const BODY_BYTES: usize = 6_000;

/// Documented time within which a gateway that reports itself ready accepts connections again.
const ACCEPTS_WITHIN: Duration = Duration::from_secs(3);

/// Starts a fleet whose gateway has a link of [`LINK_MBPS`].
fn fleet_with_narrow_link() -> Fleet {
    let mut f = Fleet::new(1);
    f.start_control(0, true);
    let text = format!(
        "{}listen: \"{}\"\nlink: \"{}\"\noperators: \"{}\"\nmetrics: \"{}\"\nreport_ms: 50\nlink_mbps: {LINK_MBPS}\n",
        f.common_settings("gateway-0"),
        f.listen,
        f.link,
        f.operators,
        f.metrics,
    );
    f.gateway = Some(f.start("gateway-0", "gateway", &text));
    f.publish(3);
    f.send_heartbeat(start_replica(), 1);
    wait_for("an answer", || f.get("/board/x").is_some_and(|a| a.0 == 200));
    f
}

/// Sends a request on a new connection. Returns false if the connection is refused.
fn send(f: &Fleet) -> bool {
    let mut s = match TcpStream::connect(f.listen) {
        Ok(s) => s,
        Err(e) if e.kind() == ErrorKind::ConnectionRefused => return false,
        Err(e) => panic!("{e}"),
    };
    let head = format!(
        "POST /board/x HTTP/1.1\r\nHost: {HOST}\r\n{CALLER_HEADERS}Connection: close\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    // A connection in the accept backlog is reset when the gateway stops listening, so errors are ignored.
    let sent = s.write_all(head.as_bytes()).and_then(|()| s.write_all(&[b'x'; BODY_BYTES]));
    let mut text = String::new();
    let _ = sent.and_then(|()| s.read_to_string(&mut text));
    true
}

/// Guards against a full link that is never relieved, or a gateway that stays closed.
#[test]
fn a_gateway_with_a_full_link_refuses_connections_briefly() {
    let f = fleet_with_narrow_link();
    wait_for("a refused connection", || !send(&f));
    let began = Instant::now();
    wait_for("a connection", || send(&f));
    assert!(began.elapsed() < ACCEPTS_WITHIN, "{:?}", began.elapsed());
    let ready = exchange(f.operators, "GET", "/readyz", "", "").map(|a| a.0);
    assert_eq!(ready, Some(200), "the gateway keeps running and reports ready");
    let times_closed = metric_value(f.metrics, "cypressfork_closed_doors_total");
    assert!(times_closed.is_some_and(|n| n >= 1.0), "{times_closed:?}");
}

/// Guards against connections refused below the link's capacity.
#[test]
fn a_gateway_with_spare_capacity_accepts_all_connections() {
    let f = fleet_with_narrow_link();
    for _ in 0..20 {
        assert!(send(&f));
        std::thread::sleep(Duration::from_millis(150));
    }
    assert_eq!(metric_value(f.metrics, "cypressfork_closed_doors_total"), None);
}
