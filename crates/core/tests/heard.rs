//! Heartbeats of replicas among control processes: who relays which to whom.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use cypressfork_core::fleet::heard::{HeardControls, WatchersHear};
use cypressfork_core::fleet::registry::{
    Receiver, Record, RecordSource, Registration, Registry, ReplicaStatus,
};
use cypressfork_core::unit::{Millis, Time};
use rstest::rstest;

/// Interval between heartbeats of a replica.
const INTERVAL: Millis = Millis(1_200);

/// Interval at which control processes fetch each other's news.
const STEP: u64 = 300;

/// Limit of records and heartbeats per batch, larger than any here.
const MAX: usize = 10_000;

fn record(replica: usize, sequence: u64) -> Record {
    let registration = Registration {
        id: format!("i-{replica}"),
        service: "talk".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        data_centre: "tamar-a".to_owned(),
        version: String::new(),
        slots: 4,
        cold: Millis(0),
        sequence,
        born: 0,
    };
    Record { registration, standing: ReplicaStatus::Ready }
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8], 1))
}

/// A group of control processes that fetch each other's news, without sockets.
struct Group {
    registries: Vec<Registry>,
    heard: Vec<HeardControls>,
    watchers: Vec<WatchersHear>,
    /// Position of process `.0` in the feed of process `.1`.
    positions: Vec<Vec<u64>>,
    /// Pairs without a path to each other.
    cut: BTreeSet<(usize, usize)>,
    received: usize,
}

impl Group {
    fn new(n: usize) -> Group {
        Group {
            registries: vec![Registry::default(); n],
            heard: (0..n).map(|n| HeardControls::new(Group::boot(n))).collect(),
            watchers: vec![WatchersHear::default(); n],
            positions: vec![vec![0; n]; n],
            cut: BTreeSet::new(),
            received: 0,
        }
    }

    fn boot(n: usize) -> u64 {
        100 + n as u64
    }

    /// Each process fetches the news of each other one that it reaches.
    fn exchange(&mut self, now: Time) {
        let all = self.registries.len();
        for to in 0..all {
            for from in (0..all).filter(|from| *from != to) {
                if self.cut.contains(&(to, from)) || self.cut.contains(&(from, to)) {
                    continue;
                }
                self.fetch(now, to, from);
            }
            self.registries[to].tick(now, INTERVAL);
        }
    }

    fn fetch(&mut self, now: Time, to: usize, from: usize) {
        let hears = self.heard[to].boots(now);
        let lost = self.watchers[from].record(&address(to).to_string(), &hears);
        let since = self.positions[to][from];
        let source = &self.registries[from];
        let batch = source.relay_batch(since, MAX, MAX, Some(&hears));
        let mut relayed = batch.relayed;
        relayed.extend(source.heartbeats_received_by(&lost, MAX));
        self.positions[to][from] = batch.position;
        self.heard[to].record(now, address(from), Group::boot(from));
        let registry = &mut self.registries[to];
        for r in batch.records {
            registry.apply(now, r, RecordSource::Peer);
        }
        for h in &batch.heartbeats {
            self.received += 1;
            registry.apply_heartbeat(now, h, Receiver::Peer(Group::boot(from)));
        }
        for r in relayed {
            for h in &r.heartbeats {
                self.received += 1;
                registry.apply_heartbeat(now, h, Receiver::Peer(r.receiver));
            }
        }
    }

    fn all_ready(&self) -> bool {
        let mut records = self.registries.iter().flat_map(Registry::iter);
        records.all(|r| r.standing == ReplicaStatus::Ready)
    }
}

/// Guards against control processes that spend most of their time on heartbeats which they already know:
/// with n of them, each heartbeat was sent n squared times.
#[rstest]
fn a_heartbeat_is_sent_once_to_each_other_process(#[values(3, 5, 14, 37)] processes: usize) {
    let replicas = 60;
    let mut group = Group::new(processes);
    let mut sent = 0;
    for step in 0..80 {
        let now = Time(step * STEP);
        for replica in (0..replicas).filter(|r| (*r as u64 + step).is_multiple_of(4)) {
            let receiver = replica % processes;
            group.registries[receiver].apply(now, record(replica, step + 1), RecordSource::Replica);
            sent += 1;
        }
        group.exchange(now);
        if step == 20 {
            // The first exchanges carry the records of all replicas.
            group.received = 0;
            sent = 0;
        }
    }
    assert!(group.all_ready());
    assert!(
        group.received <= sent * (processes - 1),
        "{sent} heartbeats were received {} times by {} others",
        group.received,
        processes - 1
    );
}

/// Guards against replicas that are marked silent at a process which has lost contact with the one that
/// they send heartbeats to. In each case one heartbeat of every replica is lost during the cut.
#[rstest]
fn heartbeats_reach_a_process_that_does_not_hear_their_receiver(
    #[values(3, 5, 14)] processes: usize,
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8)] cut_step: u64,
) {
    let replicas = 24;
    let mut group = Group::new(processes);
    for step in 0..160 {
        let now = Time(step * STEP);
        if step == 40 + cut_step {
            group.cut.insert((0, 1));
        }
        if step == 120 {
            group.cut.clear();
        }
        for replica in (0..replicas).filter(|r| (*r as u64 + step).is_multiple_of(4)) {
            let is_lost = (80..84).contains(&step);
            let receiver = replica % processes;
            if !is_lost || receiver != 1 {
                let r = record(replica, step + 1);
                group.registries[receiver].apply(now, r, RecordSource::Replica);
            }
        }
        group.exchange(now);
        assert!(group.all_ready(), "at {now:?}");
    }
}

/// Guards against a replica that stays ready although nobody receives its heartbeats any more.
#[test]
fn a_replica_without_heartbeats_is_silent_everywhere() {
    let mut group = Group::new(5);
    for step in 0..60 {
        let now = Time(step * STEP);
        if step < 20 && step % 4 == 0 {
            group.registries[2].apply(now, record(1, step + 1), RecordSource::Replica);
        }
        group.exchange(now);
    }
    for r in &group.registries {
        assert_eq!(r.get("i-1").unwrap().standing, ReplicaStatus::Silent);
    }
}
