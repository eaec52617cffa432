//! Tests replicas that request a backoff with 503 and `Retry-After`, with real processes on loopback. The backoff
//! applies to the gateway that received the response.

#![allow(missing_docs)]

mod support;

use std::collections::HashSet;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::gateways::*;
use support::refusing::*;

/// Service time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(10);

/// The backoff that replicas request.
const BACKOFF: Duration = Duration::from_secs(3);

/// Maximum number of requests from one gateway that may reach a replica during a backoff, as the user documentation
/// states.
const ALLOWED: usize = 2;

/// Result code of a refusal because all replicas have requested a backoff.
const ALL_BACKING_OFF: &str = "CF1312";

/// Maximum time until a request is refused that no replica accepts.
const REFUSED_WITHIN: Duration = Duration::from_millis(50);

/// How long a test observes the fleet.
const OBSERVATION: Duration = Duration::from_secs(7);

/// Returns the maximum number of requests from one gateway that any replica received during a backoff.
fn max_in_backoff(harness: &Harness) -> usize {
    harness.replicas.iter().map(|r| r.max_in_backoff(BACKOFF)).max().unwrap()
}

/// Guards against a gateway that keeps sending to a replica that has requested a backoff.
#[test]
fn a_requested_backoff_is_observed() {
    let harness = Harness::new(4, SERVICE_TIME);
    harness.send(60);
    harness.replicas[0].refuse(Some(Refusal::retry_after("3")));
    sleep(OBSERVATION);
    let max = max_in_backoff(&harness);
    assert!(
        max <= ALLOWED,
        "{max} requests from one gateway during a backoff, {ALLOWED} are allowed"
    );
}

/// Guards against a backoff that is ignored because the 503 response has no `X-Not-Run` header.
#[test]
fn a_backoff_applies_without_the_not_run_header() {
    let harness = Harness::new(4, SERVICE_TIME);
    harness.send(60);
    let refusal = Refusal { not_run: false, ..Refusal::retry_after("3") };
    harness.replicas[0].refuse(Some(refusal));
    sleep(OBSERVATION);
    let max = max_in_backoff(&harness);
    assert!(
        max <= ALLOWED,
        "{max} requests from one gateway during a backoff, {ALLOWED} are allowed"
    );
}

/// Guards against refusals while other replicas have capacity. Some replicas refuse all requests, and a gateway is
/// killed.
#[test]
fn other_replicas_serve_requests_during_a_backoff() {
    let mut harness = Harness::new(4, SERVICE_TIME);
    harness.send(60);
    // The retry budget is a share of earlier requests.
    sleep(OBSERVATION / 2);
    harness.replicas[..2].iter().for_each(|r| r.refuse(Some(Refusal::retry_after("3"))));
    sleep(OBSERVATION / 2);
    let before = harness.callers.outcomes();
    assert_eq!(before.served, before.sent, "{:?}", before.distinct_codes());
    harness.extra_gateways[0].process.kill();
    sleep(OBSERVATION / 2);
    let max = max_in_backoff(&harness);
    assert!(
        max <= ALLOWED,
        "{max} requests from one gateway during a backoff, {ALLOWED} are allowed"
    );
    let outcomes = harness.callers.outcomes();
    // Callers of the killed gateway get no connection.
    assert_eq!(outcomes.distinct_codes(), HashSet::from([""]), "{outcomes:?}");
}

/// Guards against callers that wait, or get no usable retry time, when all replicas have requested a backoff.
#[test]
fn requests_are_refused_with_a_retry_time_when_all_replicas_back_off() {
    let harness = Harness::new(4, SERVICE_TIME);
    harness.send(60);
    sleep(OBSERVATION / 4);
    harness.replicas.iter().for_each(|r| r.refuse(Some(Refusal::retry_after("3"))));
    // Give each gateway time to receive a refusal from every replica.
    sleep(OBSERVATION / 4);
    let started = Instant::now();
    let (status, answer) =
        exchange(harness.fleet.listen, "GET", "/board/x", CALLER_HEADERS, "").unwrap();
    let took = started.elapsed();
    assert_eq!(
        (status, answer["error"]["code"].as_str()),
        (503, Some(ALL_BACKING_OFF)),
        "{answer}"
    );
    let after = answer["error"]["retry_after_ms"].as_u64().unwrap();
    assert!((1..=6_000).contains(&after), "{after} ms");
    assert!(took < REFUSED_WITHIN, "{took:?}");
    harness.replicas.iter().for_each(|r| r.refuse(None));
    sleep(OBSERVATION);
    let max = max_in_backoff(&harness);
    assert!(
        max <= ALLOWED,
        "{max} requests from one gateway during a backoff, {ALLOWED} are allowed"
    );
    let gateway = harness.fleet.listen;
    let served =
        || exchange(gateway, "GET", "/board/x", CALLER_HEADERS, "").is_some_and(|a| a.0 == 200);
    assert!(served(), "requests are served again after the backoffs");
}

/// Guards against requests during a backoff when replicas are full and refuse only the excess.
#[test]
fn full_replicas_receive_no_requests_during_their_backoff() {
    let harness = Harness::new(4, Duration::from_millis(400));
    harness.replicas.iter().for_each(|r| r.state.max_concurrent.store(3, Ordering::Relaxed));
    harness.send(46);
    sleep(OBSERVATION);
    let max = max_in_backoff(&harness);
    assert!(
        max <= ALLOWED,
        "{max} requests from one gateway during a backoff, {ALLOWED} are allowed"
    );
    let (arrived, refused) = harness
        .replicas
        .iter()
        .map(RefusingReplica::counts)
        .fold((0, 0), |(arrived, refused), (a, r)| (arrived + a, refused + r));
    assert!(refused > 0 && arrived > refused, "{refused} of {arrived} refused");
}

/// Guards against a resend on a new connection to a replica that has requested a backoff in the meantime.
#[test]
fn a_request_is_not_resent_during_a_backoff() {
    let harness = Harness::new(4, SERVICE_TIME);
    harness.replicas.iter().for_each(|r| r.state.closes_connections.store(true, Ordering::Relaxed));
    harness.send(60);
    sleep(OBSERVATION / 4);
    harness.replicas[0].refuse(Some(Refusal::retry_after("3")));
    sleep(OBSERVATION);
    let max = max_in_backoff(&harness);
    assert!(
        max <= ALLOWED,
        "{max} requests from one gateway during a backoff, {ALLOWED} are allowed"
    );
}

/// Guards against an invalid `Retry-After` that takes effect or floods the log.
#[rstest]
#[case::text("soon")]
#[case::negative("-3")]
#[case::exponent("1e999")]
fn an_invalid_retry_after_is_ignored(#[case] text: &str) {
    let harness = Harness::new(2, SERVICE_TIME);
    harness.replicas[0].refuse(Some(Refusal::retry_after(text)));
    harness.send(60);
    sleep(OBSERVATION / 2);
    let (arrived, _) = harness.replicas[0].counts();
    assert!(arrived > 10, "{arrived} requests");
    let lines = read_log(harness.fleet.dir.path(), "gateway-0");
    assert_eq!(lines.lines().filter(|l| l.contains(" CFE442 ")).count(), 1);
}

/// Guards against a `Retry-After` date that is compared with the gateway's clock instead of the `Date` header.
#[test]
fn a_backoff_until_a_date_is_observed() {
    let harness = Harness::new(2, SERVICE_TIME);
    harness.send(60);
    let dates = "Sun, 06 Nov 1994 08:49:40 GMT\r\nDate: Sun, 06 Nov 1994 08:49:37 GMT";
    harness.replicas[0].refuse(Some(Refusal::retry_after(dates)));
    sleep(OBSERVATION);
    let max = max_in_backoff(&harness);
    assert!(
        max <= ALLOWED,
        "{max} requests from one gateway during a backoff, {ALLOWED} are allowed"
    );
    assert!(harness.replicas[0].counts().1 > 0);
}
