//! Batching of reads and commits at a leader with 300 routers, each of which sends a watch and a report of
//! its spending once a second, spread evenly.

mod support;

use cypressfork_core::command::Command;
use cypressfork_core::query::{NO_SITES, Query};
use cypressfork_core::unit::{HolderId, Millis, Version};
use cypressfork_wire::{Ask, body};
use support::simulation::Simulation;

const ROUTERS: u64 = 300;

fn register(n: u64) -> Ask {
    let c = Command::Register {
        vm: format!("vm-{n}"),
        data_centre: "a".to_owned(),
        address: format!("10.1.0.{n}:80"),
        nonce: n,
        age: Millis(0),
        link: String::new(),
    };
    Ask::Command(body::pack(&c))
}

fn report(holder: HolderId, seq: u64) -> Ask {
    let (reports, bills, bounds) = (Vec::new(), Vec::new(), Vec::new());
    let c = Command::Tally { holder, reports, batch: 0, bills, seq, after: 0, bounds };
    Ask::Command(body::pack(&c))
}

fn watch(holder: HolderId) -> Ask {
    Ask::Query(body::pack(&Query::Follow { holder, version: Version::MAX, sites: NO_SITES }))
}

fn holders(sim: &Simulation) -> Vec<HolderId> {
    let leader = sim.leader().unwrap();
    sim.member(leader).state().routers().iter().map(|r| r.holder).collect()
}

/// Three members and 300 registered routers.
fn registered() -> Simulation {
    let mut sim = Simulation::new(3, 1);
    for n in 0..ROUTERS {
        sim.send_router_request(register(n));
    }
    sim.until(2_000, |sim| holders(sim).len() as u64 == ROUTERS);
    sim.run(2_000);
    sim
}

/// Returns the number of messages between members in 3 s, while every router sends a request each second.
fn count_messages(sim: &mut Simulation, ask: impl Fn(HolderId, u64) -> Ask) -> u64 {
    let all = holders(sim);
    let before = sim.sent;
    for round in 0..300_u64 {
        for n in 0..ROUTERS / 100 {
            let at = (round * (ROUTERS / 100) + n) as usize % all.len();
            sim.send_router_request(ask(all[at], round + 1));
        }
        sim.run(10);
    }
    sim.sent - before
}

/// 300 watches a second share 20 reads of 4 messages each, besides 40 heartbeats a second.
#[test]
fn watches_share_reads() {
    let mut sim = registered();
    let before = sim.answered;
    let sent = count_messages(&mut sim, |holder, _| watch(holder));
    assert!(sent < 3 * (40 + 20 * 4 + 20), "{sent}");
    sim.run(2_000);
    assert!(sim.answered - before > 800, "{}", sim.answered - before);
}

/// 300 reports a second share 25 commits, and each is answered within the batching delay.
#[test]
fn reports_share_commits() {
    let mut sim = registered();
    let before = sim.answered;
    let sent = count_messages(&mut sim, report);
    assert!(sent < 3 * (40 + 25 * 6 + 30), "{sent}");
    sim.run(200);
    assert_eq!(sim.answered - before, 900);
}

/// With few routers a report is proposed at once.
#[test]
fn a_report_in_a_small_fleet_is_not_batched() {
    let mut sim = Simulation::new(3, 1);
    sim.send_router_request(register(1));
    sim.until(1_000, |sim| holders(sim).len() == 1);
    sim.run(500);
    let before = sim.answered;
    let holder = holders(&sim)[0];
    sim.send_router_request(report(holder, 1));
    sim.run(80);
    assert_eq!(sim.answered - before, 1);
}

/// Batched reports are answered when their leader is lost, so that routers resend them to the next one.
#[test]
fn batched_reports_are_answered_when_their_leader_is_lost() {
    let mut sim = registered();
    let old = sim.leader().unwrap();
    let holder = holders(&sim)[0];
    sim.send_router_request(report(holder, 1));
    for other in (1..=3).filter(|n| *n != old) {
        sim.cut.insert((old, other));
        sim.cut.insert((other, old));
    }
    sim.until(4_000, |sim| sim.leader().is_some_and(|l| l != old));
    sim.cut.clear();
    sim.send_router_request(report(holder, 1));
    sim.run(200);
    sim.heal_and_check();
}
