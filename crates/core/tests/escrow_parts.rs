//! Unit tests of the parts of escrow: slice stores, regional ledgers and reserves.

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

/// Returns a slice store with leases of the given request times and amounts.
fn slices(grants: &[(u64, u64)]) -> SliceStore {
    let mut store = SliceStore::new(policy(), 0);
    for (n, (at, amount)) in grants.iter().enumerate() {
        let request = store.next_request(Time(*at), HolderId(1), BUDGET, 1_000_000).unwrap();
        store.apply_decision(request.seq, &Ok(grant(n as u64 + 1, *amount)));
    }
    store
}

/// Guards against spending from an ended lease.
#[test]
fn a_reservation_takes_nothing_from_a_slice_that_has_ended() {
    let mut store = slices(&[(0, 100), (60_000, 100)]);
    let now = Time(90_000);
    assert_eq!(store.idle(now), 100, "an ended slice counts as idle");
    assert!(store.reserve(now, 101).is_none());
    let r = store.reserve(now, 100).unwrap();
    store.settle(now, r, 70);
    let used: Vec<_> = store.reports(now).iter().map(|r| (r.lease.index, r.used)).collect();
    assert_eq!(used, [(1, 0), (2, 70)]);
}

#[test]
fn a_reservation_may_span_slices_and_is_settled_in_their_order() {
    let mut store = slices(&[(0, 100), (0, 100)]);
    let r = store.reserve(Time(1), 150).unwrap();
    assert_eq!(store.settle(Time(1), r, 500), 150, "settled above the reservation");
    let used: Vec<_> = store.reports(Time(1)).iter().map(|r| r.used).collect();
    assert_eq!(used, [100, 50]);
}

/// Guards against losing spending that an acknowledged report did not include.
#[test]
fn spending_after_a_report_is_in_the_next_one() {
    let mut store = slices(&[(0, 100)]);
    let spend = |store: &mut SliceStore, n| {
        let r = store.reserve(Time(1), n).unwrap();
        store.settle(Time(1), r, n);
    };
    spend(&mut store, 10);
    let first = store.reports(Time(1));
    spend(&mut store, 20);
    store.acknowledge(Time(1), &first[0], true);
    assert_eq!(store.reports(Time(2))[0].used, 30);
    let second = store.reports(Time(2));
    store.acknowledge(Time(2), &second[0], true);
    assert!(store.reports(Time(3)).is_empty(), "unchanged figures are reported again");
}

/// Guards against a lease in use that ends because nobody renews it.
#[test]
fn a_slice_is_renewed_before_its_end() {
    let mut store = slices(&[(0, 100)]);
    let first = store.reports(Time(1));
    store.acknowledge(Time(1), &first[0], true);
    assert!(store.reports(Time(20_000)).is_empty());
    let renewal = store.reports(Time(30_000));
    store.acknowledge(Time(30_000), &renewal[0], true);
    assert_eq!(store.idle(Time(100_000)), 100, "not renewed: the first lease ends at 80,000");
    assert_eq!(store.idle(Time(111_000)), 0);
}

/// Guards against new reservations on a lease that the grantor has closed.
#[test]
fn a_slice_unknown_to_the_grantor_is_not_spent_further() {
    let mut store = slices(&[(0, 100)]);
    let running = store.reserve(Time(1), 40).unwrap();
    let reports = store.reports(Time(1));
    store.acknowledge(Time(1), &reports[0], false);
    assert_eq!(store.idle(Time(2)), 0);
    store.settle(Time(2), running, 40);
    let reports = store.reports(Time(2));
    store.acknowledge(Time(2), &reports[0], false);
    assert!(store.is_empty());
}

fn request(holder: u64, seq: u64, need: u64) -> LeaseRequest {
    LeaseRequest { holder: HolderId(holder), budget: BUDGET.into(), seq, need, want: need }
}

fn region(allotments: &[u64]) -> RegionLedger {
    let mut r = RegionLedger::default();
    for (n, amount) in allotments.iter().enumerate() {
        r.add_allotment(BUDGET, &grant(n as u64 + 1, *amount), policy());
    }
    r
}

/// Spends `n` tokens as a router of the region.
fn spend(r: &mut RegionLedger, index: u64, n: u64) {
    let g = r.request_lease(Time(1), lease(index), &request(index, 1, n)).unwrap().unwrap();
    let report = Report { lease: g.lease, used: n, keep: n, tight: true };
    assert!(r.apply_report(Time(1), HolderId(index), &report));
}

/// Guards against counting a duplicate grant.
#[test]
fn an_allotment_that_is_granted_twice_counts_once() {
    let mut r = region(&[100]);
    spend(&mut r, 50, 60);
    r.give_back(BUDGET, 40);
    assert_eq!(r.reports(BUDGET)[0].keep, 60);
    r.add_allotment(BUDGET, &grant(1, 100), policy());
    assert_eq!(r.reports(BUDGET)[0].keep, 60, "the duplicate grant restores returned tokens");
    assert_eq!(r.request_lease(Time(2), lease(51), &request(51, 1, 1)), Some(Err(Shortage::Spent)));
}

/// Guards against returning tokens that routers still hold.
#[test]
fn a_region_gives_back_only_what_is_neither_spent_nor_held() {
    let mut r = region(&[100, 100]);
    spend(&mut r, 50, 130);
    r.give_back(BUDGET, u64::MAX);
    let reported: Vec<_> = r.reports(BUDGET).iter().map(|r| (r.used, r.keep)).collect();
    assert_eq!(reported, [(100, 100), (30, 30)]);
    let mut r = region(&[100, 100]);
    r.request_lease(Time(1), lease(50), &request(50, 1, 130)).unwrap().unwrap();
    r.give_back(BUDGET, u64::MAX);
    let kept: u64 = r.reports(BUDGET).iter().map(|r| r.keep).sum();
    assert_eq!(kept, 130, "tokens held by a router are returned");
}

/// Guards against reporting a closed allotment twice.
#[test]
fn spending_fills_the_oldest_allotment_and_a_closed_one_is_reported_once() {
    let mut home = Ledger::default();
    home.fund(BUDGET, 1_000, policy());
    let mut r = RegionLedger::default();
    for seq in 1..=2 {
        let g = home.request_lease(Time(0), lease(seq), &request(9, seq, 100)).unwrap().unwrap();
        r.add_allotment(BUDGET, &g, policy());
    }
    spend(&mut r, 50, 130);
    for round in 0..2 {
        for report in r.reports(BUDGET) {
            let known = home.apply_report(Time(1), HolderId(9), &report);
            assert!(known, "round {round}");
            r.acknowledge(BUDGET, &report);
        }
        assert_eq!(home.get(BUDGET).unwrap().spent(), 130);
    }
    assert_eq!(r.reports(BUDGET).len(), 1, "the spent allotment is still reported");
    spend(&mut r, 51, 70);
    let last = r.reports(BUDGET)[0];
    assert_eq!((last.used, last.keep), (100, 100));
}

/// Guards against a reserve that runs empty or keeps more than its target.
#[test]
fn a_reserve_requests_tokens_when_low_and_returns_the_excess() {
    let mut reserve = ReserveLedger::default();
    let first = reserve.next_request(HolderId(3), BUDGET, 1_000).unwrap();
    assert_eq!((first.seq, first.need, first.want), (1, 0, 1_000));
    reserve.apply(
        Time(0),
        lease(1),
        &ReserveCommand::Granted(BUDGET.into(), grant(1, 900), policy()),
    );
    assert_eq!(
        reserve.next_request(HolderId(3), BUDGET, 1_000),
        None,
        "requests tokens although it has enough"
    );
    assert_eq!(reserve.excess(BUDGET, 500), 0);
    assert_eq!(reserve.excess(BUDGET, 100), 800);
    reserve.apply(Time(0), lease(2), &ReserveCommand::GiveBack(BUDGET.into(), 800));
    assert_eq!(reserve.reports(BUDGET)[0].keep, 100);
    let next = reserve.next_request(HolderId(3), BUDGET, 1_000).unwrap();
    assert_eq!((next.seq, next.want), (2, 900));
}

/// Guards against overspending a reserve.
#[test]
fn a_reserve_grants_no_more_than_it_has() {
    let mut reserve = ReserveLedger::default();
    reserve.apply(
        Time(0),
        lease(1),
        &ReserveCommand::Granted(BUDGET.into(), grant(1, 100), policy()),
    );
    let decide = |reserve: &mut ReserveLedger, n: u64, need| {
        reserve.apply(Time(1), lease(10 + n), &ReserveCommand::Ask(request(n, 1, need)))
    };
    assert!(matches!(decide(&mut reserve, 1, 60), ReserveAnswer::Decided(Ok(_))));
    assert!(matches!(decide(&mut reserve, 2, 60), ReserveAnswer::Decided(Err(_))));
    assert!(matches!(decide(&mut reserve, 3, 40), ReserveAnswer::Decided(Ok(_))));
    let other = LeaseRequest { budget: "other".into(), ..request(4, 1, 1) };
    let none = reserve.apply(Time(1), lease(20), &ReserveCommand::Ask(other));
    assert_eq!(none, ReserveAnswer::Decided(Err(Shortage::Spent)));
}
