//! Tests of overloaded gateways: when they refuse requests, and how many callers of their data
//! centre are sent to gateways elsewhere.

use std::collections::BTreeSet;

use cypressfork_core::fleet::load_monitor::{LoadMonitor, MAX_PASS};
use cypressfork_core::fleet::regions::Regions;
use cypressfork_core::fleet::router_heartbeats::RouterHeartbeats;
use cypressfork_core::fleet::watch::RouterStatus;
use cypressfork_core::unit::Time;
use rstest::rstest;

/// Passes through the run queue as (end, duration) in milliseconds, and whether a request is refused
/// at 10 s.
#[rstest]
#[case::none(&[], false)]
#[case::short_ones(&[(9_900, 20), (9_950, 200)], false)]
#[case::a_long_one(&[(9_900, 201)], true)]
#[case::a_long_one_before_short_ones(&[(9_800, 900), (9_990, 1)], true)]
#[case::long_ago(&[(9_699, 900)], false)]
fn an_overloaded_process_refuses_requests(#[case] passes: &[(u64, u64)], #[case] refuses: bool) {
    let mut monitor = LoadMonitor::default();
    for (at, took) in passes {
        monitor.record_pass(Time(*at), took * 1_000);
    }
    assert_eq!(monitor.is_overloaded(Time(10_000)), refuses);
}

/// Guards against trusting a process that was overloaded seconds ago and may have missed changes.
#[rstest]
#[case::just_after(10_000, true)]
#[case::seconds_after(12_999, true)]
#[case::long_after(13_000, false)]
fn a_past_overload_counts_for_some_seconds(#[case] now: u64, #[case] expected: bool) {
    let mut monitor = LoadMonitor::default();
    monitor.record_pass(Time(10_000), (MAX_PASS.0 + 1) * 1_000);
    assert_eq!(monitor.was_overloaded(Time(now)), expected);
}

/// The status of gateway `n`, with the time of a pass through its run queue in milliseconds.
fn status(data_centre: &str, n: usize, pass_ms: u64) -> RouterStatus {
    let vm = format!("{data_centre}-{n:02}");
    RouterStatus {
        address: format!("{vm}:80"),
        link: format!("{vm}:81"),
        vm,
        data_centre: data_centre.to_owned(),
        open: true,
        busy: pass_ms >= 25,
        version: 0,
    }
}

const DATA_CENTRES: [&str; 4] = ["a", "b", "c", "d"];
const GATEWAYS: usize = 16;

/// Returns the addresses that callers in data centre `a` get in each second. `pass_ms` returns how
/// long a pass through the run queue of its gateways takes, given the percentage of callers that
/// still use them.
fn simulate(seconds: u64, pass_ms: impl Fn(u64) -> u64) -> Vec<Vec<String>> {
    let mut routers = RouterHeartbeats::default();
    let mut percent_left = 100;
    let mut all = Vec::new();
    for second in 1..=seconds {
        let now = Time(second * 1_000);
        for dc in DATA_CENTRES {
            for n in 0..GATEWAYS {
                let pass = if dc == "a" { pass_ms(percent_left) } else { 2 };
                routers.record(now, &status(dc, n, pass));
            }
        }
        let addresses = routers.addresses(now, "a", &Regions::default(), 64);
        percent_left = 100 * GATEWAYS as u64 / addresses.len() as u64;
        all.push(addresses);
    }
    all
}

/// Bytes served in each second over a link of 10 Mbit/s, and whether the gateway is busy after 2 s.
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

/// Guards against load that moves from gateway to gateway instead of spreading. 100 callers send 300
/// requests of 6 kB per second, and keep their gateway as long as it is among the addresses.
#[test]
fn load_on_one_gateway_is_spread_and_not_moved_to_the_next() {
    let mut routers = RouterHeartbeats::default();
    let mut gateway_of = vec![0usize; 100];
    let mut callers_per_gateway = Vec::new();
    for second in 1..=40u64 {
        let now = Time(second * 1_000);
        let callers = |n: usize| gateway_of.iter().filter(|a| **a == n).count();
        let busy: Vec<_> = (0..GATEWAYS).map(|n| callers(n) * 3 * 6_000 >= 625_000).collect();
        for (n, busy) in busy.iter().enumerate() {
            routers.record(now, &status("a", n, if *busy { 100 } else { 0 }));
        }
        for (n, gateway) in
            gateway_of.iter_mut().enumerate().filter(|(n, _)| *n as u64 % 2 == second % 2)
        {
            let addresses = routers.addresses(now, "a", &Regions::default(), 64);
            let current = status("a", *gateway, 0).address;
            if !addresses.contains(&current) {
                let next = &addresses[(n * 7 + second as usize) % addresses.len()];
                *gateway = next[2..4].parse().unwrap();
            }
        }
        callers_per_gateway =
            (0..GATEWAYS).map(|n| gateway_of.iter().filter(|a| **a == n).count()).collect();
        if second >= 8 {
            let most = *callers_per_gateway.iter().max().unwrap();
            assert!(
                most < 50,
                "in second {second} one gateway has {most} of 100: {callers_per_gateway:?}"
            );
        }
    }
    assert!(callers_per_gateway.iter().filter(|n| **n > 0).count() >= 4, "{callers_per_gateway:?}");
}

#[test]
fn a_data_centre_with_spare_capacity_returns_only_its_own_gateways() {
    for addresses in simulate(20, |_| 20) {
        assert_eq!(addresses.len(), GATEWAYS);
        assert!(addresses.iter().all(|a| a.starts_with('a')));
    }
}

/// Guards against gateways that stay overloaded, and against oscillation of the share of callers that
/// is sent elsewhere.
#[test]
fn an_overloaded_data_centre_returns_others_until_its_own_gateways_can_serve_the_rest() {
    // The gateways are overloaded while they get more than half of the callers.
    let responses = simulate(60, |percent_left| if percent_left > 50 { 400 } else { 10 });
    let sizes: Vec<_> = responses.iter().map(Vec::len).collect();
    assert!(sizes[3] >= 2 * GATEWAYS, "{sizes:?}");
    let busy = sizes[5..].iter().filter(|n| **n < 2 * GATEWAYS).count();
    assert!(busy <= 8, "{busy} of 55 seconds with too many callers: {sizes:?}");
    let elsewhere: BTreeSet<_> =
        responses.iter().flatten().filter(|a| !a.starts_with('a')).collect();
    assert_eq!(elsewhere.len(), 3 * GATEWAYS, "all other gateways must get callers");
}

#[test]
fn after_an_overload_callers_stay_in_their_data_centre() {
    let calls = std::cell::Cell::new(0);
    let responses = simulate(60, |_| {
        calls.set(calls.get() + 1);
        let second = calls.get() / GATEWAYS;
        if second < 5 { 400 } else { 3 }
    });
    assert_eq!(responses.last().unwrap().len(), GATEWAYS);
}
