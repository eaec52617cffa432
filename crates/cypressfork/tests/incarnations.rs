//! Tests replicas that restart under the same id, with real processes on loopback.
//!
//! Heartbeats of a new incarnation restart their sequence and replace the state of the previous incarnation,
//! including that it was draining or had left.

#![allow(missing_docs)]

mod support;

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::{Value, json};
use support::gateways::*;
use support::wait_for;

/// Sequence number that the first incarnation reaches; the second one must be accepted at much lower numbers.
const FIRST_SEQUENCE: u64 = 500;

/// Starts three control processes and a gateway, and publishes a document. No replica is registered.
fn fleet() -> Fleet {
    let mut f = Fleet::new(3);
    (0..3).for_each(|n| f.start_control(n, true));
    f.start_gateway();
    f.publish(3);
    f
}

fn heartbeat(address: SocketAddr, born: u64, sequence: u64, draining: bool) -> Value {
    json!({ "service": "board", "address": address.to_string(), "data_centre": "tamar-a",
        "born": born, "sequence": sequence, "draining": draining })
}

/// Sends a heartbeat to control process `n` until it is acknowledged.
fn send_heartbeat(f: &Fleet, n: usize, beat: &Value) {
    wait_for("an acknowledgement", || {
        matches!(f.call(n, "PUT", "/v1/replicas/b-1", &beat.to_string()), Some((200, _)))
    });
}

fn until_served(f: &Fleet) {
    wait_for("a response", || f.get("/board/x").is_some_and(|a| a.0 == 200));
}

/// How the first incarnation ends.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Ending {
    Silently,
    Draining,
    Leaving,
}

/// Guards against a restarted replica whose heartbeats are ignored because their sequence numbers are lower.
#[rstest]
#[case::crashed(Ending::Silently)]
#[case::drained(Ending::Draining)]
#[case::left(Ending::Leaving)]
fn a_new_incarnation_replaces_the_previous_one_at_once(#[case] ending: Ending) {
    let f = fleet();
    let first = start_replica();
    send_heartbeat(&f, 0, &heartbeat(first, 1_000, FIRST_SEQUENCE, false));
    until_served(&f);
    match ending {
        Ending::Silently => {}
        Ending::Draining => {
            send_heartbeat(&f, 1, &heartbeat(first, 1_000, FIRST_SEQUENCE + 1, true))
        }
        Ending::Leaving => wait_for("an acknowledgement", || {
            matches!(f.call(1, "DELETE", "/v1/replicas/b-1", ""), Some((200, _)))
        }),
    }
    if ending != Ending::Silently {
        wait_for("requests to be refused", || f.get("/board/x").is_some_and(|a| a.0 == 503));
    }
    // A platform may restart it at another address.
    let second = start_replica();
    let started = Instant::now();
    send_heartbeat(&f, 2, &heartbeat(second, 2_000, 1, false));
    let has_address = |n: usize| {
        let text = read_log(f.dir.path(), "gateway-0");
        let at = format!("address={second} ");
        n > 0 && text.lines().any(|l| l.contains("CFE317") && l.contains(&at))
    };
    wait_for("the gateway to apply the new address", || has_address(1));
    until_served(&f);
    assert!(started.elapsed() < Duration::from_secs(5), "it took {:?}", started.elapsed());
    // A late heartbeat of the previous incarnation changes nothing at any control process.
    (0..3).for_each(|n| send_heartbeat(&f, n, &heartbeat(first, 1_000, FIRST_SEQUENCE + 9, true)));
    sleep(Duration::from_millis(500));
    assert_eq!(f.get("/board/x").unwrap().0, 200);
}

/// Guards against an invalid start time of a replica that is stored.
#[rstest]
#[case::a_fraction(json!(1.5))]
#[case::a_text(json!("1000"))]
#[case::below_zero(json!(-1))]
#[case::too_large(json!(1e30))]
fn an_invalid_start_time_is_refused(#[case] born: Value) {
    let f = fleet();
    let mut beat = heartbeat(start_replica(), 1, 1, false);
    beat["born"] = born;
    wait_for("a refusal", || {
        let answer = f.call(0, "PUT", "/v1/replicas/b-1", &beat.to_string());
        answer.is_some_and(|(status, v)| status == 400 && v["error"]["code"] == "CF1103")
    });
}
