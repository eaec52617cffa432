//! The escrow between one ledger and its slice stores, under every fault of their exchange.

mod support;

use cypressfork_core::budget::Shortage;
use cypressfork_core::unit::{Millis, Time};
use rstest::rstest;
use support::escrow::{Escrow, Step};

const TOTAL: u64 = 10_000;

/// A router asks, spends and reports, and one thing goes wrong at one step. Whatever it is, what
/// was consumed never exceeds the budget, and once the router is heard again the ledger knows
/// exactly what was consumed.
#[rstest]
fn a_lost_message_costs_nothing(
    #[values(Step::AskSent, Step::AskAnswered, Step::ReportSent, Step::ReportAnswered)] step: Step,
    #[values(1, 3)] times: u32,
) {
    let mut e = Escrow::new(TOTAL, 2);
    e.lose(step, times);
    for n in 0..40 {
        e.spend(n % 2, 100, 90);
        e.exchange();
        e.pass(Millis(300));
        e.check();
    }
    e.settle_all();
    assert_eq!(e.ledger_spent(), e.consumed());
    assert_eq!(e.ledger_open(), 0, "nothing is stranded once everybody was heard");
}

#[rstest]
fn a_doubled_or_late_message_changes_nothing(
    #[values(Step::AskSent, Step::AskAnswered, Step::ReportSent, Step::ReportAnswered)] step: Step,
) {
    let mut e = Escrow::new(TOTAL, 2);
    e.double(step);
    for n in 0..40 {
        e.spend(n % 2, 100, 90);
        e.exchange();
        e.pass(Millis(300));
        e.replay_doubled();
        e.check();
    }
    e.settle_all();
    assert_eq!(e.ledger_spent(), e.consumed());
    assert_eq!(e.ledger_open(), 0);
}

#[test]
fn a_grant_that_is_asked_for_again_is_one_lease() {
    let mut e = Escrow::new(TOTAL, 1);
    e.lose(Step::AskAnswered, 1);
    e.spend(0, 500, 500);
    e.exchange();
    let open = e.ledger_open();
    assert!(open > 0, "the grant was committed and its answer lost");
    e.exchange();
    assert_eq!(e.ledger_open() + e.ledger_spent(), open, "the resend found the same lease");
    assert_eq!(e.ledger_spent(), 500);
}

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
    assert!(e.ledger_spent() + held >= TOTAL - 200, "the rest was usable by the others");
    e.pass(Millis::seconds(100_000));
    assert_eq!(e.stranded(), held, "it counts as spent until somebody vouches for it");
    let freed = e.release(1);
    assert_eq!(freed, held);
    e.drain_others(1);
    assert!(e.consumed() <= TOTAL);
}

/// A restarted router has the same address and another registration: its predecessor's lease is
/// not its own, neither to spend nor to report on.
#[test]
fn a_restarted_router_owns_nothing_of_its_predecessors() {
    let mut e = Escrow::new(TOTAL, 2);
    e.spend(0, 100, 100);
    e.exchange();
    let held = e.held_by(0);
    let old = e.restart(0);
    assert_eq!(e.idle(0), 0);
    assert!(!e.report_as_other(0, old), "a report on another's lease is refused");
    e.spend(0, 100, 100);
    e.exchange();
    e.settle_all();
    e.check();
    assert_eq!(e.stranded_or_open(), held);
}

/// A router is paused with a stream open, its lease ends, and it is resumed: what it had reserved
/// may still be spent, nothing new starts, and its report brings the rest back.
#[test]
fn a_router_paused_past_its_leases_end_spends_only_what_it_had_reserved() {
    let mut e = Escrow::new(TOTAL, 2);
    let open = e.reserve(0, 400).expect("fits");
    e.exchange();
    e.pause(0);
    e.pass(Millis::seconds(100_000));
    e.drain_others(0);
    e.check();
    e.settle(0, open, 400);
    assert!(e.reserve_without_asking(0, 1).is_none(), "its slices have ended");
    e.check();
    e.resume(0);
    e.settle_all();
    assert_eq!(e.ledger_spent(), e.consumed());
    assert_eq!(e.ledger_open(), 0);
}

/// Clocks that run 10 in 100 fast or slow: no holder starts on a lease that its grantor takes for
/// ended.
#[rstest]
fn a_holder_stops_before_its_grantor_gives_up(
    #[values(90, 100, 110)] holder: u64,
    #[values(90, 100, 110)] grantor: u64,
) {
    let mut e = Escrow::with_clocks(TOTAL, holder, grantor);
    e.spend(0, 100, 100);
    e.exchange();
    e.pause(0);
    for _ in 0..400 {
        e.pass(Millis::seconds(30));
        let starts = e.reserve_without_asking(0, 1).is_some();
        assert!(!(starts && e.stranded() > 0), "started on an ended lease at {:?}", e.now());
    }
}

/// An old leader that still thinks it leads decides on a copy of the ledger; without a quorum its
/// decisions are never committed, so no slice store ever sees them.
#[test]
fn an_uncommitted_grant_is_no_grant() {
    let mut e = Escrow::new(TOTAL, 1);
    let copy = e.ledger_copy();
    e.ask_on(copy, 0, 5_000);
    assert_eq!(e.idle(0), 0);
    assert_eq!(e.ledger_open(), 0);
}

#[rstest]
#[case::used_above_keep(700, 600, 600)]
#[case::keep_above_grant(10, 1_000_000, 10)]
#[case::keep_below_used(600, 0, 600)]
fn a_report_out_of_bounds_is_bounded(#[case] used: u64, #[case] keep: u64, #[case] spent: u64) {
    let mut e = Escrow::new(TOTAL, 1);
    let lease = e.grant_exactly(0, 600);
    e.report(0, lease, used, keep);
    assert_eq!(e.ledger_spent(), spent);
    assert!(e.is_consistent());
}

/// The last 1,000 tokens lie scattered over 8 routers and one request needs 900.
#[test]
fn scattered_tokens_are_called_back_before_a_refusal() {
    let mut e = Escrow::new(1_000, 8);
    for n in 0..8 {
        e.force_slice(n, 125);
    }
    assert_eq!(e.ledger_free(), 0);
    let (_, waited) = e.reserve_with_recalls(3, 900, Millis(1_000)).expect("they are there");
    assert!(waited <= Millis(100), "it took {waited:?}");
    e.check();
}

#[test]
fn a_refusal_comes_only_when_what_is_reachable_is_too_little() {
    let mut e = Escrow::new(1_000, 4);
    for n in 0..4 {
        e.force_slice(n, 250);
    }
    let busy = e.reserve(0, 200).expect("own slice");
    let patience = Millis(3_000);
    let waiting = e.reserve_with_recalls(1, 900, patience).map(|_| ());
    assert_eq!(waiting, Err(Shortage::Busy(Millis(250))), "a running request may leave some");
    e.settle(0, busy, 0);
    e.exchange();
    assert!(e.reserve_with_recalls(1, 900, patience).is_ok(), "what was reserved came back");
    let mut e = Escrow::new(1_000, 4);
    e.spend(0, 200, 200);
    e.exchange();
    assert_eq!(e.reserve_with_recalls(1, 900, patience).map(|_| ()), Err(Shortage::Spent));
}

/// What a dead router holds cannot be called back: the caller is told so after the time that an
/// answer may take, and not held to its deadline.
#[test]
fn a_holder_that_does_not_answer_is_not_waited_for() {
    let mut e = Escrow::new(1_000, 2);
    e.force_slice(0, 600);
    e.kill(0);
    let start = e.now();
    let refused = e.reserve_with_recalls(1, 900, Millis::seconds(60)).map(|_| ());
    assert_eq!(refused, Err(Shortage::Away(Millis(10_000))));
    assert!(e.now().since(start) <= Millis(1_100), "{:?}", e.now().since(start));
    assert!(e.reserve_with_recalls(1, 400, Millis(1_000)).is_ok(), "what is free is still given");
}

/// A large request that waits for running ones does not keep small ones from what is free.
#[test]
fn a_recall_keeps_others_out_for_a_second_only() {
    let mut e = Escrow::new(1_000, 3);
    e.force_slice(0, 600);
    let running = e.reserve(0, 600).expect("own slice");
    assert!(e.reserve_with_recalls(1, 900, Millis(500)).is_err());
    assert_eq!(e.ask(2, 100), Err(Shortage::Busy(Millis(50))), "the recall goes first");
    assert!(e.reserve_with_recalls(1, 900, Millis(2_000)).is_err());
    assert!(e.ask(2, 100).is_ok());
    e.settle(0, running, 600);
    e.check();
}

/// While one ask has tokens called back, another that all open tokens together could not meet is
/// told so at once: it does not wait for the other's turn.
#[test]
fn an_ask_that_nothing_can_meet_does_not_wait_for_a_recall() {
    let mut e = Escrow::new(1_000, 3);
    e.force_slice(0, 600);
    e.reserve(0, 600).expect("own slice");
    assert_eq!(e.ask(1, 900), Err(Shortage::Busy(Millis(50))), "the recall begins");
    assert_eq!(e.ask(2, 1_001), Err(Shortage::Spent));
}

/// Once what was called back is known to be too little, its asker has been told so, and nobody
/// waits for its turn any more. Seen as one gateway's requests that were refused as spent while
/// the next gateway's were told to come back.
#[test]
fn a_recall_ends_with_its_refusal() {
    let mut e = Escrow::new(1_000, 3);
    e.force_slice(0, 600);
    let running = e.reserve(0, 600).expect("own slice");
    assert_eq!(e.ask(1, 900), Err(Shortage::Busy(Millis(50))), "the recall begins");
    e.settle(0, running, 600);
    e.report_all(0);
    assert_eq!(e.ask(1, 900), Err(Shortage::Spent));
    assert!(e.ask(2, 100).is_ok(), "what is free is given at once");
    e.check();
}

#[test]
fn a_top_up_in_the_moment_of_refusal_lets_the_next_ask_through() {
    let mut e = Escrow::new(100, 1);
    let patience = Millis(1_000);
    assert_eq!(e.reserve_with_recalls(0, 500, patience).map(|_| ()), Err(Shortage::Spent));
    e.fund(1_000);
    assert!(e.reserve_with_recalls(0, 500, patience).is_ok());
}

#[test]
fn a_budget_cut_below_what_is_leased_grants_no_more_and_calls_back() {
    let mut e = Escrow::new(TOTAL, 4);
    for n in 0..4 {
        e.force_slice(n, 2_000);
    }
    e.spend(0, 500, 500);
    e.fund(1_000);
    assert!(e.ask(1, 100).is_err(), "nothing is free");
    e.exchange();
    assert!(e.ledger_open() == 0, "idle tokens went back: {}", e.ledger_open());
    assert_eq!(e.ledger_free(), 500);
    e.drain_others(9);
    assert!(e.consumed() <= 1_000);
}

#[test]
fn slices_shrink_as_the_rest_does() {
    let mut e = Escrow::new(64_000, 8);
    let mut last = u64::MAX;
    for budget in [4_000, 1_000, 400] {
        e = Escrow::new(budget, 8);
        for n in 0..8 {
            e.force_slice(n, 10);
        }
        let got = e.ask(0, 10).map(|g| g.amount).unwrap();
        assert!(got < last, "{got} of {budget}");
        assert!(got <= budget / 8, "{got} of {budget}");
        last = got;
    }
    e.check();
}

#[test]
fn idle_slices_go_back_by_themselves() {
    let mut e = Escrow::new(TOTAL, 2);
    e.spend(0, 100, 100);
    e.exchange();
    assert!(e.ledger_open() > 0);
    for _ in 0..60 {
        e.pass(Millis::seconds(4));
        e.exchange();
    }
    assert_eq!(e.ledger_open(), 0);
    assert_eq!(e.ledger_spent(), 100);
    assert!(e.now() > Time(0));
}

/// Reports that overtake each other: the newest word counts, whatever comes after it.
#[test]
fn an_older_report_changes_nothing_after_a_newer_one() {
    let mut e = Escrow::new(TOTAL, 1);
    let lease = e.grant_exactly(0, 600);
    e.report(0, lease, 60, 100);
    let (spent, open) = (e.ledger_spent(), e.ledger_open());
    e.report(0, lease, 20, 600);
    assert_eq!((e.ledger_spent(), e.ledger_open()), (spent, open));
    assert!(e.is_consistent());
    assert_eq!(e.ledger_free(), TOTAL - 100, "what was handed back may be with another by now");
}
