//! Backoff requested by replicas: parsing `Retry-After`, what a router sends during a backoff, and
//! the slow start after it.

#![allow(missing_docs)]

use std::collections::BTreeSet;
use std::net::SocketAddr;

use cypressfork_core::config::{Upstream, Vm};
use cypressfork_core::route::backoff::{Backoff, RetryAfter};
use cypressfork_core::route::priority_gate::PriorityGate;
use cypressfork_core::route::retry_schedule::{RetrySchedule, RetrySpacing};
use cypressfork_core::route::{
    BlockReason, Choice, Pool, PromptPrefixes, ReplicaInfo, RequestProfile,
};
use cypressfork_core::unit::{Millis, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

const SLOTS: u32 = 8;
const BACKOFF: Millis = Millis::seconds(3);

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(1)
}

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n))
}

fn upstream(n: u16) -> Upstream {
    let vm = Vm { name: format!("b-{n}"), data_centre: "here".to_owned() };
    Upstream { vm, address: address(n), checks_orders: false }
}

fn pool(n: u16) -> Pool {
    let all: Vec<_> = (0..n).map(upstream).collect();
    let mut p = Pool::default();
    p.set_upstreams(Time(0), &all, SLOTS);
    p
}

fn choose(p: &mut Pool, now: u64, profile: &RequestProfile) -> Option<Choice> {
    p.choose(Time(now), "here", profile, &[], &mut rng())
}

/// Returns the replicas selected for `times` requests, each finished before the next.
fn chosen(p: &mut Pool, now: u64, profile: &RequestProfile, times: usize) -> BTreeSet<SocketAddr> {
    let mut all = BTreeSet::new();
    for _ in 0..times {
        let Some(c) = choose(p, now, profile) else { continue };
        p.finish(Time(now), &c, false);
        all.insert(c.address);
    }
    all
}

#[rstest]
#[case::whole("3", RetryAfter::Delay(Millis(3_000)))]
#[case::fraction("0.25", RetryAfter::Delay(Millis(250)))]
#[case::none("0", RetryAfter::Delay(Millis(0)))]
#[case::very_long("9999999999999", RetryAfter::Delay(Millis(1_000_000_000)))]
#[case::negative("-1", RetryAfter::Invalid)]
#[case::exponent("1e999", RetryAfter::Invalid)]
#[case::text("soon", RetryAfter::Invalid)]
#[case::list("1, 2", RetryAfter::Invalid)]
#[case::empty("", RetryAfter::Invalid)]
fn retry_after_is_parsed(#[case] text: &str, #[case] want: RetryAfter) {
    assert_eq!(RetryAfter::parse(text), want);
}

#[rstest]
#[case::the_longer(&["1", "2"], RetryAfter::Delay(Millis(2_000)))]
#[case::the_valid_one(&["soon", "2"], RetryAfter::Delay(Millis(2_000)))]
#[case::the_valid_one_first(&["2", "soon"], RetryAfter::Delay(Millis(2_000)))]
#[case::none_of_them(&["soon", "later"], RetryAfter::Invalid)]
#[case::no_header(&[], RetryAfter::Absent)]
fn the_longest_of_several_headers_wins(#[case] headers: &[&str], #[case] want: RetryAfter) {
    let all = headers.iter().map(|h| RetryAfter::parse(h));
    assert_eq!(all.fold(RetryAfter::Absent, RetryAfter::merge), want);
}

/// Guards against a selection rule that ignores the backoff.
#[rstest]
#[case::plain(RequestProfile::default())]
#[case::a_prompt_whose_home_it_is(RequestProfile { prefixes: PromptPrefixes::from_sized_parts(vec![(7, 9_000)]), ..RequestProfile::default() })]
#[case::the_most_urgent(RequestProfile { priority: 0, ..RequestProfile::default() })]
fn a_replica_in_backoff_is_not_chosen(#[case] profile: RequestProfile) {
    for backing_off in 0..4 {
        let mut p = pool(4);
        // It has the prompt cached and is idle.
        p.record_peer_placement(Time(0), address(backing_off), 0, &profile.prefixes);
        p.back_off(Time(0), address(backing_off), BACKOFF);
        assert!(!chosen(&mut p, 2_999, &profile, 50).contains(&address(backing_off)));
    }
}

/// Guards against the fallback to unusable replicas, taken when all others fail, that selects a
/// replica in backoff.
#[test]
fn a_replica_in_backoff_is_not_chosen_when_all_others_fail() {
    let mut p = pool(2);
    let excluded = [address(0)];
    let c = p.choose(Time(0), "here", &RequestProfile::default(), &excluded, &mut rng()).unwrap();
    p.back_off(Time(0), address(0), BACKOFF);
    for _ in 0..4 {
        p.finish(Time(0), &c, true);
    }
    assert_eq!(chosen(&mut p, 100, &RequestProfile::default(), 20), BTreeSet::from([address(1)]));
}

/// Guards against sending a request during a backoff that began after the replica was selected.
#[test]
fn a_request_chosen_before_a_backoff_is_not_sent_during_it() {
    let mut p = pool(2);
    let c = choose(&mut p, 0, &RequestProfile::default()).unwrap();
    let name = p.get(c.address).unwrap().upstream.vm.name.clone();
    assert!(p.may_send(Time(0), c.address, &name));
    p.back_off(Time(10), c.address, BACKOFF);
    assert!(!p.may_send(Time(3_009), c.address, &name));
    assert!(p.may_send(Time(3_010), c.address, &name));
    assert!(!p.may_send(Time(3_010), c.address, "another"));
    p.remove(Time(3_010), c.address);
    assert!(!p.may_send(Time(3_010), c.address, &name));
}

/// Guards against a shorter backoff that cuts a longer one short.
#[test]
fn the_later_end_of_two_backoffs_wins() {
    let mut p = pool(1);
    p.back_off(Time(0), address(0), Millis::seconds(5));
    p.back_off(Time(100), address(0), Millis::seconds(1));
    assert!(p.is_backing_off(Time(4_999), address(0)));
    assert!(!p.is_backing_off(Time(5_000), address(0)));
}

/// Guards against a backoff that ends when a request sent before it is accepted.
#[test]
fn a_request_accepted_during_a_backoff_does_not_end_it() {
    let mut p = pool(1);
    let c = choose(&mut p, 0, &RequestProfile::default()).unwrap();
    p.back_off(Time(10), address(0), BACKOFF);
    p.record_accepted(Time(20), &c);
    p.finish(Time(20), &c, false);
    assert!(choose(&mut p, 2_000, &RequestProfile::default()).is_none());
}

/// Guards against losing the backoff when a replica's record changes, and against applying it to
/// another replica at the same address.
#[test]
fn a_backoff_belongs_to_one_replica() {
    let mut p = pool(1);
    p.back_off(Time(0), address(0), BACKOFF);
    p.upsert(Time(10), &upstream(0), &ReplicaInfo { slots: 3, ..ReplicaInfo::default() });
    assert!(p.is_backing_off(Time(10), address(0)));
    let mut other = upstream(0);
    other.vm.name = "b-9".to_owned();
    p.upsert(Time(20), &other, &ReplicaInfo { slots: 3, ..ReplicaInfo::default() });
    assert!(!p.is_backing_off(Time(20), address(0)));
}

/// Guards against a burst of requests from one router when a backoff ends.
#[test]
fn slow_start_sends_one_request_and_more_as_they_are_accepted() {
    let mut p = pool(1);
    // Eight requests are outstanding when the backoff begins.
    let before: Vec<_> =
        (0..8).map(|_| choose(&mut p, 0, &RequestProfile::default()).unwrap()).collect();
    p.back_off(Time(10), address(0), BACKOFF);
    let first = choose(&mut p, 3_010, &RequestProfile::default()).unwrap();
    assert!(
        choose(&mut p, 3_011, &RequestProfile::default()).is_none(),
        "the first request is not accepted yet"
    );
    // Requests sent before the backoff count neither as in flight nor as accepted.
    for c in &before {
        p.record_accepted(Time(3_012), c);
        p.finish(Time(3_012), c, false);
    }
    assert!(choose(&mut p, 3_013, &RequestProfile::default()).is_none());
    p.record_accepted(Time(3_020), &first);
    let mut in_flight = vec![first];
    let mut in_flight_per_round = Vec::new();
    for now in 4..7 {
        while let Some(c) = choose(&mut p, now * 1_000, &RequestProfile::default()) {
            in_flight.push(c);
        }
        in_flight_per_round.push(in_flight.len());
        for c in in_flight.drain(..) {
            p.record_accepted(Time(now * 1_000 + 1), &c);
            p.finish(Time(now * 1_000 + 2), &c, false);
        }
    }
    assert_eq!(
        in_flight_per_round,
        [2, 4, 5],
        "doubles up to half of the earlier requests, then grows by one"
    );
}

/// Guards against a slow start that limits a router after it has reached the replica's slots.
#[test]
fn slow_start_ends_at_the_slots_of_the_replica() {
    let mut backoff = Backoff::default();
    backoff.start(Time(0), BACKOFF, 6, 0);
    for number in 1..=100 {
        backoff.record_accepted(number, SLOTS);
    }
    assert!(!backoff.limits_requests());
}

/// Guards against a slow start after `Retry-After: 0`.
#[test]
fn a_backoff_of_zero_limits_nothing() {
    let mut backoff = Backoff::default();
    backoff.start(Time(0), Millis(0), 6, 0);
    assert!(!backoff.limits_requests() && backoff.allows_request(Time(0)));
}

/// Guards against a refusal that does not tell which replica is available first, and when.
#[test]
fn a_blocked_request_names_the_replica_that_is_available_first() {
    let mut p = pool(2);
    p.back_off(Time(0), address(0), Millis::seconds(5));
    p.back_off(Time(0), address(1), Millis::seconds(2));
    let b = p.blocked(Time(500), &RequestProfile::default()).unwrap();
    assert_eq!(
        (b.reason, b.retry_after, b.replica.as_str()),
        (BlockReason::Backoff, Millis(1_500), "b-1")
    );
    assert!(pool(2).blocked(Time(0), &RequestProfile::default()).is_none());
}

/// Guards against less urgent requests that take the few slots of a slow start.
#[test]
fn more_urgent_requests_go_first_after_a_backoff() {
    let urgent = RequestProfile { priority: 0, ..RequestProfile::default() };
    let other = RequestProfile { priority: 5, ..RequestProfile::default() };
    let mut p = pool(1);
    p.back_off(Time(0), address(0), BACKOFF);
    assert!(choose(&mut p, 2_900, &urgent).is_none());
    p.blocked(Time(2_900), &urgent);
    assert!(choose(&mut p, 3_000, &other).is_none());
    assert!(choose(&mut p, 3_000, &urgent).is_some());
}

/// Guards against starvation of less urgent requests by more urgent ones.
#[test]
fn one_slot_in_four_is_open_to_any_priority() {
    let mut p = PriorityGate::default();
    p.record_refused(Time(0), 0);
    let mut admitted = 0;
    for _ in 0..8 {
        admitted += u32::from(p.admits(Time(10), 5));
        p.record_admitted();
    }
    assert_eq!(admitted, 2);
    assert!(p.admits(Time(500), 5), "the refusal is too old to count");
}

#[rstest]
#[case::half(3, 6, true)]
#[case::fewer(2, 6, false)]
#[case::none(0, 1, false)]
fn a_service_is_overloaded_when_half_of_its_replicas_back_off(
    #[case] backing_off: u16,
    #[case] all: u16,
    #[case] overloaded: bool,
) {
    let mut p = pool(all);
    (0..backing_off).for_each(|n| {
        p.back_off(Time(0), address(n), BACKOFF);
    });
    assert_eq!(p.is_mostly_backing_off(Time(1)), overloaded);
    assert!(!p.is_mostly_backing_off(Time(3_000)));
}

/// Guards against callers that all retry at the end of the same backoff.
#[test]
fn retries_of_callers_are_spread_out() {
    let mut schedule = RetrySchedule::default();
    let spacing =
        RetrySpacing { earliest: Millis(1_000), interval: Millis(100), max: Millis(1_500) };
    let mut delays: Vec<_> =
        (0..20).map(|_| schedule.next_delay(Time(0), &spacing, &mut rng())).collect();
    assert_eq!(delays[..5], [1_100, 1_200, 1_300, 1_400, 1_500].map(Millis));
    assert!(delays.iter().all(|t| (Millis(1_000)..=Millis(1_500)).contains(t)), "{delays:?}");
    delays.dedup();
    assert!(delays.len() > 5);
    assert!(!schedule.is_idle(Time(1_499)) && schedule.is_idle(Time(1_500)));
}
