//! Tests escrow between one ledger and its slice stores under message faults, pauses, restarts and
//! clock drift.

mod support;

use cypressfork_core::budget::Shortage;
use cypressfork_core::unit::{Millis, Time};
use rstest::rstest;
use support::escrow::{Escrow, MessageKind};

const TOTAL: u64 = 10_000;

/// Guards against overspending and stranded tokens when a message is lost.
#[rstest]
fn a_lost_message_strands_no_tokens(
    #[values(
        MessageKind::Request,
        MessageKind::RequestAnswer,
        MessageKind::Report,
        MessageKind::ReportAnswer
    )]
    kind: MessageKind,
    #[values(1, 3)] times: u32,
) {
    let mut e = Escrow::new(TOTAL, 2);
    e.drop_messages(kind, times);
    for n in 0..40 {
        e.spend(n % 2, 100, 90);
        e.exchange();
        e.advance(Millis(300));
        e.assert_invariants();
    }
    e.return_all();
    assert_eq!(e.ledger_spent(), e.consumed());
    assert_eq!(e.ledger_open(), 0, "tokens are stranded after all routers reported");
}

/// Guards against counting a duplicate or reordered message.
#[rstest]
fn a_doubled_or_late_message_changes_nothing(
    #[values(
        MessageKind::Request,
        MessageKind::RequestAnswer,
        MessageKind::Report,
        MessageKind::ReportAnswer
    )]
    kind: MessageKind,
) {
    let mut e = Escrow::new(TOTAL, 2);
    e.duplicate_messages(kind);
    for n in 0..40 {
        e.spend(n % 2, 100, 90);
        e.exchange();
        e.advance(Millis(300));
        e.replay_duplicates();
        e.assert_invariants();
    }
    e.return_all();
    assert_eq!(e.ledger_spent(), e.consumed());
    assert_eq!(e.ledger_open(), 0);
}

/// Guards against a second lease when a request is resent after its answer was lost.
#[test]
fn a_resent_request_gets_one_lease() {
    let mut e = Escrow::new(TOTAL, 1);
    e.drop_messages(MessageKind::RequestAnswer, 1);
    e.spend(0, 500, 500);
    e.exchange();
    let open = e.ledger_open();
    assert!(open > 0, "the grant is committed although its answer is lost");
    e.exchange();
    assert_eq!(e.ledger_open() + e.ledger_spent(), open, "the resend created another lease");
    assert_eq!(e.ledger_spent(), 500);
}

/// Guards against reusing a dead router's slice before it is released.
#[test]
fn a_killed_router_strands_at_most_its_slice_and_spends_no_more() {
    let mut e = Escrow::new(TOTAL, 3);
    for n in 0..3 {
        e.spend(n, 100, 100);
    }
    e.exchange();
    let held = e.held_by(1);
    e.kill(1);
    e.drain_others(1);
    assert!(e.consumed() <= TOTAL);
    assert!(e.ledger_spent() + held >= TOTAL - 200, "the others cannot spend the rest");
    e.advance(Millis::seconds(100_000));
    assert_eq!(e.stranded(), held, "expiry alone must not free it");
    let freed = e.release(1);
    assert_eq!(freed, held);
    e.drain_others(1);
    assert!(e.consumed() <= TOTAL);
}

/// Guards against a restarted router, which has another registration, spending or reporting on its
/// predecessor's lease.
#[test]
fn a_restarted_router_owns_nothing_of_its_predecessors() {
    let mut e = Escrow::new(TOTAL, 2);
    e.spend(0, 100, 100);
    e.exchange();
    let held = e.held_by(0);
    let old = e.restart(0);
    assert_eq!(e.idle(0), 0);
    assert!(!e.report_as(0, old), "a report on another holder's lease is refused");
    e.spend(0, 100, 100);
    e.exchange();
    e.return_all();
    e.assert_invariants();
    assert_eq!(e.ledger_open(), held);
}

/// Guards against new reservations on leases that ended while the router was paused; a running
/// request may still spend its reservation.
#[test]
fn a_router_paused_past_its_leases_end_spends_only_what_it_had_reserved() {
    let mut e = Escrow::new(TOTAL, 2);
    let open = e.reserve(0, 400).expect("fits");
    e.exchange();
    e.pause(0);
    e.advance(Millis::seconds(100_000));
    e.drain_others(0);
    e.assert_invariants();
    e.settle(0, open, 400);
    assert!(e.try_reserve(0, 1).is_none(), "its slices have ended");
    e.assert_invariants();
    e.resume(0);
    e.return_all();
    assert_eq!(e.ledger_spent(), e.consumed());
    assert_eq!(e.ledger_open(), 0);
}

/// Guards against a holder that starts requests on a lease that has ended at its grantor, with
/// clocks up to 10% fast or slow.
#[rstest]
fn a_lease_ends_at_its_holder_before_its_grantor(
    #[values(90, 100, 110)] holder: u64,
    #[values(90, 100, 110)] grantor: u64,
) {
    let mut e = Escrow::with_clocks(TOTAL, holder, grantor);
    e.spend(0, 100, 100);
    e.exchange();
    e.pause(0);
    for _ in 0..400 {
        e.advance(Millis::seconds(30));
        let starts = e.try_reserve(0, 1).is_some();
        assert!(
            !(starts && e.stranded() > 0),
            "a request started on an ended lease at {:?}",
            e.now()
        );
    }
}

/// Guards against spending on a grant of a deposed leader, which has no quorum to commit it.
#[test]
fn an_uncommitted_grant_is_no_grant() {
    let mut e = Escrow::new(TOTAL, 1);
    let copy = e.ledger_copy();
    e.request_lease_from(copy, 0, 5_000);
    assert_eq!(e.idle(0), 0);
    assert_eq!(e.ledger_open(), 0);
}

/// Guards against a report that uses or keeps more tokens than were granted, or keeps fewer than it
/// used.
#[rstest]
#[case::used_above_keep(700, 600, 600)]
#[case::keep_above_grant(10, 1_000_000, 10)]
#[case::keep_below_used(600, 0, 600)]
fn an_out_of_range_report_is_clamped(#[case] used: u64, #[case] keep: u64, #[case] spent: u64) {
    let mut e = Escrow::new(TOTAL, 1);
    let lease = e.grant_exactly(0, 600);
    e.report(0, lease, used, keep);
    assert_eq!(e.ledger_spent(), spent);
    assert!(e.is_consistent());
}

/// Guards against refusing a request of 900 tokens while 8 routers hold 1,000 idle ones.
#[test]
fn idle_tokens_are_recalled_before_a_refusal() {
    let mut e = Escrow::new(1_000, 8);
    for n in 0..8 {
        e.lease_exactly(n, 125);
    }
    assert_eq!(e.ledger_free(), 0);
    let (_, waited) = e.reserve_with_recalls(3, 900, Millis(1_000)).expect("idle tokens suffice");
    assert!(waited <= Millis(100), "the recall took {waited:?}");
    e.assert_invariants();
}

/// Guards against a final refusal while running requests may return enough tokens.
#[test]
fn a_request_is_refused_only_if_reachable_tokens_are_too_few() {
    let mut e = Escrow::new(1_000, 4);
    for n in 0..4 {
        e.lease_exactly(n, 250);
    }
    let running = e.reserve(0, 200).expect("fits its slice");
    let timeout = Millis(3_000);
    let waiting = e.reserve_with_recalls(1, 900, timeout).map(|_| ());
    assert_eq!(waiting, Err(Shortage::Busy(Millis(250))), "a running request may return tokens");
    e.settle(0, running, 0);
    e.exchange();
    assert!(
        e.reserve_with_recalls(1, 900, timeout).is_ok(),
        "the unspent reservation is available again"
    );
    let mut e = Escrow::new(1_000, 4);
    e.spend(0, 200, 200);
    e.exchange();
    assert_eq!(e.reserve_with_recalls(1, 900, timeout).map(|_| ()), Err(Shortage::Spent));
}

/// Guards against waiting until the caller's deadline for a recall that a dead router cannot answer.
#[test]
fn a_holder_that_does_not_answer_is_not_waited_for() {
    let mut e = Escrow::new(1_000, 2);
    e.lease_exactly(0, 600);
    e.kill(0);
    let start = e.now();
    let refused = e.reserve_with_recalls(1, 900, Millis::seconds(60)).map(|_| ());
    assert_eq!(refused, Err(Shortage::Away(Millis(10_000))));
    assert!(e.now().since(start) <= Millis(1_100), "{:?}", e.now().since(start));
    assert!(e.reserve_with_recalls(1, 400, Millis(1_000)).is_ok(), "free tokens are still granted");
}

/// Guards against a large request that blocks small ones for longer than the recall timeout.
#[test]
fn a_recall_blocks_other_requests_for_a_limited_time() {
    let mut e = Escrow::new(1_000, 3);
    e.lease_exactly(0, 600);
    let running = e.reserve(0, 600).expect("fits its slice");
    assert!(e.reserve_with_recalls(1, 900, Millis(500)).is_err());
    assert_eq!(
        e.request_lease(2, 100),
        Err(Shortage::Busy(Millis(50))),
        "the recall blocks other requests"
    );
    assert!(e.reserve_with_recalls(1, 900, Millis(2_000)).is_err());
    assert!(e.request_lease(2, 100).is_ok());
    e.settle(0, running, 600);
    e.assert_invariants();
}

/// Guards against a request that exceeds all open tokens waiting for another request's recall
/// instead of being refused at once.
#[test]
fn a_request_above_all_open_tokens_does_not_wait_for_a_recall() {
    let mut e = Escrow::new(1_000, 3);
    e.lease_exactly(0, 600);
    e.reserve(0, 600).expect("fits its slice");
    assert_eq!(e.request_lease(1, 900), Err(Shortage::Busy(Millis(50))), "the recall starts");
    assert_eq!(e.request_lease(2, 1_001), Err(Shortage::Spent));
}

/// Guards against a recall that still blocks other requests after its own request was refused.
#[test]
fn a_recall_ends_when_its_request_is_refused() {
    let mut e = Escrow::new(1_000, 3);
    e.lease_exactly(0, 600);
    let running = e.reserve(0, 600).expect("fits its slice");
    assert_eq!(e.request_lease(1, 900), Err(Shortage::Busy(Millis(50))), "the recall starts");
    e.settle(0, running, 600);
    e.report_all(0);
    assert_eq!(e.request_lease(1, 900), Err(Shortage::Spent));
    assert!(e.request_lease(2, 100).is_ok(), "free tokens are granted at once");
    e.assert_invariants();
}

/// Guards against a refusal that outlasts a top-up.
#[test]
fn a_request_after_a_top_up_is_granted() {
    let mut e = Escrow::new(100, 1);
    let timeout = Millis(1_000);
    assert_eq!(e.reserve_with_recalls(0, 500, timeout).map(|_| ()), Err(Shortage::Spent));
    e.fund(1_000);
    assert!(e.reserve_with_recalls(0, 500, timeout).is_ok());
}

/// Guards against granting from a budget that was cut below its open leases.
#[test]
fn a_budget_cut_below_its_leases_grants_nothing_and_recalls_idle_tokens() {
    let mut e = Escrow::new(TOTAL, 4);
    for n in 0..4 {
        e.lease_exactly(n, 2_000);
    }
    e.spend(0, 500, 500);
    e.fund(1_000);
    assert!(e.request_lease(1, 100).is_err(), "nothing is free");
    e.exchange();
    assert!(e.ledger_open() == 0, "idle tokens are not returned: {}", e.ledger_open());
    assert_eq!(e.ledger_free(), 500);
    e.drain_others(9);
    assert!(e.consumed() <= 1_000);
}

/// Guards against one router holding most of a nearly spent budget.
#[test]
fn slice_size_shrinks_with_the_free_tokens() {
    let mut e = Escrow::new(64_000, 8);
    let mut last = u64::MAX;
    for budget in [4_000, 1_000, 400] {
        e = Escrow::new(budget, 8);
        for n in 0..8 {
            e.lease_exactly(n, 10);
        }
        let got = e.request_lease(0, 10).map(|g| g.amount).unwrap();
        assert!(got < last, "{got} of {budget}");
        assert!(got <= budget / 8, "{got} of {budget}");
        last = got;
    }
    e.assert_invariants();
}

/// Guards against unused slices that stay leased.
#[test]
fn idle_slices_are_returned_when_unused() {
    let mut e = Escrow::new(TOTAL, 2);
    e.spend(0, 100, 100);
    e.exchange();
    assert!(e.ledger_open() > 0);
    for _ in 0..60 {
        e.advance(Millis::seconds(4));
        e.exchange();
    }
    assert_eq!(e.ledger_open(), 0);
    assert_eq!(e.ledger_spent(), 100);
    assert!(e.now() > Time(0));
}

/// Guards against an older report that arrives late and overwrites a newer one.
#[test]
fn an_older_report_changes_nothing_after_a_newer_one() {
    let mut e = Escrow::new(TOTAL, 1);
    let lease = e.grant_exactly(0, 600);
    e.report(0, lease, 60, 100);
    let (spent, open) = (e.ledger_spent(), e.ledger_open());
    e.report(0, lease, 20, 600);
    assert_eq!((e.ledger_spent(), e.ledger_open()), (spent, open));
    assert!(e.is_consistent());
    assert_eq!(
        e.ledger_free(),
        TOTAL - 100,
        "returned tokens may already be leased to another holder"
    );
}
