//! Tests gateways that lose their paths to replicas, with real processes on loopback.

#![allow(missing_docs)]

mod support;

use std::thread::sleep;
use std::time::Duration;

use support::partitioned::*;

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
