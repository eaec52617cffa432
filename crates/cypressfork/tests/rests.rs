//! Replicas that turn a request away with 503 and `Retry-After`: they want nothing from that gateway for so
//! long. Over real processes on loopback.

#![allow(missing_docs)]

mod support;

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use support::crashing::{Callers, two_routes};
use support::gateways::*;
use support::resting::*;
use support::until;

/// Replicas of the service.
const REPLICAS: usize = 6;

/// How long a request runs.
const RUN: Duration = Duration::from_millis(10);

/// The rest that replicas ask for.
const REST: Duration = Duration::from_secs(3);

/// Requests of one gateway that may reach a replica in a rest, by the users' pages.
const ALLOWED: usize = 2;

/// How long it is watched.
const WATCHED: Duration = Duration::from_secs(7);

struct World {
    // Callers and replicas end before the processes do.
    callers: Callers,
    replicas: Vec<RestingReplica>,
    _neighbours: Vec<Neighbour>,
    _fleet: Fleet,
}

impl Drop for World {
    fn drop(&mut self) {
        self.callers.over.store(true, Ordering::Relaxed);
        self.replicas.iter().for_each(|r| r.over.store(true, Ordering::Relaxed));
    }
}

impl World {
    /// A fleet of so many gateways that serves, without callers.
    fn new(gateways: usize, work: Duration) -> World {
        let mut fleet = Fleet::new(3);
        (0..3).for_each(|n| fleet.start_control(n, true));
        fleet.start_gateway();
        let neighbours = fleet.start_neighbours(gateways - 1);
        let first = two_routes(3).to_string();
        until("a document", || {
            matches!(fleet.call(0, "PUT", "/v1/document", &first), Some((200, _)))
        });
        let fronts: Vec<_> = neighbours.iter().map(|g| g.front).chain([fleet.front]).collect();
        let controls: Vec<_> = fleet.controls.iter().map(|c| c.api).collect();
        let replica = |n| RestingReplica::start(format!("b-{n}"), controls.clone(), gateways, work);
        let replicas: Vec<_> = (0..REPLICAS).map(replica).collect();
        for front in &fronts {
            until("an answer", || {
                exchange(*front, "GET", "/board/x", CALLER, "").is_some_and(|a| a.0 == 200)
            });
        }
        let callers = Callers::new(Arc::new(Mutex::new(fronts)));
        World { callers, replicas, _neighbours: neighbours, _fleet: fleet }
    }

    /// Requests of both routes, so many a second.
    fn send(&self, a_second: u32) {
        self.callers.send("sound", Duration::from_secs(1) / a_second, |n| match n % 5 {
            0 => ("POST", "/moves/x".to_owned(), format!("move {n}")),
            _ => ("GET", format!("/board/{n}"), String::new()),
        });
    }

    /// The most requests of one gateway that any replica got in a rest.
    fn most_in_a_rest(&self) -> usize {
        self.replicas.iter().map(|r| r.most_in_a_rest(REST)).max().unwrap()
    }
}

/// Guards against a gateway that goes on sending to a replica that has asked it for rest.
#[test]
fn a_replica_that_asks_for_rest_is_left_alone() {
    let world = World::new(4, RUN);
    world.send(60);
    world.replicas[0].refuse(Some(Refusing::after("3")));
    sleep(WATCHED);
    let most = world.most_in_a_rest();
    assert!(most <= ALLOWED, "{most} requests of one gateway in a rest, {ALLOWED} are allowed");
}
