//! Replicas that announce in their answers that they are leaving, while their heartbeats still report them
//! ready. Over real processes on loopback.

#![allow(missing_docs)]

mod support;

use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use support::gateways::*;
use support::refusing::*;
use support::wait_for;

/// Run time of a request.
const RUN_TIME: Duration = Duration::from_millis(10);

/// Documented time after the announcement within which a leaving replica may still get requests.
const DRAIN: Duration = Duration::from_secs(2);

/// Time over which arrivals are counted.
const OBSERVATION: Duration = Duration::from_secs(4);

/// Makes the replica announce in its answers that it is leaving.
fn leave(r: &RefusingReplica) {
    r.state.leaving.store(true, Ordering::Relaxed);
}

/// Counts the requests that arrived since `since`.
fn arrivals(r: &RefusingReplica, since: Instant) -> usize {
    r.arrivals_since(since).values().sum()
}

/// Guards against new work for a replica that announces only in its answers that it is leaving.
#[test]
fn a_replica_that_announces_leaving_in_an_answer_gets_no_new_work() {
    let harness = Harness::new(4, RUN_TIME);
    harness.send(60);
    sleep(DRAIN);
    leave(&harness.replicas[0]);
    sleep(DRAIN);
    let since = Instant::now();
    sleep(OBSERVATION);
    assert_eq!(
        arrivals(&harness.replicas[0], since),
        0,
        "requests later than 2 s after the announcement"
    );
    let outcomes = harness.callers.outcomes();
    assert_eq!(outcomes.served, outcomes.sent, "{:?}", outcomes.distinct_codes());
}

/// Guards against an announcement that is ignored because it is part of a rejection.
#[test]
fn a_rejection_can_announce_leaving() {
    let harness = Harness::new(2, RUN_TIME);
    harness.send(60);
    sleep(DRAIN);
    leave(&harness.replicas[0]);
    harness.replicas[0].refuse(Some(Refusal::retry_after("0")));
    sleep(DRAIN);
    let since = Instant::now();
    sleep(OBSERVATION);
    assert_eq!(arrivals(&harness.replicas[0], since), 0);
}

/// Guards against gateways that each learn of the leaving replica only from an answer of their own.
#[test]
fn an_announcement_reaches_all_gateways() {
    let harness = Harness::new(4, RUN_TIME);
    leave(&harness.replicas[0]);
    let gateway = harness.fleet.listen;
    let announced = || read_log(harness.fleet.dir.path(), "gateway-0").contains(" CFE443 ");
    wait_for("the announcement at one gateway", || {
        exchange(gateway, "GET", "/board/x", CALLER_HEADERS, "").is_some() && announced()
    });
    let lists_draining = |g: &ExtraGateway| {
        let lines = g.process.log();
        lines.lines().any(|l| l.contains("replica=b-0 ") && l.contains("standing=Draining"))
    };
    wait_for("the draining replica at all gateways", || {
        harness.extra_gateways.iter().all(lists_draining)
    });
    let since = Instant::now();
    harness.send(60);
    sleep(OBSERVATION);
    assert_eq!(arrivals(&harness.replicas[0], since), 0);
}

/// Guards against a leaving replica that counts as ready again after the control processes restart.
#[test]
fn leaving_survives_a_restart_of_all_control_processes() {
    let mut harness = Harness::new(3, RUN_TIME);
    harness.send(60);
    sleep(DRAIN);
    leave(&harness.replicas[0]);
    sleep(DRAIN);
    let since = Instant::now();
    for c in &mut harness.fleet.controls {
        c.process.as_mut().unwrap().kill();
    }
    (0..3).for_each(|n| harness.fleet.start_control(n, true));
    sleep(OBSERVATION);
    assert_eq!(arrivals(&harness.replicas[0], since), 0);
    // A gateway that starts now has to learn of it from other processes.
    let more = harness.fleet.start_extra_gateways_from(harness.extra_gateways.len(), 1);
    let gateway = more[0].listen;
    wait_for("an answer", || {
        exchange(gateway, "GET", "/board/x", CALLER_HEADERS, "").is_some_and(|a| a.0 == 200)
    });
    (0..40).for_each(|_| drop(exchange(gateway, "GET", "/board/x", CALLER_HEADERS, "")));
    assert_eq!(arrivals(&harness.replicas[0], since), 0);
}

/// Guards against callers that wait for a service whose replicas are all leaving.
#[test]
fn callers_are_refused_at_once_when_all_replicas_leave() {
    let harness = Harness::new(2, RUN_TIME);
    harness.replicas.iter().for_each(leave);
    harness.send(60);
    sleep(DRAIN);
    let start = Instant::now();
    let (status, answer) =
        exchange(harness.fleet.listen, "GET", "/board/x", CALLER_HEADERS, "").unwrap();
    let elapsed = start.elapsed();
    assert_eq!((status, answer["error"]["code"].as_str()), (503, Some("CF1303")), "{answer}");
    assert!(elapsed < Duration::from_millis(50), "{elapsed:?}");
}
