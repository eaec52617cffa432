//! Regions: which routers callers are sent to, and which replicas requests may use.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use cypressfork_core::config::{Upstream, Vm};
use cypressfork_core::fleet::regions::Regions;
use cypressfork_core::fleet::router_heartbeats::RouterHeartbeats;
use cypressfork_core::fleet::watch::RouterStatus;
use cypressfork_core::route::lateness::LatencyObjective;
use cypressfork_core::route::{Pool, PromptPrefixes, ReplicaInfo, RequestProfile};
use cypressfork_core::unit::Time;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

/// Two regions of two data centres each.
fn regions() -> Regions {
    let all = [("n1", "north"), ("n2", "north"), ("s1", "south"), ("s2", "south")];
    Regions::new(all.iter().map(|(dc, r)| ((*dc).to_owned(), (*r).to_owned())).collect())
}

fn names(all: &[&str]) -> BTreeSet<String> {
    all.iter().map(|s| (*s).to_owned()).collect()
}

#[rstest]
#[case::unrestricted(&[], "elsewhere", true)]
#[case::its_region(&["north"], "n2", true)]
#[case::another_region(&["north"], "s1", false)]
#[case::one_of_two(&["north", "south"], "s1", true)]
#[case::unknown_data_centre(&["north"], "elsewhere", false)]
fn a_request_is_allowed_in_its_regions_only(
    #[case] allowed: &[&str],
    #[case] dc: &str,
    #[case] expected: bool,
) {
    assert_eq!(regions().allows(&names(allowed), dc), expected);
}

/// Each case: the data centres of the routers, and of those returned to a caller in `n1`.
#[rstest]
#[case::its_own(&["n1", "n1", "n2", "s1"], &["n1", "n1"])]
#[case::too_few_of_its_own(&["n1", "n2", "s1", "s2"], &["n1", "n2"])]
#[case::none_in_its_region(&["s1", "s2"], &["s1", "s2"])]
#[case::one_in_its_region(&["n2", "s1"], &["n2", "s1"])]
fn callers_get_routers_of_their_region_first(#[case] routers: &[&str], #[case] want: &[&str]) {
    let mut all = RouterHeartbeats::default();
    for (n, dc) in routers.iter().enumerate() {
        let status = RouterStatus {
            vm: format!("vm-{n}"),
            data_centre: (*dc).to_owned(),
            address: (*dc).to_owned(),
            link: String::new(),
            open: true,
            busy: false,
            version: 0,
        };
        all.record(Time(9_900), &status);
    }
    assert_eq!(all.addresses(Time(10_000), "n1", &regions(), 64), want);
}

const DATA_CENTRES: [&str; 4] = ["n1", "n2", "s1", "s2"];

/// The pool of a router in `n1`, with `each` replicas of 8 slots in every data centre, and the data
/// centre of each replica address.
fn pool(each: u8) -> (Pool, BTreeMap<SocketAddr, &'static str>) {
    let mut pool = Pool::default();
    pool.set_location("n1", &regions());
    let mut data_centre_of = BTreeMap::new();
    for (c, dc) in DATA_CENTRES.into_iter().enumerate() {
        for n in 0..each {
            let address = SocketAddr::from(([10, c as u8, 0, n], 80));
            let vm = Vm { name: format!("{dc}-{n}"), data_centre: dc.to_owned() };
            let upstream = Upstream { vm, address, checks_orders: false };
            pool.upsert(Time(0), &upstream, &ReplicaInfo { slots: 8, ..ReplicaInfo::default() });
            data_centre_of.insert(address, dc);
        }
    }
    (pool, data_centre_of)
}

/// Request `n`: one of 50 shared prefixes and a part of its own, with a latency objective.
fn prompt(n: u64) -> RequestProfile {
    let objective =
        Some(LatencyObjective { first_event: Duration::from_millis(800), max_pause: None });
    RequestProfile {
        prefixes: PromptPrefixes::from_sized_parts([(n % 50, 2_000), (1_000 + n, 500)]),
        objective,
        ..RequestProfile::default()
    }
}

/// Guards against sending work to another region, even where its replicas hold the prompts, while
/// the own region has the capacity to answer in time.
#[test]
fn requests_stay_in_their_region_while_its_replicas_meet_the_objective() {
    let (mut pool, data_centre_of) = pool(6);
    let mut rng = SmallRng::seed_from_u64(1);
    let remote: Vec<_> =
        data_centre_of.iter().filter(|(_, dc)| dc.starts_with('s')).map(|(a, _)| *a).collect();
    for n in 0..50 {
        pool.record_peer_placement(
            Time(0),
            remote[n as usize % remote.len()],
            2_000,
            &prompt(n).prefixes,
        );
    }
    for n in 0..400 {
        let now = Time(1_000 + n * 25);
        let choice = pool.choose(now, "n1", &prompt(n), &[], &mut rng).unwrap();
        assert!(
            data_centre_of[&choice.address].starts_with('n'),
            "request {n} goes to {}",
            data_centre_of[&choice.address]
        );
        pool.record_first_event(now, &choice, 60_000);
        pool.finish(now, &choice, false);
    }
}

/// Guards against overload of one region while another has free capacity.
#[test]
fn requests_that_would_be_late_go_to_another_region() {
    let (mut pool, data_centre_of) = pool(2);
    let mut rng = SmallRng::seed_from_u64(2);
    let mut remote_count = 0;
    for n in 0..200 {
        let choice = pool.choose(Time(1_000 + n), "n1", &prompt(n), &[], &mut rng).unwrap();
        remote_count += u64::from(data_centre_of[&choice.address].starts_with('s'));
    }
    assert!((40..=140).contains(&remote_count), "{remote_count} of 200");
}

proptest! {
    /// Guards against sending a request outside its regions, whichever replicas were tried, closed
    /// or removed.
    #[test]
    fn no_request_leaves_its_regions(
        seed: u64,
        allowed in proptest::sample::subsequence(vec!["north", "south"], 1..=2),
        closed in proptest::sample::subsequence(DATA_CENTRES.to_vec(), 0..=4),
        removed in proptest::collection::vec(0usize..12, 0..8),
        requests in 1u64..60,
    ) {
        let (mut pool, data_centre_of) = pool(3);
        let mut rng = SmallRng::seed_from_u64(seed);
        pool.set_evacuated_data_centres(Time(1), &names(&closed));
        let all: Vec<_> = data_centre_of.keys().copied().collect();
        for n in removed {
            pool.remove(Time(2), all[n]);
        }
        let allowed = names(&allowed);
        let mut tried = Vec::new();
        for n in 0..requests {
            let profile = RequestProfile { regions: allowed.clone(), ..prompt(n) };
            let Some(choice) = pool.choose(Time(10 + n), "n1", &profile, &tried, &mut rng) else {
                tried.clear();
                continue;
            };
            let dc = data_centre_of[&choice.address];
            prop_assert!(regions().allows(&allowed, dc) && !closed.contains(&dc));
            if n % 3 == 0 {
                tried.push(choice.address);
            }
        }
    }
}
