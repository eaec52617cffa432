//! Rollouts: orders, steps, the version a gateway selects, and the detection of bad versions.

use std::collections::{BTreeMap, BTreeSet};

use cypressfork_core::code::Code;
use cypressfork_core::fleet::rollout::evidence::{Evidence, Report, Reports, StepProgress};
use cypressfork_core::fleet::rollout::fault::{Fault, find_fault};
use cypressfork_core::fleet::rollout::plan::{Plan, plan};
use cypressfork_core::fleet::rollout::split::{
    GatewayView, Side, VersionPreference, side, version_preference,
};
use cypressfork_core::fleet::rollout::step::{View, next_step};
use cypressfork_core::fleet::rollout::{Rollout, Rollouts, Stage, Step};
use cypressfork_core::unit::{Millis, Time};
use rstest::rstest;

const WITHIN: Millis = Millis::seconds(12);

/// Rollouts with order 7, of version `v2` for service `talk`.
fn ordered() -> Rollouts {
    let mut all = Rollouts::default();
    all.start(Time(1_000), 7, "talk", "v2", WITHIN).unwrap();
    all
}

fn step(order: u64, stage: Stage) -> Step {
    Step {
        service: "talk".to_owned(),
        order,
        stage,
        from: BTreeSet::from(["v1".to_owned()]),
        trial: 40,
        why: "test".to_owned(),
    }
}

/// Returns the rollout of order 7 at `stage`.
fn rollout_at(stage: Stage) -> Rollout {
    let mut all = ordered();
    if stage > Stage::Waiting {
        assert!(all.advance(8, &step(7, stage)));
    }
    all.get("talk").unwrap().clone()
}

#[rstest]
#[case::sent_again("v2", 12_000, Ok(()))]
#[case::another_version("v3", 12_000, Err(Code::RolloutUnderWay))]
#[case::no_version("", 12_000, Err(Code::RolloutBad))]
#[case::no_time("v2", 0, Err(Code::RolloutBad))]
#[case::more_than_a_day("v2", 86_400_001, Err(Code::RolloutBad))]
fn a_second_order_during_a_rollout(
    #[case] version: &str,
    #[case] within: u64,
    #[case] want: Result<(), Code>,
) {
    let mut all = ordered();
    assert_eq!(all.start(Time(2_000), 9, "talk", version, Millis(within)), want);
    assert_eq!(all, ordered(), "the running rollout is unchanged");
}

/// Guards against a retried order that starts a second rollout, and against ignoring an equal order
/// sent after the retry period.
#[rstest]
#[case::lately(Time(1_000 + 12_000 + 14_999), Stage::RolledBack)]
#[case::long_ago(Time(1_000 + 12_000 + 15_000), Stage::Waiting)]
fn an_equal_order_after_the_end_of_a_rollout(#[case] now: Time, #[case] stage: Stage) {
    let mut all = ordered();
    assert!(all.advance(8, &step(7, Stage::RolledBack)));
    all.start(now, 9, "talk", "v2", WITHIN).unwrap();
    assert_eq!(all.get("talk").unwrap().stage, stage);
}

#[rstest]
#[case::back_on_trial(Stage::Moving, Stage::Trial, 7, false)]
#[case::of_an_earlier_order(Stage::Trial, Stage::Moving, 6, false)]
#[case::after_the_end(Stage::Completed, Stage::RolledBack, 7, false)]
#[case::onwards(Stage::Trial, Stage::Moving, 7, true)]
#[case::back(Stage::Moving, Stage::RolledBack, 7, true)]
fn a_step_is_accepted_only_forward_and_for_its_order(
    #[case] from: Stage,
    #[case] to: Stage,
    #[case] order: u64,
    #[case] accepted: bool,
) {
    let mut all = ordered();
    assert!(all.advance(8, &step(7, from)));
    assert_eq!(all.advance(9, &step(order, to)), accepted);
    assert_eq!(all.get("talk").unwrap().stage, if accepted { to } else { from });
}

#[rstest]
#[case::on_trial(Stage::Trial, Ok(()), Stage::RolledBack)]
#[case::twice(Stage::RolledBack, Ok(()), Stage::RolledBack)]
#[case::too_late(Stage::Completed, Err(Code::RolloutOver), Stage::Completed)]
fn an_operator_aborts_a_rollout(
    #[case] from: Stage,
    #[case] want: Result<(), Code>,
    #[case] stage: Stage,
) {
    let mut all = ordered();
    assert!(all.advance(8, &step(7, from)));
    assert_eq!(all.abort(9, "talk"), want);
    assert_eq!(all.get("talk").unwrap().stage, stage);
    assert_eq!(all.abort(9, "board"), Err(Code::RolloutUnknown));
}

/// Evidence with response counts: `(ended, bad)` of the old and of the new version.
fn counted(old: (u64, u64), new: (u64, u64)) -> Evidence {
    let mut e = Evidence::default();
    let sides = e.route_mut("play");
    (sides.old.ended, sides.old.bad) = old;
    (sides.new.ended, sides.new.bad) = new;
    e
}

#[rstest]
#[case::nothing((0, 0), (0, 0), false)]
#[case::a_single_failure((1_000, 0), (1, 1), false)]
#[case::three_of_three((1_000, 0), (3, 3), false)]
#[case::six_in_ten_fail((1_000, 0), (8, 5), true)]
#[case::a_fifth_fails((1_000, 2), (30, 6), true)]
#[case::a_twentieth_fails((10_000, 20), (300, 15), true)]
#[case::both_fail_as_often((1_000, 140), (100, 20), false)]
#[case::a_third_where_a_seventh_is_usual((1_000, 140), (100, 34), true)]
#[case::few_responses_of_the_old_version((10, 0), (10, 4), false)]
#[case::many_bad_and_somewhat_more_than_usual((2_000, 280), (180, 50), true)]
fn bad_responses_are_a_fault(#[case] old: (u64, u64), #[case] new: (u64, u64), #[case] bad: bool) {
    let found = find_fault(&counted(old, new));
    assert_eq!(found.is_some(), bad, "{found:?}");
}

/// Evidence with `n` response times per version, the new one's at `percent` percent of the old one's.
fn timed(n: u64, percent: u64) -> Evidence {
    let mut e = Evidence::default();
    let sides = e.route_mut("talk");
    for i in 0..n {
        // 40 to 240 ms; the expected time is 60 ms.
        let us = 40_000 + i * 7_919 % 200_000;
        sides.old.record_response(us, 60_000);
        sides.new.record_response(us * percent / 100, 60_000);
    }
    e
}

#[rstest]
#[case::equal(2_000, 100, false)]
#[case::a_little_slower(2_000, 125, false)]
#[case::three_times_but_few_responses(15, 300, false)]
#[case::three_times(80, 300, true)]
#[case::twice(400, 200, true)]
#[case::eight_times(40, 800, true)]
fn slow_responses_are_a_fault(#[case] n: u64, #[case] percent: u64, #[case] bad: bool) {
    let found = find_fault(&timed(n, percent));
    assert_eq!(matches!(found, Some((_, Fault::Slow { .. }))), bad, "{found:?}");
}

/// Guards against missing one bad route when the totals over all routes look good.
#[test]
fn a_fault_on_one_route_is_found() {
    let mut e = counted((1_000, 0), (40, 12));
    for n in 0..10 {
        let sides = e.route_mut(&format!("other-{n}"));
        (sides.old.ended, sides.new.ended) = (10_000, 400);
    }
    assert_eq!(find_fault(&e).unwrap().0, "play");
}

#[rstest]
#[case::twelve_seconds(12_000, 100)]
#[case::a_minute(60_000, 100)]
#[case::ten_minutes(600_000, 100)]
#[case::little_is_allowed(60_000, 50)]
fn a_version_found_bad_at_the_end_had_at_most_the_allowed_share(
    #[case] within: u64,
    #[case] allowed: u64,
) {
    let Plan { trial, move_at } = plan(Millis(within), allowed);
    let share_ms = trial * move_at.0 / 1_000 + (within - move_at.0);
    assert!(share_ms * 1_000 <= within * allowed, "{share_ms} ms of {within} ms");
}

fn view<'a>(elapsed: u64, slots: &'a BTreeMap<String, u64>, e: &'a Evidence) -> View<'a> {
    let progress = StepProgress { reporting: 3, moved: 3, at_old: 0 };
    View { elapsed: Millis(elapsed), slots, evidence: e, progress, gateways: 3 }
}

fn slots(old: u64, new: u64) -> BTreeMap<String, u64> {
    let both = [("v1".to_owned(), old), ("v2".to_owned(), new)];
    both.into_iter().filter(|(_, n)| *n > 0).collect()
}

#[rstest]
#[case::no_replica_yet(Stage::Waiting, 3_000, (18, 0), None)]
#[case::no_replica_in_time(Stage::Waiting, 12_000, (18, 0), Some(Stage::RolledBack))]
#[case::a_replica(Stage::Waiting, 100, (18, 6), Some(Stage::Trial))]
#[case::on_trial(Stage::Trial, 6_000, (18, 18), None)]
#[case::its_time_is_nearly_over(Stage::Trial, 11_400, (18, 18), Some(Stage::Moving))]
#[case::too_few_slots(Stage::Trial, 11_400, (18, 6), None)]
#[case::too_few_slots_to_the_end(Stage::Trial, 12_000, (18, 6), Some(Stage::RolledBack))]
#[case::nothing_else_is_left(Stage::Trial, 1_000, (0, 18), Some(Stage::Moving))]
#[case::all_have_moved(Stage::Moving, 11_600, (18, 18), Some(Stage::Completed))]
#[case::completed(Stage::Completed, 20_000, (18, 18), None)]
fn the_next_step(
    #[case] stage: Stage,
    #[case] elapsed: u64,
    #[case] (old, new): (u64, u64),
    #[case] want: Option<Stage>,
) {
    let (slots, e) = (slots(old, new), Evidence::default());
    let found =
        next_step("talk", &rollout_at(stage), &plan(WITHIN, 100), &view(elapsed, &slots, &e));
    assert_eq!(found.map(|s| s.stage), want);
}

/// Guards against completing a rollout, which stops the old replicas at once, while a connected
/// gateway still sends requests to them or has some running there.
#[rstest]
#[case::one_gateway_has_not_moved(StepProgress { reporting: 3, moved: 2, at_old: 0 })]
#[case::one_gateway_does_not_report(StepProgress { reporting: 2, moved: 2, at_old: 0 })]
#[case::a_stream_runs(StepProgress { reporting: 3, moved: 3, at_old: 1 })]
fn a_rollout_is_not_completed_while_old_replicas_are_in_use(#[case] progress: StepProgress) {
    let (slots, e) = (slots(18, 18), Evidence::default());
    let v = View { progress, ..view(20_000, &slots, &e) };
    assert_eq!(next_step("talk", &rollout_at(Stage::Moving), &plan(WITHIN, 100), &v), None);
}

#[rstest]
#[case::on_trial(Stage::Trial)]
#[case::while_all_moves(Stage::Moving)]
fn a_bad_version_is_rolled_back_at_once(#[case] stage: Stage) {
    let (slots, e) = (slots(18, 18), counted((200, 0), (10, 6)));
    let found =
        next_step("talk", &rollout_at(stage), &plan(WITHIN, 100), &view(500, &slots, &e)).unwrap();
    assert_eq!(found.stage, Stage::RolledBack);
    assert_eq!(found.why, "on play 6 of 10 answers were bad, 0 of 200 of the old version");
}

#[rstest]
#[case::before_its_trial(Stage::Waiting, Side::Any, Side::Excluded, Side::Any)]
#[case::while_all_moves(Stage::Moving, Side::Old, Side::New, Side::Old)]
#[case::completed(Stage::Completed, Side::Old, Side::New, Side::Any)]
#[case::rolled_back(Stage::RolledBack, Side::Any, Side::Excluded, Side::Any)]
fn the_side_of_each_version(
    #[case] stage: Stage,
    #[case] old: Side,
    #[case] new: Side,
    #[case] later: Side,
) {
    let r = rollout_at(stage);
    assert_eq!(["v1", "v2", "v3"].map(|v| side(&r, "i-1", v)), [old, new, later]);
}

const CONNECTED: GatewayView = GatewayView { connected: true, stopped: false };
const DISCONNECTED: GatewayView = GatewayView { connected: false, stopped: false };
const STOPPED: GatewayView = GatewayView { connected: true, stopped: true };

#[rstest]
#[case::on_trial(Stage::Trial, 39, CONNECTED, VersionPreference::Trial)]
#[case::beside_the_trial(Stage::Trial, 40, CONNECTED, VersionPreference::Old)]
#[case::cut_off(Stage::Trial, 0, DISCONNECTED, VersionPreference::Old)]
#[case::stopped_by_its_own_evidence(Stage::Trial, 0, STOPPED, VersionPreference::Old)]
#[case::all_move(Stage::Moving, 999, CONNECTED, VersionPreference::New)]
#[case::cut_off_as_all_move(Stage::Moving, 0, DISCONNECTED, VersionPreference::Old)]
#[case::completed_and_cut_off(Stage::Completed, 0, DISCONNECTED, VersionPreference::New)]
#[case::rolled_back(Stage::RolledBack, 0, CONNECTED, VersionPreference::Any)]
fn the_version_that_a_request_prefers(
    #[case] stage: Stage,
    #[case] permille: u64,
    #[case] gateway: GatewayView,
    #[case] want: VersionPreference,
) {
    assert_eq!(version_preference(&rollout_at(stage), permille, gateway), want);
}

fn report(life: u64, revision: u64, ended: u64, at_old: u64) -> Report {
    let evidence = counted((ended, 0), (0, 0));
    Report { service: "talk".to_owned(), order: 7, revision, life, evidence, at_old }
}

/// Guards against counting a gateway incarnation more than once when reports are repeated or arrive
/// out of order.
#[test]
fn each_gateway_incarnation_counts_once() {
    let mut all = Reports::default();
    for r in [report(1, 7, 10, 2), report(1, 7, 30, 1), report(1, 7, 20, 9), report(1, 7, 30, 1)] {
        all.record(Time(1_000), "vm-1", r);
    }
    all.record(Time(4_000), "vm-1", report(2, 8, 5, 0));
    all.record(Time(4_000), "vm-2", report(3, 7, 7, 3));
    assert_eq!(all.evidence(7).total().old.ended, 30 + 5 + 7);
    let progress = all.progress(7, 8, Time(3_000));
    assert_eq!(progress, StepProgress { reporting: 2, moved: 1, at_old: 3 });
    all.retain_orders(&[9]);
    assert_eq!(all.evidence(7).total().old.ended, 0);
}

/// Guards against missing a fault that is too small on each route and shows only in their total,
/// beside a route that fails often with both versions.
#[test]
fn a_small_fault_on_every_route_is_found() {
    let mut e = Evidence::default();
    for (route, old, new) in [("a", 0, 3), ("b", 3, 3), ("c", 4, 3), ("d", 110, 8)] {
        let sides = e.route_mut(route);
        (sides.old.ended, sides.old.bad) = (800, old);
        (sides.new.ended, sides.new.bad) = (28, new);
        let mut alone = Evidence::default();
        *alone.route_mut(route) = sides.clone();
        assert_eq!(find_fault(&alone), None, "route {route}");
    }
    let found = find_fault(&e);
    assert!(matches!(&found, Some((route, Fault::Fails { .. })) if route.is_empty()), "{found:?}");
}
