//! Tests of the origins of streams: who keeps them, when they are found, and when a service has a single version.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use cypressfork_core::fleet::origin::{ORIGIN_TTL, Origin, OriginRecord, Origins, StreamId};
use cypressfork_core::fleet::registry::{
    Record, RecordSource, Registration, Registry, ReplicaStatus,
};
use cypressfork_core::fleet::software::{RESUME_WINDOW, SoftwareVersions};
use cypressfork_core::fleet::watch::Confirmation;
use cypressfork_core::unit::{Millis, Time};
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rstest::rstest;

const SERVICE: &str = "talk";

/// A time at which control processes have followed the fleet for long.
const START: Time = Time(1_000_000);

fn stream(account: &str, attempt: &str) -> StreamId {
    StreamId { account: Some(account.to_owned()), attempt: attempt.to_owned() }
}

fn record(stream: &StreamId, version: &str) -> OriginRecord {
    let (route, service) = ("r".to_owned(), SERVICE.to_owned());
    OriginRecord {
        stream: stream.clone(),
        origin: Origin { route, service, version: version.to_owned() },
    }
}

fn replica(id: &str, version: &str, standing: ReplicaStatus) -> Record {
    let registration = Registration {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        address: "10.0.0.1:80".to_owned(),
        data_centre: "tamar-a".to_owned(),
        version: version.to_owned(),
        slots: 16,
        cold: Millis(0),
        sequence: 1,
        born: 0,
    };
    Record { registration, standing }
}

fn confirmation(as_of: Time, several: &[&str]) -> Confirmation {
    let several_versions = several.iter().map(|s| (*s).to_owned()).collect();
    Confirmation { as_of, several_versions }
}

/// Versions as a router knows them whose control process has followed the fleet for long.
fn known(records: &[Record]) -> SoftwareVersions {
    let mut versions = SoftwareVersions::default();
    records.iter().for_each(|r| versions.record(START, r));
    versions.record_confirmation(&confirmation(START, &[]), RESUME_WINDOW);
    versions
}

#[test]
fn a_service_of_one_version_is_known_as_such() {
    let ready = |id| replica(id, "v1", ReplicaStatus::Ready);
    assert_eq!(known(&[ready("a"), ready("b")]).single(START, SERVICE), Some("v1"));
    assert_eq!(known(&[]).single(START, SERVICE), None, "a service without replicas");
    let unnamed = replica("a", "", ReplicaStatus::Ready);
    assert_eq!(known(std::slice::from_ref(&unnamed)).single(START, SERVICE), Some(""));
    assert_eq!(known(&[unnamed, ready("b")]).single(START, SERVICE), None);
}

/// Guards against streams of a version that has just ended, which are taken for streams of the one that is left.
#[rstest]
#[case::draining(ReplicaStatus::Draining)]
#[case::left(ReplicaStatus::Left)]
#[case::silent(ReplicaStatus::Silent)]
fn a_version_counts_while_its_streams_may_be_resumed(#[case] ended: ReplicaStatus) {
    let new = replica("b", "v2", ReplicaStatus::Ready);
    for first in [ReplicaStatus::Ready, ended] {
        let mut versions = known(&[replica("a", "v1", first), new.clone()]);
        versions.record(START, &replica("a", "v1", ended));
        let later = START.after(Millis(RESUME_WINDOW.0 - 1));
        versions.record_confirmation(&confirmation(later, &[]), RESUME_WINDOW);
        assert_eq!(versions.single(later, SERVICE), None);
        let over = START.after(RESUME_WINDOW);
        assert_eq!(versions.single(over, SERVICE), Some("v2"));
    }
}

/// Guards against a replica that restarts under its id with another version and is counted for both or for none.
#[test]
fn a_replica_may_restart_with_another_version() {
    let mut versions = known(&[replica("a", "v1", ReplicaStatus::Ready)]);
    versions.record(START, &replica("a", "v2", ReplicaStatus::Ready));
    assert_eq!(versions.single(START, SERVICE), None);
    versions.expire(START);
    let over = START.after(RESUME_WINDOW);
    versions.expire(over);
    versions.record_confirmation(&confirmation(over, &[]), RESUME_WINDOW);
    assert_eq!(versions.single(over, SERVICE), Some("v2"));
}

/// Guards against a guess by a router that is cut off, or whose control process has just started and does not know
/// all replicas yet.
#[test]
fn a_single_version_needs_the_recent_word_of_a_control_process() {
    let mut versions = SoftwareVersions::default();
    versions.record(START, &replica("a", "v1", ReplicaStatus::Ready));
    assert!(!versions.is_complete(START));
    versions.record_confirmation(&confirmation(START, &[]), Millis(RESUME_WINDOW.0 - 1));
    assert!(versions.is_complete(START));
    assert_eq!(versions.single(START, SERVICE), None, "it has just started");
    versions.record_confirmation(&confirmation(START, &[]), RESUME_WINDOW);
    assert_eq!(versions.single(START, SERVICE), Some("v1"));
    assert_eq!(versions.single(START.after(Millis::seconds(3)), SERVICE), None, "cut off");
}

/// Guards against a router that has started since a version was replaced and knows only the one that replaced it, and
/// against one of two control processes that has not seen the earlier version.
#[test]
fn a_control_process_knows_versions_that_were_replaced() {
    let mut versions = known(&[replica("a", "v2", ReplicaStatus::Ready)]);
    versions.record_confirmation(&confirmation(START, &[SERVICE]), RESUME_WINDOW);
    assert_eq!(versions.single(START, SERVICE), None);
    let next = START.after(Millis(1_000));
    versions.record_confirmation(&confirmation(next, &[]), RESUME_WINDOW);
    assert_eq!(versions.single(next, SERVICE), None, "the word of another process");
    let later = START.after(Millis::seconds(4));
    versions.record_confirmation(&confirmation(later, &[]), RESUME_WINDOW);
    assert_eq!(versions.single(later, SERVICE), Some("v2"));
}

/// Guards against messages that a router reads late, after it stood still or was cut off: they hold as of the time at
/// which the router asked, not as of the time at which it reads them.
#[test]
fn a_confirmation_holds_as_of_the_time_at_which_it_was_requested() {
    let mut versions = known(&[replica("a", "v1", ReplicaStatus::Ready)]);
    let woken = START.after(Millis::seconds(3));
    versions.record_confirmation(&confirmation(START.after(Millis(900)), &[]), RESUME_WINDOW);
    assert_eq!(versions.single(woken, SERVICE), None);
    assert!(!versions.is_confirmed_since(woken));
    versions.record_confirmation(&confirmation(woken, &[]), RESUME_WINDOW);
    // A response that was overtaken does not take the newer one back.
    versions.record_confirmation(&confirmation(START, &[]), RESUME_WINDOW);
    assert!(versions.is_confirmed_since(woken));
    assert_eq!(versions.single(woken, SERVICE), Some("v1"));
}

/// Guards against a registry that forgets a version when a replica registers anew under its id.
#[rstest]
#[case::with_start_times(1, 2)]
#[case::without_start_times(0, 0)]
fn a_registry_remembers_versions_that_were_replaced(#[case] old: u64, #[case] new: u64) {
    let mut registry = Registry::default();
    let ready = |version, born, sequence| {
        let mut r = replica("a", version, ReplicaStatus::Ready);
        (r.registration.born, r.registration.sequence) = (born, sequence);
        r
    };
    registry.apply(START, ready("v1", old, 1), RecordSource::Replica);
    assert!(registry.services_with_several_versions(START).is_empty());
    let is_change = registry.apply(START, ready("v2", new, 2), RecordSource::Replica);
    assert!(is_change, "routers learn of the version");
    let later = START.after(Millis(RESUME_WINDOW.0 - 1));
    assert_eq!(registry.services_with_several_versions(later), [SERVICE]);
    let over = START.after(RESUME_WINDOW);
    assert!(registry.services_with_several_versions(over).is_empty());
}

#[test]
fn an_origin_is_found_by_account_and_attempt() {
    let mut origins = Origins::new(10);
    let own = stream("club", "a-1");
    origins.store(START, record(&own, "v1"), false);
    assert_eq!(origins.get(START, &own).map(|o| o.version.as_str()), Some("v1"));
    assert_eq!(origins.get(START, &stream("guest", "a-1")), None);
    assert_eq!(origins.get(START, &stream("club", "a-2")), None);
}

/// Guards against an id that an account used for two streams: neither may be taken for the other.
#[test]
fn an_ambiguous_id_has_no_origin() {
    let mut origins = Origins::new(10);
    let own = stream("club", "a-1");
    for version in ["v1", "v2", "v1"] {
        origins.store(START, record(&own, version), true);
    }
    assert_eq!(origins.get(START, &own), None);
    assert_eq!(origins.take_unsent(START, SERVICE), Vec::new());
}

#[test]
fn an_origin_is_known_for_a_time_after_it_was_last_stored() {
    let mut origins = Origins::new(10);
    let own = stream("club", "a-1");
    let refreshed = START.after(Millis::seconds(20));
    for now in [START, refreshed] {
        origins.store(now, record(&own, "v1"), false);
    }
    assert!(origins.get(START.after(ORIGIN_TTL), &own).is_some());
    let over = refreshed.after(ORIGIN_TTL);
    assert_eq!(origins.get(over, &own), None);
    origins.store(over, record(&stream("club", "a-2"), "v1"), false);
    assert_eq!(origins.len(), 1, "the expired one is removed");
}

#[test]
fn the_number_of_origins_is_bounded() {
    let mut origins = Origins::new(2);
    let store = |origins: &mut Origins, now, id| {
        origins.store(now, record(&stream("club", id), "v1"), false)
    };
    assert!(store(&mut origins, START, "a-1"));
    assert!(store(&mut origins, START, "a-2"));
    assert!(!store(&mut origins, START, "a-3"));
    assert!(store(&mut origins, START, "a-2"), "one that is known");
    assert!(store(&mut origins, START.after(ORIGIN_TTL), "a-3"));
}

#[test]
fn unsent_origins_are_returned_once() {
    let mut origins = Origins::new(10);
    let own = record(&stream("club", "a-1"), "v1");
    origins.store(START, own.clone(), true);
    origins.store(START, record(&stream("club", "a-2"), "v1"), false);
    assert_eq!(origins.take_unsent(START, "other"), Vec::new());
    assert_eq!(origins.take_unsent(START, SERVICE), vec![own]);
    assert_eq!(origins.take_unsent(START, SERVICE), Vec::new());
}

/// A fleet of routers that store and look up origins.
struct Fleet {
    /// The routers by data centre.
    data_centres: Vec<Vec<SocketAddr>>,
    stores: BTreeMap<SocketAddr, Origins>,
    dead: BTreeSet<SocketAddr>,
    /// Percentage of messages that are lost.
    lost_percent: u32,
    /// Percentage of the other routers that a router does not know.
    unknown_percent: u32,
    rng: SmallRng,
}

impl Fleet {
    fn new(seed: u64, data_centres: usize, routers: usize) -> Fleet {
        let address = |dc, n: usize| {
            SocketAddr::from(([10, dc as u8, (n / 250) as u8, (n % 250) as u8], 7000))
        };
        let all = |dc| (0..routers / data_centres).map(|n| address(dc, n)).collect();
        let data_centres: Vec<Vec<_>> = (0..data_centres).map(all).collect();
        let stores = data_centres.iter().flatten().map(|a| (*a, Origins::new(100_000))).collect();
        let rng = SmallRng::seed_from_u64(seed);
        let dead = BTreeSet::new();
        Fleet { data_centres, stores, dead, lost_percent: 0, unknown_percent: 0, rng }
    }

    fn alive(&self) -> Vec<SocketAddr> {
        self.stores.keys().copied().filter(|a| !self.dead.contains(a)).collect()
    }

    /// Returns the routers of each data centre as `own` knows them.
    fn known_to(&mut self, own: SocketAddr) -> Vec<Vec<SocketAddr>> {
        let percent = self.unknown_percent;
        let mut data_centres = self.data_centres.clone();
        for dc in &mut data_centres {
            dc.retain(|a| *a != own && self.rng.random_range(0..100) >= percent);
        }
        data_centres
    }

    fn is_delivered(&mut self, to: SocketAddr) -> bool {
        !self.dead.contains(&to) && self.rng.random_range(0..100) >= self.lost_percent
    }

    /// Stores the origin of a stream at a random live router and its keepers. Returns the router.
    fn begin(&mut self, r: &OriginRecord) -> SocketAddr {
        let own = *self.alive().choose(&mut self.rng).unwrap();
        let home = self.data_centres.iter().position(|dc| dc.contains(&own)).unwrap();
        let mut far = self.known_to(own);
        let near = far.remove(home);
        for keeper in r.stream.keepers(own, &near, &far.concat()) {
            if self.is_delivered(keeper) {
                self.stores.get_mut(&keeper).unwrap().store(START, r.clone(), false);
            }
        }
        self.stores.get_mut(&own).unwrap().store(START, r.clone(), false);
        own
    }

    /// Looks an origin up from a random live router.
    fn find(&mut self, stream: &StreamId) -> Option<Origin> {
        let own = *self.alive().choose(&mut self.rng).unwrap();
        let data_centres = self.known_to(own);
        let mut asked = stream.asked_keepers(own, data_centres);
        asked.retain(|a| self.is_delivered(*a));
        asked.push(own);
        asked.into_iter().find_map(|a| self.stores[&a].get(START, stream).cloned())
    }

    /// Kills a router, which loses what it stored.
    fn kill(&mut self, router: SocketAddr) {
        self.dead.insert(router);
        self.stores.insert(router, Origins::new(100_000));
    }

    /// Restarts all dead routers.
    fn restart_all(&mut self) {
        self.dead.clear();
    }
}

/// Guards against origins that are lost with some routers, and against wrong ones: streams begin, half of the
/// routers die at once and some come back empty, messages are lost, and routers know different parts of the fleet.
/// Nine in ten streams are to go on; with lost messages, the half that the users' rule asks for.
#[rstest]
#[case::small(1, 8, 1_000, 0, 0, 90)]
#[case::small_in_motion(1, 8, 1_000, 10, 10, 50)]
#[case::medium(4, 64, 200, 0, 0, 90)]
#[case::medium_in_motion(4, 64, 200, 10, 10, 50)]
#[case::large(3, 984, 10, 0, 0, 90)]
#[case::large_in_motion(3, 984, 10, 10, 10, 50)]
fn origins_survive_the_death_of_half_of_the_routers(
    #[case] data_centres: usize,
    #[case] routers: usize,
    #[case] seeds: u64,
    #[case] lost_percent: u32,
    #[case] unknown_percent: u32,
    #[case] min_found_percent: usize,
) {
    let (mut found, mut lost) = (0, 0);
    for seed in 0..seeds {
        let mut f = Fleet::new(seed, data_centres, routers);
        (f.lost_percent, f.unknown_percent) = (lost_percent, unknown_percent);
        let records: Vec<_> = (0..40)
            .map(|n| record(&stream("club", &format!("{seed}-{n}")), ["v1", "v2"][n % 2]))
            .collect();
        records.iter().for_each(|r| {
            f.begin(r);
        });
        let mut all = f.alive();
        all.shuffle(&mut f.rng);
        all[..routers / 2].iter().for_each(|a| f.kill(*a));
        if seed % 2 == 0 {
            f.restart_all();
        }
        for r in &records {
            match f.find(&r.stream) {
                Some(origin) => {
                    assert_eq!(origin, r.origin);
                    found += 1;
                }
                None => lost += 1,
            }
        }
    }
    assert!(found * 100 >= (found + lost) * min_found_percent, "{found} found, {lost} lost");
}
