//! Replicas that have ended without a word while others serve. Runs real processes on loopback.

#![allow(missing_docs)]

mod support;

use std::sync::Arc;

use support::gateways::*;
use support::limited::start_heartbeats;
use support::{own_ip, wait_for};

/// Replicas whose addresses refuse connections, and sound ones.
const ENDED: usize = 15;
const SOUND: usize = 3;

const GATEWAYS: usize = 6;

/// Guards against refusals of requests that meet several replicas which have just ended, while others are free. A new
/// gateway knows of none of them that it has ended.
#[test]
fn a_request_reaches_one_of_the_replicas_that_are_left() {
    let mut f = Fleet::new(1);
    f.start_control(0, true);
    f.publish(3);
    let ended = free_socket_addrs(&own_ip(), ENDED);
    let sound = (0..SOUND).map(|_| start_replica());
    for (n, address) in ended.into_iter().chain(sound).enumerate() {
        let controls = vec![f.controls[0].api];
        start_heartbeats("board", format!("b-{n}"), address, controls, Arc::default());
    }
    let all = ENDED + SOUND;
    wait_for("all replicas to register", || {
        let log = read_log(f.dir.path(), "control-0");
        (0..all).all(|n| log.contains(&format!("replica=b-{n}\n")))
    });
    let gateways = f.start_extra_gateways(GATEWAYS);
    for (g, gateway) in gateways.iter().enumerate() {
        wait_for("all replicas to be known", || {
            let log = read_log(f.dir.path(), &format!("neighbour-{g}"));
            log.contains(&format!("ready={all}"))
        });
        let answer = exchange(gateway.listen, "GET", "/board/x", CALLER_HEADERS, "");
        assert_eq!(answer.map(|a| a.0), Some(200), "gateway {g}");
    }
}
