//! The registry of replicas: registrations, heartbeats, and how control processes relay them.

use cypressfork_core::fleet::registry::{
    Heartbeat, Leaving, Receiver, Record, RecordSource, Registration, Registry, ReplicaStatus,
};
use cypressfork_core::unit::{Millis, Time};
use rstest::rstest;

/// Limit of records per batch, larger than any registry here.
const MAX_RECORDS: usize = 1_000;

fn record(id: &str, sequence: u64, standing: ReplicaStatus) -> Record {
    let registration = Registration {
        id: id.to_owned(),
        service: "talk".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        data_centre: "tamar-a".to_owned(),
        version: String::new(),
        slots: 4,
        cold: Millis(0),
        sequence,
        born: 0,
    };
    Record { registration, standing }
}

/// A ready record of the incarnation that started at `born`.
fn incarnation(id: &str, born: u64, sequence: u64) -> Record {
    let mut r = record(id, sequence, ReplicaStatus::Ready);
    r.registration.born = born;
    r
}

/// Each case: the records received for one replica, in order, and its final status.
#[rstest]
#[case::ready(&[(1, ReplicaStatus::Ready)], ReplicaStatus::Ready)]
#[case::draining_is_final(&[(1, ReplicaStatus::Ready), (2, ReplicaStatus::Draining), (3, ReplicaStatus::Ready)], ReplicaStatus::Draining)]
#[case::a_late_heartbeat_does_not_revive(&[(5, ReplicaStatus::Draining), (4, ReplicaStatus::Ready)], ReplicaStatus::Draining)]
#[case::late_draining_applies(&[(5, ReplicaStatus::Ready), (4, ReplicaStatus::Draining)], ReplicaStatus::Draining)]
#[case::left_is_final(&[(5, ReplicaStatus::Left), (9, ReplicaStatus::Ready)], ReplicaStatus::Left)]
#[case::left_overrides_draining(&[(5, ReplicaStatus::Left), (6, ReplicaStatus::Draining)], ReplicaStatus::Left)]
#[case::silent_until_its_next_heartbeat(&[(5, ReplicaStatus::Silent), (6, ReplicaStatus::Ready)], ReplicaStatus::Ready)]
#[case::a_late_record_of_silence(&[(6, ReplicaStatus::Ready), (5, ReplicaStatus::Silent)], ReplicaStatus::Ready)]
fn the_status_of_a_replica_follows_its_records(
    #[case] received: &[(u64, ReplicaStatus)],
    #[case] want: ReplicaStatus,
) {
    let mut r = Registry::default();
    for (sequence, standing) in received {
        r.apply(Time(1_000), record("i-1", *sequence, *standing), RecordSource::Replica);
    }
    assert_eq!(r.iter().next().unwrap().standing, want);
}

/// Guards against a change feed that grows with every heartbeat.
#[test]
fn the_change_feed_holds_changes_but_no_heartbeats() {
    let mut r = Registry::default();
    assert!(r.apply(Time(0), record("i-1", 1, ReplicaStatus::Ready), RecordSource::Replica));
    let since = r.position();
    assert!(!r.apply(Time(900), record("i-1", 2, ReplicaStatus::Ready), RecordSource::Replica));
    assert_eq!(r.changes(since, MAX_RECORDS).records.len(), 0);
    let heartbeats = vec![Heartbeat { id: "i-1".to_owned(), sequence: 2, born: 0 }];
    assert_eq!(
        r.relay_batch(since, MAX_RECORDS, MAX_RECORDS, None).heartbeats,
        heartbeats,
        "heartbeats are relayed to control processes"
    );
    r.tick(Time(4_800), Millis(1_000));
    assert_eq!(r.changes(since, MAX_RECORDS).records.len(), 0, "its last heartbeat is 3.9 s old");
    r.tick(Time(4_900), Millis(1_000));
    assert_eq!(r.changes(since, MAX_RECORDS).records[0].standing, ReplicaStatus::Silent);
    assert!(r.mark_left(Time(5_000), "i-1"));
    assert!(!r.mark_left(Time(5_000), "i-2"), "unknown replica");
}

/// Guards against a replica that is reported as silent by a control process which receives its
/// heartbeats over two hops. One of the heartbeats is lost.
#[test]
fn heartbeats_are_relayed_over_two_hops() {
    let interval = Millis(1_000);
    let mut all = [Registry::default(), Registry::default(), Registry::default()];
    let mut since = [0; 2];
    let mut relayed = 0;
    for n in 1..=60 {
        let now = Time(n * 500);
        if n % 2 == 0 && n != 30 && n != 31 {
            all[0].apply(now, record("i-1", n, ReplicaStatus::Ready), RecordSource::Replica);
        }
        for to in 1..3 {
            let batch = all[to - 1].relay_batch(since[to - 1], MAX_RECORDS, MAX_RECORDS, None);
            since[to - 1] = batch.position;
            relayed += batch.heartbeats.len() * to.saturating_sub(1);
            batch.records.into_iter().for_each(|r| _ = all[to].apply(now, r, RecordSource::Peer));
            batch
                .heartbeats
                .iter()
                .for_each(|h| _ = all[to].apply_heartbeat(now, h, Receiver::Unknown));
        }
        all.iter_mut().for_each(|r| r.tick(now, interval));
        assert!(
            all.iter().all(|r| r.iter().all(|r| r.standing == ReplicaStatus::Ready)),
            "at {now:?}"
        );
    }
    assert!(relayed < 15, "{relayed} of 29 heartbeats were relayed twice");
}

/// Each case: the stored status, the sequence of a heartbeat without record, whether it is a change,
/// and the status after it.
#[rstest]
#[case::newer(ReplicaStatus::Ready, 6, false, ReplicaStatus::Ready)]
#[case::old(ReplicaStatus::Silent, 5, false, ReplicaStatus::Silent)]
#[case::a_heartbeat_ends_silence(ReplicaStatus::Silent, 6, true, ReplicaStatus::Ready)]
#[case::draining(ReplicaStatus::Draining, 6, false, ReplicaStatus::Draining)]
fn a_heartbeat_without_a_record(
    #[case] standing: ReplicaStatus,
    #[case] sequence: u64,
    #[case] changes: bool,
    #[case] after: ReplicaStatus,
) {
    let mut r = Registry::default();
    r.apply(Time(0), record("i-1", 5, standing), RecordSource::Peer);
    let since = r.position();
    let heartbeat = |id: &str| Heartbeat { id: id.to_owned(), sequence, born: 0 };
    assert_eq!(r.apply_heartbeat(Time(9), &heartbeat("i-1"), Receiver::Unknown), changes);
    assert!(!r.apply_heartbeat(Time(9), &heartbeat("i-2"), Receiver::Unknown), "unknown replica");
    assert_eq!(r.iter().next().unwrap().standing, after);
    assert_eq!(r.changes(since, MAX_RECORDS).records.len(), usize::from(changes));
}

/// Guards against replicas missing at a peer that reads small batches while the registry changes.
#[test]
fn small_batches_omit_no_replica() {
    let (mut from, mut to) = (Registry::default(), Registry::default());
    let mut since = 0;
    for n in 0..400_u64 {
        let id = format!("i-{}", n % 50);
        from.apply(Time(n), record(&id, n + 1, ReplicaStatus::Ready), RecordSource::Replica);
        if n % 10 == 0 {
            let batch = from.relay_batch(since, 3, 5, None);
            since = batch.position;
            batch.records.into_iter().for_each(|r| _ = to.apply(Time(n), r, RecordSource::Peer));
            batch
                .heartbeats
                .iter()
                .for_each(|h| _ = to.apply_heartbeat(Time(n), h, Receiver::Unknown));
        }
    }
    while since < from.position() {
        let batch = from.relay_batch(since, 3, 5, None);
        assert!(batch.position > since);
        since = batch.position;
        batch.records.into_iter().for_each(|r| _ = to.apply(Time(400), r, RecordSource::Peer));
        batch
            .heartbeats
            .iter()
            .for_each(|h| _ = to.apply_heartbeat(Time(400), h, Receiver::Unknown));
    }
    let sequences = |r: &Registry| -> Vec<_> {
        r.iter().map(|r| (r.registration.id.clone(), r.registration.sequence)).collect()
    };
    assert_eq!(sequences(&from), sequences(&to));
}

/// Guards against a late heartbeat that brings back a replica that left, and against keeping such
/// replicas forever.
#[test]
fn a_late_heartbeat_does_not_revive_a_replica_that_left() {
    let mut r = Registry::default();
    r.apply(Time(0), record("i-1", 5, ReplicaStatus::Ready), RecordSource::Replica);
    r.mark_left(Time(0), "i-1");
    r.tick(Time(60_000), Millis(1_000));
    assert!(!r.apply(Time(60_000), record("i-1", 4, ReplicaStatus::Ready), RecordSource::Replica));
    r.tick(Time(200_000), Millis(1_000));
    assert_eq!(r.iter().count(), 0);
}

/// Guards against a replica that gets requests after its leave was acknowledged: no heartbeat had arrived before the
/// leave, and one that was delayed arrives after it.
#[test]
fn a_leave_holds_if_the_first_heartbeat_arrives_after_it() {
    let mut r = Registry::default();
    r.mark_left(Time(1_000), "i-1");
    r.apply(Time(3_000), record("i-1", 3, ReplicaStatus::Ready), RecordSource::Replica);
    assert_eq!(r.get("i-1").map(|r| r.standing), Some(ReplicaStatus::Left));
}

/// Guards against a leaving notice that ends too early or applies to another incarnation.
#[test]
fn a_leaving_notice_applies_to_one_incarnation() {
    let mut r = Registry::default();
    let leaving = |born| Leaving { replica: "a".to_owned(), born };
    assert!(!r.apply_leaving(Time(0), &leaving(5)), "unknown replica");
    r.apply(Time(0), incarnation("a", 7, 1), RecordSource::Replica);
    assert!(!r.apply_leaving(Time(1), &leaving(5)), "an earlier incarnation");
    assert!(r.apply_leaving(Time(1), &leaving(7)));
    assert!(!r.apply_leaving(Time(2), &leaving(7)), "already recorded");
    r.apply(Time(3), incarnation("a", 7, 2), RecordSource::Replica);
    assert_eq!(r.get("a").unwrap().standing, ReplicaStatus::Draining);
    r.apply(Time(4), incarnation("a", 9, 1), RecordSource::Replica);
    assert_eq!(r.get("a").unwrap().standing, ReplicaStatus::Ready);
}
