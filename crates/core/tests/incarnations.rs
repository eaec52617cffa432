//! Tests of replicas that restart under the same id: control processes and routers must agree on the
//! last incarnation in whatever order the reports of several incarnations arrive.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cypressfork_core::config::{Upstream, Vm};
use cypressfork_core::fleet::registry::{
    Heartbeat, Receiver, Record, RecordSource, Registration, Registry, ReplicaStatus,
};
use cypressfork_core::fleet::replicas::ReplicaTable;
use cypressfork_core::route::{Pool, ReplicaInfo, RequestProfile};
use cypressfork_core::unit::{Millis, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

/// A report of a replica: incarnation, port, sequence number and status.
type Report = (u64, u16, u64, ReplicaStatus);

fn record((born, port, sequence, standing): Report) -> Record {
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

/// Returns all permutations of `reports`.
fn permutations(reports: &[Report]) -> Vec<Vec<Report>> {
    if reports.len() < 2 {
        return vec![reports.to_vec()];
    }
    let mut all = Vec::new();
    for n in 0..reports.len() {
        let mut rest = reports.to_vec();
        let first = rest.remove(n);
        all.extend(permutations(&rest).into_iter().map(|o| [vec![first], o].concat()));
    }
    all
}

/// Returns a control process's record of the replica after `reports`.
fn record_at_control(reports: &[Report]) -> Record {
    let mut r = Registry::default();
    for (n, report) in reports.iter().enumerate() {
        let source = if n % 2 == 0 { RecordSource::Replica } else { RecordSource::Peer };
        r.apply(Time(1_000 + n as u64), record(*report), source);
    }
    r.iter().next().unwrap().clone()
}

/// Returns the ports at which a router has the replica after `reports`.
fn ports_at_router(reports: &[Report]) -> Vec<u16> {
    let mut replicas = ReplicaTable::default();
    let mut ports = BTreeMap::new();
    for (n, report) in reports.iter().enumerate() {
        let Some((_, changes)) = replicas.apply(Time(n as u64), record(*report)) else { continue };
        for c in changes {
            ports.insert(c.address.port(), c.upstream.is_some());
        }
    }
    ports.into_iter().filter(|(_, present)| *present).map(|(port, _)| port).collect()
}

use ReplicaStatus::{Draining, Left, Ready};

#[rstest]
#[case::sequence_numbers_restart(&[(10, 80, 50, Ready), (20, 80, 1, Ready)], (20, 1, Ready), &[80])]
#[case::at_another_address(&[(10, 80, 50, Ready), (20, 81, 1, Ready)], (20, 1, Ready), &[81])]
#[case::after_it_drained(
    &[(10, 80, 50, Ready), (10, 80, 51, Draining), (20, 80, 1, Ready)], (20, 1, Ready), &[80])]
#[case::after_it_left(
    &[(10, 80, 50, Draining), (10, 80, 51, Left), (20, 81, 1, Ready)], (20, 1, Ready), &[81])]
#[case::the_new_incarnation_drains(
    &[(10, 80, 50, Left), (20, 80, 1, Ready), (20, 80, 2, Draining)], (20, 2, Draining), &[])]
#[case::three_incarnations(
    &[(10, 80, 9, Left), (20, 81, 99, Draining), (30, 82, 1, Ready), (30, 82, 2, Ready)],
    (30, 2, Ready), &[82])]
#[case::no_incarnation_in_reports(&[(0, 80, 1, Ready), (0, 80, 2, Ready)], (0, 2, Ready), &[80])]
fn the_last_incarnation_wins_in_any_order_of_reports(
    #[case] reports: &[Report],
    #[case] (born, sequence, standing): (u64, u64, ReplicaStatus),
    #[case] ports: &[u16],
) {
    for order in permutations(reports) {
        let r = record_at_control(&order);
        let known = (r.registration.born, r.registration.sequence, r.standing);
        assert_eq!(known, (born, sequence, standing), "at a control process: {order:?}");
        assert_eq!(ports_at_router(&order), ports, "at a router: {order:?}");
    }
}

/// Guards against a relayed heartbeat of an earlier incarnation that keeps the current one ready.
#[test]
fn a_relayed_heartbeat_applies_only_to_its_incarnation() {
    let mut r = Registry::default();
    r.apply(Time(0), record((20, 80, 1, Ready)), RecordSource::Peer);
    r.tick(Time(10_000), Millis(1_000));
    let beat = |born, sequence| Heartbeat { id: "i-1".to_owned(), sequence, born };
    assert!(
        !r.apply_heartbeat(Time(10_000), &beat(10, 99), Receiver::Unknown),
        "of the earlier incarnation"
    );
    assert_eq!(r.iter().next().unwrap().standing, ReplicaStatus::Silent);
    assert!(r.apply_heartbeat(Time(10_000), &beat(20, 2), Receiver::Unknown));
    assert_eq!(r.iter().next().unwrap().standing, Ready);
}

/// Guards against dropping a running incarnation when the record of the one that left expires.
#[test]
fn a_new_incarnation_outlasts_the_record_of_the_one_that_left() {
    let mut replicas = ReplicaTable::default();
    replicas.apply(Time(0), record((10, 80, 5, Left)));
    replicas.apply(Time(1_000), record((20, 80, 1, Ready)));
    let (standing, changes) = replicas.apply(Time(200_000), record((20, 81, 2, Ready))).unwrap();
    let ports: Vec<_> = changes.iter().map(|c| (c.address.port(), c.upstream.is_some())).collect();
    assert_eq!((standing, ports), (Ready, vec![(80, false), (81, true)]));
}

/// Guards against carrying ejection and outstanding requests over to a restarted replica.
#[test]
fn a_restarted_replica_starts_with_clean_pool_state() {
    let mut replicas = ReplicaTable::default();
    let mut pool = Pool::default();
    let mut rng = SmallRng::seed_from_u64(7);
    let mut apply = |pool: &mut Pool, now: Time, report: Report| {
        for c in replicas.apply(now, record(report)).unwrap().1 {
            match c.upstream {
                Some((u, condition)) => pool.upsert(now, &u, &condition),
                None => pool.remove(now, c.address),
            }
        }
    };
    apply(&mut pool, Time(0), (10, 80, 1, Ready));
    let other = SocketAddr::from(([10, 0, 0, 2], 80));
    let vm = Vm { name: "i-2".to_owned(), data_centre: "a".to_owned() };
    let upstream = Upstream { vm, address: other, checks_orders: false };
    pool.upsert(Time(0), &upstream, &ReplicaInfo { slots: 8, ..ReplicaInfo::default() });
    let profile = RequestProfile::default();
    let first = SocketAddr::from(([10, 0, 0, 1], 80));
    for _ in 0..3 {
        let c = pool.choose(Time(10), "a", &profile, &[other], &mut rng).unwrap();
        pool.finish(Time(10), &c, true);
    }
    pool.choose(Time(400), "a", &profile, &[other], &mut rng);
    assert!(pool.get(first).unwrap().is_unavailable(Time(400)));
    assert_eq!(pool.get(first).unwrap().outstanding, 1);
    apply(&mut pool, Time(700), (20, 80, 1, Ready));
    assert!(!pool.get(first).unwrap().is_unavailable(Time(700)));
    assert_eq!(pool.get(first).unwrap().outstanding, 0);
}
