//! Tests replicas that fail if they reject more than a few requests a second, with real processes on loopback.

#![allow(missing_docs)]

mod support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use support::partitioned::*;

/// Guards against gateways that overrun replicas which bear few rejections: the failures of all replicas together may
/// not exceed 2 and a tenth of their number, as the user documentation states.
#[test]
fn rejections_stay_within_what_replicas_bear() {
    let fleet = PartitionedFleet::start(4, Duration::from_millis(200));
    // Six replicas with two places each: 60 requests a second, of which 133 are asked for.
    fleet.replicas.iter().for_each(|r| r.state.places.store(2, Ordering::Relaxed));
    let interval = Duration::from_millis(30);
    fleet.send("before", Duration::from_secs(3), interval);
    let since = Instant::now();
    let served = fleet.send("brittle", Duration::from_secs(6), interval);
    let failures: usize = fleet.replicas.iter().map(|r| r.state.failures(since)).sum();
    let allowed = 2 + REPLICAS / 10;
    let answered: usize = served.iter().map(|s| s.answered).sum();
    println!("{answered} requests answered in 6 s, {failures} failures");
    assert!(failures <= allowed, "{failures} failures of replicas, {allowed} are allowed");
}
