//! Batching of reads and commits at a leader with 300 routers, each of which sends a watch and a report of
//! its spending once a second, spread evenly.

mod support;

use cypressfork_core::command::Command;
use cypressfork_core::query::{NO_SITES, Query};
use cypressfork_core::unit::{HolderId, Millis, Version};
use cypressfork_wire::{Ask, body};
use support::world::World;

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

fn holders(w: &World) -> Vec<HolderId> {
    let leader = w.leader().unwrap();
    w.machine(leader).state().routers().iter().map(|r| r.holder).collect()
}

/// Three members and 300 registered routers.
fn registered() -> World {
    let mut w = World::new(3, 1);
    for n in 0..ROUTERS {
        w.send_router_request(register(n));
    }
    w.until(2_000, |w| holders(w).len() as u64 == ROUTERS);
    w.run(2_000);
    w
}

/// Returns the number of messages between members in 3 s, while every router sends a request each second.
fn count_messages(w: &mut World, ask: impl Fn(HolderId, u64) -> Ask) -> u64 {
    let all = holders(w);
    let before = w.sent;
    for round in 0..300_u64 {
        for n in 0..ROUTERS / 100 {
            let at = (round * (ROUTERS / 100) + n) as usize % all.len();
            w.send_router_request(ask(all[at], round + 1));
        }
        w.run(10);
    }
    w.sent - before
}

/// 300 watches a second share 20 reads of 4 messages each, besides 40 heartbeats a second.
#[test]
fn standing_questions_share_reads() {
    let mut w = registered();
    let before = w.answered;
    let sent = count_messages(&mut w, |holder, _| watch(holder));
    assert!(sent < 3 * (40 + 20 * 4 + 20), "{sent}");
    w.run(2_000);
    assert!(w.answered - before > 800, "{}", w.answered - before);
}

/// 300 reports a second share 25 commits, and each is answered within the batching delay.
#[test]
fn reports_share_commits() {
    let mut w = registered();
    let before = w.answered;
    let sent = count_messages(&mut w, report);
    assert!(sent < 3 * (40 + 25 * 6 + 30), "{sent}");
    w.run(200);
    assert_eq!(w.answered - before, 900);
}

/// With few routers a report is proposed at once.
#[test]
fn a_report_in_a_small_fleet_is_not_batched() {
    let mut w = World::new(3, 1);
    w.send_router_request(register(1));
    w.until(1_000, |w| holders(w).len() == 1);
    w.run(500);
    let before = w.answered;
    let holder = holders(&w)[0];
    w.send_router_request(report(holder, 1));
    w.run(80);
    assert_eq!(w.answered - before, 1);
}

/// Batched reports are answered when their leader is lost, so that routers resend them to the next one.
#[test]
fn batched_reports_are_answered_when_their_leader_is_lost() {
    let mut w = registered();
    let old = w.leader().unwrap();
    let holder = holders(&w)[0];
    w.send_router_request(report(holder, 1));
    for other in (1..=3).filter(|n| *n != old) {
        w.cut.insert((old, other));
        w.cut.insert((other, old));
    }
    w.until(4_000, |w| w.leader().is_some_and(|l| l != old));
    w.cut.clear();
    w.send_router_request(report(holder, 1));
    w.run(200);
    w.heal_and_check();
}
