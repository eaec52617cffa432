//! Tests gateways that lose their paths to replicas, with real processes on loopback.

#![allow(missing_docs)]

mod support;

use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use cypressfork_core::fleet::peer::{PeerReply, PeerRequest};
use cypressfork_core::fleet::relay::{Connect, Connected};
use cypressfork_core::unit::Millis;
use cypressfork_node::link::{self, Credentials};
use cypressfork_soak::plan::OpenConnections;
use cypressfork_wire::auth::Key;
use cypressfork_wire::{Ask, Call, Frame, body};
use support::gateways::{CALLER_HEADERS, HOST, exchange, read_log};
use support::partitioned::*;
use support::wait_for;

const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Time between two requests to a gateway.
const INTERVAL: Duration = Duration::from_millis(60);

/// Time after the start of a partition from which callers are served, as the user documentation states.
const SETTLED_AFTER: Duration = Duration::from_secs(3);

/// Part of the requests that must be answered, relative to the other gateways.
const MIN_RATIO: f64 = 2.0 / 3.0;

/// Asserts that all gateways answer about as many requests as the others, and that nothing ran twice.
fn assert_served(fleet: &PartitionedFleet, served: &[Served], cut: &[usize]) {
    let others = (0..served.len()).filter(|g| !cut.contains(g)).map(|g| served[g].ratio());
    let best = others.fold(0.0, f64::max);
    for g in cut {
        assert!(served[*g].ratio() >= MIN_RATIO * best, "gateway {g} of {served:?}");
    }
    assert_eq!(fleet.run_twice(), Vec::<String>::new());
}

/// Cuts gateways of a fleet of six from all replicas, and asserts that their callers are served during the partition
/// and after it.
fn cut_and_heal(cut: &[usize], open: OpenConnections) {
    let fleet = PartitionedFleet::start(6, SERVICE_TIME);
    fleet.send("before", Duration::from_millis(600), INTERVAL);
    fleet.cut(cut, open);
    fleet.send("early", SETTLED_AFTER, INTERVAL);
    let served = fleet.send("cut", Duration::from_secs(2), INTERVAL);
    assert_served(&fleet, &served, cut);
    fleet.heal();
    sleep(Duration::from_secs(1));
    let served = fleet.send("healed", Duration::from_secs(1), INTERVAL);
    assert!(served.iter().all(|s| s.answered == s.sent), "{served:?}");
}

/// Guards against a gateway that refuses its callers because its own paths to the replicas have fallen silent, although
/// other gateways reach them.
#[test]
fn callers_of_a_gateway_without_paths_to_replicas_are_served() {
    cut_and_heal(&[0], OpenConnections::Silent);
}

/// Guards against refusals when the connections of most gateways are reset and new ones get no response.
#[test]
fn callers_are_served_while_most_gateways_have_no_path_to_replicas() {
    cut_and_heal(&[0, 1, 2, 3], OpenConnections::Reset);
}

/// Guards against refusals when open connections to replicas work, but new ones get no response.
#[test]
fn callers_are_served_on_open_connections_when_no_new_ones_are_possible() {
    cut_and_heal(&[0], OpenConnections::Kept);
}

/// Guards against a gateway that starts during a partition and waits for replicas that it has never reached.
#[test]
fn a_gateway_that_starts_without_a_path_to_any_replica_serves_its_callers() {
    let mut fleet = PartitionedFleet::start(3, SERVICE_TIME);
    let cut = fleet.start_cut_gateway();
    let served = fleet.send("started", Duration::from_secs(2), INTERVAL);
    assert_served(&fleet, &served, &[cut]);
}

/// Guards against callers that depend on one relay.
#[test]
fn callers_are_served_when_a_relay_is_killed() {
    let mut fleet = PartitionedFleet::start(4, SERVICE_TIME);
    fleet.send("before", Duration::from_millis(600), INTERVAL);
    fleet.cut(&[0], OpenConnections::Silent);
    fleet.send("early", SETTLED_AFTER, INTERVAL);
    for n in 1..3 {
        fleet.gateways[n].process.kill();
        let served = fleet.send(&format!("killed-{n}"), Duration::from_secs(1), INTERVAL);
        assert_served(&fleet, &served, &[0]);
    }
}

/// Guards against a partition that counts as the end of replicas, which would quarantine the requests in flight.
#[test]
fn a_partition_is_no_end_of_a_replica() {
    let fleet = PartitionedFleet::start(3, Duration::from_millis(100));
    fleet.send("before", Duration::from_millis(600), INTERVAL);
    fleet.cut(&[0], OpenConnections::Reset);
    fleet.send("cut", SETTLED_AFTER, INTERVAL);
    let log = read_log(fleet.fleet.dir.path(), "neighbour-0");
    assert!(log.contains("CFE449"), "the gateway lost paths");
    assert!(!log.contains("CFE430"), "no replica has ended");
}

/// Maximum time after which a replica learns that the caller of a request has left, as the user documentation
/// states.
const DEPARTURE_WITHIN: Duration = Duration::from_millis(500);

/// Guards against replicas that work for callers who have left, because the relay keeps the connection open.
#[test]
fn the_departure_of_a_caller_reaches_a_replica_through_a_relay() {
    let fleet = PartitionedFleet::start(2, SERVICE_TIME);
    fleet.cut(&[0], OpenConnections::Silent);
    fleet.send("cut", SETTLED_AFTER, INTERVAL);
    let mut caller = TcpStream::connect(fleet.gateways[0].listen).unwrap();
    let headers = CALLER_HEADERS.replace("r-1", "slow-1");
    let head = format!("GET {SLOW_PATH} HTTP/1.1\r\nHost: {HOST}\r\n{headers}\r\n");
    caller.write_all(head.as_bytes()).unwrap();
    let is_running = |r: &PartitionedReplica| r.state.runs.lock().unwrap().contains_key("slow-1");
    wait_for("the request to run", || fleet.replicas.iter().any(is_running));
    let replica = fleet.replicas.iter().find(|r| is_running(r)).unwrap();
    drop(caller);
    let left = Instant::now();
    wait_for("the replica to notice", || !replica.state.departures.lock().unwrap().is_empty());
    let took = replica.state.departures.lock().unwrap()[0].duration_since(left);
    assert!(took < DEPARTURE_WITHIN, "{took:?}");
}

/// Time from which a backoff is observed, and the number of requests from one gateway that may still arrive, as
/// the user documentation states.
const BACKOFF_AFTER: Duration = Duration::from_millis(500);
const ALLOWED_IN_BACKOFF: usize = 2;

/// Guards against requests to a replica in a backoff: the replica knows the relay's address only, so what it asked
/// for through the relay holds for the relay's own callers as well.
#[test]
fn a_backoff_requested_through_a_relay_holds_for_the_relay() {
    let fleet = PartitionedFleet::start(2, SERVICE_TIME);
    fleet.cut(&[0], OpenConnections::Silent);
    fleet.send("cut", SETTLED_AFTER, INTERVAL);
    let rejecting = &fleet.replicas[0].state;
    rejecting.rejects.store(true, Ordering::Relaxed);
    let relay = IpAddr::V4(fleet.sources[1]);
    let is_rejected = || {
        exchange(fleet.gateways[0].listen, "GET", "/board/x", CALLER_HEADERS, "");
        let arrivals = rejecting.arrivals.lock().unwrap();
        arrivals.iter().rev().find(|(from, _)| *from == relay).map(|(_, at)| *at)
    };
    let before = is_rejected();
    let mut first = before;
    wait_for("a rejection through the relay", || {
        first = is_rejected();
        first != before
    });
    let first = first.unwrap();
    fleet.send("backoff", Duration::from_secs(2), Duration::from_millis(20));
    let arrivals = rejecting.arrivals.lock().unwrap();
    let in_backoff = arrivals.iter().filter(|(from, at)| {
        *from == relay && *at > first + BACKOFF_AFTER && *at < first + BACKOFF
    });
    let n = in_backoff.count();
    assert!(n <= ALLOWED_IN_BACKOFF, "{n} requests from the relay during the backoff");
}

/// Asks a gateway to relay a connection, as another gateway would.
fn ask_to_relay(gateway: SocketAddr, replica: &str, address: SocketAddr) -> Connected {
    let name = "neighbour-9".to_owned();
    let credentials = Credentials { key: Key::new(b"test"), cluster: "test".to_owned(), name };
    let connect = Connect {
        service: "board".to_owned(),
        replica: replica.to_owned(),
        address,
        within: Millis(200),
    };
    let ask = Ask::Share(body::pack(&PeerRequest::Connect(connect)));
    actix_rt::System::new().block_on(async {
        let mut link = link::connect(gateway, &credentials).await.unwrap();
        link.writer.send(&Frame::Call(Call::new(7, ask, None))).await.unwrap();
        let Frame::Answer(answer) = link.reader.next().await.unwrap() else { panic!() };
        match body::unpack(&answer.body.unwrap()).unwrap() {
            PeerReply::Connected(connected) => connected,
            other => panic!("{other:?}"),
        }
    })
}

/// Guards against gateways that connect to any address for whoever holds the cluster's key.
#[test]
fn a_relay_connects_to_registered_replicas_only() {
    let fleet = PartitionedFleet::start(2, SERVICE_TIME);
    let (gateway, replica) = (fleet.gateways[0].link, fleet.replicas[0].address);
    assert_eq!(ask_to_relay(gateway, "b-0", replica), Connected::Open);
    assert_eq!(ask_to_relay(gateway, "b-1", replica), Connected::Declined, "another id");
    let control = fleet.fleet.controls[0].api;
    assert_eq!(ask_to_relay(gateway, "b-0", control), Connected::Declined, "no replica");
}

/// Guards against relays of relays: a gateway without a path declines instead of asking a third one.
#[test]
fn a_relay_uses_its_direct_path_only() {
    let fleet = PartitionedFleet::start(3, SERVICE_TIME);
    fleet.cut(&[0], OpenConnections::Silent);
    fleet.send("cut", SETTLED_AFTER, INTERVAL);
    let (gateway, replica) = (fleet.gateways[0].link, fleet.replicas[0].address);
    assert_eq!(ask_to_relay(gateway, "b-0", replica), Connected::Unreachable);
}
