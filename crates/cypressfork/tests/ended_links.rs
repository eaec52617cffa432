//! What a control process logs about links of peers that have ended. Runs real processes on loopback.

#![allow(missing_docs)]

mod support;

use std::thread::sleep;
use std::time::Duration;

use rstest::rstest;
use support::gateways::*;

/// Time in which a control process answers the watches that a gateway has left open.
const WATCH_TIME: Duration = Duration::from_secs(3);

/// Guards against gateways that have ended and are logged as peers that read too slowly.
#[rstest]
#[case::stopped("TERM")]
#[case::killed("KILL")]
fn a_peer_that_has_ended_does_not_count_as_slow(#[case] signal: &str) {
    let mut f = Fleet::serving();
    let mut gateway = f.gateway.take().unwrap();
    gateway.signal(signal);
    gateway.wait();
    sleep(WATCH_TIME);
    let log = read_log(f.dir.path(), "control-0");
    assert!(!log.contains(" CFE205 "), "{log}");
}
