//! What a router tells others of its prompts is bounded, however many callers use it.

use cypressfork_core::fleet::telling::MessageRateLimit;
use cypressfork_core::unit::Time;
use rstest::rstest;

/// Prompts a second, peers, and how many prompts of ten seconds are told to all peers.
#[rstest]
#[case::few_gateways(20, 6, 200)]
#[case::a_usual_gateway_of_many(2, 57, 20)]
#[case::one_that_many_callers_use(200, 57, 77)]
#[case::more_peers_than_messages(1, 500, 0)]
fn a_flood_of_prompts_is_told_in_part(#[case] prompts: u64, #[case] peers: u64, #[case] told: u64) {
    let mut a = MessageRateLimit::default();
    let at = |n: u64| Time(5_000 + n * 1_000 / prompts);
    let taken = (0..prompts * 10).filter(|n| a.try_take(at(*n), peers)).count();
    assert_eq!(taken as u64, told);
}

#[test]
fn time_that_goes_back_gives_nothing() {
    let mut a = MessageRateLimit::default();
    assert!(a.try_take(Time(9_000), 400));
    assert!(!a.try_take(Time(1_000), 1));
    assert!(!a.try_take(Time(1_001), 1));
    assert!(a.try_take(Time(1_010), 3));
}
