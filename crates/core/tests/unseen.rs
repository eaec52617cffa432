//! What an engine may have made of a stream that broke off, unseen.

#![allow(missing_docs)]

use std::time::Duration;

use cypressfork_core::budget::UnreadEstimate;
use rstest::rstest;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Events that came, over what time, how long nothing was read, and the most that may have been made unseen.
#[rstest]
#[case::none_came(0, 0, 0, 5)]
#[case::one_came(1, 0, 0, 5)]
#[case::a_slow_engine(11, 10_000, 0, 2)]
#[case::a_usual_one(11, 100, 0, 10)]
#[case::a_caller_that_took_nothing_at_last(11, 300, 200, 50)]
#[case::a_caller_that_took_little(11, 200, 200, 500_000)]
#[case::all_at_once(11, 0, 0, 100_000)]
fn what_may_have_been_made(
    #[case] events: u64,
    #[case] span: u64,
    #[case] unread: u64,
    #[case] unseen: u64,
) {
    let mut pace = UnreadEstimate::default();
    pace.record_events(events, ms(span));
    pace.record_stall(ms(unread));
    assert_eq!(pace.max_unread(), unseen);
}
