//! Admission control, replica selection, prompt cache tracking and the platform's VM list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cypressfork_core::config::{Priority, Upstream, Vm};
use cypressfork_core::fleet::retry::{RetryBudget, RetryShare};
use cypressfork_core::route::lateness::LatencyObjective;
use cypressfork_core::route::{
    Admission, Choice, Limiter, ListedState, Pool, PromptPrefixes, QueuedRequest, RequestProfile,
    VmTracker,
};
use cypressfork_core::unit::{Millis, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(1)
}

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n))
}

fn upstream(n: u16) -> Upstream {
    let data_centre = if n.is_multiple_of(2) { "here" } else { "there" };
    let vm = Vm { name: format!("vm-{n}"), data_centre: data_centre.into() };
    Upstream { vm, address: address(n), checks_orders: false }
}

fn pool(n: u16) -> Pool {
    let all: Vec<_> = (0..n).map(upstream).collect();
    let mut p = Pool::default();
    p.set_upstreams(Time(0), &all, 8);
    p
}

/// Selects a replica for a caller in data centre `here`.
fn choice(p: &mut Pool, now: u64, profile: &RequestProfile, r: &mut SmallRng) -> Choice {
    p.choose(Time(now), "here", profile, &[], r).unwrap()
}

/// Like [`choice`], but returns only the address, and `None` if there is no replica to select.
fn choose(
    p: &mut Pool,
    now: u64,
    profile: &RequestProfile,
    r: &mut SmallRng,
) -> Option<SocketAddr> {
    p.choose(Time(now), "here", profile, &[], r).map(|c| c.address)
}

/// Selects replica `n` by excluding all others.
fn choice_of(p: &mut Pool, n: u16) -> Choice {
    let others: Vec<_> =
        p.iter().map(|r| r.upstream.address).filter(|a| *a != address(n)).collect();
    p.choose(Time(0), "here", &RequestProfile::default(), &others, &mut rng()).unwrap()
}

fn queued(ticket: u64, account: &str, priority: Priority) -> QueuedRequest {
    let client_account = account.to_owned();
    QueuedRequest { ticket, client_account, priority, deadline: Time(1_000_000), concurrency: 9 }
}

/// A limiter whose `limit` slots are taken by requests of account `a`, with an empty queue of
/// `queue` places.
fn full_limiter(limit: u32, queue: u32) -> Limiter {
    let mut limiter = Limiter::new(limit, queue);
    for t in 0..u64::from(limit) {
        assert_eq!(
            limiter.submit(Time(0), queued(1_000 + t, "a", Priority::Normal)),
            Admission::Started
        );
    }
    limiter
}

/// Guards against a queue that is not ordered by priority, then by age.
#[test]
fn the_highest_priority_starts_first_and_within_it_the_oldest() {
    let mut limiter = full_limiter(1, 9);
    let order = [
        (1, Priority::Bulk),
        (2, Priority::Normal),
        (3, Priority::Live),
        (4, Priority::Prompt),
        (5, Priority::Live),
    ];
    for (t, p) in order {
        assert_eq!(limiter.submit(Time(0), queued(t, "b", p)), Admission::Queued);
    }
    let mut started = Vec::new();
    limiter.release("a", Some(Millis(10)));
    while let Some(t) = limiter.start_next() {
        started.push(t);
        limiter.release("b", Some(Millis(10)));
    }
    assert_eq!(started, [3, 5, 4, 2, 1]);
}

/// Each case: the requests in a queue of two, the new request, and the one it displaces, if any.
/// The new request is refused if it displaces none.
#[rstest]
#[case::live_displaces_bulk(&[(1, "a", Priority::Normal), (2, "a", Priority::Bulk)], ("b", Priority::Live), Some(2))]
#[case::the_newest_of_the_class_is_displaced(&[(1, "a", Priority::Bulk), (2, "a", Priority::Bulk)], ("b", Priority::Live), Some(2))]
#[case::bulk_does_not_displace_live(&[(1, "a", Priority::Live), (2, "a", Priority::Live)], ("b", Priority::Bulk), None)]
#[case::same_class_and_account(&[(1, "a", Priority::Bulk), (2, "a", Priority::Bulk)], ("a", Priority::Bulk), None)]
#[case::a_small_account_displaces_a_large_one(&[(1, "a", Priority::Bulk), (2, "a", Priority::Bulk)], ("b", Priority::Bulk), Some(2))]
fn a_full_queue_displaces_by_priority_and_account(
    #[case] waiting: &[(u64, &str, Priority)],
    #[case] new: (&str, Priority),
    #[case] displaced: Option<u64>,
) {
    let mut limiter = full_limiter(1, 2);
    for (t, a, p) in waiting {
        assert_eq!(limiter.submit(Time(0), queued(*t, a, *p)), Admission::Queued);
    }
    match (limiter.submit(Time(0), queued(9, new.0, new.1)), displaced) {
        (Admission::Displaced(t, _), Some(expected)) => assert_eq!(t, expected),
        (Admission::Refused(_), None) => {}
        other => panic!("{other:?}"),
    }
    assert_eq!(limiter.waiting(), 2);
}

/// Guards against an account with many queued requests that delays all others.
#[test]
fn a_large_account_cannot_starve_a_small_one() {
    let mut limiter = full_limiter(4, 100);
    for t in 0..50 {
        limiter.submit(Time(0), queued(t, "large", Priority::Normal));
    }
    limiter.submit(Time(0), queued(99, "small", Priority::Normal));
    limiter.release("a", Some(Millis(10)));
    assert_eq!(limiter.start_next(), Some(0));
    limiter.release("a", Some(Millis(10)));
    assert_eq!(limiter.start_next(), Some(99), "the small account has nothing running");
}

/// Guards against a request over its account's concurrency limit that blocks the queue.
#[test]
fn an_account_at_its_limit_does_not_block_others() {
    let mut limiter = Limiter::new(4, 10);
    let limited = |t| QueuedRequest { concurrency: 1, ..queued(t, "a", Priority::Live) };
    assert_eq!(limiter.submit(Time(0), limited(1)), Admission::Started);
    assert_eq!(limiter.submit(Time(0), limited(2)), Admission::Queued);
    assert_eq!(limiter.submit(Time(0), queued(3, "b", Priority::Bulk)), Admission::Queued);
    assert_eq!(limiter.start_next(), Some(3));
    assert_eq!(limiter.start_next(), None);
    limiter.release("a", Some(Millis(5)));
    assert_eq!(limiter.start_next(), Some(2));
}

/// Guards against queueing a request that cannot start before its deadline. The refusal carries the
/// time until a retry can succeed.
#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut limiter = full_limiter(2, 10);
    for _ in 0..60 {
        limiter.release("a", Some(Millis(1_000)));
        limiter.submit(Time(0), queued(1, "a", Priority::Normal));
    }
    let urgent = QueuedRequest { deadline: Time(100), ..queued(7, "b", Priority::Live) };
    match limiter.submit(Time(0), urgent) {
        Admission::Refused(wait) => assert!((400..=600).contains(&wait.0), "{wait:?}"),
        other => panic!("{other:?}"),
    }
    assert_eq!(limiter.submit(Time(0), queued(8, "b", Priority::Live)), Admission::Queued);
}

/// Guards against starting a queued request whose caller has disconnected.
#[test]
fn a_removed_request_leaves_the_queue() {
    let mut limiter = full_limiter(1, 2);
    limiter.submit(Time(0), queued(1, "b", Priority::Live));
    limiter.remove(1);
    limiter.release("a", None);
    assert_eq!(limiter.start_next(), None);
    assert_eq!((limiter.running(), limiter.waiting()), (0, 0));
}

/// A conversation of `turns` turns. Each conversation is a prefix of every longer one.
fn conversation(turns: usize) -> RequestProfile {
    let parts: Vec<String> =
        (0..turns).map(|n| format!("turn {n} {}", "x".repeat(2_000))).collect();
    RequestProfile {
        prefixes: PromptPrefixes::new(parts.iter().map(String::as_bytes)),
        ..RequestProfile::default()
    }
}

/// Guards against losing the prompt cache between the turns of a conversation.
#[test]
fn the_next_turn_goes_to_the_replica_that_has_its_prefix_cached() {
    let (mut p, mut r) = (pool(50), rng());
    let first = choice(&mut p, 0, &conversation(3), &mut r);
    p.finish(Time(10), &first, false);
    for turns in 4..20 {
        let next = choice(&mut p, turns as u64 * 1_000, &conversation(turns), &mut r);
        assert_eq!(next.address, first.address);
        p.finish(Time(turns as u64 * 1_000 + 10), &next, false);
    }
}

/// Guards against waiting in a long queue for a cached prefix.
#[test]
fn a_long_queue_costs_more_than_a_prefill() {
    let (mut p, mut r) = (pool(50), rng());
    let first = choose(&mut p, 0, &conversation(3), &mut r).unwrap();
    p.record_load_report(first, Time(5), 40, 40);
    assert_ne!(choose(&mut p, 10, &conversation(4), &mut r), Some(first));
}

/// Guards against overestimating a cached prefix that is old, may be evicted or was cleared.
#[test]
fn an_old_or_uncertain_prefix_counts_less() {
    let (mut p, profile) = (pool(1), conversation(3));
    let at = address(0);
    let whole = profile.prefixes.size();
    let table = p.prefixes();
    table.record_sent(Time(0), at, &profile.prefixes);
    assert_eq!(table.cached_size(Time(0), at, &profile.prefixes), whole);
    assert_eq!(table.cached_size(Time(300_000), at, &profile.prefixes), whole / 2);
    table.record_gap(Time(10), at);
    assert_eq!(table.cached_size(Time(10), at, &profile.prefixes), whole * 300_000 / 300_010 / 2);
    table.record_sent(Time(20), at, &profile.prefixes);
    assert_eq!(table.cached_size(Time(20), at, &profile.prefixes), whole, "sent after the gap");
    table.clear(Time(20), at);
    assert_eq!(table.cached_size(Time(20), at, &profile.prefixes), 0);
}

/// Guards against sending a burst to few replicas.
#[test]
fn requests_are_spread_over_replicas() {
    let (mut p, mut r) = (pool(20), rng());
    for _ in 0..100 {
        choose(&mut p, 0, &RequestProfile::default(), &mut r).unwrap();
    }
    let most = p.iter().map(|u| u.outstanding).max().unwrap();
    assert!(most <= 8, "one of 20 replicas has {most} of 100 requests");
}

/// Guards against routers with the same stale report that all select the replica shown as idle.
#[test]
fn a_stale_report_does_not_send_all_routers_to_one_replica() {
    let mut hits = BTreeMap::new();
    for seed in 0..200 {
        let (mut p, mut r) = (pool(50), SmallRng::seed_from_u64(seed));
        for n in 0..50 {
            p.record_load_report(address(n), Time(1), if n == 7 { 0 } else { 6 }, 0);
        }
        *hits.entry(choose(&mut p, 2, &RequestProfile::default(), &mut r).unwrap()).or_insert(0) +=
            1;
    }
    assert!(hits[&address(7)] <= 40, "{} of 200 routers", hits[&address(7)]);
}

#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let (mut p, mut r) = (pool(2), rng());
    p.record_load_report(address(0), Time(100), 50, 50);
    p.record_load_report(address(0), Time(50), 0, 0);
    assert_eq!(choose(&mut p, 101, &RequestProfile::default(), &mut r), Some(address(1)));
}

/// Guards against trusting a late report about this router's own requests: those that have ended
/// since the report are subtracted from its load.
#[test]
fn a_late_report_is_corrected_by_own_requests() {
    let (mut p, mut r) = (pool(2), rng());
    let own: Vec<_> = (0..6).map(|_| choice_of(&mut p, 0)).collect();
    for c in &own {
        p.finish(Time(3_000), c, false);
    }
    p.record_load_report(address(0), Time(1_000), 6, 0);
    p.record_load_report(address(1), Time(1_000), 2, 0);
    assert_eq!(
        choose(&mut p, 6_000, &RequestProfile::default(), &mut r),
        Some(address(0)),
        "the six requests have ended"
    );
    p.record_load_report(address(0), Time(4_000), 9, 0);
    assert_eq!(
        choose(&mut p, 6_001, &RequestProfile::default(), &mut r),
        Some(address(1)),
        "nine requests of other routers"
    );
}

/// Guards against selecting a replica that still processes a long prompt.
#[test]
fn a_long_prompt_counts_until_its_first_event() {
    let (mut p, mut r) = (pool(2), rng());
    let long = choice(&mut p, 0, &conversation(20), &mut r);
    let other = RequestProfile {
        prefixes: PromptPrefixes::new([&[7u8; 4_000][..]]),
        ..RequestProfile::default()
    };
    let next = choice(&mut p, 0, &other, &mut r);
    assert_ne!(next.address, long.address);
    p.finish(Time(1), &next, false);
    p.record_first_event(Time(1), &long, 1_000);
    p.finish(Time(2), &long, false);
    let again = choice(&mut p, 3, &conversation(20), &mut r);
    assert_eq!(again.address, long.address);
}

/// Guards against an ejection that does not double with repeated failures, or never ends.
#[test]
fn a_failing_replica_is_ejected_twice_as_long_each_time_and_returns() {
    let (mut p, mut r) = (pool(4), rng());
    let failing = address(0);
    let fail = |p: &mut Pool, now| {
        let c = choice_of(p, 0);
        p.finish(Time(now), &c, true)
    };
    assert!(!fail(&mut p, 0), "one failure does not eject it");
    assert!(fail(&mut p, 0));
    let chosen = |p: &mut Pool, now, r: &mut SmallRng| {
        (0..40).any(|_| {
            let c = choice(p, now, &RequestProfile::default(), r);
            p.finish(Time(now), &c, false);
            c.address == failing
        })
    };
    assert!(!chosen(&mut p, 499, &mut r));
    assert!(fail(&mut p, 500));
    assert!(!chosen(&mut p, 1_499, &mut r), "twice as long");
    assert!(chosen(&mut p, 1_500, &mut r));
}

/// Guards against ejecting so many replicas that the rest are overloaded.
#[test]
fn at_most_half_of_the_replicas_are_ejected() {
    let (mut p, mut r) = (pool(6), rng());
    for n in 0..6 {
        for _ in 0..4 {
            let c = choice_of(&mut p, n);
            p.finish(Time(0), &c, true);
        }
    }
    assert_eq!(p.usable_count(Time(1)), 3);
    assert!(choose(&mut p, 1, &RequestProfile::default(), &mut r).is_some());
}

#[test]
fn a_replica_that_was_tried_or_is_leaving_is_not_chosen() {
    let (mut p, mut r) = (pool(3), rng());
    p.set_leaving(Time(0), "vm-0", true);
    for _ in 0..50 {
        let c =
            p.choose(Time(0), "here", &RequestProfile::default(), &[address(1)], &mut r).unwrap();
        assert_eq!(c.address, address(2));
    }
    p.set_leaving(Time(0), "vm-2", true);
    assert_eq!(p.choose(Time(0), "here", &RequestProfile::default(), &[address(1)], &mut r), None);
}

/// Guards against losing the reported load of a replica when the upstream list changes.
#[test]
fn a_changed_upstream_list_keeps_the_load_of_the_remaining_replicas() {
    let (mut p, mut r) = (pool(2), rng());
    p.record_load_report(address(0), Time(1), 90, 90);
    p.set_upstreams(Time(0), &[upstream(0), upstream(1), upstream(2)], 8);
    for _ in 0..10 {
        assert_ne!(choose(&mut p, 2, &RequestProfile::default(), &mut r), Some(address(0)));
    }
}

/// Each case: the state of a VM in each poll, one second apart (`L` live, `G` leaving, `-` missing,
/// `x` no list), and whether it counts as leaving after each poll (`!`).
#[rstest]
#[case::stays("LLLL", "....")]
#[case::leaves("LGGG", ".!!!")]
#[case::flaps("LGLGLLLL", ".!!!!!!!")]
#[case::comes_back("GLLLLLLLLLLLLL", "!!!!!!!!!!!...")]
#[case::missing_once("L-LL", "....")]
#[case::missing_twice("L--L", "..!!")]
#[case::no_list("LxxxL", ".....")]
#[case::no_list_while_leaving("GxxG", "!!!!")]
fn leaving_vms_are_detected_despite_flapping_and_missing_lists(
    #[case] polls: &str,
    #[case] leaving: &str,
) {
    let mut tracker = VmTracker::default();
    for (n, (poll, want)) in polls.chars().zip(leaving.chars()).enumerate() {
        let state = match poll {
            'L' => Some(ListedState::Live),
            'G' => Some(ListedState::Leaving),
            _ => None,
        };
        if poll != 'x' {
            let list = state.map(|s| ("vm-1".to_owned(), s)).into_iter().collect();
            tracker.observe(Time(n as u64 * 1_000), &list);
        }
        assert_eq!(tracker.is_leaving("vm-1"), want == '!', "poll {n} of {polls}");
    }
}

/// Guards against retries that triple the load when every upstream fails: the budget allows one
/// retry per five requests, and a burst of twenty.
#[test]
fn the_retry_budget_limits_retries_to_a_share_of_requests() {
    let share = RetryShare::single(20, 20);
    let mut r = RetryBudget::full(Time(0), &share);
    let mut retries = 0;
    for now in (0..1_000).map(Time) {
        r.record_request(now, &share);
        retries += (0..2).filter(|_| r.try_take(now, &share)).count();
    }
    assert!((200..=220).contains(&retries), "{retries} retries for 1,000 requests");
    let quiet = (0..500).map(|_| r.record_request(Time(1_000), &share)).count();
    let burst = (0..100).filter(|_| r.try_take(Time(1_000), &share)).count();
    assert_eq!((quiet, burst), (500, 20));
}

/// A prompt of two parts, the first shared with other prompts, with the objective of a streaming
/// route.
fn prompt(shared: u64, own: u64, id: u64) -> RequestProfile {
    let objective = LatencyObjective {
        first_event: Duration::from_millis(800),
        max_pause: Some(Duration::from_millis(500)),
    };
    RequestProfile {
        prefixes: PromptPrefixes::from_sized_parts([(1, shared), (id, own)]),
        objective: Some(objective),
        ..RequestProfile::default()
    }
}

/// Guards against ignoring a prompt that another router has sent to a replica, and against counting
/// it after the replica has processed it.
#[rstest]
#[case::before_it_is_processed(100, 1)]
#[case::after_it_is_processed(5_000, 0)]
fn a_prompt_of_another_router_counts_until_it_is_processed(
    #[case] now: u64,
    #[case] expected: u16,
) {
    let (mut p, mut r) = (pool(2), rng());
    let other = prompt(1_000, 40_000, 9);
    p.record_peer_placement(Time(0), address(0), 41_000, &other.prefixes);
    let c = choice(&mut p, now, &prompt(1_000, 300, 2), &mut r);
    assert_eq!(c.address, address(expected));
}

/// Guards against ignoring prefixes that another router has reported as sent to a replica.
#[test]
fn a_shared_prefix_sent_by_another_router_is_found() {
    for seed in 0..20 {
        let (mut p, mut r) = (pool(12), SmallRng::seed_from_u64(seed));
        p.record_peer_placement(Time(0), address(5), 8_000, &prompt(7_000, 1_000, 9).prefixes);
        let c = choice(&mut p, 2_000, &prompt(7_000, 300, 2), &mut r);
        assert_eq!((c.address, c.uncached <= 400), (address(5), true), "seed {seed}");
    }
}

/// Guards against a long prompt that delays the events of many running streams.
#[test]
fn a_long_prompt_goes_to_the_replica_with_the_fewest_streams() {
    let (mut p, mut r) = (pool(2), rng());
    for _ in 0..6 {
        let c = choice_of(&mut p, 0);
        assert_eq!(c.address, address(0));
    }
    let c = choice(&mut p, 0, &prompt(0, 30_000, 2), &mut r);
    assert_eq!(c.address, address(1));
}

/// Guards against selecting a replica that has not sent a first event in time.
#[test]
fn a_replica_with_an_overdue_first_event_is_avoided() {
    let (mut p, mut r) = (pool(2), rng());
    let stuck = choice(&mut p, 0, &prompt(0, 500, 2), &mut r);
    for _ in 0..3 {
        let c = choice(&mut p, 1_500, &prompt(0, 500, 3), &mut r);
        assert_ne!(c.address, stuck.address);
    }
    p.record_first_event(Time(1_600), &stuck, 1_600_000);
    p.finish(Time(1_700), &stuck, false);
}
