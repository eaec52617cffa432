//! Tests of the assignment of budgets to home routers, and of the router lists that it is based on.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use cypressfork_core::budget::report_interval;
use cypressfork_core::fleet::homes::{
    HOMES_PER_BUDGET, MIN_ROUTERS_FOR_HOMES, ask_order, holder_count, home_candidates,
    reporting_routers,
};
use cypressfork_core::fleet::router_directory::{DataCentreRouters, RouterDirectory, digest};
use cypressfork_core::fleet::router_heartbeats::RouterHeartbeats;
use cypressfork_core::fleet::watch::RouterStatus;
use cypressfork_core::member::Router;
use cypressfork_core::unit::{HolderId, Millis, Time};
use rstest::rstest;

fn address(n: usize) -> SocketAddr {
    format!("10.1.{}.{}:7355", n / 200, n % 200).parse().unwrap()
}

fn routers(n: usize) -> Vec<SocketAddr> {
    (0..n).map(address).collect()
}

fn budget(n: usize) -> String {
    format!("account/{n}")
}

fn none_unavailable(_: &SocketAddr) -> bool {
    false
}

#[test]
fn all_routers_name_the_same_homes_whatever_the_order_of_their_lists() {
    let all = routers(58);
    let mut reversed = all.clone();
    reversed.reverse();
    for n in 0..40 {
        assert_eq!(home_candidates(&budget(n), &all), home_candidates(&budget(n), &reversed));
    }
}

#[test]
fn homes_are_spread_over_routers() {
    let all = routers(58);
    let mut budgets_per_home: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for n in 0..1_000 {
        for home in home_candidates(&budget(n), &all).into_iter().take(HOMES_PER_BUDGET) {
            *budgets_per_home.entry(home).or_default() += 1;
        }
    }
    let mean = 1_000 * HOMES_PER_BUDGET / 58;
    assert_eq!(budgets_per_home.len(), 58);
    assert!(
        budgets_per_home.values().all(|n| (mean / 2..mean * 2).contains(n)),
        "{budgets_per_home:?}"
    );
}

#[test]
fn removing_a_router_moves_only_the_budgets_homed_there() {
    let all = routers(58);
    let remaining: Vec<_> = all.iter().copied().filter(|a| *a != address(7)).collect();
    let mut moved = 0;
    for n in 0..400 {
        let before: Vec<_> =
            home_candidates(&budget(n), &all).into_iter().take(HOMES_PER_BUDGET).collect();
        let after: Vec<_> =
            home_candidates(&budget(n), &remaining).into_iter().take(HOMES_PER_BUDGET).collect();
        let kept = before.iter().filter(|a| after.contains(a)).count();
        assert_eq!(
            kept,
            if before.contains(&address(7)) { HOMES_PER_BUDGET - 1 } else { HOMES_PER_BUDGET }
        );
        moved += HOMES_PER_BUDGET - kept;
    }
    assert!(moved < 400 * HOMES_PER_BUDGET / 20, "{moved}");
}

#[test]
fn routers_that_use_a_budget_are_spread_over_its_homes() {
    let all = routers(58);
    let ranked = home_candidates(&budget(1), &all);
    let mut first: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for own in &all {
        *first.entry(ask_order(&ranked, *own, none_unavailable)[0]).or_default() += 1;
    }
    assert_eq!(
        first.keys().copied().collect::<BTreeSet<_>>(),
        ranked[..HOMES_PER_BUDGET].iter().copied().collect()
    );
    assert!(first.values().all(|n| *n > 58 / 4), "{first:?}");
}

/// Ranks of the routers that do not answer, rank of the asking router, and ranks of the homes that it
/// asks.
#[rstest]
#[case::it_is_the_first_home(&[], Some(0), &[0, 1])]
#[case::it_is_the_second_home(&[], Some(1), &[1, 0])]
#[case::the_next_in_line_serves(&[0], Some(1), &[1, 2])]
#[case::it_is_the_next_in_line(&[0], Some(2), &[2, 1])]
#[case::two_do_not_answer(&[0, 1], Some(3), &[3, 2])]
#[case::nobody_answers(&[0, 1, 2, 3], Some(0), &[0, 1, 2, 3])]
fn a_home_that_does_not_answer_is_skipped(
    #[case] unavailable: &[usize],
    #[case] own: Option<usize>,
    #[case] asked: &[usize],
) {
    let ranked = home_candidates(&budget(1), &routers(30));
    let own = own.map_or(address(99), |n| ranked[n]);
    let is_unavailable = |a: &SocketAddr| unavailable.iter().any(|n| ranked[*n] == *a);
    let homes = ask_order(&ranked, own, is_unavailable);
    let expected: Vec<_> = asked.iter().map(|n| ranked[*n]).collect();
    assert_eq!(homes, expected);
}

#[test]
fn a_data_centre_without_routers_has_no_homes() {
    assert_eq!(ask_order(&home_candidates(&budget(1), &[]), address(1), none_unavailable), []);
}

/// Guards against shares of a budget's holders that are more than the whole together, whichever routers
/// hold tokens.
#[rstest]
#[case::no_homes(0, 8)]
#[case::three_data_centres_with_homes(3, 83)]
#[case::large(24, 984)]
fn the_shares_of_all_holders_are_at_most_the_whole(#[case] areas: usize, #[case] routers: usize) {
    let homes = areas * HOMES_PER_BUDGET;
    let others = routers - homes;
    let share = |is_home| 1_000_000 / holder_count(areas, is_home, routers);
    let whole = share(true) * homes as u64 + share(false) * others as u64;
    assert!((500_000..=1_000_000).contains(&whole), "{whole}");
}

fn router(n: usize, leaving: bool) -> Router {
    Router {
        holder: HolderId(n as u64),
        vm: format!("entry-{n}"),
        data_centre: if n < 100 { "tamar-a".into() } else { "tamar-b".into() },
        address: format!("10.1.0.{n}:80"),
        nonce: 1,
        leaving,
        link: format!("10.1.0.{n}:7355"),
    }
}

fn status(n: usize) -> RouterStatus {
    RouterStatus {
        vm: format!("entry-{n}"),
        data_centre: "tamar-a".into(),
        address: String::new(),
        link: String::new(),
        open: true,
        busy: false,
        version: 0,
    }
}

/// Returns the links that a directory lists for tamar-a at `now`. Routers 1 to `n` are registered;
/// `heartbeats` holds routers and the times of their last heartbeats.
fn listed_links(now: u64, n: usize, heartbeats: &[(usize, u64)], leaving: &[usize]) -> Vec<String> {
    let mut known = RouterHeartbeats::default();
    for (n, at) in heartbeats {
        known.record(Time(*at), &status(*n));
    }
    let all: Vec<_> = (1..=n).map(|n| router(n, leaving.contains(&n))).collect();
    let mut directory = RouterDirectory::default();
    directory.refresh(Time(now), all.iter(), &known);
    assert_eq!(directory.with_homes_digest(), digest(directory.with_homes()));
    links_of(&directory, "tamar-a")
}

/// Returns the links of the routers of one data centre; empty if budgets have no homes there.
fn links_of(directory: &RouterDirectory, data_centre: &str) -> Vec<String> {
    let routers = directory.with_homes().iter().find(|a| a.data_centre == data_centre);
    assert_eq!(routers.is_some(), directory.has_homes(data_centre));
    routers.map(|a| a.links.clone()).unwrap_or_default()
}

fn links(n: impl IntoIterator<Item = usize>) -> Vec<String> {
    n.into_iter().map(|n| format!("10.1.0.{n}:7355")).collect()
}

#[test]
fn a_control_process_that_has_just_started_lists_all_registered_routers() {
    assert_eq!(listed_links(10, MIN_ROUTERS_FOR_HOMES, &[], &[]), links(1..=MIN_ROUTERS_FOR_HOMES));
}

#[test]
fn few_routers_have_no_homes() {
    assert_eq!(listed_links(10, MIN_ROUTERS_FOR_HOMES - 1, &[], &[]), links([]));
}

#[test]
fn leaving_and_silent_routers_are_not_listed_and_the_others_keep_their_homes() {
    let heartbeats: Vec<_> =
        (1..=MIN_ROUTERS_FOR_HOMES).map(|n| (n, if n == 2 { 5_000 } else { 9_000 })).collect();
    assert_eq!(
        listed_links(9_500, MIN_ROUTERS_FOR_HOMES, &heartbeats, &[1]),
        links(3..=MIN_ROUTERS_FOR_HOMES)
    );
}

#[test]
fn while_most_routers_are_silent_all_are_listed() {
    let heartbeats: Vec<_> =
        (1..=MIN_ROUTERS_FOR_HOMES).map(|n| (n, if n < 8 { 5_000 } else { 9_000 })).collect();
    assert_eq!(
        listed_links(9_500, MIN_ROUTERS_FOR_HOMES, &heartbeats, &[1]),
        links(2..=MIN_ROUTERS_FOR_HOMES)
    );
}

#[test]
fn each_data_centre_has_its_own_list_that_is_rebuilt_periodically() {
    let all: Vec<_> = (1..=MIN_ROUTERS_FOR_HOMES)
        .chain(101..=100 + MIN_ROUTERS_FOR_HOMES)
        .map(|n| router(n, false))
        .collect();
    let mut directory = RouterDirectory::default();
    directory.refresh(Time(0), all.iter(), &RouterHeartbeats::default());
    assert_eq!(links_of(&directory, "tamar-b"), links(101..=100 + MIN_ROUTERS_FOR_HOMES));
    assert_eq!(links_of(&directory, "esk-c"), links([]));
    directory.refresh(Time(100), all[1..].iter(), &RouterHeartbeats::default());
    assert_eq!(
        links_of(&directory, "tamar-a"),
        links(1..=MIN_ROUTERS_FOR_HOMES),
        "the list must not be rebuilt yet"
    );
    directory.refresh(
        Time(250),
        all[..MIN_ROUTERS_FOR_HOMES - 1].iter(),
        &RouterHeartbeats::default(),
    );
    assert_eq!(directory.with_homes(), Vec::<DataCentreRouters>::new());
}

/// Guards against homes that report their spending as rarely as if every gateway did: a home that dies loses
/// what it may have spent since its last report. Each case: data centres with homes, budgets, routers, and the
/// interval between two reports.
#[rstest]
#[case::no_homes(0, 10, 8, 250)]
#[case::no_homes_many_routers(0, 10, 300, 1_000)]
#[case::few_budgets(3, 10, 30, 250)]
#[case::few_budgets_many_routers(3, 10, 300, 250)]
#[case::more_homes_than_routers(3, 24, 82, 292)]
#[case::many_budgets(5, 333, 984, 1_000)]
fn homes_report_as_often_as_their_number_allows(
    #[case] areas: usize,
    #[case] budgets: usize,
    #[case] routers: usize,
    #[case] interval: u64,
) {
    let reporting = reporting_routers(areas, budgets, routers);
    assert_eq!(report_interval(reporting, Millis::seconds(1)), Millis(interval));
}
