//! What shows that a replica whose connections ended has ended itself, in tables of signs.

use std::net::SocketAddr;

use cypressfork_core::fleet::ends::{
    CASE_TIMEOUT, ConnectionLosses, EndEvidence, Loss, ReplicaEvent,
};
use cypressfork_core::unit::Time;
use rstest::rstest;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// A loss of the requests "a" and "b" on replica "r" at port 80, and of "c" on "other" at port 81.
fn lost() -> ConnectionLosses<&'static str> {
    let mut ends = ConnectionLosses::default();
    assert!(ends.record_loss(Time(1_000), address(80), "r", "a"));
    assert!(!ends.record_loss(Time(1_005), address(80), "r", "b"));
    assert!(ends.record_loss(Time(1_010), address(81), "other", "c"));
    ends
}

fn requests(losses: &[Loss<&'static str>]) -> Vec<&'static str> {
    losses.iter().flat_map(|l| l.requests.iter().copied()).collect()
}

#[rstest]
#[case::another_replica(
    ReplicaEvent::Registered(address(80), "new"),
    Some(EndEvidence::AddressReused)
)]
#[case::another_elsewhere(ReplicaEvent::Registered(address(82), "new"), None)]
#[case::itself(ReplicaEvent::Registered(address(80), "r"), None)]
#[case::denied_by_what_is_there(ReplicaEvent::NotThere("r"), Some(EndEvidence::AddressReused))]
#[case::a_later_life(ReplicaEvent::Restarted("r"), Some(EndEvidence::Restarted))]
#[case::a_later_life_of_another(ReplicaEvent::Restarted("x"), None)]
#[case::silence(ReplicaEvent::Silent("r"), Some(EndEvidence::Silent))]
#[case::a_planned_end(ReplicaEvent::Leaving("r"), None)]
fn news_show_an_end(#[case] event: ReplicaEvent<'_>, #[case] shown: Option<EndEvidence>) {
    let mut ends = lost();
    ends.end_probe(address(80), "r");
    let found = ends.apply(event);
    assert_eq!(found.as_ref().map(|(s, _)| *s), shown);
    if let Some((_, losses)) = found {
        assert_eq!(requests(&losses), ["a", "b"]);
        assert_eq!(losses[0].since, Time(1_000));
    }
}

#[test]
fn each_loss_is_explained_once() {
    let mut ends = lost();
    assert_eq!(requests(&ends.confirm_ended(address(80), "r")), ["a", "b"]);
    assert!(!ends.is_open(address(80), "r"));
    assert!(ends.confirm_ended(address(80), "r").is_empty());
    assert_eq!(ends.apply(ReplicaEvent::Restarted("r")), None);
    assert!(ends.is_open(address(81), "other"));
}

#[test]
fn a_planned_end_blames_nobody_afterwards() {
    let mut ends = lost();
    assert_eq!(ends.apply(ReplicaEvent::Leaving("r")), None);
    assert_eq!(ends.apply(ReplicaEvent::Registered(address(80), "new")), None);
}

#[test]
fn a_connection_from_before_shows_that_it_lives() {
    let mut ends = lost();
    assert_eq!(requests(&ends.confirm_alive(address(80), "r")), ["a", "b"]);
    assert_eq!(ends.apply(ReplicaEvent::Silent("r")), None);
}

#[test]
fn a_loss_after_the_looks_is_looked_at_anew() {
    let mut ends = lost();
    ends.end_probe(address(80), "r");
    assert!(ends.record_loss(Time(3_000), address(80), "r", "d"));
    let (_, losses) = ends.apply(ReplicaEvent::Restarted("r")).unwrap();
    let since: Vec<_> = losses.iter().map(|l| l.since).collect();
    assert_eq!(since, [Time(1_000), Time(3_000)]);
}

#[rstest]
#[case::in_time(CASE_TIMEOUT.0 - 1, 0, true)]
#[case::too_late(CASE_TIMEOUT.0, 2, false)]
fn what_nothing_is_heard_of_lives(
    #[case] after: u64,
    #[case] forgotten: usize,
    #[case] open: bool,
) {
    let mut ends = lost();
    assert_eq!(ends.expire(Time(1_000 + after)), forgotten);
    assert_eq!(ends.is_open(address(80), "r"), open);
}

/// Connections that a link resets by the thousand hold no more memory than a few hundred cases.
#[test]
fn open_cases_are_bounded() {
    let mut ends = ConnectionLosses::default();
    for port in 1..=10_000 {
        ends.record_loss(Time(0), address(port), "r", ());
    }
    let open = (1..=10_000).filter(|p| ends.is_open(address(*p), "r")).count();
    assert_eq!(open, 256);
}
