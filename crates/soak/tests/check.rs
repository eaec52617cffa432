//! Each check reports the violation that it is for and reports nothing for a correct run.

#![allow(missing_docs)]

use std::collections::BTreeSet;

use cypressfork_soak::check::{BrokenPromise, REPLICA_CUT, check};
use cypressfork_soak::check_stops::stop_description;
use cypressfork_soak::history::{
    AckedDrain, AnnouncedDrain, AnnouncedLimit, Arrival, Backoff, Change, Disruption, FailedRead,
    History, Kind, Outcome, PoisonCrash, Read, ReplicaBreak, ReplicaCutPeriod, ReplicaLife,
    Request, Resumption, Stop, VersionReport,
};
use cypressfork_soak::plan::{Fault, Plan};
use cypressfork_soak::run::bounds;
use rstest::rstest;

fn request(id: &str, kind: Kind, outcome: Outcome) -> Request {
    let (prompt, events) = if kind == Kind::Stream { (40, 3) } else { (0, 0) };
    Request {
        id: id.to_owned(),
        kind,
        account: "club",
        prompt,
        events,
        resumes: None,
        versions: BTreeSet::new(),
        gateway: 0,
        sent: 10_000,
        ended: 10_050,
        outcome,
    }
}

fn answered(events: &[u64]) -> Outcome {
    Outcome::Answered { whole: true, events: events.to_vec() }
}

fn arrival(id: &str, service: &'static str, at: u64) -> Arrival {
    let (replica, account) = (format!("{service}-1"), "club".to_owned());
    Arrival { id: id.to_owned(), service, replica, at, account, run: true }
}

/// Returns a stop of the gateway that the requests are sent to.
fn stop_of_a_gateway() -> Stop {
    Stop {
        process: "gateway-0".to_owned(),
        gateway: Some(0),
        requested: 9_000,
        ended: 12_000,
        suspended_ms: 0,
        served: true,
    }
}

/// Returns a history with records of most kinds that breaks no promise.
fn correct_history() -> History {
    let mut h = History {
        requests: vec![
            request("s", Kind::Stream, answered(&[1, 2, 3])),
            request("u", Kind::Unsafe, answered(&[])),
            request("f", Kind::Safe, Outcome::Refused(503)),
            request("p", Kind::Probe(2), answered(&[])),
        ],
        arrivals: vec![
            arrival("s", "talk", 10_010),
            arrival("u", "board", 10_010),
            arrival("p", "board", 10_010),
        ],
        changes: vec![
            Change { version: 1, acked: Some(0) },
            Change { version: 2, acked: Some(5_000) },
            Change { version: 3, acked: None },
        ],
        reads: vec![Read { sent: 6_000, version: 2 }],
        version_reports: vec![
            VersionReport { gateway: 0, incarnation: 1, at: 4_000, version: 1 },
            VersionReport { gateway: 0, incarnation: 1, at: 6_000, version: 2 },
            VersionReport { gateway: 0, incarnation: 2, at: 7_000, version: 1 },
        ],
        stops: vec![stop_of_a_gateway()],
        acked_drains: vec![AckedDrain { replica: "talk-9".to_owned(), acked: 2_000 }],
        healed: 15_000,
        recovered_at: vec![Some(15_500)],
        ..History::default()
    };
    h.disruptions.push(Disruption {
        what: stop_description("gateway-0"),
        from: 9_000,
        until: 13_000,
    });
    h.generated.insert("s".to_owned(), 3);
    h.memory.insert("gateway-0".to_owned(), bounds().max_gateway_memory);
    h.memory.insert("control-0".to_owned(), bounds().max_control_memory);
    h.spent.insert("club", 43);
    h
}

fn broken_promises(h: &History) -> Vec<&'static str> {
    let mut all: Vec<_> =
        check(h, &bounds()).into_iter().map(|b: BrokenPromise| b.promise).collect();
    all.dedup();
    all
}

#[test]
fn a_correct_run_breaks_no_promise() {
    assert_eq!(check(&correct_history(), &bounds()), Vec::new());
}

#[rstest]
#[case::spend_by_events("spend", |h: &mut History| { h.generated.insert("s".into(), 6_000_000); })]
#[case::spend_by_prompts("spend", |h: &mut History| { h.requests[0].prompt = 6_000_000; h.spent.clear(); h.requests[0].outcome = Outcome::Left { begun: true }; })]
#[case::billed_too_little("billing", |h: &mut History| { h.spent.insert("club", 42); })]
#[case::billed_too_much("billing", |h: &mut History| { h.spent.insert("mill", 1_000_000); })]
#[case::run_twice("at most once", |h: &mut History| h.arrivals.push(arrival("u", "board", 10_020)))]
#[case::refused_and_run("not run", |h: &mut History| h.arrivals.push(arrival("f", "board", 10_020)))]
#[case::another_answer("whole answer", |h: &mut History| {
    h.requests[1].outcome = Outcome::Answered { whole: false, events: Vec::new() };
})]
#[case::another_account("account", |h: &mut History| h.arrivals[0].account = "mill".into())]
#[case::event_missing("stream", |h: &mut History| h.requests[0].outcome = answered(&[1, 3]))]
#[case::event_twice("stream", |h: &mut History| h.requests[0].outcome = answered(&[1, 2, 2, 3]))]
#[case::end_missing("stream", |h: &mut History| h.requests[0].outcome = answered(&[1, 2]))]
#[case::cut_with_a_gap("stream", |h: &mut History| {
    h.stops.clear();
    h.requests[0].outcome = Outcome::Cut { begun: true, events: vec![2] };
})]
#[case::work_after_leaving("leaving", |h: &mut History| {
    h.disruptions.clear();
    h.arrivals[0].replica = "talk-9".into();
})]
#[case::cut_by_a_stop("planned stop", |h: &mut History| {
    h.requests[1].outcome = Outcome::Cut { begun: false, events: Vec::new() };
})]
#[case::stop_too_long("planned stop", |h: &mut History| h.stops[0].ended = 40_000)]
#[case::stop_without_end("planned stop", |h: &mut History| { h.stops[0].ended = u64::MAX / 2; })]
#[case::older_version_read("configuration", |h: &mut History| h.reads[0].version = 1)]
#[case::decreases_in_one_incarnation("configuration", |h: &mut History| h.version_reports[2].incarnation = 1)]
#[case::not_in_force("configuration", |h: &mut History| {
    h.disruptions.clear();
    h.requests[3].outcome = Outcome::Refused(404);
})]
#[case::allowed_request_denied("denied", |h: &mut History| h.requests[2].outcome = Outcome::Refused(404))]
#[case::too_many_retries("retries", |h: &mut History| {
    (0..12).for_each(|n| h.arrivals.push(arrival("s", "talk", 10_020 + n)));
})]
#[case::too_many_retries_at_a_steady_rate("retries", |h: &mut History| add_retries_at_a_steady_rate(h, 21))]
#[case::sent_after_quarantine("poison", |h: &mut History| add_poison(h, 4))]
#[case::harmless_request_quarantined("quarantine", |h: &mut History| h.requests[2].outcome = Outcome::Quarantined)]
#[case::over_its_limit("limit", |h: &mut History| add_limited_replica(h, 12))]
#[case::service_not_restored("service back", |h: &mut History| h.recovered_at[0] = None)]
#[case::service_restored_late("service back", |h: &mut History| h.recovered_at[0] = Some(40_000))]
#[case::process_exited("ends by itself", |h: &mut History| h.unexpected_exits.push("gateway-0".into()))]
#[case::memory_of_control_over_the_bound("memory", |h: &mut History| {
    h.memory.insert("control-0".into(), bounds().max_control_memory + 1);
})]
#[case::memory_over_the_bound("memory", |h: &mut History| {
    h.memory.insert("gateway-0".into(), bounds().max_gateway_memory + 1);
})]
fn a_fault_is_found(#[case] promise: &str, #[case] apply: fn(&mut History)) {
    let mut h = correct_history();
    apply(&mut h);
    assert_eq!(broken_promises(&h), [promise]);
}

fn cut(events: &[u64]) -> Outcome {
    Outcome::Cut { begun: !events.is_empty(), events: events.to_vec() }
}

fn disruption(what: &str, from: u64, until: u64) -> Disruption {
    Disruption { what: what.to_owned(), from, until }
}

/// Makes `u` a request that no replica got and whose connection is closed after `after` milliseconds.
fn close_unanswered(h: &mut History, after: u64) {
    h.arrivals.remove(1);
    h.requests[1].outcome = cut(&[]);
    h.requests[1].ended = h.requests[1].sent + after;
}

/// Makes `s` a stream that is cut when the time of its gateway's stop is over, after its replica has sent `generated`
/// of three events.
fn cut_at_the_end_of_the_stop(h: &mut History, generated: u64) {
    h.stops[0].ended = 16_600;
    h.generated.insert("s".to_owned(), generated);
    let s = &mut h.requests[0];
    (s.sent, s.ended, s.outcome) = (15_000, 16_600, cut(&[1]));
}

/// Makes the stop end at the moment of a second signal, with a stream and an unsafe request in progress.
fn end_at_the_second_signal(h: &mut History) {
    h.stops[0].ended = 10_050;
    h.generated.insert("s".to_owned(), 1);
    h.requests[0].outcome = cut(&[1]);
    h.requests[1].outcome = cut(&[]);
}

/// What a stop must not do, also beside faults that do not touch its gateway.
#[rstest]
#[case::ended_by_a_second_signal(end_at_the_second_signal)]
#[case::too_short_for_new_requests(|h: &mut History| h.stops[0].ended = 11_999)]
#[case::too_long_for_a_control_process(|h: &mut History| {
    let (process, ended) = ("control-0".to_owned(), 19_000);
    h.stops.push(Stop { process, gateway: None, ended, ..stop_of_a_gateway() });
})]
#[case::longer_than_it_stood_still(|h: &mut History| {
    (h.stops[0].ended, h.stops[0].suspended_ms) = (18_401, 400);
})]
#[case::beside_kills_of_control_processes(|h: &mut History| {
    h.requests[1].outcome = cut(&[]);
    h.disruptions.push(disruption("KillControls", 9_900, 10_500));
})]
#[case::beside_a_kill_of_another_gateway(|h: &mut History| {
    h.requests[1].outcome = cut(&[]);
    h.disruptions.push(disruption("KillGateway(1)", 9_900, 10_500));
})]
#[case::beside_the_stop_of_another_gateway(|h: &mut History| {
    h.requests[1].outcome = cut(&[]);
    h.disruptions.push(disruption(&stop_description("gateway-1"), 9_900, 10_500));
})]
#[case::after_a_fault_of_its_own(|h: &mut History| {
    h.requests[1].outcome = cut(&[]);
    h.disruptions.push(disruption("PauseGateway(0)", 8_000, 9_999));
})]
#[case::at_a_gateway_that_relays(|h: &mut History| {
    h.requests[0].gateway = 1;
    h.requests[0].outcome = cut(&[1]);
})]
#[case::beside_the_crash_of_another_replica(|h: &mut History| {
    h.requests[1].outcome = cut(&[]);
    h.replica_breaks.push(ReplicaBreak { replica: "board-2".into(), from: 10_020, until: 10_040 });
})]
#[case::received_and_never_run(|h: &mut History| close_unanswered(h, 1_000))]
#[case::cut_at_the_end_when_its_replica_was_done(|h: &mut History| cut_at_the_end_of_the_stop(h, 3))]
fn a_stop_that_cuts_or_hurries_is_found(#[case] apply: fn(&mut History)) {
    let mut h = correct_history();
    apply(&mut h);
    assert_eq!(broken_promises(&h), ["planned stop"]);
}

#[rstest]
#[case::at_the_deadline(|h: &mut History| {
    h.requests[1].outcome = cut(&[]);
    h.requests[1].ended = 13_000;
})]
#[case::its_replica_crashed(|h: &mut History| {
    h.requests[1].outcome = cut(&[]);
    h.replica_breaks.push(ReplicaBreak { replica: "board-1".into(), from: 10_020, until: 10_040 });
})]
#[case::its_path_was_lost(|h: &mut History| {
    h.requests[1].outcome = cut(&[]);
    h.replica_cuts.push(ReplicaCutPeriod { gateways: vec![0], from: 10_020, until: 11_000 });
})]
#[case::its_gateway_was_killed(|h: &mut History| {
    h.requests[1].outcome = cut(&[]);
    h.disruptions.push(disruption("KillGateway(0)", 10_020, 11_000));
})]
#[case::still_running_at_the_end(|h: &mut History| cut_at_the_end_of_the_stop(h, 2))]
#[case::closed_as_it_came(|h: &mut History| close_unanswered(h, 999))]
#[case::standing_still(|h: &mut History| {
    (h.stops[0].ended, h.stops[0].suspended_ms) = (18_400, 400);
})]
#[case::stopped_at_the_start(|h: &mut History| {
    (h.stops[0].ended, h.stops[0].served) = (9_020, false);
})]
fn a_stop_may_cut_what_it_cannot_wait_for(#[case] apply: fn(&mut History)) {
    let mut h = correct_history();
    apply(&mut h);
    assert_eq!(broken_promises(&h), [""; 0]);
}

/// Adds five requests a second for 20 s, and `retries` of them at the end of the last window.
fn add_retries_at_a_steady_rate(h: &mut History, retries: usize) {
    let (first_ms, interval_ms, count) = (100, 200, 100);
    for n in 0..count {
        let (id, sent) = (format!("r-{n}"), first_ms + n * interval_ms);
        let template = request(&id, Kind::Safe, answered(&[]));
        h.requests.push(Request { sent, ended: sent + 20, ..template });
        h.arrivals.push(arrival(&id, "board", sent + 5));
    }
    let end = first_ms + (count - 1) * interval_ms;
    (0..retries).for_each(|_| h.arrivals.push(arrival("r-99", "board", end)));
}

/// The allowed retries are a fifth of the requests within the window and 10.
#[test]
fn retries_within_the_budget_break_no_promise() {
    let mut h = correct_history();
    add_retries_at_a_steady_rate(&mut h, 20);
    assert_eq!(broken_promises(&h), Vec::<&str>::new());
}

/// Adds a replica with a limit of one request per second and a gateway that learns of the limit and
/// then sends it `sends` requests within 4 s.
fn add_limited_replica(h: &mut History, sends: u64) {
    let replica = "board-9".to_owned();
    let first = Some(11_010);
    h.limits.push(AnnouncedLimit { replica, thousandths: 1_000, first, until: None });
    for n in 0..=sends {
        // The response to the first request announces the limit to the gateway.
        let at = if n == 0 { 11_010 } else { 14_200 + 300 * n };
        let id = format!("l-{n}");
        let template = request(&id, Kind::Safe, answered(&[]));
        h.requests.push(Request { gateway: 1, sent: at, ended: at + 20, ..template });
        h.arrivals.push(Arrival { replica: "board-9".into(), ..arrival(&id, "board", at) });
    }
}

/// Adds a request that crashes three replicas and is sent `later` more times, when every gateway
/// must have it in quarantine.
fn add_poison(h: &mut History, later: u64) {
    let kind = Kind::Poison(0);
    h.requests.push(request("x", kind, Outcome::Quarantined));
    h.poison_crashes.extend((0..3).map(|n| PoisonCrash { poison: 0, at: 11_000 + 100 * n }));
    let at = |n| 20_000 + 100 * n;
    h.arrivals.extend((0..later).map(|n| arrival("x", "board", at(n))));
}

#[rstest]
#[case::a_few_more(|h: &mut History| add_poison(h, 3))]
#[case::sent_in_a_partition(|h: &mut History| {
    add_poison(h, 4);
    h.disruptions.push(Disruption { what: "CutGateway".into(), from: 17_000, until: 19_000 });
})]
#[case::cut_while_others_are_disturbed(|h: &mut History| {
    h.requests[1].outcome = Outcome::Cut { begun: false, events: Vec::new() };
    h.disruptions.push(Disruption { what: "Reset".into(), from: 9_900, until: 10_000 });
})]
#[case::closed_before_it_was_forwarded(|h: &mut History| {
    h.requests[1].outcome = Outcome::Cut { begun: false, events: Vec::new() };
    h.arrivals.remove(1);
})]
#[case::not_in_force_beside_a_fault(|h: &mut History| h.requests[3].outcome = Outcome::Refused(404))]
#[case::outdated_gateway_refuses(|h: &mut History| {
    h.disruptions.clear();
    h.requests[3].outcome = Outcome::Refused(503);
    h.arrivals.remove(2);
})]
#[case::at_its_limit(|h: &mut History| add_limited_replica(h, 11))]
#[case::over_an_expired_limit(|h: &mut History| {
    add_limited_replica(h, 12);
    h.limits[0].until = Some(15_000);
})]
#[case::over_the_limit_by_a_disconnected_gateway(|h: &mut History| {
    add_limited_replica(h, 12);
    h.disruptions.push(Disruption { what: "CutGateway(1)".into(), from: 13_000, until: 16_000 });
})]
#[case::over_the_limit_before_it_applies(|h: &mut History| {
    add_limited_replica(h, 12);
    h.limits[0].first = Some(15_000);
})]
#[case::stream_repeated(|h: &mut History| h.arrivals.push(arrival("s", "talk", 10_020)))]
fn permitted_behaviour_breaks_no_promise(#[case] apply: fn(&mut History)) {
    let mut h = correct_history();
    apply(&mut h);
    assert_eq!(broken_promises(&h), [""; 0]);
}

/// The signals of a seed come from a generator of their own: other faults are as they are without them.
#[test]
fn half_of_the_seeds_have_series_of_signals() {
    let plans: Vec<_> = (0..200).map(|seed| Plan::draw(seed, 10_000, false)).collect();
    let is_of_signals = |f: &Fault| {
        let in_turn =
            matches!(f, Fault::StopGatewaysInTurn { .. } | Fault::StopControlsInTurn { .. });
        let at_start =
            matches!(f, Fault::StopGatewayAtStart { .. } | Fault::StopControlAtStart { .. });
        in_turn || at_start || matches!(f, Fault::Reload { .. })
    };
    let with_series = plans.iter().filter(|p| !p.series.is_empty());
    assert!((80..=120).contains(&with_series.count()));
    for p in &plans {
        let drawn = p.steps.iter().filter(|s| is_of_signals(&s.fault)).count();
        assert_eq!(drawn, if p.series.is_empty() { 0 } else { 4 });
        assert_eq!(Plan::draw(p.seed, 10_000, false).series, p.series);
        assert!(p.series.iter().flatten().all(|a| (20..=3_000).contains(&a.after)));
    }
}

#[test]
fn a_seed_always_gives_the_same_plan() {
    let plans: Vec<_> = (0..200).map(|seed| Plan::draw(seed, 10_000, false)).collect();
    for p in &plans {
        let again = Plan::draw(p.seed, 10_000, false);
        assert_eq!((again.size, &again.steps), (p.size, &p.steps));
        assert!(p.steps.iter().all(|s| s.at + s.span <= 10_000), "all ends by the time of healing");
        let disks = p.steps.iter().filter(|s| matches!(s.fault, Fault::EmptyDisk(_))).count();
        assert!(disks <= 1, "one disk is lost at most");
    }
    let differ = plans.windows(2).filter(|w| w[0].steps != w[1].steps).count();
    assert_eq!(differ, 199);
}

/// Adds a request that `gateway` forwards to the replica `board-9`.
fn add_forwarded(h: &mut History, id: &str, gateway: usize, sent: u64) {
    let template = request(id, Kind::Safe, answered(&[]));
    h.requests.push(Request { gateway, sent, ended: sent + 20, ..template });
    h.arrivals.push(Arrival { replica: "board-9".into(), ..arrival(id, "board", sent + 1) });
}

/// Returns a history in which a replica responds to a gateway with a `Retry-After` of 3 s and
/// receives `requests` requests from it within that time.
fn with_retry_after(requests: usize) -> History {
    let mut h = correct_history();
    add_forwarded(&mut h, "first", 1, 11_000);
    let (replica, request) = ("board-9".to_owned(), "first".to_owned());
    h.backoffs.push(Backoff { replica, request, at: 11_001, until: 14_001 });
    for n in 0..requests {
        add_forwarded(&mut h, &format!("in-rest-{n}"), 1, 12_000 + n as u64);
    }
    h
}

#[rstest]
#[case::two_are_allowed(2, &[])]
#[case::three_are_not(3, &["rest"])]
fn requests_during_retry_after_are_found(#[case] requests: usize, #[case] promises: &[&str]) {
    assert_eq!(broken_promises(&with_retry_after(requests)), promises);
}

#[test]
fn requests_of_another_gateway_do_not_count_against_retry_after() {
    let mut h = with_retry_after(3);
    let others = h.requests.iter_mut().filter(|r| r.id.starts_with("in-rest"));
    others.for_each(|r| r.gateway = 2);
    assert!(broken_promises(&h).is_empty());
}

#[test]
fn a_gateway_that_restarted_meanwhile_is_exempt() {
    let mut h = with_retry_after(3);
    let what = format!("{:?}", Fault::KillGateway(1));
    h.disruptions.push(Disruption { what, from: 11_500, until: 11_900 });
    assert!(broken_promises(&h).is_empty());
}

/// Cases: when a request is sent to a replica whose response announced its drain, by which gateway,
/// and the promises that this breaks.
#[rstest]
#[case::late(14_000, 1, &["leaving"])]
#[case::soon(13_000, 1, &[])]
#[case::by_another_gateway(14_000, 2, &[])]
fn requests_to_a_draining_replica_are_found(
    #[case] sent: u64,
    #[case] gateway: usize,
    #[case] promises: &[&str],
) {
    let mut h = correct_history();
    add_forwarded(&mut h, "first", 1, 11_000);
    let (replica, request) = ("board-9".to_owned(), "first".to_owned());
    h.announced_drains.push(AnnouncedDrain { replica, request, until: None });
    add_forwarded(&mut h, "late", gateway, sent);
    assert_eq!(broken_promises(&h), promises);
}

/// Cases: the start and end of reads that fail, and the promises that this breaks.
#[rstest]
#[case::for_long(&[(20_000, 20_400), (20_600, 21_100)], &["leader"])]
#[case::briefly(&[(20_000, 20_400), (20_600, 20_900)], &[])]
#[case::with_one_that_succeeds_between(&[(20_000, 20_400), (21_000, 21_100)], &[])]
#[case::beside_a_stop(&[(9_000, 9_400), (10_600, 11_100)], &[])]
fn an_undisturbed_group_without_a_leader_is_found(
    #[case] failed_reads: &[(u64, u64)],
    #[case] promises: &[&str],
) {
    let mut h = correct_history();
    h.reads.push(Read { sent: 20_700, version: 2 });
    if promises == ["leader"] {
        h.reads.pop();
    }
    h.failed_reads = failed_reads
        .iter()
        .map(|(sent, ended)| FailedRead { sent: *sent, ended: *ended })
        .collect();
    assert_eq!(broken_promises(&h), promises);
}

/// Cases: how many of 30 requests a gateway without paths to replicas refuses, from when on, whether another fault
/// disturbs the fleet, and the promises that this breaks.
#[rstest]
#[case::most(20, 24_000, None, &["served in a partition"])]
#[case::no_more_than_ten(10, 24_000, None, &[])]
#[case::early(20, 20_500, None, &[])]
#[case::beside_another_fault(20, 24_000, Some("KillControls"), &[])]
#[case::beside_its_own_disruption(20, 24_000, Some(REPLICA_CUT), &["served in a partition"])]
fn a_gateway_that_serves_nobody_in_a_partition_is_found(
    #[case] refused: usize,
    #[case] sent: u64,
    #[case] fault: Option<&str>,
    #[case] promises: &[&str],
) {
    let mut h = correct_history();
    h.replica_cuts.push(ReplicaCutPeriod { gateways: vec![1], from: 20_000, until: 26_000 });
    let disruption = |what: &str| Disruption { what: what.into(), from: 20_000, until: 22_000 };
    h.disruptions.extend(fault.map(disruption));
    for n in 0..60 {
        let outcome = if n < refused { Outcome::Refused(503) } else { answered(&[]) };
        let mut r = request(&format!("cut-{n}"), Kind::Safe, outcome);
        (r.gateway, r.sent, r.ended) = (usize::from(n < 30), sent, sent + 10);
        h.requests.push(r);
    }
    assert_eq!(broken_promises(&h), promises);
}

/// Returns a resumed attempt at stream `s`, which has brought its first event.
fn resumed(n: usize, version: &str, outcome: Outcome) -> Request {
    let resumes = Some(Resumption { first: "s".to_owned(), after: 1 });
    let versions = BTreeSet::from([version.to_owned()]);
    let id = format!("s-again-{n}");
    Request { events: 2, prompt: 0, resumes, versions, ..request(&id, Kind::Stream, outcome) }
}

/// Returns a correct history in which `s` brought events of v1, which two replicas run.
fn history_with_versions() -> History {
    let mut h = correct_history();
    h.disruptions.clear();
    h.spent.clear();
    h.requests[0].versions.insert("v1".to_owned());
    let life = ReplicaLife { service: "talk", version: "v1".to_owned(), from: 0, until: None };
    h.replica_lives = vec![life; 2];
    h
}

/// Guards against a check that misses a stream whose attempts bring events of two versions.
#[rstest]
#[case::same("v1", &[])]
#[case::other("v2", &["one version"])]
fn a_stream_keeps_its_version_over_attempts(#[case] version: &str, #[case] expected: &[&str]) {
    let mut h = history_with_versions();
    h.requests.push(resumed(1, version, answered(&[2, 3])));
    assert_eq!(broken_promises(&h), expected);
}

/// Guards against a check that misses one response with events of two versions.
#[test]
fn a_stream_keeps_its_version_within_a_response() {
    let mut h = history_with_versions();
    h.requests[0].versions.insert("v2".to_owned());
    assert_eq!(broken_promises(&h), ["one version"]);
}

/// Guards against a check that accepts gateways which refuse to continue any stream.
#[rstest]
#[case::most_go_on(12, 5, 2, &[])]
#[case::most_are_refused(12, 7, 2, &["goes on"])]
#[case::too_few_to_tell(11, 11, 2, &[])]
#[case::one_replica_of_the_version(12, 12, 1, &[])]
fn resumed_streams_go_on_as_new_ones_begin(
    #[case] all: usize,
    #[case] refused: usize,
    #[case] replicas: usize,
    #[case] expected: &[&str],
) {
    let mut h = history_with_versions();
    h.replica_lives.truncate(replicas);
    h.requests.extend((0..all).map(|n| match n < refused {
        true => resumed(n, "v1", Outcome::Refused(503)),
        false => resumed(n, "v1", answered(&[2, 3])),
    }));
    assert_eq!(broken_promises(&h), expected);
}
