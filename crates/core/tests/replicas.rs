//! What a router makes of the words about replicas, whatever their order, and how its choice grows
//! with them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use cypressfork_core::config::{Upstream, Vm};
use cypressfork_core::fleet::registry::{Record, Registration, ReplicaStatus};
use cypressfork_core::fleet::replicas::{AddressChange, ReplicaTable};
use cypressfork_core::route::{Pool, PromptPrefixes, ReplicaInfo, RequestProfile};
use cypressfork_core::unit::{Millis, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rstest::rstest;

fn record(id: &str, port: u16, sequence: u64, standing: ReplicaStatus) -> Record {
    let registration = Registration {
        id: id.to_owned(),
        service: "talk".to_owned(),
        address: format!("10.0.0.1:{port}"),
        data_centre: "a".to_owned(),
        version: String::new(),
        slots: 8,
        cold: Millis(0),
        sequence,
        born: 0,
    };
    Record { registration, standing }
}

/// What is at each address after all changes.
fn at_end(said: &[Record]) -> BTreeMap<u16, String> {
    let mut replicas = ReplicaTable::default();
    let mut there = BTreeMap::new();
    for (n, r) in said.iter().enumerate() {
        let (_, changes) =
            replicas.apply(Time(n as u64), r.clone()).unwrap_or((r.standing, vec![]));
        for c in changes {
            apply(&mut there, &c);
        }
    }
    there
}

fn apply(there: &mut BTreeMap<u16, String>, c: &AddressChange) {
    match &c.upstream {
        Some((u, condition)) => {
            let silent = if condition.leaving { "silent " } else { "" };
            there.insert(c.address.port(), format!("{silent}{}", u.vm.name))
        }
        None => there.remove(&c.address.port()),
    };
}

use ReplicaStatus::{Draining, Left, Ready, Silent};

#[rstest]
#[case::one(&[("a", 80, 1, Ready)], &[(80, "a")])]
#[case::silent(&[("a", 80, 1, Ready), ("a", 80, 1, Silent)], &[(80, "silent a")])]
#[case::back(&[("a", 80, 1, Silent), ("a", 80, 2, Ready)], &[(80, "a")])]
#[case::draining(&[("a", 80, 1, Ready), ("a", 80, 2, Draining)], &[])]
#[case::late_heartbeat(&[("a", 80, 2, Draining), ("a", 80, 3, Ready)], &[])]
#[case::old_news(&[("a", 80, 3, Ready), ("a", 80, 2, Silent)], &[(80, "a")])]
#[case::moved(&[("a", 80, 1, Ready), ("a", 81, 2, Ready)], &[(81, "a")])]
#[case::another_at_the_address(&[("a", 80, 1, Ready), ("b", 80, 1, Ready)], &[(80, "b")])]
#[case::late_word_of_the_one_before(
    &[("a", 80, 7, Ready), ("b", 80, 1, Ready), ("a", 80, 8, Ready)], &[(80, "b")])]
#[case::the_one_that_speaks(&[("a", 80, 7, Ready), ("b", 80, 1, Silent)], &[(80, "a")])]
#[case::the_newer_one_leaves(
    &[("a", 80, 7, Ready), ("b", 80, 1, Ready), ("b", 80, 2, Left)], &[(80, "a")])]
fn who_is_at_an_address(
    #[case] said: &[(&str, u16, u64, ReplicaStatus)],
    #[case] there: &[(u16, &str)],
) {
    let said: Vec<_> = said.iter().map(|(id, p, seq, s)| record(id, *p, *seq, *s)).collect();
    let there: BTreeMap<_, _> = there.iter().map(|(p, id)| (*p, (*id).to_owned())).collect();
    assert_eq!(at_end(&said), there);
}

/// A heartbeat that a cut held up arrives after its sender has crashed and another has registered
/// there: the first answer from the address decides.
#[test]
fn one_that_was_found_replaced_is_not_taken_for_alive_again() {
    let mut replicas = ReplicaTable::default();
    let mut there = BTreeMap::new();
    let said = [record("new", 80, 1, Ready), record("old", 80, 9, Ready)];
    for r in said {
        let (_, changes) = replicas.apply(Time(0), r).unwrap();
        changes.iter().for_each(|c| apply(&mut there, c));
    }
    assert_eq!(there[&80], "old", "it was heard of last");
    apply(&mut there, &replicas.mark_replaced("old").unwrap());
    assert_eq!(there[&80], "new");
    let (_, changes) =
        replicas.apply(Time(5), record("old", 80, 10, Ready)).unwrap_or_default_left();
    changes.iter().for_each(|c| apply(&mut there, c));
    assert_eq!(there[&80], "new");
}

trait OrNone {
    fn unwrap_or_default_left(self) -> (ReplicaStatus, Vec<AddressChange>);
}

impl OrNone for Option<(ReplicaStatus, Vec<AddressChange>)> {
    fn unwrap_or_default_left(self) -> (ReplicaStatus, Vec<AddressChange>) {
        self.unwrap_or((Left, Vec::new()))
    }
}

fn upstream(n: u32) -> Upstream {
    let [_, b, c, d] = n.to_be_bytes();
    let vm = Vm { name: format!("r-{n}"), data_centre: format!("dc-{}", n % 3) };
    Upstream { vm, address: SocketAddr::from(([10, b, c, d], 80)), checks_orders: false }
}

const READY: ReplicaInfo =
    ReplicaInfo { version: String::new(), slots: 8, leaving: false, cold_for: Millis(0) };

/// Where each of some prompts goes first at a router that knows nothing but the replicas: their
/// shared part is large enough that reading it at another replica is never cheaper.
fn homes(pool: &mut Pool, prompts: u64) -> Vec<SocketAddr> {
    let mut rng = SmallRng::seed_from_u64(3);
    (0..prompts)
        .map(|n| {
            let prefixes = PromptPrefixes::from_sized_parts([(n, 1_000_000), (1 << 32 | n, 10)]);
            let work = RequestProfile { prefixes, ..RequestProfile::default() };
            let c = pool.choose(Time(n), "dc-0", &work, &[], &mut rng).unwrap();
            pool.finish(Time(n), &c, false);
            c.address
        })
        .collect()
}

/// Routers that heard of the replicas in different orders, some of which have left since, agree on
/// every home.
#[test]
fn all_routers_find_the_same_homes_whatever_the_order_of_news() {
    let mut rng = SmallRng::seed_from_u64(9);
    let mut order: Vec<u32> = (0..200).collect();
    let mut pools = Vec::new();
    for _ in 0..3 {
        order.shuffle(&mut rng);
        let mut pool = Pool::default();
        order.iter().for_each(|n| pool.upsert(Time(0), &upstream(*n), &READY));
        (150..200).for_each(|n| pool.remove(Time(0), upstream(n).address));
        pools.push(pool);
    }
    let all: BTreeSet<_> = pools.iter_mut().map(|p| homes(p, 300)).collect();
    assert_eq!(all.len(), 1);
}

/// One of 200 replicas goes: only its own keys find another home.
#[test]
fn a_replica_that_goes_moves_its_own_keys_alone() {
    let mut pool = Pool::default();
    (0..200).for_each(|n| pool.upsert(Time(0), &upstream(n), &READY));
    let before = homes(&mut pool, 2_000);
    let mut pool = Pool::default();
    (1..200).for_each(|n| pool.upsert(Time(0), &upstream(n), &READY));
    let after = homes(&mut pool, 2_000);
    let moved = before.iter().zip(&after).filter(|(b, a)| b != a);
    assert!(moved.clone().all(|(b, _)| *b == upstream(0).address));
    assert!(moved.count() > 0);
}

/// No replica is the home of much more than its part. 20,000 keys over 12, 140 and 1,000 replicas;
/// with so few keys each, some of the spread is the keys' own.
#[rstest]
#[case::small_fleet(12, 130)]
#[case::today(140, 150)]
#[case::large(1_000, 240)]
fn homes_are_spread_evenly(#[case] replicas: u32, #[case] most_percent: u64) {
    const KEYS: u64 = 20_000;
    let mut pool = Pool::default();
    (0..replicas).for_each(|n| pool.upsert(Time(0), &upstream(n), &READY));
    let mut count: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    homes(&mut pool, KEYS).into_iter().for_each(|a| *count.entry(a).or_default() += 1);
    let busiest = *count.values().max().unwrap();
    let mean = KEYS / u64::from(replicas);
    assert!(busiest * 100 <= mean * most_percent, "{busiest} of {mean}");
}

/// Guards against a replica that leaves and is taken for ready once its word is some minutes old: its
/// heartbeats go on, and a control process that has started again says that it is ready.
#[test]
fn a_replica_that_leaves_is_not_ready_again_in_that_life() {
    let mut replicas = ReplicaTable::default();
    replicas.apply(Time(0), record("a", 80, 1, Ready));
    let leaves = replicas.draining_record("a").unwrap();
    replicas.apply(Time(1), leaves);
    assert!(replicas.draining_record("a").is_none(), "it is known");
    for minutes in [1, 3, 30] {
        let (standing, changes) =
            replicas.apply(Time(minutes * 60_000), record("a", 80, 1 + minutes, Ready)).unwrap();
        assert_eq!(standing, Draining);
        assert!(changes.iter().all(|c| c.upstream.is_none()));
    }
}
