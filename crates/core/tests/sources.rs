//! Which control processes tell a router of replicas, and who takes their place.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cypressfork_core::fleet::sources::{Nearness, ReplicaSources};
use cypressfork_core::unit::Time;
use rstest::rstest;

fn control(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 80))
}

fn of(key: u64, controls: u8) -> ReplicaSources {
    let mut s = ReplicaSources::new(key);
    (1..=controls).for_each(|n| s.add(Time(0), control(n)));
    s
}

fn wanted(s: &ReplicaSources) -> Vec<u8> {
    (1..=14).filter(|n| s.is_selected(control(*n))).collect()
}

#[rstest]
#[case(1, 1)]
#[case(2, 2)]
#[case(9, 2)]
fn two_tell_where_there_are_two(#[case] controls: u8, #[case] sources: usize) {
    assert_eq!(wanted(&of(7, controls)).len(), sources);
}

/// 291 routers spread over nine control processes.
#[test]
fn routers_spread_over_control_processes() {
    let mut count: BTreeMap<u8, u32> = BTreeMap::new();
    for key in 0..291 {
        wanted(&of(key * 7_919, 9)).into_iter().for_each(|n| *count.entry(n).or_default() += 1);
    }
    let most = count.values().max().unwrap();
    assert!(count.len() == 9 && *most < 90, "{count:?}");
}

#[test]
fn a_silent_source_is_replaced_and_the_other_stays() {
    let mut s = of(3, 9);
    let before = wanted(&s);
    s.record_failure(Time(10), control(before[0]));
    let after = wanted(&s);
    assert_eq!(after.len(), 2);
    assert!(after.contains(&before[1]) && !after.contains(&before[0]));
    // Back soon after, it is no reason to change again.
    s.record_response(Time(50), control(before[0]), true);
    assert_eq!(wanted(&s), after);
}

/// One that is cut off from the group answers, and hears nothing new.
#[test]
fn a_source_without_a_leader_is_replaced_if_another_has_one() {
    let mut s = of(3, 5);
    let before = wanted(&s);
    s.record_response(Time(10), control(before[0]), false);
    assert!(!wanted(&s).contains(&before[0]));
    // During an election nobody has one: those that answer go on telling.
    (1..=5).for_each(|n| s.record_response(Time(20), control(n), false));
    assert_eq!(wanted(&s).len(), 2);
    s.record_response(Time(30), control(before[0]), true);
    assert!(wanted(&s).contains(&before[0]));
}

#[test]
fn with_all_silent_some_are_asked_all_the_same() {
    let mut s = of(3, 3);
    (1..=3).for_each(|n| s.record_failure(Time(10), control(n)));
    assert_eq!(wanted(&s).len(), 2);
    s.record_response(Time(40), control(2), true);
    assert!(wanted(&s).contains(&2));
}

/// The nearest ones tell, as long as they hear a leader.
#[test]
fn the_nearest_ones_are_chosen() {
    for key in 0..50 {
        let mut s = of(key, 9);
        for n in 1..=9 {
            let near = match n {
                4 => Nearness::DataCentre,
                5 | 6 => Nearness::Region,
                _ => Nearness::Far,
            };
            s.set_nearness(Time(5), control(n), near);
        }
        let first = wanted(&s);
        assert!(first.contains(&4) && (first.contains(&5) || first.contains(&6)), "{first:?}");
        // Its data centre is cut off from the group.
        s.record_response(Time(10), control(4), false);
        assert_eq!(wanted(&s), [5, 6]);
        s.record_response(Time(20), control(4), true);
        assert!(wanted(&s).contains(&4), "back in touch it is the nearest again");
    }
}

/// Each change of a source begins its list of all replicas anew. As control processes say one after the
/// other where they are, only those of the own data centre are changed for.
#[test]
fn a_router_that_starts_changes_its_sources_for_the_nearest_alone() {
    for key in 0..200 {
        let mut s = of(key, 14);
        let mut before = wanted(&s);
        let mut changes = 0;
        for n in 1..=14 {
            let near = if n == 9 { Nearness::DataCentre } else { Nearness::Region };
            s.set_nearness(Time(u64::from(n)), control(n), near);
            let after = wanted(&s);
            changes += usize::from(after != before);
            before = after;
        }
        assert!(changes <= 1, "{changes} changes");
        assert!(s.is_selected(control(9)));
    }
}
