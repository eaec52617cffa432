//! A replica's word that it leaves, at the control process that acknowledged it.
//!
//! Seen: a control process acknowledged that a replica leaves and was cut off from the others 42 ms later.
//! Gateways that heard of replicas elsewhere went on sending to it for more than three seconds.

use cypressfork_control::fleet_view::{FleetView, Followed};
use cypressfork_core::fleet::evacuation::Evacuations;
use cypressfork_core::fleet::quarantine::Quarantine;
use cypressfork_core::fleet::registry::{Record, RecordSource, Registration, ReplicaStatus};
use cypressfork_core::fleet::rollout::Rollouts;
use cypressfork_core::fleet::watch::{FeedCursor, RouterStatus, Watch, WatchResponse};
use cypressfork_core::member::Routers;
use cypressfork_core::unit::{Millis, Time};
use rstest::rstest;

/// This process, as its watchers know it.
const BOOT: u64 = 7;

/// Within this time of its acknowledgement a router in touch hears of it.
const TOLD_WITHIN: u64 = 200;

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

/// The question of a router that hears of replicas elsewhere.
fn question(feed: FeedCursor) -> Watch {
    let router = RouterStatus {
        vm: "edge-1".to_owned(),
        data_centre: "b".to_owned(),
        address: String::new(),
        link: String::new(),
        open: true,
        busy: false,
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
    }
}

/// Answers that are due until `until`, looked for every 20 ms from `from` on.
fn answers(view: &mut FleetView<u8>, from: u64, until: u64) -> Vec<WatchResponse> {
    let (registered, evacuations) = (Routers::default(), Evacuations::default());
    let (quarantine, rollouts) = (Quarantine::default(), Rollouts::default());
    let mut all = Vec::new();
    for now in (from..=until).step_by(20) {
        let f = Followed {
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
        };
        all.extend(view.answers(Time(now), &f).into_iter().map(|(_, seen)| seen));
    }
    all
}

#[rstest]
#[case::it_told_this_process(RecordSource::Replica, &["i-2"])]
#[case::another_process_passed_it_on(RecordSource::Peer, &[])]
fn every_router_is_told_of_leaves_by_the_process_that_heard_of_them(
    #[case] source: RecordSource,
    #[case] told: &[&str],
) {
    let mut view = FleetView::new(BOOT, Millis(1_000));
    for id in ["i-1", "i-2"] {
        view.registry.apply(Time(10), record(id, 1, ReplicaStatus::Ready), RecordSource::Replica);
    }
    let feed = FeedCursor { boot: BOOT, leaves: view.registry.position(), ..FeedCursor::default() };
    view.watch(Time(1_000), question(feed), 0);
    view.registry.apply(Time(1_050), record("i-2", 2, ReplicaStatus::Draining), source);
    let got = answers(&mut view, 1_050, 1_050 + TOLD_WITHIN);
    let ids: Vec<_> =
        got.iter().flat_map(|s| &s.replicas).map(|r| r.registration.id.as_str()).collect();
    assert_eq!(ids, told);
    // Told once.
    if let Some(seen) = got.first() {
        view.watch(Time(1_300), question(seen.feed), 0);
        assert_eq!(answers(&mut view, 1_300, 1_600), []);
    }
}

/// One that asks for the first time hears of earlier ones from its sources.
#[test]
fn earlier_leaves_are_left_to_the_sources() {
    let mut view = FleetView::new(BOOT, Millis(1_000));
    view.registry.apply(Time(10), record("i-1", 1, ReplicaStatus::Ready), RecordSource::Replica);
    view.registry.apply(Time(20), record("i-1", 2, ReplicaStatus::Draining), RecordSource::Replica);
    view.watch(Time(1_000), question(FeedCursor::default()), 0);
    let got = answers(&mut view, 1_000, 2_100);
    assert_eq!(got.len(), 1);
    assert_eq!(got[0].replicas, []);
}
