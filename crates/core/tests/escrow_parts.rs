//! The parts of the escrow one by one: a slice store's slices, a region's allotments, a reserve.

use cypressfork_core::budget::{
    Grant, LeaseRequest, Ledger, Policy, RegionLedger, Report, ReserveAnswer, ReserveCommand,
    ReserveLedger, Shortage, SliceStore,
};
use cypressfork_core::unit::{HolderId, LeaseId, Millis, Time};

const BUDGET: &str = "orders";

fn policy() -> Policy {
    Policy { offline: Millis::seconds(100), ..Policy::default() }
}

fn lease(index: u64) -> LeaseId {
    LeaseId { term: 1, index }
}

fn grant(index: u64, amount: u64) -> Grant {
    Grant { lease: lease(index), amount, span: policy().offline }
}

/// A slice store that was granted these amounts, each asked for at its time.
fn slices(grants: &[(u64, u64)]) -> SliceStore {
    let mut p = SliceStore::new(policy(), 0);
    for (n, (at, amount)) in grants.iter().enumerate() {
        let ask = p.next_request(Time(*at), HolderId(1), BUDGET, 1_000_000).unwrap();
        p.apply_decision(ask.seq, &Ok(grant(n as u64 + 1, *amount)));
    }
    p
}

#[test]
fn a_reservation_takes_nothing_from_a_slice_that_has_ended() {
    let mut p = slices(&[(0, 100), (60_000, 100)]);
    let now = Time(90_000);
    assert_eq!(p.idle(now), 100, "the first slice has ended");
    assert!(p.reserve(now, 101).is_none());
    let r = p.reserve(now, 100).unwrap();
    p.settle(now, r, 70);
    let used: Vec<_> = p.reports(now).iter().map(|r| (r.lease.index, r.used)).collect();
    assert_eq!(used, [(1, 0), (2, 70)]);
}

#[test]
fn a_reservation_may_span_slices_and_is_settled_in_their_order() {
    let mut p = slices(&[(0, 100), (0, 100)]);
    let r = p.reserve(Time(1), 150).unwrap();
    assert_eq!(p.settle(Time(1), r, 500), 150, "never above the reservation");
    let used: Vec<_> = p.reports(Time(1)).iter().map(|r| r.used).collect();
    assert_eq!(used, [100, 50]);
}

#[test]
fn what_was_spent_while_a_report_was_on_its_way_is_reported_next() {
    let mut p = slices(&[(0, 100)]);
    let spend = |p: &mut SliceStore, n| {
        let r = p.reserve(Time(1), n).unwrap();
        p.settle(Time(1), r, n);
    };
    spend(&mut p, 10);
    let first = p.reports(Time(1));
    spend(&mut p, 20);
    p.acknowledge(Time(1), &first[0], true);
    assert_eq!(p.reports(Time(2))[0].used, 30);
    let second = p.reports(Time(2));
    p.acknowledge(Time(2), &second[0], true);
    assert!(p.reports(Time(3)).is_empty(), "nothing new");
}

#[test]
fn a_slice_is_renewed_before_its_end() {
    let mut p = slices(&[(0, 100)]);
    let first = p.reports(Time(1));
    p.acknowledge(Time(1), &first[0], true);
    assert!(p.reports(Time(20_000)).is_empty());
    let renewal = p.reports(Time(30_000));
    p.acknowledge(Time(30_000), &renewal[0], true);
    assert_eq!(p.idle(Time(100_000)), 100, "it would have ended at 80,000");
    assert_eq!(p.idle(Time(111_000)), 0);
}

#[test]
fn a_slice_that_the_grantor_no_longer_has_is_not_spent_further() {
    let mut p = slices(&[(0, 100)]);
    let running = p.reserve(Time(1), 40).unwrap();
    let reports = p.reports(Time(1));
    p.acknowledge(Time(1), &reports[0], false);
    assert_eq!(p.idle(Time(2)), 0);
    p.settle(Time(2), running, 40);
    let reports = p.reports(Time(2));
    p.acknowledge(Time(2), &reports[0], false);
    assert!(p.is_empty());
}

fn ask(holder: u64, seq: u64, need: u64) -> LeaseRequest {
    LeaseRequest { holder: HolderId(holder), budget: BUDGET.into(), seq, need, want: need }
}

fn region(allotments: &[u64]) -> RegionLedger {
    let mut r = RegionLedger::default();
    for (n, amount) in allotments.iter().enumerate() {
        r.add_allotment(BUDGET, &grant(n as u64 + 1, *amount), policy());
    }
    r
}

/// Spends through a region as a router does.
fn spend(r: &mut RegionLedger, index: u64, n: u64) {
    let g = r.request_lease(Time(1), lease(index), &ask(index, 1, n)).unwrap().unwrap();
    let report = Report { lease: g.lease, used: n, keep: n, tight: true };
    assert!(r.report(Time(1), HolderId(index), &report));
}

#[test]
fn an_allotment_that_is_granted_twice_counts_once() {
    let mut r = region(&[100]);
    spend(&mut r, 50, 60);
    r.give_back(BUDGET, 40);
    assert_eq!(r.reports(BUDGET)[0].keep, 60);
    r.add_allotment(BUDGET, &grant(1, 100), policy());
    assert_eq!(r.reports(BUDGET)[0].keep, 60, "the copy brings nothing back");
    assert_eq!(r.request_lease(Time(2), lease(51), &ask(51, 1, 1)), Some(Err(Shortage::Spent)));
}

#[test]
fn a_region_gives_back_only_what_is_neither_spent_nor_held() {
    let mut r = region(&[100, 100]);
    spend(&mut r, 50, 130);
    r.give_back(BUDGET, u64::MAX);
    let told: Vec<_> = r.reports(BUDGET).iter().map(|r| (r.used, r.keep)).collect();
    assert_eq!(told, [(100, 100), (30, 30)]);
    let mut r = region(&[100, 100]);
    r.request_lease(Time(1), lease(50), &ask(50, 1, 130)).unwrap().unwrap();
    r.give_back(BUDGET, u64::MAX);
    let kept: u64 = r.reports(BUDGET).iter().map(|r| r.keep).sum();
    assert_eq!(kept, 130, "held by a router, though not spent");
}

#[test]
fn spending_fills_the_oldest_allotment_and_a_closed_one_is_told_once() {
    let mut home = Ledger::default();
    home.fund(BUDGET, 1_000, policy());
    let mut r = RegionLedger::default();
    for seq in 1..=2 {
        let g = home.request_lease(Time(0), lease(seq), &ask(9, seq, 100)).unwrap().unwrap();
        r.add_allotment(BUDGET, &g, policy());
    }
    spend(&mut r, 50, 130);
    for round in 0..2 {
        for report in r.reports(BUDGET) {
            let known = home.report(Time(1), HolderId(9), &report);
            assert!(known, "round {round}");
            r.acknowledge(BUDGET, &report);
        }
        assert_eq!(home.get(BUDGET).unwrap().spent(), 130);
    }
    assert_eq!(r.reports(BUDGET).len(), 1, "the full one is closed");
    spend(&mut r, 51, 70);
    let last = r.reports(BUDGET)[0];
    assert_eq!((last.used, last.keep), (100, 100));
}

#[test]
fn a_reserve_asks_when_low_and_gives_back_when_the_rest_shrinks() {
    let mut c = ReserveLedger::default();
    let first = c.next_request(HolderId(3), BUDGET, 1_000).unwrap();
    assert_eq!((first.seq, first.need, first.want), (1, 0, 1_000));
    c.apply(Time(0), lease(1), &ReserveCommand::Granted(BUDGET.into(), grant(1, 900), policy()));
    assert_eq!(c.next_request(HolderId(3), BUDGET, 1_000), None, "it has enough");
    assert_eq!(c.excess(BUDGET, 500), 0);
    assert_eq!(c.excess(BUDGET, 100), 800);
    c.apply(Time(0), lease(2), &ReserveCommand::GiveBack(BUDGET.into(), 800));
    assert_eq!(c.reports(BUDGET)[0].keep, 100);
    let next = c.next_request(HolderId(3), BUDGET, 1_000).unwrap();
    assert_eq!((next.seq, next.want), (2, 900));
}

#[test]
fn a_reserve_grants_no_more_than_it_has() {
    let mut c = ReserveLedger::default();
    c.apply(Time(0), lease(1), &ReserveCommand::Granted(BUDGET.into(), grant(1, 100), policy()));
    let decide = |c: &mut ReserveLedger, n: u64, need| {
        c.apply(Time(1), lease(10 + n), &ReserveCommand::Ask(ask(n, 1, need)))
    };
    assert!(matches!(decide(&mut c, 1, 60), ReserveAnswer::Decided(Ok(_))));
    assert!(matches!(decide(&mut c, 2, 60), ReserveAnswer::Decided(Err(_))));
    assert!(matches!(decide(&mut c, 3, 40), ReserveAnswer::Decided(Ok(_))));
    let other = LeaseRequest { budget: "other".into(), ..ask(4, 1, 1) };
    let none = c.apply(Time(1), lease(20), &ReserveCommand::Ask(other));
    assert_eq!(none, ReserveAnswer::Decided(Err(Shortage::Spent)));
}
