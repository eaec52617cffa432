//! Regions: where callers are sent, where work goes, and where it may go.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use cypressfork_core::config::{Upstream, Vm};
use cypressfork_core::fleet::entry::RouterHeartbeats;
use cypressfork_core::fleet::regions::Regions;
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
#[case::bound_to_nothing(&[], "elsewhere", true)]
#[case::its_region(&["north"], "n2", true)]
#[case::another(&["north"], "s1", false)]
#[case::one_of_two(&["north", "south"], "s1", true)]
#[case::nobody_knows_where(&["north"], "elsewhere", false)]
fn what_is_bound_to_regions(#[case] allowed: &[&str], #[case] dc: &str, #[case] may: bool) {
    assert_eq!(regions().allows(&names(allowed), dc), may);
}

/// Routers by their data centres, for a caller in `n1`.
#[rstest]
#[case::its_own(&["n1", "n1", "n2", "s1"], &["n1", "n1"])]
#[case::too_few_of_its_own(&["n1", "n2", "s1", "s2"], &["n1", "n2"])]
#[case::none_in_its_region(&["s1", "s2"], &["s1", "s2"])]
#[case::one_in_its_region(&["n2", "s1"], &["n2", "s1"])]
fn callers_stay_in_their_region(#[case] routers: &[&str], #[case] named: &[&str]) {
    let mut all = RouterHeartbeats::default();
    for (n, dc) in routers.iter().enumerate() {
        let sign = RouterStatus {
            vm: format!("vm-{n}"),
            data_centre: (*dc).to_owned(),
            address: (*dc).to_owned(),
            link: String::new(),
            open: true,
            busy: false,
        };
        all.record(Time(9_900), &sign);
    }
    assert_eq!(all.addresses(Time(10_000), "n1", &regions(), 64), named);
}

const CENTRES: [&str; 4] = ["n1", "n2", "s1", "s2"];

/// A router in `n1` with `each` replicas of 8 places in every data centre.
fn pool(each: u8) -> (Pool, BTreeMap<SocketAddr, &'static str>) {
    let mut pool = Pool::default();
    pool.set_location("n1", &regions());
    let mut at = BTreeMap::new();
    for (c, dc) in CENTRES.into_iter().enumerate() {
        for n in 0..each {
            let address = SocketAddr::from(([10, c as u8, 0, n], 80));
            let vm = Vm { name: format!("{dc}-{n}"), data_centre: dc.to_owned() };
            let upstream = Upstream { vm, address, checks_orders: false };
            pool.upsert(Time(0), &upstream, &ReplicaInfo { slots: 8, ..ReplicaInfo::default() });
            at.insert(address, dc);
        }
    }
    (pool, at)
}

fn prompt(n: u64) -> RequestProfile {
    let objective =
        Some(LatencyObjective { first_event: Duration::from_millis(800), max_pause: None });
    RequestProfile {
        prefixes: PromptPrefixes::from_sized_parts([(n % 50, 2_000), (1_000 + n, 500)]),
        objective,
        ..RequestProfile::default()
    }
}

/// Requests that come evenly and stay within what the region bears all stay there, also where
/// another region's replicas hold their prompts.
#[test]
fn work_stays_in_its_region_as_long_as_it_is_in_time_there() {
    let (mut pool, at) = pool(6);
    let mut rng = SmallRng::seed_from_u64(1);
    let abroad: Vec<_> = at.iter().filter(|(_, dc)| dc.starts_with('s')).map(|(a, _)| *a).collect();
    for n in 0..50 {
        pool.record_peer_placement(
            Time(0),
            abroad[n as usize % abroad.len()],
            2_000,
            &prompt(n).prefixes,
        );
    }
    for n in 0..400 {
        let now = Time(1_000 + n * 25);
        let choice = pool.choose(now, "n1", &prompt(n), &[], &mut rng).unwrap();
        assert!(
            at[&choice.address].starts_with('n'),
            "request {n} goes to {}",
            at[&choice.address]
        );
        pool.record_first_event(now, &choice, 60_000);
        pool.finish(now, &choice, false);
    }
}

/// A crowd that its region cannot bear in time is helped by the other one.
#[test]
fn what_would_be_late_goes_to_another_region() {
    let (mut pool, at) = pool(2);
    let mut rng = SmallRng::seed_from_u64(2);
    let mut abroad = 0;
    for n in 0..200 {
        let choice = pool.choose(Time(1_000 + n), "n1", &prompt(n), &[], &mut rng).unwrap();
        abroad += u64::from(at[&choice.address].starts_with('s'));
    }
    assert!((40..=140).contains(&abroad), "{abroad} of 200");
}

proptest! {
    /// No request is ever sent outside its regions, whichever replicas are tried, closed or gone.
    #[test]
    fn no_request_leaves_its_regions(
        seed: u64,
        allowed in proptest::sample::subsequence(vec!["north", "south"], 1..=2),
        closed in proptest::sample::subsequence(CENTRES.to_vec(), 0..=4),
        gone in proptest::collection::vec(0usize..12, 0..8),
        requests in 1u64..60,
    ) {
        let (mut pool, at) = pool(3);
        let mut rng = SmallRng::seed_from_u64(seed);
        pool.set_closed_data_centres(Time(1), &names(&closed));
        let all: Vec<_> = at.keys().copied().collect();
        for n in gone {
            pool.remove(Time(2), all[n]);
        }
        let allowed = names(&allowed);
        let mut tried = Vec::new();
        for n in 0..requests {
            let work = RequestProfile { regions: allowed.clone(), ..prompt(n) };
            let Some(choice) = pool.choose(Time(10 + n), "n1", &work, &tried, &mut rng) else {
                tried.clear();
                continue;
            };
            let dc = at[&choice.address];
            prop_assert!(regions().allows(&allowed, dc) && !closed.contains(&dc));
            if n % 3 == 0 {
                tried.push(choice.address);
            }
        }
    }
}
