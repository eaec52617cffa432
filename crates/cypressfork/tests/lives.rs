//! Replicas that start again under the id that they had, over real processes on loopback.
//!
//! Their counts of heartbeats begin anew, and what was said of the life before, leaving included, is of a
//! replica that no longer exists.

#![allow(missing_docs)]

mod support;

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::{Value, json};
use support::gateways::*;
use support::until;

/// Heartbeats of the first life: the second has to be taken up long before it has sent as many.
const BEATS: u64 = 500;

/// A fleet of three control processes that serves nothing yet.
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

/// Says to control process `n` what a replica says of itself.
fn say(f: &Fleet, n: usize, beat: &Value) {
    until("an acknowledgement", || {
        matches!(f.call(n, "PUT", "/v1/replicas/b-1", &beat.to_string()), Some((200, _)))
    });
}

fn until_served(f: &Fleet) {
    until("an answer", || f.ask("/board/x").is_some_and(|a| a.0 == 200));
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Ends {
    Silently,
    Draining,
    Leaving,
}

#[rstest]
#[case::crashed(Ends::Silently)]
#[case::drained(Ends::Draining)]
#[case::left(Ends::Leaving)]
fn a_later_life_is_taken_up_at_once(#[case] ends: Ends) {
    let f = fleet();
    let first = replica();
    say(&f, 0, &heartbeat(first, 1_000, BEATS, false));
    until_served(&f);
    match ends {
        Ends::Silently => {}
        Ends::Draining => say(&f, 1, &heartbeat(first, 1_000, BEATS + 1, true)),
        Ends::Leaving => until("its leaving", || {
            matches!(f.call(1, "DELETE", "/v1/replicas/b-1", ""), Some((200, _)))
        }),
    }
    if ends != Ends::Silently {
        until("no new work", || f.ask("/board/x").is_some_and(|a| a.0 == 503));
    }
    // At another address, as a platform may place it.
    let second = replica();
    let begun = Instant::now();
    say(&f, 2, &heartbeat(second, 2_000, 1, false));
    let placed = |n: usize| {
        let text = log(f.dir.path(), "gateway-0");
        let at = format!("address={second} ");
        n > 0 && text.lines().any(|l| l.contains("CFE317") && l.contains(&at))
    };
    until("its new address at the gateway", || placed(1));
    until_served(&f);
    assert!(begun.elapsed() < Duration::from_secs(5), "it took {:?}", begun.elapsed());
    // A late heartbeat of the life before changes nothing, whoever hears it.
    (0..3).for_each(|n| say(&f, n, &heartbeat(first, 1_000, BEATS + 9, true)));
    sleep(Duration::from_millis(500));
    assert_eq!(f.ask("/board/x").unwrap().0, 200);
}

#[rstest]
#[case::a_fraction(json!(1.5))]
#[case::a_text(json!("1000"))]
#[case::below_zero(json!(-1))]
#[case::too_large(json!(1e30))]
fn a_start_that_is_no_whole_number_is_refused(#[case] born: Value) {
    let f = fleet();
    let mut beat = heartbeat(replica(), 1, 1, false);
    beat["born"] = born;
    until("a refusal", || {
        let answer = f.call(0, "PUT", "/v1/replicas/b-1", &beat.to_string());
        answer.is_some_and(|(status, v)| status == 400 && v["error"]["code"] == "CF1103")
    });
}
