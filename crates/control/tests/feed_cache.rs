//! The cache of replica changes that one control process sends to routers.

use std::collections::BTreeMap;

use cypressfork_control::feed_cache::{Changes, FeedCache};
use cypressfork_core::fleet::registry::{
    Record, RecordSource, Registration, Registry, ReplicaStatus,
};
use cypressfork_core::unit::{Millis, Time};
use cypressfork_wire::{body, compression};

fn record(n: usize, sequence: u64) -> Record {
    let registration = Registration {
        id: format!("r-{n}"),
        service: "talk".to_owned(),
        address: format!("10.0.{}.{}:80", n / 250, n % 250),
        data_centre: "a".to_owned(),
        version: String::new(),
        slots: 4,
        cold: Millis(0),
        sequence,
        born: 0,
    };
    let standing = if sequence > 1 { ReplicaStatus::Draining } else { ReplicaStatus::Ready };
    Record { registration, standing }
}

fn records(c: Changes) -> Vec<Record> {
    let packed = c.packed.map(|b| compression::decompress_value(&b).unwrap());
    packed.unwrap_or(c.records)
}

/// Every router ends with the registry's records, whatever changes while it receives them in parts.
#[test]
fn cached_changes_miss_no_record() {
    let (mut registry, mut cache) = (Registry::default(), FeedCache::default());
    let mut routers: Vec<(u64, BTreeMap<String, Record>)> = vec![(0, BTreeMap::new()); 7];
    for n in 0..3_000 {
        registry.apply(Time(n as u64), record(n % 700, 1 + n as u64 / 700), RecordSource::Replica);
        if n % 90 != 0 {
            continue;
        }
        for (since, all) in routers.iter_mut().skip(n % 3) {
            let changes = cache.changes(Time(n as u64), &registry, *since, 100);
            *since = changes.position;
            for r in records(changes) {
                all.insert(r.registration.id.clone(), r);
            }
        }
    }
    for (since, all) in &mut routers {
        while registry.has_changes(*since) {
            let changes = cache.changes(Time(3_000), &registry, *since, 100);
            assert!(changes.position > *since);
            *since = changes.position;
            for r in records(changes) {
                all.insert(r.registration.id.clone(), r);
            }
        }
        let statuses: Vec<_> = all.values().map(|r| r.standing).collect();
        let expected: Vec<_> = registry.iter().map(|r| r.standing).collect();
        assert_eq!(statuses, expected);
    }
}

/// 300 routers that start together receive 3,000 replicas in less than a fifth of the uncompressed bytes,
/// and the batches are compressed once for all of them.
#[test]
fn replicas_are_sent_compressed_at_a_start() {
    let (mut registry, mut cache) = (Registry::default(), FeedCache::default());
    (0..3_000).for_each(|n| _ = registry.apply(Time(0), record(n, 1), RecordSource::Replica));
    let plain: usize = (0..3_000).map(|n| body::pack(&record(n, 1)).len()).sum();
    let mut bytes = 0;
    for _ in 0..300 {
        let mut since = 0;
        while registry.has_changes(since) {
            let changes = cache.changes(Time(9), &registry, since, 256);
            bytes += changes.packed.as_ref().map_or(0, |b| b.len());
            since = changes.position;
        }
    }
    assert!(bytes * 5 < plain * 300, "{bytes} of {}", plain * 300);
    assert!(cache.len() <= 12);
}

/// A router that starts late receives no replica that has left and is removed from the registry.
#[test]
fn a_removed_replica_is_not_sent_again() {
    let (mut registry, mut cache) = (Registry::default(), FeedCache::default());
    (0..300).for_each(|n| _ = registry.apply(Time(0), record(n, 1), RecordSource::Replica));
    assert_eq!(records(cache.changes(Time(0), &registry, 0, 256)).len(), 256);
    registry.mark_left(Time(1_000), "r-7");
    registry.tick(Time(200_000), Millis(1_000_000));
    let received = records(cache.changes(Time(200_000), &registry, 0, 256));
    assert!(received.iter().all(|r| r.registration.id != "r-7"));
}
