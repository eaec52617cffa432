//! The rate limit on a router's announcements of prompt placements to its peers.

use cypressfork_core::fleet::message_rate::MessageRateLimit;
use cypressfork_core::unit::Time;
use rstest::rstest;

/// Each case: prompts per second, number of peers, and how many of the prompts sent in ten seconds
/// are announced to all peers.
#[rstest]
#[case::few_gateways(20, 6, 200)]
#[case::a_usual_gateway_of_many(2, 57, 20)]
#[case::one_that_many_callers_use(200, 57, 77)]
#[case::more_peers_than_messages(1, 500, 0)]
fn announcements_are_rate_limited(
    #[case] prompts: u64,
    #[case] peers: u64,
    #[case] announced: u64,
) {
    let mut limit = MessageRateLimit::default();
    let at = |n: u64| Time(5_000 + n * 1_000 / prompts);
    let announced_count = (0..prompts * 10).filter(|n| limit.try_take(at(*n), peers)).count();
    assert_eq!(announced_count as u64, announced);
}

/// Guards against a refill of the token bucket by a clock that goes backwards.
#[test]
fn a_clock_that_goes_backwards_adds_no_tokens() {
    let mut limit = MessageRateLimit::default();
    assert!(limit.try_take(Time(9_000), 400));
    assert!(!limit.try_take(Time(1_000), 1));
    assert!(!limit.try_take(Time(1_001), 1));
    assert!(limit.try_take(Time(1_010), 3));
}
