//! Replicas that say in their answers that they leave, while their heartbeats say that they are ready. Over
//! real processes on loopback.

#![allow(missing_docs)]

mod support;

use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use support::gateways::*;
use support::resting::*;
use support::until;

/// How long a request runs.
const RUN: Duration = Duration::from_millis(10);

/// So long after the word was passed on a replica may get requests, by the users' pages.
const DRAIN: Duration = Duration::from_secs(2);

/// How long it is watched.
const WATCHED: Duration = Duration::from_secs(4);

fn leave(r: &RestingReplica) {
    r.shared.leaving.store(true, Ordering::Relaxed);
}

fn came(r: &RestingReplica, since: Instant) -> usize {
    r.since(since).values().sum()
}

/// Guards against new work for a replica that says only in its answers that it leaves.
#[test]
fn a_replica_that_says_in_an_answer_that_it_leaves_gets_no_new_work() {
    let world = World::new(4, RUN);
    world.send(60);
    sleep(DRAIN);
    leave(&world.replicas[0]);
    sleep(DRAIN);
    let since = Instant::now();
    sleep(WATCHED);
    assert_eq!(came(&world.replicas[0], since), 0, "requests later than 2 s after it was told");
    let got = world.callers.got();
    assert_eq!(got.served, got.sent, "{:?}", got.kinds());
}

/// Guards against a word that is lost as it stands in a rejection.
#[test]
fn a_rejection_tells_as_well_that_its_replica_leaves() {
    let world = World::new(2, RUN);
    world.send(60);
    sleep(DRAIN);
    leave(&world.replicas[0]);
    world.replicas[0].refuse(Some(Refusing::after("0")));
    sleep(DRAIN);
    let since = Instant::now();
    sleep(WATCHED);
    assert_eq!(came(&world.replicas[0], since), 0);
}

/// Guards against gateways that find out for themselves, each by a request of a caller.
#[test]
fn all_gateways_hear_of_it() {
    let world = World::new(4, RUN);
    leave(&world.replicas[0]);
    let front = world.fleet.front;
    let heard = || log(world.fleet.dir.path(), "gateway-0").contains(" CFE443 ");
    until("one gateway has heard it", || {
        exchange(front, "GET", "/board/x", CALLER, "").is_some() && heard()
    });
    let knows = |g: &Neighbour| {
        let lines = g.process.log();
        lines.lines().any(|l| l.contains("replica=b-0 ") && l.contains("standing=Draining"))
    };
    until("all know", || world.neighbours.iter().all(knows));
    let since = Instant::now();
    world.send(60);
    sleep(WATCHED);
    assert_eq!(came(&world.replicas[0], since), 0);
}

/// Guards against a replica that is taken for ready again because control processes forgot that it leaves.
#[test]
fn it_leaves_for_good_though_all_control_processes_start_again() {
    let mut world = World::new(3, RUN);
    world.send(60);
    sleep(DRAIN);
    leave(&world.replicas[0]);
    sleep(DRAIN);
    let since = Instant::now();
    for c in &mut world.fleet.controls {
        c.process.as_mut().unwrap().kill();
    }
    (0..3).for_each(|n| world.fleet.start_control(n, true));
    sleep(WATCHED);
    assert_eq!(came(&world.replicas[0], since), 0);
    // A gateway that starts now is told by those that know.
    let more = world.fleet.start_neighbours_from(world.neighbours.len(), 1);
    let front = more[0].front;
    until("an answer", || {
        exchange(front, "GET", "/board/x", CALLER, "").is_some_and(|a| a.0 == 200)
    });
    (0..40).for_each(|_| drop(exchange(front, "GET", "/board/x", CALLER, "")));
    assert_eq!(came(&world.replicas[0], since), 0);
}

/// Guards against callers that wait for a service that has nobody left.
#[test]
fn where_all_leave_callers_are_refused_at_once() {
    let world = World::new(2, RUN);
    world.replicas.iter().for_each(leave);
    world.send(60);
    sleep(DRAIN);
    let begun = Instant::now();
    let (status, answer) = exchange(world.fleet.front, "GET", "/board/x", CALLER, "").unwrap();
    let took = begun.elapsed();
    assert_eq!((status, answer["error"]["code"].as_str()), (503, Some("CF1303")), "{answer}");
    assert!(took < Duration::from_millis(50), "{took:?}");
}
