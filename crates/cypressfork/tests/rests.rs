//! Replicas that turn a request away with 503 and `Retry-After`: they want nothing from that gateway for so
//! long. Over real processes on loopback.

#![allow(missing_docs)]

mod support;

use std::collections::HashSet;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::gateways::*;
use support::resting::*;

/// How long a request runs.
const RUN: Duration = Duration::from_millis(10);

/// The rest that replicas ask for.
const REST: Duration = Duration::from_secs(3);

/// Requests of one gateway that may reach a replica in a rest, by the users' pages.
const ALLOWED: usize = 2;

/// Code of a refusal for rests.
const RESTING: &str = "CF1312";

/// How soon a request that nobody takes is refused.
const AT_ONCE: Duration = Duration::from_millis(50);

/// How long it is watched.
const WATCHED: Duration = Duration::from_secs(7);

/// The most requests of one gateway that any replica got in a rest.
fn most_in_a_rest(world: &World) -> usize {
    world.replicas.iter().map(|r| r.most_in_a_rest(REST)).max().unwrap()
}

/// Guards against a gateway that goes on sending to a replica that has asked it for rest.
#[test]
fn a_replica_that_asks_for_rest_is_left_alone() {
    let world = World::new(4, RUN);
    world.send(60);
    world.replicas[0].refuse(Some(Refusing::after("3")));
    sleep(WATCHED);
    let most = most_in_a_rest(&world);
    assert!(most <= ALLOWED, "{most} requests of one gateway in a rest, {ALLOWED} are allowed");
}

/// Guards against the same where the 503 does not say that the request was not run.
#[test]
fn a_rest_counts_without_the_word_that_the_request_was_not_run() {
    let world = World::new(4, RUN);
    world.send(60);
    let silent = Refusing { not_run: false, ..Refusing::after("3") };
    world.replicas[0].refuse(Some(silent));
    sleep(WATCHED);
    let most = most_in_a_rest(&world);
    assert!(most <= ALLOWED, "{most} requests of one gateway in a rest, {ALLOWED} are allowed");
}

/// Guards against refusals while others have room: half of the replicas turn all requests away, a gateway
/// is killed meanwhile.
#[test]
fn others_with_room_get_the_work() {
    let mut world = World::new(4, RUN);
    world.send(60);
    // Further tries are a part of the requests that came before.
    sleep(WATCHED / 2);
    world.replicas[..2].iter().for_each(|r| r.refuse(Some(Refusing::after("3"))));
    sleep(WATCHED / 2);
    let before = world.callers.got();
    assert_eq!(before.served, before.sent, "{:?}", before.kinds());
    world.neighbours[0].process.kill();
    sleep(WATCHED / 2);
    let most = most_in_a_rest(&world);
    assert!(most <= ALLOWED, "{most} requests of one gateway in a rest, {ALLOWED} are allowed");
    let got = world.callers.got();
    // Callers that come to the gateway that is gone have no connection.
    assert_eq!(got.kinds(), HashSet::from([""]), "{got:?}");
}

/// Guards against callers that wait, or come back too soon, where all replicas ask for rest.
#[test]
fn where_all_rest_callers_are_refused_at_once_and_told_when_to_come_back() {
    let world = World::new(4, RUN);
    world.send(60);
    sleep(WATCHED / 4);
    world.replicas.iter().for_each(|r| r.refuse(Some(Refusing::after("3"))));
    // Each gateway has heard of all of them.
    sleep(WATCHED / 4);
    let begun = Instant::now();
    let (status, answer) = exchange(world.fleet.front, "GET", "/board/x", CALLER, "").unwrap();
    let took = begun.elapsed();
    assert_eq!((status, answer["error"]["code"].as_str()), (503, Some(RESTING)), "{answer}");
    let after = answer["error"]["retry_after_ms"].as_u64().unwrap();
    assert!((1..=6_000).contains(&after), "{after} ms");
    assert!(took < AT_ONCE, "{took:?}");
    world.replicas.iter().for_each(|r| r.refuse(None));
    sleep(WATCHED);
    let most = most_in_a_rest(&world);
    assert!(most <= ALLOWED, "{most} requests of one gateway in a rest, {ALLOWED} are allowed");
    let front = world.fleet.front;
    let served = || exchange(front, "GET", "/board/x", CALLER, "").is_some_and(|a| a.0 == 200);
    assert!(served(), "it serves again once the rests are over");
}

/// Guards against broken rests where replicas are full indeed, and turn away only what is beyond.
#[test]
fn replicas_that_are_full_are_left_alone_for_as_long_as_they_ask() {
    let world = World::new(4, Duration::from_millis(400));
    world.replicas.iter().for_each(|r| r.shared.places.store(3, Ordering::Relaxed));
    world.send(46);
    sleep(WATCHED);
    let most = most_in_a_rest(&world);
    assert!(most <= ALLOWED, "{most} requests of one gateway in a rest, {ALLOWED} are allowed");
    let (came, away) = world
        .replicas
        .iter()
        .map(RestingReplica::counts)
        .fold((0, 0), |(came, away), (c, a)| (came + c, away + a));
    assert!(away > 0 && came > away, "{away} of {came} turned away");
}

/// Guards against the second send, on a new connection, to a replica that has asked for rest meanwhile.
#[test]
fn a_request_is_not_sent_again_in_a_rest() {
    let world = World::new(4, RUN);
    world.replicas.iter().for_each(|r| r.shared.closes.store(true, Ordering::Relaxed));
    world.send(60);
    sleep(WATCHED / 4);
    world.replicas[0].refuse(Some(Refusing::after("3")));
    sleep(WATCHED);
    let most = most_in_a_rest(&world);
    assert!(most <= ALLOWED, "{most} requests of one gateway in a rest, {ALLOWED} are allowed");
}

/// What cannot be read changes nothing, and is logged once for each replica and gateway.
#[rstest]
#[case::text("soon")]
#[case::negative("-3")]
#[case::exponent("1e999")]
fn what_is_no_span_is_ignored(#[case] text: &str) {
    let world = World::new(2, RUN);
    world.replicas[0].refuse(Some(Refusing::after(text)));
    world.send(60);
    sleep(WATCHED / 2);
    let (came, _) = world.replicas[0].counts();
    assert!(came > 10, "{came} requests");
    let lines = log(world.fleet.dir.path(), "gateway-0");
    assert_eq!(lines.lines().filter(|l| l.contains(" CFE442 ")).count(), 1);
}

/// A date counts from the date of the answer, whatever the clocks of gateways show.
#[test]
fn a_rest_until_a_date_is_kept() {
    let world = World::new(2, RUN);
    world.send(60);
    let dates = "Sun, 06 Nov 1994 08:49:40 GMT\r\nDate: Sun, 06 Nov 1994 08:49:37 GMT";
    world.replicas[0].refuse(Some(Refusing::after(dates)));
    sleep(WATCHED);
    let most = most_in_a_rest(&world);
    assert!(most <= ALLOWED, "{most} requests of one gateway in a rest, {ALLOWED} are allowed");
    assert!(world.replicas[0].counts().1 > 0);
}
