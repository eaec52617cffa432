//! Limits that replicas name: how they are read, and what holds of words that overtake each other.

#![allow(missing_docs)]

use cypressfork_core::fleet::limit::Rate;
use cypressfork_core::fleet::limit::known::{LimitReport, Limits};
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

fn rate(n: u64) -> Option<Rate> {
    (n > 0).then_some(Rate(n * 1_000))
}

/// Answers: when their requests were sent, when they came, and the limit that they name (0: none).
/// Behind them, the limit that holds.
#[rstest]
#[case::named(&[(0, 10, 2)], 2)]
#[case::lifted_by_a_later_request(&[(0, 10, 2), (11, 20, 0)], 0)]
#[case::not_lifted_by_one_under_way(&[(0, 10, 2), (9, 20, 0)], 2)]
#[case::lowered_by_one_under_way(&[(0, 10, 2), (9, 20, 1)], 1)]
#[case::not_raised_by_one_under_way(&[(0, 10, 1), (9, 20, 2)], 1)]
#[case::raised_by_a_later_request(&[(0, 10, 1), (10, 20, 2)], 2)]
#[case::named_again_after_its_end(&[(0, 10, 2), (11, 20, 0), (21, 30, 3)], 3)]
#[case::a_late_answer_names_it_after_its_end(&[(0, 10, 2), (11, 20, 0), (9, 30, 2)], 2)]
#[case::and_the_next_one_lifts_it(&[(0, 10, 2), (11, 20, 0), (9, 30, 2), (31, 40, 0)], 0)]
#[case::never_named(&[(0, 10, 0)], 0)]
fn answers_that_overtake_each_other(#[case] answers: &[(u64, u64, u64)], #[case] holds: u64) {
    let mut limits = Limits::default();
    for (sent, came, named) in answers {
        limits.record_response(Time(*came), REPLICA, 1, Time(*sent), rate(*named));
    }
    assert_eq!(limits.rate(REPLICA), rate(holds));
}

#[test]
fn a_later_life_begins_without_a_limit() {
    let mut limits = Limits::default();
    limits.record_response(Time(10), REPLICA, 1, Time(0), rate(2));
    assert_eq!(limits.remove(REPLICA), rate(2));
    assert_eq!(limits.record_response(Time(20), REPLICA, 2, Time(15), None), None);
    assert_eq!(limits.rate(REPLICA), None);
}

fn word(born: u64, named: u64, age: u64) -> LimitReport {
    LimitReport { replica: REPLICA.to_owned(), born, rate: rate(named), age: Millis(age) }
}

/// Words of others, each with when it comes; behind them, the limit that holds.
#[rstest]
#[case::named(&[(1_000, word(1, 2, 100))], 2)]
#[case::lifted_later(&[(1_000, word(1, 2, 100)), (2_000, word(1, 0, 100))], 0)]
#[case::an_older_word_that_comes_later(&[(1_000, word(1, 0, 0)), (1_000, word(1, 2, 0)), (2_000, word(1, 0, 1_900))], 2)]
#[case::of_two_at_once_the_lower(&[(1_000, word(1, 1, 0)), (1_100, word(1, 2, 0))], 1)]
#[case::of_two_at_once_the_lower_in_the_other_order(&[(1_000, word(1, 2, 0)), (1_100, word(1, 1, 0))], 1)]
#[case::of_an_earlier_life(&[(1_000, word(2, 1, 0)), (2_000, word(1, 5, 0))], 1)]
#[case::of_a_later_life(&[(1_000, word(1, 1, 0)), (1_010, word(2, 5, 0))], 5)]
#[case::the_end_of_what_was_never_known(&[(1_000, word(1, 0, 0))], 0)]
fn words_of_others(#[case] words: &[(u64, LimitReport)], #[case] holds: u64) {
    let mut limits = Limits::default();
    for (at, word) in words {
        limits.apply(Time(*at), word);
    }
    assert_eq!(limits.rate(REPLICA), rate(holds));
}

#[test]
fn two_processes_that_tell_each_other_come_to_agree() {
    for apart in (0..1_000).step_by(50) {
        let mut all = [Limits::default(), Limits::default()];
        all[0].apply(Time(10_000), &word(1, 2, 0));
        all[1].apply(Time(10_000), &word(1, 2, 0));
        // One hears that it is over, the other that it is lower, some time apart.
        all[0].apply(Time(11_000), &word(1, 0, 0));
        all[1].apply(Time(11_000 + apart), &word(1, 1, 0));
        let mut told = [0, 0];
        for at in (12_000..14_000).step_by(20) {
            for n in [0, 1] {
                let (words, upto) = all[n].changes(Time(at), told[n], 10);
                told[n] = upto;
                for w in words {
                    all[1 - n].apply(Time(at + 10), &w);
                }
            }
        }
        assert_eq!(all[0].rate(REPLICA), all[1].rate(REPLICA), "{apart} ms apart");
    }
}

#[test]
fn a_change_is_told_once_and_what_goes_on_now_and_then() {
    let again = Millis(5_000);
    let mut limits = Limits::default();
    limits.record_response(Time(1_000), REPLICA, 1, Time(900), rate(2));
    assert_eq!(limits.take_due_reports(Time(1_000), again, 9), [word(1, 2, 0)]);
    assert_eq!(limits.take_due_reports(Time(1_100), again, 9), []);
    limits.record_response(Time(5_500), REPLICA, 1, Time(5_400), rate(2));
    assert_eq!(limits.take_due_reports(Time(5_900), again, 9), []);
    assert_eq!(limits.take_due_reports(Time(6_000), again, 9), [word(1, 2, 500)]);
    limits.apply(Time(7_000), &LimitReport { replica: "b-2".to_owned(), ..word(1, 1, 0) });
    assert_eq!(limits.take_due_reports(Time(19_000), again, 9), [], "others tell what they heard");
}

#[test]
fn what_nobody_hears_any_more_is_forgotten() {
    let mut limits = Limits::default();
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
    use cypressfork_core::fleet::limit::homes::{
        HANDOVER_PERIOD, ISSUERS_PER_REPLICA, IssueRate, PROBE_VALIDITY, PermitIssuers,
    };
    use cypressfork_core::fleet::limit::permits::{PERMIT_TTL, PermitBuckets, PermitRequest};
    use cypressfork_core::unit::Time;
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};
    use rstest::rstest;

    use super::REPLICA;

    /// By the users' pages: in so long, a replica gets half as much again as its limit allows and five
    /// requests besides, at most.
    const SPAN: u64 = 4_000;
    const SLACK: u64 = 5;

    fn allowed(thousandths: u64) -> u64 {
        thousandths * SPAN * 3 / 2 / 1_000_000 + SLACK
    }

    fn ask(thousandths: u64, priority: u8, wanted: u32) -> PermitRequest {
        PermitRequest {
            replica: REPLICA.to_owned(),
            data_centre: "a".to_owned(),
            rate: Rate(thousandths),
            priority,
            wanted,
        }
    }

    /// The most sends in a span. A permit is used at any time while it is good.
    fn most(sends: &mut [u64]) -> u64 {
        sends.sort_unstable();
        let mut within = VecDeque::new();
        let mut most = 0;
        for at in sends {
            within.push_back(*at);
            while within.front().is_some_and(|first| *at - first >= SPAN) {
                within.pop_front();
            }
            most = most.max(within.len() as u64);
        }
        most
    }

    /// Several routers hand out permits, each asked again and again; whatever is granted is used at the
    /// worst moment that is drawn.
    fn play(thousandths: u64, routers: &[IssueRate], wanted: u32, seed: u64) -> (u64, u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut all: Vec<_> =
            routers.iter().map(|rank| (PermitBuckets::default(), *rank)).collect();
        let mut sends = Vec::new();
        for now in 0..60_000 {
            for (permits, rank) in &mut all {
                if !rng.random_bool(0.3) {
                    continue;
                }
                let grant = permits.grant(Time(now), &ask(thousandths, 3, wanted), *rank);
                let used = (0..grant.permits).map(|_| now + rng.random_range(0..PERMIT_TTL.0));
                sends.extend(used);
            }
        }
        (most(&mut sends), sends.len() as u64)
    }

    #[rstest]
    fn a_limit_is_kept_by_one_router_and_by_two(
        #[values(0, 100, 500, 1_000, 2_000, 10_000, 100_000, 1_000_000)] thousandths: u64,
        #[values(1, 16)] wanted: u32,
        #[values(&[IssueRate::Full], &[IssueRate::Reduced], &[IssueRate::Full, IssueRate::Reduced])]
        routers: &[IssueRate],
    ) {
        for seed in 0..4 {
            let (most, _) = play(thousandths, routers, wanted, seed);
            assert!(most <= allowed(thousandths), "{most} of {}", allowed(thousandths));
        }
    }

    #[rstest]
    fn one_router_hands_out_what_the_limit_allows(
        #[values(500, 1_000, 2_000, 10_000, 100_000)] thousandths: u64,
    ) {
        let (_, sent) = play(thousandths, &[IssueRate::Full], 16, 1);
        let possible = thousandths * 60 / 1_000;
        assert!(sent * 100 >= possible * 95, "{sent} of {possible}");
    }

    /// One that takes nothing is asked now and then all the same: somebody has to hear that it is over.
    #[test]
    fn a_limit_of_nothing_lets_one_request_through_in_ten_seconds() {
        let (_, sent) = play(0, &[IssueRate::Full], 1, 1);
        assert_eq!(sent, 5);
    }

    #[test]
    fn the_more_urgent_come_first_and_the_others_are_not_shut_out() {
        let mut permits = PermitBuckets::default();
        let mut got = BTreeMap::<u8, u32>::new();
        for now in (0..120_000).step_by(50) {
            for priority in [4, 0] {
                let grant = permits.grant(Time(now), &ask(2_000, priority, 1), IssueRate::Full);
                *got.entry(priority).or_default() += grant.permits;
            }
        }
        assert!(got[&0] > got[&4] * 2, "{got:?}");
        assert!(got[&4] > 20, "{got:?}");
    }

    #[test]
    fn those_that_get_none_are_told_to_ask_one_after_the_other() {
        let mut permits = PermitBuckets::default();
        let mut grant = || permits.grant(Time(5), &ask(2_000, 0, 1), IssueRate::Full);
        let after: Vec<_> = (0..10).map(|_| grant().after.0).collect();
        assert_eq!(after, [500, 1_000, 1_500, 2_000, 2_500, 3_000, 3_500, 4_000, 4_000, 4_000]);
    }

    fn routers(n: u16) -> BTreeMap<String, Vec<SocketAddr>> {
        let of =
            |from: u16| (from..from + n).map(|p| SocketAddr::from(([10, 0, 0, 1], p))).collect();
        BTreeMap::from([("a".to_owned(), of(1_000)), ("b".to_owned(), of(2_000))])
    }

    #[test]
    fn all_routers_find_the_same_two_near_the_replica() {
        let all = routers(5);
        let mut homes = PermitIssuers::default();
        homes.set_routers(Time(0), all.clone());
        let found = homes.issuers(all["b"][0], REPLICA, "a").to_vec();
        assert_eq!(found.len(), ISSUERS_PER_REPLICA);
        assert!(found.iter().all(|r| all["a"].contains(r)), "{found:?}");
        for own in all.values().flatten() {
            let mut homes = PermitIssuers::default();
            homes.set_routers(Time(0), all.clone());
            assert_eq!(homes.issuers(*own, REPLICA, "a"), found);
            let at = found.iter().position(|r| r == own);
            let expected = [Some(IssueRate::Full), Some(IssueRate::Reduced)];
            let rank = homes.issue_rate(Time(HANDOVER_PERIOD.0), *own, REPLICA, "a");
            assert_eq!(rank, at.and_then(|at| expected[at]));
        }
    }

    #[test]
    fn where_a_data_centre_has_too_few_all_come_into_question() {
        let mut all = routers(5);
        all.get_mut("a").unwrap().truncate(1);
        let mut homes = PermitIssuers::default();
        homes.set_routers(Time(0), all.clone());
        let found: Vec<Vec<_>> =
            (0..20).map(|n| homes.issuers(all["a"][0], &format!("b-{n}"), "a").to_vec()).collect();
        assert!(found.iter().flatten().any(|r| all["b"].contains(r)));
        assert_eq!(PermitIssuers::default().issuers(all["a"][0], REPLICA, "a"), []);
    }

    #[test]
    fn one_that_has_just_come_to_be_the_first_stands_back_for_a_while() {
        let mut all = routers(5);
        let mut homes = PermitIssuers::default();
        homes.set_routers(Time(0), all.clone());
        let [first, second] = homes.issuers(all["b"][0], REPLICA, "a")[..] else {
            panic!("two are named")
        };
        let mut of_second = PermitIssuers::default();
        of_second.set_routers(Time(0), all.clone());
        assert_eq!(
            of_second.issue_rate(Time(9_000), second, REPLICA, "a"),
            Some(IssueRate::Reduced)
        );
        all.get_mut("a").unwrap().retain(|r| *r != first);
        of_second.set_routers(Time(10_000), all.clone());
        let rank = |homes: &mut PermitIssuers, at| homes.issue_rate(Time(at), second, REPLICA, "a");
        assert_eq!(rank(&mut of_second, 13_900), Some(IssueRate::Reduced));
        assert_eq!(rank(&mut of_second, 14_000), Some(IssueRate::Full));
        // Others come and go: it stays what it is.
        all.get_mut("b").unwrap().pop();
        of_second.set_routers(Time(15_000), all.clone());
        assert_eq!(rank(&mut of_second, 15_000), Some(IssueRate::Full));
    }

    /// Who has just come to be the first hands out a quarter, and both have what they saved up: while the first
    /// comes and goes every 2 s, a good part of the limit is used all the same.
    #[test]
    fn a_third_of_a_limit_is_used_while_routers_come_and_go() {
        let all = routers(5);
        let [first, second] = homes_of(&all);
        let without = |gone: SocketAddr| {
            let mut left = all.clone();
            left.get_mut("a").unwrap().retain(|r| *r != gone);
            left
        };
        let mut known = [(first, PermitIssuers::default()), (second, PermitIssuers::default())];
        let mut permits = [PermitBuckets::default(), PermitBuckets::default()];
        let mut sent = 0;
        for now in 0..24_000 {
            let away = now / 2_000 % 2 == 1;
            for (_, homes) in &mut known {
                homes.set_routers(Time(now), if away { without(first) } else { all.clone() });
            }
            let asked = usize::from(away);
            let (own, homes) = &mut known[asked];
            let Some(rank) = homes.issue_rate(Time(now), *own, REPLICA, "a") else { continue };
            sent += permits[asked].grant(Time(now), &ask(1_000, 0, 1), rank).permits;
        }
        assert!(sent * 3 >= 24, "{sent} of 24");
    }

    /// One router's process: it knows nothing when it starts.
    struct Process {
        homes: PermitIssuers,
        permits: PermitBuckets,
        /// Since when it is down, or up.
        down: bool,
        turned: u64,
    }

    impl Process {
        fn new(now: u64, all: &BTreeMap<String, Vec<SocketAddr>>) -> Process {
            let mut homes = PermitIssuers::default();
            homes.set_routers(Time(now), all.clone());
            Process { homes, permits: PermitBuckets::default(), down: false, turned: now }
        }
    }

    /// How long a router that does not answer is not asked again, in milliseconds.
    const OUT: u64 = 1_500;

    /// Guards against a limit that is hardly used while its first router is killed and starts again: down for
    /// 700 ms, up for 1,500 ms. Routers that ask leave it out for 1,500 ms whenever it does not answer.
    #[rstest]
    fn a_limit_is_used_while_its_first_router_is_killed_again_and_again(
        #[values(500, 1_000, 2_000)] thousandths: u64,
        #[values(0, 250, 1_000)] begins: u64,
    ) {
        let all = routers(5);
        let [first, second] = homes_of(&all);
        let mut known = [Process::new(0, &all), Process::new(0, &all)];
        let (mut out_until, mut sends) = (0, Vec::new());
        for now in 0..24_000 {
            let span = if known[0].down { 700 } else { 1_500 };
            if now >= begins && now - known[0].turned >= span {
                let down = !known[0].down;
                known[0] = Process { down, ..Process::new(now, &all) };
            }
            // The second looks after the first now and then.
            if now % 250 == 0 {
                let until = match known[0].down {
                    true => Some(Time(now).after(PROBE_VALIDITY)),
                    false => known[0].homes.reduced_until(Time(now), first, REPLICA, "a"),
                };
                if let Some(until) = until {
                    known[1].homes.record_reduced(Time(now), REPLICA, first, until);
                }
            }
            if now % 20 != 0 {
                continue;
            }
            for (at, own) in [first, second].into_iter().enumerate() {
                let p = &mut known[at];
                if at == 0 && (p.down || now < out_until) {
                    out_until = if p.down { now + OUT } else { out_until };
                    continue;
                }
                let rank = p.homes.issue_rate(Time(now), own, REPLICA, "a").unwrap();
                let grant = p.permits.grant(Time(now), &ask(thousandths, 0, 1), rank);
                sends.extend((0..grant.permits).map(|_| now));
                let unsettled = p.homes.reduced_until(Time(now), own, REPLICA, "a").is_some();
                if grant.permits > 0 || !unsettled {
                    break;
                }
            }
        }
        let (sent, possible) = (sends.len() as u64, thousandths * 24 / 1_000);
        assert!(sent * 3 >= possible, "{sent} of {possible}");
        let most = most(&mut sends);
        assert!(most <= allowed(thousandths), "{most} of {}", allowed(thousandths));
    }

    /// Guards against two routers that both hand out all of a limit: the second stops before the first begins.
    #[test]
    fn a_second_stands_in_for_no_longer_than_the_first_stands_back() {
        let all = routers(5);
        let [first, second] = homes_of(&all);
        let mut of_first = Process::new(10_000, &all).homes;
        let mut of_second = Process::new(0, &all).homes;
        let rank =
            |homes: &mut PermitIssuers, at, own| homes.issue_rate(Time(at), own, REPLICA, "a");
        assert_eq!(rank(&mut of_second, 10_100, second), Some(IssueRate::Reduced));
        let until = of_first.reduced_until(Time(10_100), first, REPLICA, "a").unwrap();
        assert_eq!(until, Time(14_000));
        of_second.record_reduced(Time(10_100), REPLICA, first, until);
        assert_eq!(rank(&mut of_second, 10_100, second), Some(IssueRate::Full));
        assert_eq!(rank(&mut of_second, 11_099, second), Some(IssueRate::Full));
        assert_eq!(
            rank(&mut of_second, 11_100, second),
            Some(IssueRate::Reduced),
            "it looks again"
        );
        of_second.record_reduced(Time(13_900), REPLICA, first, until);
        assert_eq!(rank(&mut of_second, 13_999, second), Some(IssueRate::Full));
        assert_eq!(rank(&mut of_second, 14_000, second), Some(IssueRate::Reduced));
        assert_eq!(rank(&mut of_first, 14_000, first), Some(IssueRate::Full));
        assert!(of_first.reduced_until(Time(14_000), first, REPLICA, "a").is_none());
        assert!(of_second.reduced_until(Time(14_000), second, REPLICA, "a").is_none());
    }

    /// Guards against a pause of 4 s when a list no longer names a first router that was seen to be gone.
    #[test]
    fn one_that_stands_in_goes_on_as_the_first() {
        let mut all = routers(5);
        let [first, second] = homes_of(&all);
        let mut homes = Process::new(0, &all).homes;
        homes.issue_rate(Time(9_900), second, REPLICA, "a");
        homes.record_reduced(Time(9_900), REPLICA, first, Time(10_900));
        all.get_mut("a").unwrap().retain(|r| *r != first);
        homes.set_routers(Time(10_000), all);
        assert_eq!(homes.issue_rate(Time(10_000), second, REPLICA, "a"), Some(IssueRate::Full));
    }

    fn homes_of(all: &BTreeMap<String, Vec<SocketAddr>>) -> [SocketAddr; 2] {
        let mut homes = PermitIssuers::default();
        homes.set_routers(Time(0), all.clone());
        let found = homes.issuers(all["b"][0], REPLICA, "a");
        [found[0], found[1]]
    }
}
