//! Tests of the cause that a late stream is attributed to.

use std::time::Duration;

use cypressfork_core::route::lateness::{
    LateCause, LatencyBreakdown, LatencyObjective, late_cause,
};
use rstest::rstest;

/// Milliseconds waited for the reservation, in the gateway, for the first event, in the longest pause
/// and in forwarding. The objective is 500 ms to the first event and 400 ms between events.
#[rstest]
#[case::in_time([0, 0, 500, 400, 0], None)]
#[case::waited_for_tokens([400, 50, 100, 0, 0], Some(LateCause::Reservation))]
#[case::waited_at_the_gateway([50, 400, 100, 0, 0], Some(LateCause::Gateway))]
#[case::the_replica_was_slow([100, 0, 401, 0, 0], Some(LateCause::FirstEvent))]
#[case::it_paused([0, 0, 100, 401, 0], Some(LateCause::Pause))]
#[case::forwarded_late([0, 0, 100, 300, 101], Some(LateCause::Forwarding))]
#[case::a_late_start_counts_before_a_pause([0, 0, 501, 600, 0], Some(LateCause::FirstEvent))]
fn a_late_stream_has_a_cause(#[case] ms: [u64; 5], #[case] expected: Option<LateCause>) {
    let [reservation, gateway, first_event, pause, forwarding] = ms.map(Duration::from_millis);
    let breakdown = LatencyBreakdown { reservation, gateway, first_event, pause, forwarding };
    let objective = LatencyObjective {
        first_event: Duration::from_millis(500),
        max_pause: Some(Duration::from_millis(400)),
    };
    assert_eq!(late_cause(&breakdown, &objective), expected);
}

#[test]
fn a_route_without_a_pause_objective_accepts_any_pause() {
    let breakdown =
        LatencyBreakdown { pause: Duration::from_secs(9), ..LatencyBreakdown::default() };
    assert_eq!(
        late_cause(
            &breakdown,
            &LatencyObjective { first_event: Duration::from_secs(1), max_pause: None }
        ),
        None
    );
}
