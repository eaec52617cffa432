//! Replicas that start again under the id that they had: whatever the order in which words of several
//! lives come, control processes and routers agree on the last life.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cypressfork_core::config::{Upstream, Vm};
use cypressfork_core::fleet::registry::{
    Heartbeat, Record, RecordSource, Registration, Registry, ReplicaStatus,
};
use cypressfork_core::fleet::replicas::ReplicaTable;
use cypressfork_core::route::{Pool, ReplicaInfo, RequestProfile};
use cypressfork_core::unit::{Millis, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

/// Of which life, at which port, with which number, and how it stands.
type Word = (u64, u16, u64, ReplicaStatus);

fn record((born, port, sequence, standing): Word) -> Record {
    let registration = Registration {
        id: "i-1".to_owned(),
        service: "talk".to_owned(),
        address: format!("10.0.0.1:{port}"),
        data_centre: "a".to_owned(),
        version: String::new(),
        slots: 8,
        cold: Millis(0),
        sequence,
        born,
    };
    Record { registration, standing }
}

/// Every order of some words.
fn orders(words: &[Word]) -> Vec<Vec<Word>> {
    if words.len() < 2 {
        return vec![words.to_vec()];
    }
    let mut all = Vec::new();
    for n in 0..words.len() {
        let mut rest = words.to_vec();
        let first = rest.remove(n);
        all.extend(orders(&rest).into_iter().map(|o| [vec![first], o].concat()));
    }
    all
}

fn at_control(words: &[Word]) -> Record {
    let mut r = Registry::default();
    for (n, w) in words.iter().enumerate() {
        let source = if n % 2 == 0 { RecordSource::Replica } else { RecordSource::Peer };
        r.apply(Time(1_000 + n as u64), record(*w), source);
    }
    r.iter().next().unwrap().clone()
}

/// The ports at which a router has the replica.
fn at_router(words: &[Word]) -> Vec<u16> {
    let mut replicas = ReplicaTable::default();
    let mut there = BTreeMap::new();
    for (n, w) in words.iter().enumerate() {
        let Some((_, changes)) = replicas.apply(Time(n as u64), record(*w)) else { continue };
        for c in changes {
            there.insert(c.address.port(), c.upstream.is_some());
        }
    }
    there.into_iter().filter(|(_, is_there)| *is_there).map(|(port, _)| port).collect()
}

use ReplicaStatus::{Draining, Left, Ready};

#[rstest]
#[case::numbers_begin_anew(&[(10, 80, 50, Ready), (20, 80, 1, Ready)], (20, 1, Ready), &[80])]
#[case::at_another_address(&[(10, 80, 50, Ready), (20, 81, 1, Ready)], (20, 1, Ready), &[81])]
#[case::after_it_drained(
    &[(10, 80, 50, Ready), (10, 80, 51, Draining), (20, 80, 1, Ready)], (20, 1, Ready), &[80])]
#[case::after_it_left(
    &[(10, 80, 50, Draining), (10, 80, 51, Left), (20, 81, 1, Ready)], (20, 1, Ready), &[81])]
#[case::drains_again(
    &[(10, 80, 50, Left), (20, 80, 1, Ready), (20, 80, 2, Draining)], (20, 2, Draining), &[])]
#[case::three_lives(
    &[(10, 80, 9, Left), (20, 81, 99, Draining), (30, 82, 1, Ready), (30, 82, 2, Ready)],
    (30, 2, Ready), &[82])]
#[case::does_not_say(&[(0, 80, 1, Ready), (0, 80, 2, Ready)], (0, 2, Ready), &[80])]
fn all_orders_come_to_the_same(
    #[case] words: &[Word],
    #[case] (born, sequence, standing): (u64, u64, ReplicaStatus),
    #[case] ports: &[u16],
) {
    for order in orders(words) {
        let r = at_control(&order);
        let known = (r.registration.born, r.registration.sequence, r.standing);
        assert_eq!(known, (born, sequence, standing), "at a control process: {order:?}");
        assert_eq!(at_router(&order), ports, "at a router: {order:?}");
    }
}

/// A heartbeat that another control process passes on counts for its own life only.
#[test]
fn a_relayed_heartbeat_is_of_one_life() {
    let mut r = Registry::default();
    r.apply(Time(0), record((20, 80, 1, Ready)), RecordSource::Peer);
    r.tick(Time(10_000), Millis(1_000));
    let beat = |born, sequence| Heartbeat { id: "i-1".to_owned(), sequence, born };
    assert!(!r.apply_heartbeat(Time(10_000), &beat(10, 99)), "of the life before");
    assert_eq!(r.iter().next().unwrap().standing, ReplicaStatus::Silent);
    assert!(r.apply_heartbeat(Time(10_000), &beat(20, 2)));
    assert_eq!(r.iter().next().unwrap().standing, Ready);
}

/// A life that began is remembered, also when the one before would be forgotten.
#[test]
fn a_later_life_outlasts_the_memory_of_the_one_that_left() {
    let mut replicas = ReplicaTable::default();
    replicas.apply(Time(0), record((10, 80, 5, Left)));
    replicas.apply(Time(1_000), record((20, 80, 1, Ready)));
    let (standing, changes) = replicas.apply(Time(200_000), record((20, 81, 2, Ready))).unwrap();
    let there: Vec<_> = changes.iter().map(|c| (c.address.port(), c.upstream.is_some())).collect();
    assert_eq!((standing, there), (Ready, vec![(80, false), (81, true)]));
}

/// What a router learned of the former life goes with it: it is left out no longer, and has no request.
#[test]
fn nothing_is_left_of_the_former_life() {
    let mut replicas = ReplicaTable::default();
    let mut pool = Pool::default();
    let mut rng = SmallRng::seed_from_u64(7);
    let mut take = |pool: &mut Pool, now: Time, w: Word| {
        for c in replicas.apply(now, record(w)).unwrap().1 {
            match c.upstream {
                Some((u, condition)) => pool.upsert(now, &u, &condition),
                None => pool.remove(now, c.address),
            }
        }
    };
    take(&mut pool, Time(0), (10, 80, 1, Ready));
    let other = SocketAddr::from(([10, 0, 0, 2], 80));
    let vm = Vm { name: "i-2".to_owned(), data_centre: "a".to_owned() };
    let upstream = Upstream { vm, address: other, checks_orders: false };
    pool.upsert(Time(0), &upstream, &ReplicaInfo { slots: 8, ..ReplicaInfo::default() });
    let work = RequestProfile::default();
    let first = SocketAddr::from(([10, 0, 0, 1], 80));
    for _ in 0..3 {
        let c = pool.choose(Time(10), "a", &work, &[other], &mut rng).unwrap();
        pool.finish(Time(10), &c, true);
    }
    pool.choose(Time(400), "a", &work, &[other], &mut rng);
    assert!(pool.get(first).unwrap().is_out(Time(400)));
    assert_eq!(pool.get(first).unwrap().outstanding, 1);
    take(&mut pool, Time(700), (20, 80, 1, Ready));
    assert!(!pool.get(first).unwrap().is_out(Time(700)));
    assert_eq!(pool.get(first).unwrap().outstanding, 0);
}
