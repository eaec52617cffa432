//! Tests which events prove that a replica with lost connections has ended.

use std::net::SocketAddr;

use cypressfork_core::fleet::connection_loss::{
    CASE_TIMEOUT, ConnectionLosses, EndEvidence, Loss, ReplicaEvent,
};
use cypressfork_core::unit::Time;
use rstest::rstest;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// Returns losses of requests "a" and "b" on replica "r" at port 80, and "c" on "other" at port 81.
fn recorded_losses() -> ConnectionLosses<&'static str> {
    let mut tracker = ConnectionLosses::default();
    assert!(tracker.record_loss(Time(1_000), address(80), "r", "a"));
    assert!(!tracker.record_loss(Time(1_005), address(80), "r", "b"));
    assert!(tracker.record_loss(Time(1_010), address(81), "other", "c"));
    tracker
}

fn requests(losses: &[Loss<&'static str>]) -> Vec<&'static str> {
    losses.iter().flat_map(|l| l.requests.iter().copied()).collect()
}

/// Guards against taking a replica for ended without evidence, and against overlooking evidence.
#[rstest]
#[case::another_replica(
    ReplicaEvent::Registered(address(80), "new"),
    Some(EndEvidence::AddressReused)
)]
#[case::another_replica_at_another_address(ReplicaEvent::Registered(address(82), "new"), None)]
#[case::the_same_replica(ReplicaEvent::Registered(address(80), "r"), None)]
#[case::the_address_belongs_to_another_replica(
    ReplicaEvent::NotThere("r"),
    Some(EndEvidence::AddressReused)
)]
#[case::restarted(ReplicaEvent::Restarted("r"), Some(EndEvidence::Restarted))]
#[case::another_replica_restarted(ReplicaEvent::Restarted("x"), None)]
#[case::silent(ReplicaEvent::Silent("r"), Some(EndEvidence::Silent))]
#[case::leaving(ReplicaEvent::Leaving("r"), None)]
fn events_are_evidence_that_a_replica_ended(
    #[case] event: ReplicaEvent<'_>,
    #[case] evidence: Option<EndEvidence>,
) {
    let mut tracker = recorded_losses();
    tracker.end_probe(address(80), "r");
    let found = tracker.apply(event);
    assert_eq!(found.as_ref().map(|(e, _)| *e), evidence);
    if let Some((_, losses)) = found {
        assert_eq!(requests(&losses), ["a", "b"]);
        assert_eq!(losses[0].since, Time(1_000));
    }
}

/// Guards against counting a loss twice.
#[test]
fn each_loss_is_returned_once() {
    let mut tracker = recorded_losses();
    assert_eq!(requests(&tracker.confirm_ended(address(80), "r")), ["a", "b"]);
    assert!(!tracker.is_open(address(80), "r"));
    assert!(tracker.confirm_ended(address(80), "r").is_empty());
    assert_eq!(tracker.apply(ReplicaEvent::Restarted("r")), None);
    assert!(tracker.is_open(address(81), "other"));
}

/// Guards against taking a planned shutdown for a crash.
#[test]
fn a_planned_shutdown_closes_the_losses() {
    let mut tracker = recorded_losses();
    assert_eq!(tracker.apply(ReplicaEvent::Leaving("r")), None);
    assert_eq!(tracker.apply(ReplicaEvent::Registered(address(80), "new")), None);
}

/// Guards against reporting a replica as ended that still serves earlier connections.
#[test]
fn confirming_a_replica_alive_closes_its_losses() {
    let mut tracker = recorded_losses();
    assert_eq!(requests(&tracker.confirm_alive(address(80), "r")), ["a", "b"]);
    assert_eq!(tracker.apply(ReplicaEvent::Silent("r")), None);
}

/// Guards against a loss that is never probed because an earlier probe has ended.
#[test]
fn a_loss_after_a_probe_needs_another_probe() {
    let mut tracker = recorded_losses();
    tracker.end_probe(address(80), "r");
    assert!(tracker.record_loss(Time(3_000), address(80), "r", "d"));
    let (_, losses) = tracker.apply(ReplicaEvent::Restarted("r")).unwrap();
    let since: Vec<_> = losses.iter().map(|l| l.since).collect();
    assert_eq!(since, [Time(1_000), Time(3_000)]);
}

/// Guards against cases that stay open for ever.
#[rstest]
#[case::in_time(CASE_TIMEOUT.0 - 1, 0, true)]
#[case::too_late(CASE_TIMEOUT.0, 2, false)]
fn open_cases_expire(#[case] after: u64, #[case] expired: usize, #[case] open: bool) {
    let mut tracker = recorded_losses();
    assert_eq!(tracker.expire(Time(1_000 + after)), expired);
    assert_eq!(tracker.is_open(address(80), "r"), open);
}

/// Guards against unbounded memory when a link resets thousands of connections.
#[test]
fn open_cases_are_bounded() {
    let mut tracker = ConnectionLosses::default();
    for port in 1..=10_000 {
        tracker.record_loss(Time(0), address(port), "r", ());
    }
    let open = (1..=10_000).filter(|p| tracker.is_open(address(*p), "r")).count();
    assert_eq!(open, 256);
}
