//! Tests of the rate limits that replicas announce: parsing, reports out of order, and permits.

#![allow(missing_docs)]

use cypressfork_core::fleet::limit::Rate;
use cypressfork_core::fleet::limit::rate_limits::{LimitReport, RateLimits};
use cypressfork_core::unit::{Millis, Time};
use rstest::rstest;

const REPLICA: &str = "b-1";

#[rstest]
#[case::whole("12", Some(12_000))]
#[case::none("0", Some(0))]
#[case::a_tenth("0.1", Some(100))]
#[case::digits_that_do_not_count("1.23456", Some(1_234))]
#[case::spaces(" 2.5 ", Some(2_500))]
#[case::many("1000", Some(1_000_000))]
#[case::more_digits_than_a_number_holds("99999999999999999999999", Some(1_000_000_000))]
#[case::empty("", None)]
#[case::a_sign("-1", None)]
#[case::plus("+1", None)]
#[case::an_exponent("1e999", None)]
#[case::no_number("NaN", None)]
#[case::infinite("inf", None)]
#[case::a_unit("5/s", None)]
#[case::a_list("1, 2", None)]
#[case::no_fraction("1.", None)]
#[case::no_whole_part(".5", None)]
#[case::two_points("1.2.3", None)]
#[case::other_digits("\u{0661}", None)]
fn a_limit_is_read_or_refused(#[case] text: &str, #[case] thousandths: Option<u64>) {
    assert_eq!(Rate::parse(text), thousandths.map(Rate));
}

/// Returns a limit of `n` requests a second; 0 is no limit.
fn rate(n: u64) -> Option<Rate> {
    (n > 0).then_some(Rate(n * 1_000))
}

/// Responses as (time sent, time received, announced limit; 0 is none), and the resulting limit.
#[rstest]
#[case::announced(&[(0, 10, 2)], 2)]
#[case::lifted_by_a_later_request(&[(0, 10, 2), (11, 20, 0)], 0)]
#[case::not_lifted_by_an_earlier_request(&[(0, 10, 2), (9, 20, 0)], 2)]
#[case::lowered_by_an_earlier_request(&[(0, 10, 2), (9, 20, 1)], 1)]
#[case::not_raised_by_an_earlier_request(&[(0, 10, 1), (9, 20, 2)], 1)]
#[case::raised_by_a_later_request(&[(0, 10, 1), (10, 20, 2)], 2)]
#[case::announced_again_after_it_was_lifted(&[(0, 10, 2), (11, 20, 0), (21, 30, 3)], 3)]
#[case::announced_by_a_late_response_after_it_was_lifted(&[(0, 10, 2), (11, 20, 0), (9, 30, 2)], 2)]
#[case::lifted_again_after_a_late_response(&[(0, 10, 2), (11, 20, 0), (9, 30, 2), (31, 40, 0)], 0)]
#[case::never_announced(&[(0, 10, 0)], 0)]
fn responses_out_of_order(#[case] responses: &[(u64, u64, u64)], #[case] expected: u64) {
    let mut limits = RateLimits::default();
    for (sent, received, announced) in responses {
        limits.record_response(Time(*received), REPLICA, 1, Time(*sent), rate(*announced));
    }
    assert_eq!(limits.rate(REPLICA), rate(expected));
}

#[test]
fn a_new_incarnation_starts_without_a_limit() {
    let mut limits = RateLimits::default();
    limits.record_response(Time(10), REPLICA, 1, Time(0), rate(2));
    assert_eq!(limits.remove(REPLICA), rate(2));
    assert_eq!(limits.record_response(Time(20), REPLICA, 2, Time(15), None), None);
    assert_eq!(limits.rate(REPLICA), None);
}

fn report(born: u64, announced: u64, age: u64) -> LimitReport {
    LimitReport { replica: REPLICA.to_owned(), born, rate: rate(announced), age: Millis(age) }
}

/// Reports of other routers with their times of arrival, and the resulting limit.
#[rstest]
#[case::announced(&[(1_000, report(1, 2, 100))], 2)]
#[case::lifted_later(&[(1_000, report(1, 2, 100)), (2_000, report(1, 0, 100))], 0)]
#[case::an_older_report_that_arrives_later(&[(1_000, report(1, 0, 0)), (1_000, report(1, 2, 0)), (2_000, report(1, 0, 1_900))], 2)]
#[case::of_two_at_once_the_lower(&[(1_000, report(1, 1, 0)), (1_100, report(1, 2, 0))], 1)]
#[case::of_two_at_once_the_lower_in_the_other_order(&[(1_000, report(1, 2, 0)), (1_100, report(1, 1, 0))], 1)]
#[case::of_an_earlier_incarnation(&[(1_000, report(2, 1, 0)), (2_000, report(1, 5, 0))], 1)]
#[case::of_a_later_incarnation(&[(1_000, report(1, 1, 0)), (1_010, report(2, 5, 0))], 5)]
#[case::lifted_but_never_known(&[(1_000, report(1, 0, 0))], 0)]
fn reports_of_other_routers(#[case] reports: &[(u64, LimitReport)], #[case] expected: u64) {
    let mut limits = RateLimits::default();
    for (at, report) in reports {
        limits.apply(Time(*at), report);
    }
    assert_eq!(limits.rate(REPLICA), rate(expected));
}

#[test]
fn two_processes_that_exchange_reports_converge() {
    for apart in (0..1_000).step_by(50) {
        let mut all = [RateLimits::default(), RateLimits::default()];
        all[0].apply(Time(10_000), &report(1, 2, 0));
        all[1].apply(Time(10_000), &report(1, 2, 0));
        // One learns that the limit is lifted, the other, `apart` ms later, that it is lower.
        all[0].apply(Time(11_000), &report(1, 0, 0));
        all[1].apply(Time(11_000 + apart), &report(1, 1, 0));
        let mut seen = [0, 0];
        for at in (12_000..14_000).step_by(20) {
            for n in [0, 1] {
                let (reports, upto) = all[n].changes(Time(at), seen[n], 10);
                seen[n] = upto;
                for r in reports {
                    all[1 - n].apply(Time(at + 10), &r);
                }
            }
        }
        assert_eq!(all[0].rate(REPLICA), all[1].rate(REPLICA), "{apart} ms apart");
    }
}

#[test]
fn a_change_is_reported_once_and_a_lasting_limit_periodically() {
    let again = Millis(5_000);
    let mut limits = RateLimits::default();
    limits.record_response(Time(1_000), REPLICA, 1, Time(900), rate(2));
    assert_eq!(limits.take_due_reports(Time(1_000), again, 9), [report(1, 2, 0)]);
    assert_eq!(limits.take_due_reports(Time(1_100), again, 9), []);
    limits.record_response(Time(5_500), REPLICA, 1, Time(5_400), rate(2));
    assert_eq!(limits.take_due_reports(Time(5_900), again, 9), []);
    assert_eq!(limits.take_due_reports(Time(6_000), again, 9), [report(1, 2, 500)]);
    limits.apply(Time(7_000), &LimitReport { replica: "b-2".to_owned(), ..report(1, 1, 0) });
    assert_eq!(
        limits.take_due_reports(Time(19_000), again, 9),
        [],
        "only the router that got the response reports it"
    );
}

#[test]
fn a_limit_that_is_no_longer_announced_expires() {
    let mut limits = RateLimits::default();
    limits.record_response(Time(1_000), REPLICA, 1, Time(900), rate(2));
    limits.expire(Time(100_000), |_, _| true);
    assert_eq!(limits.rate(REPLICA), rate(2));
    limits.expire(Time(121_000), |_, _| true);
    assert_eq!(limits.rate(REPLICA), None);
    assert!(!limits.has_changes(0));
}

mod permits {
    use std::collections::{BTreeMap, VecDeque};
    use std::net::SocketAddr;

    use cypressfork_core::fleet::limit::Rate;
    use cypressfork_core::fleet::limit::issuers::{
        HANDOVER_PERIOD, ISSUERS_PER_REPLICA, IssueRate, PROBE_VALIDITY, PermitIssuers,
    };
    use cypressfork_core::fleet::limit::permits::{PERMIT_TTL, PermitBuckets, PermitRequest};
    use cypressfork_core::unit::Time;
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};
    use rstest::rstest;

    use super::REPLICA;

    /// Window in milliseconds in which a replica gets at most 1.5 times its limit plus `SLACK` requests.
    const WINDOW_MS: u64 = 4_000;
    const SLACK: u64 = 5;

    /// Returns the maximum number of requests in a window at a limit in thousandths per second.
    fn allowed(thousandths: u64) -> u64 {
        thousandths * WINDOW_MS * 3 / 2 / 1_000_000 + SLACK
    }

    fn request(thousandths: u64, priority: u8, wanted: u32) -> PermitRequest {
        PermitRequest {
            replica: REPLICA.to_owned(),
            data_centre: "a".to_owned(),
            rate: Rate(thousandths),
            priority,
            wanted,
        }
    }

    /// Returns the largest number of sends in any window.
    fn max_in_window(sends: &mut [u64]) -> u64 {
        sends.sort_unstable();
        let mut within = VecDeque::new();
        let mut max = 0;
        for at in sends {
            within.push_back(*at);
            while within.front().is_some_and(|first| *at - first >= WINDOW_MS) {
                within.pop_front();
            }
            max = max.max(within.len() as u64);
        }
        max
    }

    /// Simulates routers that issue permits for 60 s, each used at a random time while it is valid.
    /// Returns the largest number of sends in a window, and their total.
    fn simulate(thousandths: u64, routers: &[IssueRate], wanted: u32, seed: u64) -> (u64, u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut all: Vec<_> =
            routers.iter().map(|issue_rate| (PermitBuckets::default(), *issue_rate)).collect();
        let mut sends = Vec::new();
        for now in 0..60_000 {
            for (permits, issue_rate) in &mut all {
                if !rng.random_bool(0.3) {
                    continue;
                }
                let grant = permits.grant(Time(now), &request(thousandths, 3, wanted), *issue_rate);
                let used = (0..grant.permits).map(|_| now + rng.random_range(0..PERMIT_TTL.0));
                sends.extend(used);
            }
        }
        (max_in_window(&mut sends), sends.len() as u64)
    }

    #[rstest]
    fn a_limit_is_kept_by_one_router_and_by_two(
        #[values(0, 100, 500, 1_000, 2_000, 10_000, 100_000, 1_000_000)] thousandths: u64,
        #[values(1, 16)] wanted: u32,
        #[values(&[IssueRate::Full], &[IssueRate::Reduced], &[IssueRate::Full, IssueRate::Reduced])]
        routers: &[IssueRate],
    ) {
        for seed in 0..4 {
            let (peak, _) = simulate(thousandths, routers, wanted, seed);
            assert!(peak <= allowed(thousandths), "{peak} of {}", allowed(thousandths));
        }
    }

    #[rstest]
    fn one_router_issues_what_the_limit_allows(
        #[values(500, 1_000, 2_000, 10_000, 100_000)] thousandths: u64,
    ) {
        let (_, sent) = simulate(thousandths, &[IssueRate::Full], 16, 1);
        let possible = thousandths * 60 / 1_000;
        assert!(sent * 100 >= possible * 95, "{sent} of {possible}");
    }

    /// Guards against a limit of zero that no request can lift.
    #[test]
    fn a_limit_of_zero_permits_one_request_in_ten_seconds() {
        let (_, sent) = simulate(0, &[IssueRate::Full], 1, 1);
        assert_eq!(sent, 5);
    }

    #[test]
    fn urgent_requests_get_more_permits_and_others_are_not_starved() {
        let mut permits = PermitBuckets::default();
        let mut got = BTreeMap::<u8, u32>::new();
        for now in (0..120_000).step_by(50) {
            for priority in [4, 0] {
                let grant = permits.grant(Time(now), &request(2_000, priority, 1), IssueRate::Full);
                *got.entry(priority).or_default() += grant.permits;
            }
        }
        assert!(got[&0] > got[&4] * 2, "{got:?}");
        assert!(got[&4] > 20, "{got:?}");
    }

    #[test]
    fn refused_routers_get_staggered_retry_times() {
        let mut permits = PermitBuckets::default();
        let mut grant = || permits.grant(Time(5), &request(2_000, 0, 1), IssueRate::Full);
        let after: Vec<_> = (0..10).map(|_| grant().after.0).collect();
        assert_eq!(after, [500, 1_000, 1_500, 2_000, 2_500, 3_000, 3_500, 4_000, 4_000, 4_000]);
    }

    fn routers(n: u16) -> BTreeMap<String, Vec<SocketAddr>> {
        let addresses =
            |from: u16| (from..from + n).map(|p| SocketAddr::from(([10, 0, 0, 1], p))).collect();
        BTreeMap::from([("a".to_owned(), addresses(1_000)), ("b".to_owned(), addresses(2_000))])
    }

    #[test]
    fn all_routers_agree_on_the_two_issuers_near_the_replica() {
        let all = routers(5);
        let mut issuers = PermitIssuers::default();
        issuers.set_routers(Time(0), all.clone());
        let found = issuers.issuers(all["b"][0], REPLICA, "a").to_vec();
        assert_eq!(found.len(), ISSUERS_PER_REPLICA);
        assert!(found.iter().all(|r| all["a"].contains(r)), "{found:?}");
        for own in all.values().flatten() {
            let mut issuers = PermitIssuers::default();
            issuers.set_routers(Time(0), all.clone());
            assert_eq!(issuers.issuers(*own, REPLICA, "a"), found);
            let at = found.iter().position(|r| r == own);
            let expected = [Some(IssueRate::Full), Some(IssueRate::Reduced)];
            let issue_rate = issuers.issue_rate(Time(HANDOVER_PERIOD.0), *own, REPLICA, "a");
            assert_eq!(issue_rate, at.and_then(|at| expected[at]));
        }
    }

    #[test]
    fn issuers_are_drawn_from_all_routers_where_the_data_centre_has_too_few() {
        let mut all = routers(5);
        all.get_mut("a").unwrap().truncate(1);
        let mut issuers = PermitIssuers::default();
        issuers.set_routers(Time(0), all.clone());
        let found: Vec<Vec<_>> = (0..20)
            .map(|n| issuers.issuers(all["a"][0], &format!("b-{n}"), "a").to_vec())
            .collect();
        assert!(found.iter().flatten().any(|r| all["b"].contains(r)));
        assert_eq!(PermitIssuers::default().issuers(all["a"][0], REPLICA, "a"), []);
    }

    #[test]
    fn a_new_primary_issues_at_the_reduced_rate_for_a_period() {
        let mut all = routers(5);
        let mut issuers = PermitIssuers::default();
        issuers.set_routers(Time(0), all.clone());
        let [primary, secondary] = issuers.issuers(all["b"][0], REPLICA, "a")[..] else {
            panic!("expected two issuers")
        };
        let mut secondary_issuers = PermitIssuers::default();
        secondary_issuers.set_routers(Time(0), all.clone());
        assert_eq!(
            secondary_issuers.issue_rate(Time(9_000), secondary, REPLICA, "a"),
            Some(IssueRate::Reduced)
        );
        all.get_mut("a").unwrap().retain(|r| *r != primary);
        secondary_issuers.set_routers(Time(10_000), all.clone());
        let issue_rate =
            |issuers: &mut PermitIssuers, at| issuers.issue_rate(Time(at), secondary, REPLICA, "a");
        assert_eq!(issue_rate(&mut secondary_issuers, 13_900), Some(IssueRate::Reduced));
        assert_eq!(issue_rate(&mut secondary_issuers, 14_000), Some(IssueRate::Full));
        // Changes of other routers do not affect the primary.
        all.get_mut("b").unwrap().pop();
        secondary_issuers.set_routers(Time(15_000), all.clone());
        assert_eq!(issue_rate(&mut secondary_issuers, 15_000), Some(IssueRate::Full));
    }

    /// Guards against a limit that is hardly used while the primary is listed and removed every 2 s.
    #[test]
    fn a_third_of_a_limit_is_used_while_the_primary_comes_and_goes() {
        let all = routers(5);
        let [primary, secondary] = issuers_of(&all);
        let without = |gone: SocketAddr| {
            let mut left = all.clone();
            left.get_mut("a").unwrap().retain(|r| *r != gone);
            left
        };
        let mut processes =
            [(primary, PermitIssuers::default()), (secondary, PermitIssuers::default())];
        let mut permits = [PermitBuckets::default(), PermitBuckets::default()];
        let mut sent = 0;
        for now in 0..24_000 {
            let removed = now / 2_000 % 2 == 1;
            for (_, issuers) in &mut processes {
                issuers
                    .set_routers(Time(now), if removed { without(primary) } else { all.clone() });
            }
            let asked = usize::from(removed);
            let (own, issuers) = &mut processes[asked];
            let Some(rate) = issuers.issue_rate(Time(now), *own, REPLICA, "a") else { continue };
            sent += permits[asked].grant(Time(now), &request(1_000, 0, 1), rate).permits;
        }
        assert!(sent * 3 >= 24, "{sent} of 24");
    }

    /// The state of one router's process; empty after a restart.
    struct Process {
        issuers: PermitIssuers,
        permits: PermitBuckets,
        down: bool,
        /// Time of the last change of `down`, in milliseconds.
        changed_at: u64,
    }

    impl Process {
        fn new(now: u64, all: &BTreeMap<String, Vec<SocketAddr>>) -> Process {
            let mut issuers = PermitIssuers::default();
            issuers.set_routers(Time(now), all.clone());
            Process { issuers, permits: PermitBuckets::default(), down: false, changed_at: now }
        }
    }

    /// How long a router that did not answer is not asked again, in milliseconds.
    const BACKOFF_MS: u64 = 1_500;

    /// Guards against a limit that is hardly used while its primary crashes repeatedly: 700 ms down,
    /// 1,500 ms up.
    #[rstest]
    fn a_limit_is_used_while_its_primary_is_killed_repeatedly(
        #[values(500, 1_000, 2_000)] thousandths: u64,
        #[values(0, 250, 1_000)] first_crash: u64,
    ) {
        let all = routers(5);
        let [primary, secondary] = issuers_of(&all);
        let mut processes = [Process::new(0, &all), Process::new(0, &all)];
        let (mut backoff_until, mut sends) = (0, Vec::new());
        for now in 0..24_000 {
            let span = if processes[0].down { 700 } else { 1_500 };
            if now >= first_crash && now - processes[0].changed_at >= span {
                let down = !processes[0].down;
                processes[0] = Process { down, ..Process::new(now, &all) };
            }
            // The secondary probes the primary periodically.
            if now % 250 == 0 {
                let until = match processes[0].down {
                    true => Some(Time(now).after(PROBE_VALIDITY)),
                    false => processes[0].issuers.reduced_until(Time(now), primary, REPLICA, "a"),
                };
                if let Some(until) = until {
                    processes[1].issuers.record_reduced(Time(now), REPLICA, primary, until);
                }
            }
            if now % 20 != 0 {
                continue;
            }
            for (at, own) in [primary, secondary].into_iter().enumerate() {
                let p = &mut processes[at];
                if at == 0 && (p.down || now < backoff_until) {
                    backoff_until = if p.down { now + BACKOFF_MS } else { backoff_until };
                    continue;
                }
                let issue_rate = p.issuers.issue_rate(Time(now), own, REPLICA, "a").unwrap();
                let grant = p.permits.grant(Time(now), &request(thousandths, 0, 1), issue_rate);
                sends.extend((0..grant.permits).map(|_| now));
                let reduced = p.issuers.reduced_until(Time(now), own, REPLICA, "a").is_some();
                if grant.permits > 0 || !reduced {
                    break;
                }
            }
        }
        let (sent, possible) = (sends.len() as u64, thousandths * 24 / 1_000);
        assert!(sent * 3 >= possible, "{sent} of {possible}");
        let peak = max_in_window(&mut sends);
        assert!(peak <= allowed(thousandths), "{peak} of {}", allowed(thousandths));
    }

    /// Guards against two routers that issue at the full rate at the same time.
    #[test]
    fn a_secondary_issues_at_the_full_rate_only_while_the_primary_is_reduced() {
        let all = routers(5);
        let [primary, secondary] = issuers_of(&all);
        let mut primary_issuers = Process::new(10_000, &all).issuers;
        let mut secondary_issuers = Process::new(0, &all).issuers;
        let issue_rate =
            |issuers: &mut PermitIssuers, at, own| issuers.issue_rate(Time(at), own, REPLICA, "a");
        assert_eq!(issue_rate(&mut secondary_issuers, 10_100, secondary), Some(IssueRate::Reduced));
        let until = primary_issuers.reduced_until(Time(10_100), primary, REPLICA, "a").unwrap();
        assert_eq!(until, Time(14_000));
        secondary_issuers.record_reduced(Time(10_100), REPLICA, primary, until);
        assert_eq!(issue_rate(&mut secondary_issuers, 10_100, secondary), Some(IssueRate::Full));
        assert_eq!(issue_rate(&mut secondary_issuers, 11_099, secondary), Some(IssueRate::Full));
        assert_eq!(
            issue_rate(&mut secondary_issuers, 11_100, secondary),
            Some(IssueRate::Reduced),
            "the probe is no longer valid"
        );
        secondary_issuers.record_reduced(Time(13_900), REPLICA, primary, until);
        assert_eq!(issue_rate(&mut secondary_issuers, 13_999, secondary), Some(IssueRate::Full));
        assert_eq!(issue_rate(&mut secondary_issuers, 14_000, secondary), Some(IssueRate::Reduced));
        assert_eq!(issue_rate(&mut primary_issuers, 14_000, primary), Some(IssueRate::Full));
        assert!(primary_issuers.reduced_until(Time(14_000), primary, REPLICA, "a").is_none());
        assert!(secondary_issuers.reduced_until(Time(14_000), secondary, REPLICA, "a").is_none());
    }

    /// Guards against a reduced rate for 4 s when a primary that was found gone is removed from the list.
    #[test]
    fn a_secondary_that_replaced_the_primary_stays_at_the_full_rate() {
        let mut all = routers(5);
        let [primary, secondary] = issuers_of(&all);
        let mut issuers = Process::new(0, &all).issuers;
        issuers.issue_rate(Time(9_900), secondary, REPLICA, "a");
        issuers.record_reduced(Time(9_900), REPLICA, primary, Time(10_900));
        all.get_mut("a").unwrap().retain(|r| *r != primary);
        issuers.set_routers(Time(10_000), all);
        assert_eq!(
            issuers.issue_rate(Time(10_000), secondary, REPLICA, "a"),
            Some(IssueRate::Full)
        );
    }

    /// Returns the primary and the secondary issuer of the replica.
    fn issuers_of(all: &BTreeMap<String, Vec<SocketAddr>>) -> [SocketAddr; 2] {
        let mut issuers = PermitIssuers::default();
        issuers.set_routers(Time(0), all.clone());
        let found = issuers.issuers(all["b"][0], REPLICA, "a");
        [found[0], found[1]]
    }
}
