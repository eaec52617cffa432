//! A router to which many requests of one budget come is its home, and ceases to be one.

#![allow(missing_docs)]

use cypressfork_core::fleet::demand::Demand;
use cypressfork_core::unit::Time;
use rstest::rstest;

#[rstest]
#[case::usual(3, false)]
#[case::just_below(19, false)]
#[case::many(21, true)]
#[case::a_whole_account(150, true)]
fn a_router_is_its_own_home_from_some_requests_a_second_on(
    #[case] a_second: u64,
    #[case] heavy: bool,
) {
    let mut d = Demand::default();
    let at = |n: u64| Time(10_000 + n * 1_000 / a_second);
    (0..a_second * 10).for_each(|n| d.record(at(n)));
    assert_eq!(d.is_heavy(at(a_second * 10)), heavy);
}

#[test]
fn it_stays_so_for_a_while_and_no_longer() {
    let mut d = Demand::default();
    (0..30).for_each(|n| d.record(Time(1_000 + n)));
    // A few requests more do not end it, and do not prolong it.
    (0..6).for_each(|n| d.record(Time(2_100 + n * 600)));
    assert!(d.is_heavy(Time(5_900)));
    assert!(!d.is_heavy(Time(6_100)));
}
