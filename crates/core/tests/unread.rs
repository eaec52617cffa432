//! Tests the estimate of events that an engine may have produced unread before a stream broke off.

#![allow(missing_docs)]

use std::time::Duration;

use cypressfork_core::budget::UnreadEstimate;
use rstest::rstest;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against underestimating unread events. Times are in milliseconds.
#[rstest]
#[case::no_event(0, 0, 0, 5)]
#[case::one_event(1, 0, 0, 5)]
#[case::a_slow_engine(11, 10_000, 0, 2)]
#[case::a_fast_engine(11, 100, 0, 10)]
#[case::a_caller_that_stalled_at_the_end(11, 300, 200, 50)]
#[case::a_caller_that_stalled_throughout(11, 200, 200, 500_000)]
#[case::all_at_once(11, 0, 0, 100_000)]
fn max_unread_depends_on_pace_and_stalls(
    #[case] events: u64,
    #[case] span: u64,
    #[case] stall: u64,
    #[case] max_unread: u64,
) {
    let mut estimate = UnreadEstimate::default();
    estimate.record_events(events, ms(span));
    estimate.record_stall(ms(stall));
    assert_eq!(estimate.max_unread(), max_unread);
}
