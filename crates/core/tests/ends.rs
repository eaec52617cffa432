//! What shows that a replica whose connections ended has ended itself, in tables of signs.

use std::net::SocketAddr;

use cypressfork_core::fleet::ends::{Ends, HEARD_WITHIN, Loss, Shown, Sign};
use cypressfork_core::unit::Time;
use rstest::rstest;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// A loss of the requests "a" and "b" on replica "r" at port 80, and of "c" on "other" at port 81.
fn lost() -> Ends<&'static str> {
    let mut ends = Ends::default();
    assert!(ends.lost(Time(1_000), address(80), "r", "a"));
    assert!(!ends.lost(Time(1_005), address(80), "r", "b"));
    assert!(ends.lost(Time(1_010), address(81), "other", "c"));
    ends
}

fn requests(losses: &[Loss<&'static str>]) -> Vec<&'static str> {
    losses.iter().flat_map(|l| l.lost.iter().copied()).collect()
}

#[rstest]
#[case::another_replica(Sign::Arrived(address(80), "new"), Some(Shown::Another))]
#[case::another_elsewhere(Sign::Arrived(address(82), "new"), None)]
#[case::itself(Sign::Arrived(address(80), "r"), None)]
#[case::denied_by_what_is_there(Sign::NotThere("r"), Some(Shown::Another))]
#[case::a_later_life(Sign::LaterLife("r"), Some(Shown::LaterLife))]
#[case::a_later_life_of_another(Sign::LaterLife("x"), None)]
#[case::silence(Sign::Silent("r"), Some(Shown::Silent))]
#[case::a_planned_end(Sign::Leaves("r"), None)]
fn news_show_an_end(#[case] sign: Sign<'_>, #[case] shown: Option<Shown>) {
    let mut ends = lost();
    ends.listens(address(80), "r");
    let found = ends.take(sign);
    assert_eq!(found.as_ref().map(|(s, _)| *s), shown);
    if let Some((_, losses)) = found {
        assert_eq!(requests(&losses), ["a", "b"]);
        assert_eq!(losses[0].since, Time(1_000));
    }
}

#[test]
fn each_loss_is_explained_once() {
    let mut ends = lost();
    assert_eq!(requests(&ends.refused(address(80), "r")), ["a", "b"]);
    assert!(!ends.is_open(address(80), "r"));
    assert!(ends.refused(address(80), "r").is_empty());
    assert_eq!(ends.take(Sign::LaterLife("r")), None);
    assert!(ends.is_open(address(81), "other"));
}

#[test]
fn a_planned_end_blames_nobody_afterwards() {
    let mut ends = lost();
    assert_eq!(ends.take(Sign::Leaves("r")), None);
    assert_eq!(ends.take(Sign::Arrived(address(80), "new")), None);
}

#[test]
fn a_connection_from_before_shows_that_it_lives() {
    let mut ends = lost();
    assert_eq!(requests(&ends.lives(address(80), "r")), ["a", "b"]);
    assert_eq!(ends.take(Sign::Silent("r")), None);
}

#[test]
fn a_loss_after_the_looks_is_looked_at_anew() {
    let mut ends = lost();
    ends.listens(address(80), "r");
    assert!(ends.lost(Time(3_000), address(80), "r", "d"));
    let (_, losses) = ends.take(Sign::LaterLife("r")).unwrap();
    let since: Vec<_> = losses.iter().map(|l| l.since).collect();
    assert_eq!(since, [Time(1_000), Time(3_000)]);
}

#[rstest]
#[case::in_time(HEARD_WITHIN.0 - 1, 0, true)]
#[case::too_late(HEARD_WITHIN.0, 2, false)]
fn what_nothing_is_heard_of_lives(
    #[case] after: u64,
    #[case] forgotten: usize,
    #[case] open: bool,
) {
    let mut ends = lost();
    assert_eq!(ends.forget(Time(1_000 + after)), forgotten);
    assert_eq!(ends.is_open(address(80), "r"), open);
}

/// Connections that a link resets by the thousand hold no more memory than a few hundred cases.
#[test]
fn open_cases_are_bounded() {
    let mut ends = Ends::default();
    for port in 1..=10_000 {
        ends.lost(Time(0), address(port), "r", ());
    }
    let open = (1..=10_000).filter(|p| ends.is_open(address(*p), "r")).count();
    assert_eq!(open, 256);
}
