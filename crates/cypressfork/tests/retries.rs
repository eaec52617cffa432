//! Tests which sends of a gateway count towards the fleet's retry budget, with real processes on loopback.

#![allow(missing_docs)]

mod support;

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use support::crashing::{header, read_request};
use support::gateways::*;
use support::limited::{listen, start_heartbeats};
use support::refusing::{Refusal, RefusingReplica};
use support::wait_for;

/// Retries allowed per request.
const RATIO: f64 = 0.2;

/// Retries allowed in addition.
const EXTRA: usize = 2;

/// Starts a control process and a gateway, and publishes a document. No replica is registered.
fn start_fleet() -> Fleet {
    let mut fleet = Fleet::new(1);
    fleet.start_control(0, true);
    fleet.start_gateway_with(&format!("retry_extra: {EXTRA}\n"));
    fleet.publish(3);
    fleet
}

/// Sends request `n` and returns the status.
fn send(fleet: &Fleet, n: usize) -> Option<u16> {
    let headers = format!("X-Request-Id: r-{n}\r\nAuthorization: Bearer club-key\r\n");
    exchange(fleet.listen, "GET", "/board/x", &headers, "").map(|answer| answer.0)
}

/// Answers the first request on a connection. Reads the second and closes the connection.
fn serve_once(mut s: TcpStream, arrivals: &Mutex<HashMap<String, usize>>) {
    for n in 0..2 {
        let Some(text) = read_request(&mut s) else { return };
        let id = header(&text, "x-request-id").to_owned();
        *arrivals.lock().unwrap().entry(id.clone()).or_default() += 1;
        if n == 0 {
            let head = format!("X-Request-Id: {id}\r\nContent-Length: 2");
            let _ = write!(s, "HTTP/1.1 200 OK\r\n{head}\r\n\r\nok");
        }
    }
}

/// Guards against requests that are sent again without a retry from the budget because a replica received them on a
/// kept connection and closed it without an answer.
#[test]
fn requests_lost_on_kept_connections_are_retried_within_the_budget() {
    let fleet = start_fleet();
    let arrivals = Arc::new(Mutex::new(HashMap::new()));
    let stop = Arc::<AtomicBool>::default();
    let controls: Vec<SocketAddr> = fleet.controls.iter().map(|c| c.api).collect();
    for n in 0..2 {
        let arrivals = arrivals.clone();
        let address = listen(move |s| serve_once(s, &arrivals));
        start_heartbeats("board", format!("b-{n}"), address, controls.clone(), stop.clone());
    }
    wait_for("a response", || send(&fleet, 0) == Some(200));
    let requests = 200;
    (1..=requests).for_each(|n| _ = send(&fleet, n));
    let arrivals = arrivals.lock().unwrap();
    let retries: usize = arrivals.values().map(|n| n - 1).sum();
    let allowed = requests as f64 * RATIO + EXTRA as f64;
    assert!(retries > 0, "connections are kept");
    assert!(retries as f64 <= allowed, "{retries} retries, {allowed} allowed");
}

/// Guards against retries that use up the budget although no replica gets them: the budget is then empty when a
/// replica could serve them.
#[test]
fn a_retry_that_no_replica_gets_costs_no_credit() {
    let fleet = start_fleet();
    let controls = vec![fleet.controls[0].api];
    let start = |name: &str| {
        RefusingReplica::start(name.to_owned(), controls.clone(), 1, Duration::from_millis(1))
    };
    let refusing = start("b-1");
    wait_for("a response", || send(&fleet, 0) == Some(200));
    refusing.refuse(Some(Refusal { retry_after: Vec::new(), not_run: true }));
    // Each is rejected by the only replica.
    (1..=50).for_each(|n| assert_eq!(send(&fleet, n), Some(503)));
    let (_, refused) = refusing.counts();
    let _serving = start("b-2");
    wait_for("the gateway to know the second replica", || {
        let log = read_log(fleet.dir.path(), "gateway-0");
        log.lines().any(|l| l.contains(" CFE317 ") && l.contains("replica=b-2"))
    });
    // The first request that is rejected again is retried at the second replica.
    for n in 51.. {
        assert_eq!(send(&fleet, n), Some(200), "request {n}");
        if refusing.counts().1 > refused {
            return;
        }
    }
}
