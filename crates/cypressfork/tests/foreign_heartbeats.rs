//! Invalid heartbeats of another sender under the id of a serving replica: they must not change the
//! replica's registration.

#![allow(missing_docs)]

mod support;

use std::thread::sleep;
use std::time::Duration;

use cypressfork_control::dialect::{Call, CallAnswer, Dialect, Incoming};
use cypressfork_control::native::Native;
use proptest::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};
use support::gateways::*;

/// Returns a valid heartbeat of the replica with `change` applied.
fn changed_heartbeat(f: &Fleet, change: fn(&mut Value)) -> String {
    let mut heartbeat = json!({ "service": "board", "address": f.replica.unwrap().to_string(),
        "data_centre": "tamar-a", "slots": 4, "cold_ms": 0, "sequence": 9 });
    change(&mut heartbeat);
    heartbeat.to_string()
}

/// Guards against an invalid heartbeat that takes a serving replica out of use.
#[rstest]
#[case::an_unknown_service(200, |b: &mut Value| b["service"] = json!("elsewhere"))]
#[case::an_invalid_address(400, |b: &mut Value| b["address"] = json!("here"))]
#[case::an_address_without_a_port(400, |b: &mut Value| b["address"] = json!("10.0.0.1"))]
#[case::cold_for_ever(400, |b: &mut Value| b["cold_ms"] = json!(u64::MAX))]
#[case::no_service(400, |b: &mut Value| { b.as_object_mut().unwrap().remove("service"); })]
#[case::no_sequence_number(400, |b: &mut Value| { b.as_object_mut().unwrap().remove("sequence"); })]
#[case::a_number_of_another_type(400, |b: &mut Value| b["sequence"] = json!("9"))]
#[case::a_number_out_of_range(400, |b: &mut Value| b["slots"] = json!(-1))]
#[case::a_state_of_another_type(400, |b: &mut Value| b["draining"] = json!("yes"))]
#[case::no_object(400, |b: &mut Value| *b = json!([1, 2]))]
#[case::not_json(400, |b: &mut Value| *b = Value::Null)]
fn a_foreign_heartbeat_leaves_the_replica_in_use(
    #[case] status: u16,
    #[case] change: fn(&mut Value),
) {
    let f = Fleet::serving();
    let answer = f.call(0, "PUT", "/v1/replicas/b-1", &changed_heartbeat(&f, change)).unwrap();
    assert_eq!(answer.0, status, "{}", answer.1);
    if status != 200 {
        assert!(answer.1["error"]["code"].as_str().unwrap().starts_with("CF"), "{}", answer.1);
    }
    for _ in 0..10 {
        sleep(Duration::from_millis(50));
        assert_eq!(f.get("/board/x").unwrap().0, 200);
    }
}

/// Parses `body` as a heartbeat of replica `b-1`.
fn parse(body: &[u8]) -> Result<Call, CallAnswer> {
    let (method, path) = (&actix_http::Method::PUT, "/v1/replicas/b-1");
    Native::parse_call(&Incoming { method, path, query: "", body })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(35), ..ProptestConfig::default() })]

    /// Guards against a panic on arbitrary bytes: they are a valid call or are refused.
    #[test]
    fn any_bytes_are_read_or_refused(body in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Err(answer) = parse(&body) {
            prop_assert!(matches!(answer, CallAnswer::Refused(..)));
        }
    }

    /// Guards against a corrupted heartbeat that is read as another kind of call or for another replica.
    #[test]
    fn a_changed_byte_is_read_or_refused(at in 0usize..120, byte in any::<u8>()) {
        let mut body = json!({ "service": "board", "address": "10.0.0.1:80", "data_centre": "a",
            "slots": 4, "sequence": 9, "born": 1_700_000_000_000u64 }).to_string().into_bytes();
        let at = at % body.len();
        body[at] = byte;
        match parse(&body) {
            Ok(Call::Heartbeat(r)) => prop_assert_eq!(r.registration.id, "b-1"),
            Ok(other) => prop_assert!(false, "{other:?}"),
            Err(answer) => prop_assert!(matches!(answer, CallAnswer::Refused(..))),
        }
    }
}
