//! Transfer of documents in parts, in any order and from any process, and selection of the process
//! to fetch from.

#![allow(missing_docs)]

use std::net::SocketAddr;

use cypressfork_core::fleet::fetch::{AbandonedSource, Fetch};
use cypressfork_core::fleet::registry::{
    Record, RecordSource, Registration, Registry, ReplicaStatus,
};
use cypressfork_core::fleet::transfer::{
    Assembly, PART_BYTES, PackedDocuments, Part, PartOutcome, PartRequest,
};
use cypressfork_core::unit::{Millis, Time};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Packed bytes of a document, which differ between versions.
fn packed(version: u64, len: usize) -> Vec<u8> {
    (0..len).map(|n| (n as u64 * 31 + version) as u8).collect()
}

fn documents(all: &[(u64, usize)]) -> PackedDocuments {
    let mut documents = PackedDocuments::default();
    all.iter().for_each(|(version, len)| documents.insert(*version, packed(*version, *len)));
    documents
}

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n))
}

/// Fetches a document to its end. Returns its bytes and the number of parts.
fn fetch(
    a: &mut Assembly,
    held: u64,
    mut part: impl FnMut(&PartRequest) -> Option<Part>,
) -> (Vec<u8>, usize) {
    for n in 1.. {
        let p = part(&a.next_request(held)).expect("no newer document");
        if let PartOutcome::Complete(bytes) = a.add(held, p) {
            return (bytes, n);
        }
        assert!(n < 10_000, "the transfer does not end");
    }
    unreachable!()
}

/// Guards against wrong part boundaries.
#[test]
fn a_document_is_transferred_in_the_fewest_parts() {
    for (len, parts) in [(1, 1), (PART_BYTES, 1), (PART_BYTES + 1, 2), (5 * PART_BYTES, 5)] {
        let all = documents(&[(3, len)]);
        let (bytes, n) = fetch(&mut Assembly::default(), 2, |req| all.part(req));
        assert_eq!((bytes, n), (packed(3, len), parts), "{len} bytes");
    }
}

/// Guards against sending a document to a router that already has it.
#[test]
fn no_part_is_sent_if_the_newest_version_is_held() {
    let all = documents(&[(3, 10)]);
    assert_eq!(all.part(&PartRequest { held: 3, ..PartRequest::default() }), None);
    assert_eq!(PackedDocuments::default().part(&PartRequest::default()), None);
}

/// Guards against a restart of the transfer when its source fails.
#[test]
fn a_transfer_continues_from_another_process() {
    let (first, second) = (documents(&[(3, 4 * PART_BYTES)]), documents(&[(3, 4 * PART_BYTES)]));
    let mut requests = 0;
    let (bytes, parts) = fetch(&mut Assembly::default(), 0, |req| {
        requests += 1;
        if requests <= 2 { first.part(req) } else { second.part(req) }
    });
    assert_eq!((bytes, parts), (packed(3, 4 * PART_BYTES), 4), "no part is sent twice");
}

/// Guards against a restart of the transfer with every new version.
#[test]
fn a_superseded_document_is_fetched_to_its_end_while_it_is_kept() {
    let mut all = documents(&[(3, 4 * PART_BYTES)]);
    let (mut a, mut version) = (Assembly::default(), 3);
    let (bytes, _) = fetch(&mut a, 0, |req| {
        let p = all.part(req);
        // Publishes a new version with every other part.
        if !req.offset.is_multiple_of(2 * PART_BYTES as u64) {
            version += 1;
            all.insert(version, packed(version, 4 * PART_BYTES));
        }
        p
    });
    assert_eq!(bytes, packed(3, 4 * PART_BYTES));
}

/// Guards against a router that never completes a document while versions change continuously.
#[test]
fn continuous_changes_do_not_prevent_a_transfer() {
    let mut all = documents(&[(1, 2 * PART_BYTES)]);
    let mut a = Assembly::default();
    let mut version = 1;
    let (bytes, parts) = fetch(&mut a, 0, |req| {
        let p = all.part(req);
        version += 1;
        all.insert(version, packed(version, 2 * PART_BYTES));
        p
    });
    assert!(parts <= 4, "{parts} parts");
    assert_eq!(bytes.len(), 2 * PART_BYTES);
}

/// Guards against joining parts of one version that two processes packed differently.
#[test]
fn a_different_packing_restarts_the_transfer() {
    let one = documents(&[(3, 2 * PART_BYTES)]);
    let mut different = PackedDocuments::default();
    different.insert(3, packed(9, 3 * PART_BYTES));
    let mut a = Assembly::default();
    let first = one.part(&a.next_request(0)).unwrap();
    assert_eq!(a.add(0, first), PartOutcome::Incomplete);
    let (bytes, parts) = fetch(&mut a, 0, |req| different.part(req));
    assert_eq!((bytes, parts), (packed(9, 3 * PART_BYTES), 3));
}

/// Guards against accepting a corrupt document.
#[test]
fn corrupt_bytes_are_detected() {
    let all = documents(&[(3, 10)]);
    let mut part = all.part(&PartRequest::default()).unwrap();
    part.bytes[4] ^= 1;
    let mut a = Assembly::default();
    assert_eq!(a.add(0, part), PartOutcome::Corrupt);
    assert_eq!(a.next_request(0).offset, 0, "the transfer restarts");
}

/// Fixed, so that every run has the same cases.
const SEED: [u8; 32] = *b"cypressfork transfer parts seed1";

/// Guards against parts that arrive late, twice or from an older version and corrupt a document or
/// bring an older one into force.
#[test]
fn late_duplicate_and_older_parts_do_not_corrupt_a_document() {
    let config = Config { cases: 500, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let all: Vec<_> = [(3, 5 * PART_BYTES), (4, 3 * PART_BYTES + 7), (5, 2 * PART_BYTES)]
        .map(|(version, len)| documents(&[(version, len)]))
        .into();
    let order = prop::collection::vec((0usize..3, 0usize..6), 0..60);
    let result = TestRunner::new_with_rng(config, rng).run(&order, |order| {
        let mut a = Assembly::default();
        let mut held = 0;
        for (doc, part) in order {
            let version = 3 + doc as u64;
            let first_req = PartRequest { version, ..PartRequest::default() };
            let Some(first) = all[doc].part(&first_req) else { continue };
            let req = PartRequest {
                offset: (part * PART_BYTES) as u64,
                digest: first.digest,
                ..first_req
            };
            let p = all[doc].part(&req).unwrap();
            if let PartOutcome::Complete(bytes) = a.add(held, p) {
                prop_assert!(version > held);
                held = version;
                prop_assert_eq!(&bytes, &packed(version, bytes.len()));
            }
        }
        if held < 5 {
            let (bytes, _) = fetch(&mut a, held, |req| all[2].part(req));
            prop_assert_eq!(bytes, packed(5, 2 * PART_BYTES));
        }
        Ok(())
    });
    result.unwrap();
}

/// Guards against fetching from several processes at once, and from one that has timed out.
#[test]
fn one_source_is_used_at_a_time_and_replaced_after_a_timeout() {
    let mut f = Fetch::default();
    assert_eq!(f.choose_source(Time(0), 0, None), None, "no version is recorded");
    assert!(f.record_version(address(2), 5));
    assert!(!f.record_version(address(1), 5));
    assert_eq!(f.choose_source(Time(0), 4, None), Some(address(1)));
    assert_eq!(f.choose_source(Time(0), 4, None), None, "a fetch is active");
    assert!(f.is_source(address(1)) && !f.is_source(address(2)));
    assert_eq!(f.take_overdue(Time(500)), None);
    f.record_progress(Time(500), address(1));
    assert_eq!(f.take_overdue(Time(1_000)), None, "a part has arrived");
    f.record_progress(Time(900), address(2));
    let abandoned = AbandonedSource { from: address(1), idle_for: Millis(600) };
    assert_eq!(f.take_overdue(Time(1_100)), Some(abandoned));
    assert_eq!(f.choose_source(Time(1_100), 4, Some(address(1))), Some(address(2)));
    assert_eq!(f.take_overdue(Time(1_700)).map(|s| s.from), Some(address(2)));
    assert_eq!(
        f.choose_source(Time(1_700), 4, Some(address(2))),
        Some(address(1)),
        "back to the first"
    );
}

/// Guards against fetching from an unreachable process, or a version that is already held.
#[test]
fn an_unreachable_source_is_not_used_and_a_held_version_not_fetched() {
    let mut f = Fetch::default();
    f.record_version(address(1), 5);
    f.record_version(address(2), 4);
    assert_eq!(f.choose_source(Time(0), 3, None), Some(address(1)), "it has the newest version");
    assert_eq!(f.drop_source(Time(100), address(2)), None);
    assert_eq!(f.drop_source(Time(100), address(1)).map(|s| s.idle_for), Some(Millis(100)));
    assert_eq!(
        f.choose_source(Time(100), 3, Some(address(1))),
        None,
        "no other source has a newer version"
    );
    assert_eq!((f.latest_version(), f.version_at(address(1))), (5, 0));
    f.record_version(address(2), 4);
    assert_eq!(f.choose_source(Time(200), 4, None), None);
    assert_eq!(f.choose_source(Time(200), 3, None), Some(address(2)));
    f.finish();
    assert!(!f.is_active());
}

/// Guards against records that are missing when a reader far behind reads the change feed in batches.
#[test]
fn a_reader_far_behind_gets_all_changes_in_batches() {
    let mut registry = Registry::default();
    for n in 0..700 {
        let registration = Registration {
            id: format!("r-{n:03}"),
            service: "talk".to_owned(),
            address: format!("10.0.{}.{}:80", n / 250, n % 250),
            data_centre: "tamar-a".to_owned(),
            version: String::new(),
            slots: 4,
            cold: Millis(0),
            sequence: 1,
            born: 0,
        };
        registry.apply(
            Time(n),
            Record { registration, standing: ReplicaStatus::Ready },
            RecordSource::Peer,
        );
    }
    // A later change of an early record moves it to the end of the feed.
    registry.mark_left(Time(800), "r-000");
    let (mut since, mut seen, mut batches) = (0, Vec::new(), 0);
    while registry.has_changes(since) {
        let batch = registry.changes(since, 256);
        assert!(batch.records.len() <= 256 && batch.position > since);
        since = batch.position;
        seen.extend(batch.records.into_iter().map(|r| r.registration.id));
        batches += 1;
    }
    assert_eq!((since, batches, seen.len()), (registry.position(), 3, 700));
    assert_eq!(seen.last().map(String::as_str), Some("r-000"));
}
