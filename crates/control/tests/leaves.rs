//! The control process that acknowledges a replica's leave sends it to every router that watches it.
//!
//! Guards against routers that get their replica records elsewhere and keep sending to the replica when
//! that control process is cut off from the others right after the acknowledgement.

use cypressfork_control::fleet_view::{FleetView, WatchedState};
use cypressfork_core::fleet::evacuation::Evacuations;
use cypressfork_core::fleet::quarantine::Quarantine;
use cypressfork_core::fleet::registry::{Record, RecordSource, Registration, ReplicaStatus};
use cypressfork_core::fleet::rollout::Rollouts;
use cypressfork_core::fleet::watch::{FeedCursor, RouterStatus, Watch, WatchResponse};
use cypressfork_core::member::Routers;
use cypressfork_core::unit::{Millis, Time};
use rstest::rstest;

/// Boot number of the control process.
const BOOT: u64 = 7;

/// Time within which a connected router receives a leave after its acknowledgement, in milliseconds.
const MAX_DELAY: u64 = 200;

fn record(id: &str, sequence: u64, standing: ReplicaStatus) -> Record {
    let registration = Registration {
        id: id.to_owned(),
        service: "talk".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        data_centre: "a".to_owned(),
        version: String::new(),
        slots: 8,
        cold: Millis(0),
        sequence,
        born: 0,
    };
    Record { registration, standing }
}

/// Returns a watch of a router that gets replica records from other control processes.
fn watch(feed: FeedCursor) -> Watch {
    let router = RouterStatus {
        vm: "edge-1".to_owned(),
        data_centre: "b".to_owned(),
        address: String::new(),
        link: String::new(),
        open: true,
        busy: false,
        version: 0,
    };
    Watch {
        router: Some(router),
        feed,
        version: 0,
        fetch: None,
        areas: 0,
        control: None,
        evacuations: 0,
        without_replicas: true,
        quarantine: 0,
        rollouts: 0,
        reports: Vec::new(),
        heard: Vec::new(),
        few: 0,
        leaving: Vec::new(),
        hears: None,
        confirm: None,
    }
}

/// Returns the responses that are due between `from` and `until`, checked every 20 ms.
fn responses(view: &mut FleetView<u8>, from: u64, until: u64) -> Vec<WatchResponse> {
    let (registered, evacuations) = (Routers::default(), Evacuations::default());
    let (quarantine, rollouts) = (Quarantine::default(), Rollouts::default());
    let mut all = Vec::new();
    for now in (from..=until).step_by(20) {
        let f = WatchedState {
            version: 0,
            source: "",
            controls: Vec::new(),
            wall: Time(0),
            registered: &registered,
            lead: None,
            data_centre: "a",
            evacuations: &evacuations,
            quarantine: &quarantine,
            rollouts: &rollouts,
            since_founding: false,
        };
        all.extend(view.due_responses(Time(now), &f).into_iter().map(|(_, response)| response));
    }
    all
}

#[rstest]
#[case::reported_by_the_replica(RecordSource::Replica, &["i-2"])]
#[case::relayed_by_another_process(RecordSource::Peer, &[])]
fn every_router_receives_leaves_from_the_process_that_acknowledged_them(
    #[case] source: RecordSource,
    #[case] expected: &[&str],
) {
    let mut view = FleetView::new(BOOT, Millis(1_000));
    for id in ["i-1", "i-2"] {
        view.registry.apply(Time(10), record(id, 1, ReplicaStatus::Ready), RecordSource::Replica);
    }
    let feed = FeedCursor { boot: BOOT, leaves: view.registry.position(), ..FeedCursor::default() };
    view.watch(Time(1_000), watch(feed), 0);
    view.registry.apply(Time(1_050), record("i-2", 2, ReplicaStatus::Draining), source);
    let got = responses(&mut view, 1_050, 1_050 + MAX_DELAY);
    let ids: Vec<_> =
        got.iter().flat_map(|r| &r.replicas).map(|r| r.registration.id.as_str()).collect();
    assert_eq!(ids, expected);
    // The leave is sent once.
    if let Some(response) = got.first() {
        view.watch(Time(1_300), watch(response.feed), 0);
        assert_eq!(responses(&mut view, 1_300, 1_600), []);
    }
}

/// A router with a new watch receives earlier leaves from its replica sources.
#[test]
fn earlier_leaves_are_not_sent_to_a_new_watcher() {
    let mut view = FleetView::new(BOOT, Millis(1_000));
    view.registry.apply(Time(10), record("i-1", 1, ReplicaStatus::Ready), RecordSource::Replica);
    view.registry.apply(Time(20), record("i-1", 2, ReplicaStatus::Draining), RecordSource::Replica);
    view.watch(Time(1_000), watch(FeedCursor::default()), 0);
    let got = responses(&mut view, 1_000, 2_100);
    assert_eq!(got.len(), 1);
    assert_eq!(got[0].replicas, []);
}
