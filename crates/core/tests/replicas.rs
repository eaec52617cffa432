//! The replica table of a router, for records in any order, and how the homes of prompts depend on
//! the set of replicas.

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

/// Returns the replica at each port after applying all `records` in order.
fn replicas_by_port(records: &[Record]) -> BTreeMap<u16, String> {
    let mut replicas = ReplicaTable::default();
    let mut by_port = BTreeMap::new();
    for (n, r) in records.iter().enumerate() {
        let (_, changes) =
            replicas.apply(Time(n as u64), r.clone()).unwrap_or((r.standing, vec![]));
        for c in changes {
            apply(&mut by_port, &c);
        }
    }
    by_port
}

fn apply(by_port: &mut BTreeMap<u16, String>, c: &AddressChange) {
    match &c.upstream {
        Some((u, info)) => {
            let silent = if info.leaving { "silent " } else { "" };
            by_port.insert(c.address.port(), format!("{silent}{}", u.vm.name))
        }
        None => by_port.remove(&c.address.port()),
    };
}

use ReplicaStatus::{Draining, Left, Ready, Silent};

#[rstest]
#[case::one(&[("a", 80, 1, Ready)], &[(80, "a")])]
#[case::silent(&[("a", 80, 1, Ready), ("a", 80, 1, Silent)], &[(80, "silent a")])]
#[case::back(&[("a", 80, 1, Silent), ("a", 80, 2, Ready)], &[(80, "a")])]
#[case::draining(&[("a", 80, 1, Ready), ("a", 80, 2, Draining)], &[])]
#[case::late_heartbeat(&[("a", 80, 2, Draining), ("a", 80, 3, Ready)], &[])]
#[case::late_record(&[("a", 80, 3, Ready), ("a", 80, 2, Silent)], &[(80, "a")])]
#[case::moved(&[("a", 80, 1, Ready), ("a", 81, 2, Ready)], &[(81, "a")])]
#[case::a_successor_at_the_address(&[("a", 80, 1, Ready), ("b", 80, 1, Ready)], &[(80, "b")])]
#[case::late_heartbeat_of_the_predecessor(
    &[("a", 80, 7, Ready), ("b", 80, 1, Ready), ("a", 80, 8, Ready)], &[(80, "b")])]
#[case::ready_before_silent(&[("a", 80, 7, Ready), ("b", 80, 1, Silent)], &[(80, "a")])]
#[case::the_newer_one_leaves(
    &[("a", 80, 7, Ready), ("b", 80, 1, Ready), ("b", 80, 2, Left)], &[(80, "a")])]
fn records_determine_the_replica_at_an_address(
    #[case] records: &[(&str, u16, u64, ReplicaStatus)],
    #[case] want: &[(u16, &str)],
) {
    let records: Vec<_> = records.iter().map(|(id, p, seq, s)| record(id, *p, *seq, *s)).collect();
    let want: BTreeMap<_, _> = want.iter().map(|(p, id)| (*p, (*id).to_owned())).collect();
    assert_eq!(replicas_by_port(&records), want);
}

/// Guards against a delayed heartbeat of a crashed replica that takes an address back from its
/// successor, after a response has identified the successor.
#[test]
fn a_replaced_replica_does_not_regain_its_address() {
    let mut replicas = ReplicaTable::default();
    let mut by_port = BTreeMap::new();
    let records = [record("new", 80, 1, Ready), record("old", 80, 9, Ready)];
    for r in records {
        let (_, changes) = replicas.apply(Time(0), r).unwrap();
        changes.iter().for_each(|c| apply(&mut by_port, c));
    }
    assert_eq!(by_port[&80], "old", "the last record wins");
    apply(&mut by_port, &replicas.mark_replaced("old").unwrap());
    assert_eq!(by_port[&80], "new");
    let (_, changes) = replicas.apply(Time(5), record("old", 80, 10, Ready)).unwrap_or_left();
    changes.iter().for_each(|c| apply(&mut by_port, c));
    assert_eq!(by_port[&80], "new");
}

/// Replaces the result of an ignored record by [`Left`] without changes.
trait UnwrapOrLeft {
    fn unwrap_or_left(self) -> (ReplicaStatus, Vec<AddressChange>);
}

impl UnwrapOrLeft for Option<(ReplicaStatus, Vec<AddressChange>)> {
    fn unwrap_or_left(self) -> (ReplicaStatus, Vec<AddressChange>) {
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

/// Returns the home of each of `prompts` prompts: the replica that a router with no cache data
/// selects. The shared prefix is large enough that no other replica is cheaper.
fn homes(pool: &mut Pool, prompts: u64) -> Vec<SocketAddr> {
    let mut rng = SmallRng::seed_from_u64(3);
    (0..prompts)
        .map(|n| {
            let prefixes = PromptPrefixes::from_sized_parts([(n, 1_000_000), (1 << 32 | n, 10)]);
            let profile = RequestProfile { prefixes, ..RequestProfile::default() };
            let c = pool.choose(Time(n), "dc-0", &profile, &[], &mut rng).unwrap();
            pool.finish(Time(n), &c, false);
            c.address
        })
        .collect()
}

/// Guards against homes that depend on the order in which replicas were added or removed.
#[test]
fn homes_do_not_depend_on_the_order_of_records() {
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

/// Guards against prompts that change their home when another replica is removed.
#[test]
fn removing_a_replica_moves_only_its_own_keys() {
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

/// Guards against a replica that is the home of far more keys than the mean. With few keys per
/// replica, part of the variation is random.
#[rstest]
#[case::small_fleet(12, 130)]
#[case::medium_fleet(140, 150)]
#[case::large_fleet(1_000, 240)]
fn homes_are_spread_evenly(#[case] replicas: u32, #[case] max_percent: u64) {
    const KEYS: u64 = 20_000;
    let mut pool = Pool::default();
    (0..replicas).for_each(|n| pool.upsert(Time(0), &upstream(n), &READY));
    let mut count: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    homes(&mut pool, KEYS).into_iter().for_each(|a| *count.entry(a).or_default() += 1);
    let busiest = *count.values().max().unwrap();
    let mean = KEYS / u64::from(replicas);
    assert!(
        busiest * 100 <= mean * max_percent,
        "the busiest replica has {busiest} keys, the mean is {mean}"
    );
}

/// Guards against a draining replica that becomes ready again minutes later: it still sends
/// heartbeats, and a restarted control process reports it as ready.
#[test]
fn a_draining_replica_stays_draining_in_its_incarnation() {
    let mut replicas = ReplicaTable::default();
    replicas.apply(Time(0), record("a", 80, 1, Ready));
    let draining = replicas.draining_record("a").unwrap();
    replicas.apply(Time(1), draining);
    assert!(replicas.draining_record("a").is_none(), "already recorded");
    for minutes in [1, 3, 30] {
        let (standing, changes) =
            replicas.apply(Time(minutes * 60_000), record("a", 80, 1 + minutes, Ready)).unwrap();
        assert_eq!(standing, Draining);
        assert!(changes.iter().all(|c| c.upstream.is_none()));
    }
}
