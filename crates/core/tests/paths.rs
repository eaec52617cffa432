//! Tests the choice between a direct connection to a replica and one that another router relays.

#![allow(missing_docs)]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cypressfork_core::fleet::relay::{Relays, may_relay};
use cypressfork_core::route::path::{OpenPlan, Paths};
use cypressfork_core::unit::{Millis, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n))
}

fn relay_delay(plan: OpenPlan) -> Option<Millis> {
    match plan {
        OpenPlan::Direct { relay_after } => Some(relay_after),
        OpenPlan::Relayed => None,
    }
}

#[test]
fn a_path_is_direct_until_it_fails() {
    let mut paths = Paths::default();
    let plan = paths.plan(Time(0), address(1));
    assert!(relay_delay(plan) >= Some(Millis(50)), "{plan:?}");
    assert!(paths.may_reuse(Time(0), address(1)));
}

/// Guards against requests that each wait for a lost path: only one connection at a time tries it again.
#[test]
fn a_lost_path_is_tried_by_one_connection_at_a_time() {
    let mut paths = Paths::default();
    assert!(paths.record_lost(Time(100), Time(0), address(1)));
    assert!(!paths.record_lost(Time(110), Time(10), address(1)), "it is known to be lost");
    let plans: Vec<_> = (0..100).map(|n| paths.plan(Time(110 + n * 100), address(1))).collect();
    let direct = plans.iter().filter(|p| **p != OpenPlan::Relayed).count();
    assert!((4..=10).contains(&direct), "{direct} of 100 connections in 10 s");
}

/// Guards against requests on connections that fell silent in a partition that other paths have shown.
#[test]
fn a_lost_path_casts_doubt_on_idle_connections_to_other_replicas() {
    let mut paths = Paths::default();
    paths.record_opened(Time(0), address(2));
    paths.record_opened(Time(0), address(3));
    paths.record_lost(Time(2_000), Time(1_000), address(1));
    assert!(!paths.may_reuse(Time(2_000), address(2)));
    assert!(relay_delay(paths.plan(Time(2_000), address(2))) < Some(Millis(50)));
    paths.record_response(Time(2_000), "talk", address(3));
    assert!(paths.may_reuse(Time(2_001), address(3)), "it has responded since");
    assert!(!paths.may_reuse(Time(2_001), address(2)));
}

/// Guards against kept connections that are given up although they work, because no new ones can be opened.
#[test]
fn open_connections_of_a_lost_path_are_used_while_they_work() {
    let mut paths = Paths::default();
    paths.record_lost(Time(2_000), Time(1_000), address(1));
    assert!(!paths.may_reuse(Time(2_000), address(1)));
    paths.record_response(Time(2_100), "talk", address(1));
    assert!(paths.may_reuse(Time(2_101), address(1)));
    assert!(
        paths.is_lost(address(1)),
        "a response on an open connection does not restore the path"
    );
}

#[test]
fn the_first_restored_path_makes_the_others_be_tried_at_once() {
    let mut paths = Paths::default();
    for n in 1..=3 {
        paths.record_lost(Time(0), Time(0), address(n));
        while paths.plan(Time(30_000), address(n)) != OpenPlan::Relayed {}
    }
    assert_eq!(paths.record_opened(Time(30_000), address(1)), Some(Millis(30_000)));
    assert!(relay_delay(paths.plan(Time(30_000), address(2))).is_some());
    assert!(relay_delay(paths.plan(Time(30_000), address(3))).is_some());
    assert_eq!(paths.plan(Time(30_000), address(3)), OpenPlan::Relayed);
    assert_eq!(paths.lost().count(), 2);
}

/// Guards against a check of each slow replica: while others of the service respond, the network works.
#[test]
fn a_slow_replica_is_checked_only_if_the_whole_service_is_silent() {
    let mut paths = Paths::default();
    paths.record_response(Time(1_000), "talk", address(1));
    assert!(!paths.begin_check("talk", Time(900)));
    assert!(paths.begin_check("talk", Time(1_100)));
    assert!(!paths.begin_check("talk", Time(1_200)), "one check at a time");
    assert!(paths.begin_check("board", Time(1_100)), "services are checked separately");
    paths.end_check("talk");
    assert!(paths.begin_check("talk", Time(1_200)));
}

#[test]
fn doubt_ends_without_further_failures() {
    let mut paths = Paths::default();
    paths.record_silence(Time(1_000));
    assert!(!paths.may_reuse(Time(1_001), address(1)));
    assert!(paths.may_reuse(Time(60_000), address(1)));
}

#[test]
fn a_removed_replica_leaves_nothing_behind() {
    let mut paths = Paths::default();
    paths.record_lost(Time(0), Time(0), address(1));
    paths.remove(address(1));
    assert!(!paths.is_lost(address(1)));
}

/// Guards against relays of a partitioned data centre that are asked over and over: those that failed are left out,
/// and those that worked come first.
#[rstest]
#[case(7)]
#[case(64)]
#[case(984)]
fn relays_that_work_are_found_and_kept(#[case] routers: u16) {
    let mut rng = SmallRng::seed_from_u64(61);
    let cut = |a: &SocketAddr| a.port().is_multiple_of(3);
    let all: Vec<_> = (1..routers).map(address).collect();
    let (near, far) = all.split_at(all.len() / 3);
    let mut relays = Relays::default();
    let (mut asked, mut failed) = (0, 0);
    let mut shares: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for n in 0..1_000_u64 {
        let now = Time(n * 10);
        for relay in relays.candidates(now, "talk", (near, far), 3, &mut rng) {
            asked += 1;
            if cut(&relay) {
                failed += 1;
                relays.record_failed(now, "talk", relay);
                continue;
            }
            relays.record_worked(now, "talk", relay);
            *shares.entry(relay).or_default() += 1;
            break;
        }
    }
    assert_eq!(shares.values().sum::<usize>(), 1_000, "each connection finds a relay");
    assert!(failed * 10 <= asked, "{failed} of {asked} asked relays reach nothing");
    let most = shares.values().max().unwrap();
    assert!(*most <= 700, "one relay opens {most} of 1,000 connections: {shares:?}");
}

/// Guards against routers that relay so much that their own callers suffer.
#[test]
fn a_relay_keeps_most_of_its_capacity_for_its_own_callers() {
    assert!(may_relay(0, 24, 100));
    assert!(!may_relay(0, 25, 100));
    assert!(!may_relay(99, 1, 100));
}
