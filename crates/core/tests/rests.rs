//! Replicas that ask for rest: how the word is read, what a router sends meanwhile, and how it comes back.

#![allow(missing_docs)]

use std::collections::BTreeSet;
use std::net::SocketAddr;

use cypressfork_core::config::{Upstream, Vm};
use cypressfork_core::route::pressure::PriorityGate;
use cypressfork_core::route::rest::{Backoff, RetryAfter};
use cypressfork_core::route::turns::{RetrySchedule, RetrySpacing};
use cypressfork_core::route::{
    BlockReason, Choice, Pool, PromptPrefixes, ReplicaInfo, RequestProfile,
};
use cypressfork_core::unit::{Millis, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

const SLOTS: u32 = 8;
const REST: Millis = Millis::seconds(3);

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

fn choose(p: &mut Pool, now: u64, work: &RequestProfile) -> Option<Choice> {
    p.choose(Time(now), "here", work, &[], &mut rng())
}

fn chosen(p: &mut Pool, now: u64, work: &RequestProfile, times: usize) -> BTreeSet<SocketAddr> {
    let mut all = BTreeSet::new();
    for _ in 0..times {
        let Some(c) = choose(p, now, work) else { continue };
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
fn a_rest_is_read_or_refused(#[case] text: &str, #[case] said: RetryAfter) {
    assert_eq!(RetryAfter::parse(text), said);
}

#[rstest]
#[case::the_longer(&["1", "2"], RetryAfter::Delay(Millis(2_000)))]
#[case::the_one_that_can_be_read(&["soon", "2"], RetryAfter::Delay(Millis(2_000)))]
#[case::the_same_the_other_way(&["2", "soon"], RetryAfter::Delay(Millis(2_000)))]
#[case::none_of_them(&["soon", "later"], RetryAfter::Invalid)]
#[case::no_word(&[], RetryAfter::Absent)]
fn of_several_words_the_longer_rest_holds(#[case] words: &[&str], #[case] said: RetryAfter) {
    let all = words.iter().map(|w| RetryAfter::parse(w));
    assert_eq!(all.fold(RetryAfter::Absent, RetryAfter::or_later), said);
}

/// Guards against a way of choosing that passes the rest by.
#[rstest]
#[case::plain(RequestProfile::default())]
#[case::a_prompt_whose_home_it_is(RequestProfile { prefixes: PromptPrefixes::from_sized_parts(vec![(7, 9_000)]), ..RequestProfile::default() })]
#[case::the_most_urgent(RequestProfile { priority: 0, ..RequestProfile::default() })]
fn a_resting_replica_is_not_chosen(#[case] work: RequestProfile) {
    for resting in 0..4 {
        let mut p = pool(4);
        // It holds the prompt, and is idle besides.
        p.record_peer_placement(Time(0), address(resting), 0, &work.prefixes);
        p.back_off(Time(0), address(resting), REST);
        assert!(!chosen(&mut p, 2_999, &work, 50).contains(&address(resting)));
    }
}

/// Guards against the last resort for replicas that fail: one that rests is not tried in their place.
#[test]
fn a_resting_replica_is_not_tried_as_all_others_fail() {
    let mut p = pool(2);
    let others = [address(0)];
    let c = p.choose(Time(0), "here", &RequestProfile::default(), &others, &mut rng()).unwrap();
    p.back_off(Time(0), address(0), REST);
    for _ in 0..4 {
        p.finish(Time(0), &c, true);
    }
    assert_eq!(chosen(&mut p, 100, &RequestProfile::default(), 20), BTreeSet::from([address(1)]));
}

#[test]
fn what_was_chosen_before_the_rest_is_not_sent_in_it() {
    let mut p = pool(2);
    let c = choose(&mut p, 0, &RequestProfile::default()).unwrap();
    let name = p.get(c.address).unwrap().upstream.vm.name.clone();
    assert!(p.may_send(Time(0), c.address, &name));
    p.back_off(Time(10), c.address, REST);
    assert!(!p.may_send(Time(3_009), c.address, &name));
    assert!(p.may_send(Time(3_010), c.address, &name));
    assert!(!p.may_send(Time(3_010), c.address, "another"));
    p.remove(Time(3_010), c.address);
    assert!(!p.may_send(Time(3_010), c.address, &name));
}

#[test]
fn the_later_end_of_two_rests_holds() {
    let mut p = pool(1);
    p.back_off(Time(0), address(0), Millis::seconds(5));
    p.back_off(Time(100), address(0), Millis::seconds(1));
    assert!(p.is_backing_off(Time(4_999), address(0)));
    assert!(!p.is_backing_off(Time(5_000), address(0)));
}

/// An answer to an earlier request ends no rest.
#[test]
fn a_request_let_in_during_a_rest_ends_nothing() {
    let mut p = pool(1);
    let c = choose(&mut p, 0, &RequestProfile::default()).unwrap();
    p.back_off(Time(10), address(0), REST);
    p.record_accepted(Time(20), &c);
    p.finish(Time(20), &c, false);
    assert!(choose(&mut p, 2_000, &RequestProfile::default()).is_none());
}

/// What changes of a replica's record leaves its rest; another replica at the address has none.
#[test]
fn a_rest_belongs_to_one_replica() {
    let mut p = pool(1);
    p.back_off(Time(0), address(0), REST);
    p.upsert(Time(10), &upstream(0), &ReplicaInfo { slots: 3, ..ReplicaInfo::default() });
    assert!(p.is_backing_off(Time(10), address(0)));
    let mut other = upstream(0);
    other.vm.name = "b-9".to_owned();
    p.upsert(Time(20), &other, &ReplicaInfo { slots: 3, ..ReplicaInfo::default() });
    assert!(!p.is_backing_off(Time(20), address(0)));
}

/// Guards against all of a router's requests coming back at once.
#[test]
fn after_a_rest_one_request_goes_first_and_more_as_they_are_let_in() {
    let mut p = pool(1);
    // Eight are there when it asks for rest.
    let before: Vec<_> =
        (0..8).map(|_| choose(&mut p, 0, &RequestProfile::default()).unwrap()).collect();
    p.back_off(Time(10), address(0), REST);
    let first = choose(&mut p, 3_010, &RequestProfile::default()).unwrap();
    assert!(
        choose(&mut p, 3_011, &RequestProfile::default()).is_none(),
        "its answer is waited for"
    );
    // Those of before neither take the place of new ones nor speak for them.
    for c in &before {
        p.record_accepted(Time(3_012), c);
        p.finish(Time(3_012), c, false);
    }
    assert!(choose(&mut p, 3_013, &RequestProfile::default()).is_none());
    p.record_accepted(Time(3_020), &first);
    let mut open = vec![first];
    let mut at_once = Vec::new();
    for now in 4..7 {
        while let Some(c) = choose(&mut p, now * 1_000, &RequestProfile::default()) {
            open.push(c);
        }
        at_once.push(open.len());
        for c in open.drain(..) {
            p.record_accepted(Time(now * 1_000 + 1), &c);
            p.finish(Time(now * 1_000 + 2), &c, false);
        }
    }
    assert_eq!(at_once, [2, 4, 5], "doubled up to half of what it had, then one more at a time");
}

#[test]
fn once_as_many_run_as_it_has_places_nothing_binds_the_router() {
    let mut backoff = Backoff::default();
    backoff.start(Time(0), REST, 6, 0);
    for number in 1..=100 {
        backoff.record_accepted(number, SLOTS);
    }
    assert!(!backoff.limits_requests());
}

#[test]
fn a_rest_of_nothing_binds_nobody() {
    let mut backoff = Backoff::default();
    backoff.start(Time(0), Millis(0), 6, 0);
    assert!(!backoff.limits_requests() && backoff.allows_request(Time(0)));
}

/// Work that nobody may be sent tells when, and by which replica.
#[test]
fn what_is_held_back_names_the_first_that_takes_some_again() {
    let mut p = pool(2);
    p.back_off(Time(0), address(0), Millis::seconds(5));
    p.back_off(Time(0), address(1), Millis::seconds(2));
    let h = p.blocked(Time(500), &RequestProfile::default()).unwrap();
    assert_eq!(
        (h.reason, h.retry_after, h.replica.as_str()),
        (BlockReason::Backoff, Millis(1_500), "b-1")
    );
    assert!(pool(2).blocked(Time(0), &RequestProfile::default()).is_none());
}

/// Guards against less urgent requests that take the few places after a rest.
#[test]
fn the_more_urgent_go_first_after_a_rest() {
    let urgent = RequestProfile { priority: 0, ..RequestProfile::default() };
    let other = RequestProfile { priority: 5, ..RequestProfile::default() };
    let mut p = pool(1);
    p.back_off(Time(0), address(0), REST);
    assert!(choose(&mut p, 2_900, &urgent).is_none());
    p.blocked(Time(2_900), &urgent);
    assert!(choose(&mut p, 3_000, &other).is_none());
    assert!(choose(&mut p, 3_000, &urgent).is_some());
}

#[test]
fn one_place_in_four_goes_to_whoever_asks() {
    let mut p = PriorityGate::default();
    p.record_refused(Time(0), 0);
    let mut allowed = 0;
    for _ in 0..8 {
        allowed += u32::from(p.admits(Time(10), 5));
        p.record_admitted();
    }
    assert_eq!(allowed, 2);
    assert!(p.admits(Time(500), 5), "it was long ago");
}

#[rstest]
#[case::half(3, 6, true)]
#[case::fewer(2, 6, false)]
#[case::none(0, 1, false)]
fn a_service_is_overloaded_when_half_of_it_rests(
    #[case] resting: u16,
    #[case] all: u16,
    #[case] overloaded: bool,
) {
    let mut p = pool(all);
    (0..resting).for_each(|n| {
        p.back_off(Time(0), address(n), REST);
    });
    assert_eq!(p.is_mostly_backing_off(Time(1)), overloaded);
    assert!(!p.is_mostly_backing_off(Time(3_000)));
}

/// Guards against callers that all come back at the end of the same rest.
#[test]
fn callers_come_back_one_after_the_other() {
    let mut turns = RetrySchedule::default();
    let back = RetrySpacing { earliest: Millis(1_000), interval: Millis(100), max: Millis(1_500) };
    let mut told: Vec<_> = (0..20).map(|_| turns.next_delay(Time(0), &back, &mut rng())).collect();
    assert_eq!(told[..5], [1_100, 1_200, 1_300, 1_400, 1_500].map(Millis));
    assert!(told.iter().all(|t| (Millis(1_000)..=Millis(1_500)).contains(t)), "{told:?}");
    told.dedup();
    assert!(told.len() > 5);
    assert!(!turns.is_idle(Time(1_499)) && turns.is_idle(Time(1_500)));
}
