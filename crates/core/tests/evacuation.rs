//! Tests evacuation orders of data centres and the routing of requests meanwhile.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use cypressfork_core::command::{Answer, Command};
use cypressfork_core::config::{Upstream, Vm};
use cypressfork_core::fleet::evacuation::Evacuations;
use cypressfork_core::route::{Pool, PromptPrefixes, RequestProfile};
use cypressfork_core::state::State;
use cypressfork_core::unit::{LeaseId, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

fn names(all: &[&str]) -> BTreeSet<String> {
    all.iter().map(|n| (*n).to_owned()).collect()
}

/// Guards against a wrong set of evacuated data centres after repeated and withdrawn orders.
#[rstest]
#[case::none(&[], 0, &[])]
#[case::one(&[("a", true)], 1, &["a"])]
#[case::the_same_again(&[("a", true), ("a", true)], 1, &["a"])]
#[case::two(&[("a", true), ("b", true)], 2, &["a", "b"])]
#[case::withdrawn(&[("a", true), ("b", true), ("a", false)], 3, &["b"])]
#[case::withdrawn_twice(&[("a", true), ("a", false), ("a", false)], 2, &[])]
#[case::never_ordered(&[("a", false)], 0, &[])]
fn orders_set_the_evacuated_data_centres(
    #[case] orders: &[(&str, bool)],
    #[case] revision: u64,
    #[case] evacuated: &[&str],
) {
    let mut state = State::default();
    for (i, (name, evacuate)) in orders.iter().enumerate() {
        let c = Command::Evacuate { data_centre: (*name).to_owned(), evacuate: *evacuate };
        let at = LeaseId { term: 1, index: i as u64 + 1 };
        assert_eq!(state.apply(Time(0), at, &c), Answer::Done, "the answer depends on the state");
    }
    let expected = Evacuations { revision, data_centres: names(evacuated) };
    assert_eq!(*state.evacuations(), expected);
}

/// Guards against an older revision from a lagging control process that replaces a newer one.
#[test]
fn an_older_revision_does_not_replace_a_newer_one() {
    let old = Evacuations { revision: 4, data_centres: names(&["a"]) };
    let new = Evacuations { revision: 9, data_centres: names(&[]) };
    let mut current = Evacuations::default();
    assert!(current.replace_if_newer(&old) && current.replace_if_newer(&new));
    assert!(!current.replace_if_newer(&old) && !current.replace_if_newer(&new));
    assert_eq!(current, new);
}

fn upstream(n: u8, data_centre: &str) -> Upstream {
    let vm = Vm { name: format!("r-{n}"), data_centre: data_centre.to_owned() };
    let address = SocketAddr::from(([10, 0, 0, n], 80));
    Upstream { vm, address, checks_orders: false }
}

/// Returns the data centres that serve 400 requests with 40 shared prompt prefixes.
fn data_centres_used(pool: &mut Pool) -> BTreeSet<String> {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut used = BTreeSet::new();
    for n in 0..400_u64 {
        let prefixes = PromptPrefixes::from_sized_parts([(n % 40, 13_000), (1_000 + n, 3_000)]);
        let profile = RequestProfile { prefixes, ..RequestProfile::default() };
        let Some(c) = pool.choose(Time(n * 10), "a", &profile, &[], &mut rng) else { continue };
        used.insert(pool.get(c.address).unwrap().upstream.vm.data_centre.clone());
        pool.finish(Time(n * 10 + 5), &c, false);
    }
    used
}

/// Guards against routing new requests to an evacuated data centre.
#[test]
fn an_evacuated_data_centre_gets_no_requests_until_it_is_reopened() {
    let all: Vec<_> = (0..9).map(|n| upstream(n, ["a", "b", "c"][usize::from(n) % 3])).collect();
    let mut pool = Pool::default();
    pool.set_upstreams(Time(0), &all, 8);
    assert_eq!(data_centres_used(&mut pool), names(&["a", "b", "c"]));
    pool.set_evacuated_data_centres(Time(0), &names(&["b"]));
    assert_eq!(data_centres_used(&mut pool), names(&["a", "c"]));
    // The evacuation covers replicas that register later.
    let more: Vec<_> = all.iter().cloned().chain([upstream(9, "b")]).collect();
    pool.set_upstreams(Time(0), &more, 8);
    assert_eq!(data_centres_used(&mut pool), names(&["a", "c"]));
    pool.set_evacuated_data_centres(Time(0), &names(&["a", "b", "c"]));
    assert_eq!(data_centres_used(&mut pool), names(&[]));
    pool.set_evacuated_data_centres(Time(0), &names(&[]));
    assert_eq!(data_centres_used(&mut pool), names(&["a", "b", "c"]));
}
