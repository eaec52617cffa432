//! Tests when a router's demand for a budget is high enough to hold its own slice.

#![allow(missing_docs)]

use cypressfork_core::fleet::demand::Demand;
use cypressfork_core::unit::Time;
use rstest::rstest;

/// Guards against a wrong request rate for holding a slice.
#[rstest]
#[case::usual(3, false)]
#[case::just_below(19, false)]
#[case::many(21, true)]
#[case::a_whole_account(150, true)]
fn demand_is_heavy_above_a_request_rate(#[case] per_second: u64, #[case] heavy: bool) {
    let mut d = Demand::default();
    let at = |n: u64| Time(10_000 + n * 1_000 / per_second);
    (0..per_second * 10).for_each(|n| d.record(at(n)));
    assert_eq!(d.is_heavy(at(per_second * 10)), heavy);
}

/// Guards against heavy demand that ends at once or is prolonged by single requests.
#[test]
fn demand_stays_heavy_for_a_limited_time() {
    let mut d = Demand::default();
    (0..30).for_each(|n| d.record(Time(1_000 + n)));
    // A low rate neither ends nor prolongs it.
    (0..6).for_each(|n| d.record(Time(2_100 + n * 600)));
    assert!(d.is_heavy(Time(5_900)));
    assert!(!d.is_heavy(Time(6_100)));
}
