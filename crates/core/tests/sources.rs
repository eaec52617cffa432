//! Selection and replacement of the control processes that send replica records to a router.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cypressfork_core::fleet::sources::{Nearness, ReplicaSources};
use cypressfork_core::unit::Time;
use rstest::rstest;

fn control(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 80))
}

/// The sources of router `key`, with `controls` control processes.
fn sources(key: u64, controls: u8) -> ReplicaSources {
    let mut s = ReplicaSources::new(key);
    (1..=controls).for_each(|n| s.add(Time(0), control(n)));
    s
}

/// Returns the numbers of the selected control processes.
fn selected(s: &ReplicaSources) -> Vec<u8> {
    (1..=14).filter(|n| s.is_selected(control(*n))).collect()
}

#[rstest]
#[case(1, 1)]
#[case(2, 2)]
#[case(9, 2)]
fn two_sources_are_selected_if_possible(#[case] controls: u8, #[case] want: usize) {
    assert_eq!(selected(&sources(7, controls)).len(), want);
}

/// Guards against control processes that are the source of far more routers than others.
#[test]
fn routers_are_spread_over_control_processes() {
    let mut count: BTreeMap<u8, u32> = BTreeMap::new();
    for key in 0..291 {
        selected(&sources(key * 7_919, 9))
            .into_iter()
            .for_each(|n| *count.entry(n).or_default() += 1);
    }
    let most = count.values().max().unwrap();
    assert!(count.len() == 9 && *most < 90, "{count:?}");
}

/// Guards against keeping a source that fails, and against needless changes of sources.
#[test]
fn a_silent_source_is_replaced_and_the_other_stays() {
    let mut s = sources(3, 9);
    let before = selected(&s);
    s.record_failure(Time(10), control(before[0]));
    let after = selected(&s);
    assert_eq!(after.len(), 2);
    assert!(after.contains(&before[1]) && !after.contains(&before[0]));
    // Its recovery does not change the sources again.
    s.record_response(Time(50), control(before[0]), true);
    assert_eq!(selected(&s), after);
}

/// Guards against a source that is partitioned from the group: it answers but has no new records.
#[test]
fn a_source_without_a_leader_is_replaced_if_another_has_one() {
    let mut s = sources(3, 5);
    let before = selected(&s);
    s.record_response(Time(10), control(before[0]), false);
    assert!(!selected(&s).contains(&before[0]));
    // During an election no control process has a leader; two sources stay selected.
    (1..=5).for_each(|n| s.record_response(Time(20), control(n), false));
    assert_eq!(selected(&s).len(), 2);
    s.record_response(Time(30), control(before[0]), true);
    assert!(selected(&s).contains(&before[0]));
}

/// Guards against a router without sources after all control processes have failed.
#[test]
fn sources_are_selected_even_if_all_have_failed() {
    let mut s = sources(3, 3);
    (1..=3).for_each(|n| s.record_failure(Time(10), control(n)));
    assert_eq!(selected(&s).len(), 2);
    s.record_response(Time(40), control(2), true);
    assert!(selected(&s).contains(&2));
}

/// Guards against distant sources, and against near ones that have no leader.
#[test]
fn the_nearest_sources_with_a_leader_are_selected() {
    for key in 0..50 {
        let mut s = sources(key, 9);
        for n in 1..=9 {
            let near = match n {
                4 => Nearness::DataCentre,
                5 | 6 => Nearness::Region,
                _ => Nearness::Far,
            };
            s.set_nearness(Time(5), control(n), near);
        }
        let first = selected(&s);
        assert!(first.contains(&4) && (first.contains(&5) || first.contains(&6)), "{first:?}");
        // The data centre is partitioned from the group.
        s.record_response(Time(10), control(4), false);
        assert_eq!(selected(&s), [5, 6]);
        s.record_response(Time(20), control(4), true);
        assert!(selected(&s).contains(&4), "the nearest is selected again after the partition");
    }
}

/// Guards against repeated changes of sources, each of which sends the list of all replicas again,
/// while a starting router receives the locations of the control processes one by one.
#[test]
fn a_starting_router_changes_sources_only_for_its_own_data_centre() {
    for key in 0..200 {
        let mut s = sources(key, 14);
        let mut before = selected(&s);
        let mut changes = 0;
        for n in 1..=14 {
            let near = if n == 9 { Nearness::DataCentre } else { Nearness::Region };
            s.set_nearness(Time(u64::from(n)), control(n), near);
            let after = selected(&s);
            changes += usize::from(after != before);
            before = after;
        }
        assert!(changes <= 1, "{changes} changes");
        assert!(s.is_selected(control(9)));
    }
}
