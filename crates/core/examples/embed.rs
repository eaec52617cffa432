//! Uses parts of the library on their own: budget leases, claims, a replicated log with one member,
//! and routing.
//!
//! `cargo run -p cypressfork-core --example embed`

use std::sync::Arc;

use cypressfork_core::budget::{Ledger, Policy, SliceStore};
use cypressfork_core::claim::{ClaimDecision, ClaimEnd, Claims, Outcome};
use cypressfork_core::config::{Upstream, Vm};
use cypressfork_core::raft::{
    Action, Members, Payload, PersistentState, Raft, Settings, SnapshotMeta,
};
use cypressfork_core::route::{Pool, RequestProfile};
use cypressfork_core::unit::{HolderId, LeaseId, RequestId, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Leases a slice of a budget, spends from it and reports the use to the ledger.
fn escrow() {
    let (now, holder) = (Time(0), HolderId(1));
    let mut ledger = Ledger::default();
    ledger.fund("orders", 10_000, Policy::default());
    let mut slices = SliceStore::new(Policy::default(), 0);
    let request =
        slices.next_request(now, holder, "orders", 500).expect("the slice store is empty");
    let decision =
        ledger.request_lease(now, LeaseId { term: 1, index: 1 }, &request).expect("funded above");
    slices.apply_decision(request.seq, &decision);
    let reservation = slices.reserve(now, 500).expect("the slice covers the need");
    let charged = slices.settle(now, reservation, 420);
    for report in slices.reports(now) {
        let known = ledger.apply_report(now, holder, &report);
        slices.acknowledge(now, &report, known);
    }
    let spent = ledger.get("orders").map(|f| f.spent());
    println!("escrow: charged {charged}, the ledger knows of {spent:?}");
}

/// Claims a request id twice: the first claim may run, the duplicate gets the recorded outcome.
fn claims() {
    let (mut c, id, body) = (Claims::default(), RequestId([7; 16]), [0; 16]);
    let first = c.claim(Time(0), HolderId(1), 1, id, body);
    assert_eq!(first, ClaimDecision::Run);
    let outcome = Outcome { status: 200, kind: "text/plain".into(), body: Some(b"lot 4".to_vec()) };
    c.record_end(Time(1), HolderId(1), 1, id, ClaimEnd::Answered(outcome));
    println!("claims: a copy gets {:?}", c.claim(Time(2), HolderId(2), 1, id, body));
}

/// Commits a command to a log with a single member, as soon as the entry is stored.
fn log() {
    let members = Members::from_voters([(1, "127.0.0.1:7001".to_owned())]);
    let snapshot = SnapshotMeta { members, ..SnapshotMeta::default() };
    let restored = PersistentState { snapshot, ..PersistentState::default() };
    let mut raft = Raft::new(Time(0), 1, Settings::default(), restored, 1);
    raft.tick(Time(2_000));
    let index = raft.propose(Time(2_000), Payload::Command(Arc::from(&b"hello"[..])));
    let stored = raft.take_actions().iter().filter(|a| matches!(a, Action::Append(_))).count();
    raft.record_synced(Time(2_001), raft.log().last_index());
    println!("log: {stored} appends stored, {index:?} proposed, committed {}", raft.committed());
}

/// Chooses a replica for a request and records how it responded.
fn routing() {
    let upstream = |n: u8| Upstream {
        vm: Vm { name: format!("engine-{n}"), data_centre: "tamar-a".into() },
        address: ([10, 0, 0, n], 8000).into(),
        checks_orders: true,
    };
    let mut pool = Pool::default();
    pool.set_upstreams(Time(0), &[upstream(1), upstream(2)], 8);
    let mut rng = SmallRng::seed_from_u64(1);
    let choice = pool
        .choose(Time(0), "tamar-a", &RequestProfile::default(), &[], &mut rng)
        .expect("two upstreams were set");
    pool.record_first_event(Time(20), &choice, 20_000);
    pool.finish(Time(30), &choice, false);
    println!("routing: {}", choice.address);
}

fn main() {
    escrow();
    claims();
    log();
    routing();
}
