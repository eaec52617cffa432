//! A gateway that callers crowd onto: when it refuses, and how far its data centre's callers are sent
//! beyond its own gateways.
//!
//! The load: two thirds of the callers of four data centres with 16 gateways each come to one of them,
//! so that a gateway there has eight times the work of one elsewhere.

use std::collections::BTreeSet;

use cypressfork_core::fleet::entry::RouterHeartbeats;
use cypressfork_core::fleet::pace::{LoadMonitor, MAX_PASS};
use cypressfork_core::fleet::regions::Regions;
use cypressfork_core::fleet::watch::RouterStatus;
use cypressfork_core::unit::Time;
use rstest::rstest;

/// Passes as (when, how long), in milliseconds, and whether a request is refused at 10 s.
#[rstest]
#[case::none(&[], false)]
#[case::short_ones(&[(9_900, 20), (9_950, 200)], false)]
#[case::a_long_one(&[(9_900, 201)], true)]
#[case::a_long_one_before_short_ones(&[(9_800, 900), (9_990, 1)], true)]
#[case::long_ago(&[(9_699, 900)], false)]
fn a_process_behind_its_own_work_refuses(#[case] passes: &[(u64, u64)], #[case] refuses: bool) {
    let mut monitor = LoadMonitor::default();
    for (at, took) in passes {
        monitor.record_pass(Time(*at), took * 1_000);
    }
    assert_eq!(monitor.is_overloaded(Time(10_000)), refuses);
}

/// For some seconds after that it may not have heard what is in force.
#[rstest]
#[case::just_after(10_000, true)]
#[case::seconds_after(12_999, true)]
#[case::long_after(13_000, false)]
fn it_was_behind(#[case] now: u64, #[case] was: bool) {
    let mut monitor = LoadMonitor::default();
    monitor.record_pass(Time(10_000), (MAX_PASS.0 + 1) * 1_000);
    assert_eq!(monitor.was_overloaded(Time(now)), was);
}

fn sign(data_centre: &str, n: usize, pass: u64) -> RouterStatus {
    let vm = format!("{data_centre}-{n:02}");
    RouterStatus {
        address: format!("{vm}:80"),
        link: format!("{vm}:81"),
        vm,
        data_centre: data_centre.to_owned(),
        open: true,
        busy: pass >= 25,
    }
}

const CENTRES: [&str; 4] = ["a", "b", "c", "d"];
const EACH: usize = 16;

/// A caller's answers in data centre `a` over some seconds, in which its gateways' work waits as long
/// as `pass` tells from the part of their callers that is left to them, in hundredths.
fn play(seconds: u64, pass: impl Fn(u64) -> u64) -> Vec<Vec<String>> {
    let mut routers = RouterHeartbeats::default();
    let mut left = 100;
    let mut all = Vec::new();
    for second in 1..=seconds {
        let now = Time(second * 1_000);
        for dc in CENTRES {
            for n in 0..EACH {
                let pass = if dc == "a" { pass(left) } else { 2 };
                routers.record(now, &sign(dc, n, pass));
            }
        }
        let answer = routers.addresses(now, "a", &Regions::default(), 64);
        left = 100 * EACH as u64 / answer.len() as u64;
        all.push(answer);
    }
    all
}

/// A link of 10 Mbit/s, with bytes served in each second.
#[rstest]
#[case::idle(&[0, 0], false)]
#[case::two_fifths(&[500_000, 500_000], false)]
#[case::more_than_half(&[500_000, 700_000], true)]
#[case::full_before(&[1_250_000, 100_000], false)]
fn a_full_link_makes_a_gateway_busy(#[case] served: &[u64], #[case] busy: bool) {
    let mut monitor = LoadMonitor::default();
    let mut sum = 0;
    for (n, bytes) in served.iter().enumerate() {
        sum += bytes;
        monitor.record_bytes(Time((n as u64 + 1) * 1_000), sum, 1_250_000);
    }
    assert_eq!(monitor.is_busy(Time(2_000)), busy);
    assert!(!monitor.is_link_full());
    monitor.record_bytes(Time(3_000), sum + 1_000_000, 1_250_000);
    assert!(monitor.is_link_full());
}

/// Callers that stay with one gateway as long as they are told of it, and otherwise go to any: 300
/// requests a second of 6 kB, of a hundred callers that ask anew every two seconds.
#[test]
fn a_crowd_that_stays_with_one_gateway_is_thinned_out_and_not_passed_on() {
    let mut routers = RouterHeartbeats::default();
    let mut at = vec![0usize; 100];
    let mut last = Vec::new();
    for second in 1..=40u64 {
        let now = Time(second * 1_000);
        let crowd = |n: usize| at.iter().filter(|a| **a == n).count();
        let busy: Vec<_> = (0..EACH).map(|n| crowd(n) * 3 * 6_000 >= 625_000).collect();
        for (n, busy) in busy.iter().enumerate() {
            routers.record(now, &sign("a", n, if *busy { 100 } else { 0 }));
        }
        for (n, place) in at.iter_mut().enumerate().filter(|(n, _)| *n as u64 % 2 == second % 2) {
            let answer = routers.addresses(now, "a", &Regions::default(), 64);
            let own = sign("a", *place, 0).address;
            if !answer.contains(&own) {
                let next = &answer[(n * 7 + second as usize) % answer.len()];
                *place = next[2..4].parse().unwrap();
            }
        }
        last = (0..EACH).map(|n| at.iter().filter(|a| **a == n).count()).collect();
        if second >= 8 {
            let most = *last.iter().max().unwrap();
            assert!(most < 50, "in second {second} one gateway has {most} of 100: {last:?}");
        }
    }
    assert!(last.iter().filter(|n| **n > 0).count() >= 4, "{last:?}");
}

#[test]
fn a_data_centre_with_time_to_spare_names_its_own() {
    for answer in play(20, |_| 20) {
        assert_eq!(answer.len(), EACH);
        assert!(answer.iter().all(|a| a.starts_with('a')));
    }
}

/// Busy gateways are relieved within some seconds, and stay so: the part that is sent elsewhere settles
/// where they are just not busy any more.
#[test]
fn a_crowded_data_centre_names_others_until_its_own_can_bear_the_rest() {
    // Too much as long as more than half of the callers are left to them.
    let answers = play(60, |left| if left > 50 { 400 } else { 10 });
    let sizes: Vec<_> = answers.iter().map(Vec::len).collect();
    assert!(sizes[3] >= 2 * EACH, "{sizes:?}");
    let busy = sizes[5..].iter().filter(|n| **n < 2 * EACH).count();
    assert!(busy <= 8, "{busy} of 55 seconds with too many callers: {sizes:?}");
    let elsewhere: BTreeSet<_> = answers.iter().flatten().filter(|a| !a.starts_with('a')).collect();
    assert_eq!(elsewhere.len(), 3 * EACH, "all others get their part");
}

#[test]
fn once_the_crowd_has_gone_callers_stay_at_home() {
    let asked = std::cell::Cell::new(0);
    let answers = play(60, |_| {
        asked.set(asked.get() + 1);
        let second = asked.get() / EACH;
        if second < 5 { 400 } else { 3 }
    });
    assert_eq!(answers.last().unwrap().len(), EACH);
}
