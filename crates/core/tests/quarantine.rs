//! Requests that end the replicas that run them: which of those that were there are quarantined, in
//! tables of events and in storms.

use cypressfork_core::fleet::fingerprint::{Fingerprint, Identity};
use cypressfork_core::fleet::quarantine::{
    InFlightRequest, Quarantine, QuarantineChange, TerminationReport,
};
use cypressfork_core::fleet::sound::CompletedRequests;
use cypressfork_core::unit::{Millis, Time};
use rstest::rstest;

const HOUR: u64 = 3_600_000;

fn named(name: &str) -> Fingerprint {
    let account = Some("club");
    let identity = Identity { account, method: "GET", host: "h", path: name, body: b"" };
    Fingerprint { brief: identity.brief(), digest: 7 }
}

fn ended(replica: &str, ago: u64, under_way: &[(&str, u64)]) -> TerminationReport {
    let request = |(name, age): &(&str, u64)| InFlightRequest {
        fingerprint: named(name),
        account: "club".to_owned(),
        age: Millis(*age),
    };
    let under_way = under_way.iter().map(request).collect();
    TerminationReport { replica: replica.to_owned(), ago: Millis(ago), under_way }
}

/// What is known after ends of replicas, divided by slashes: when, which replica, and the requests
/// there, each with the milliseconds since it was sent.
fn after(ends: &str) -> Quarantine {
    let mut q = Quarantine::default();
    for (n, end) in ends.split('/').enumerate() {
        let mut words = end.split_whitespace();
        let (at, replica) = (words.next().unwrap(), words.next().unwrap());
        let under_way: Vec<_> = words
            .map(|w| w.split_once(':').unwrap())
            .map(|(name, age)| (name, age.parse().unwrap()))
            .collect();
        q.record_terminations(
            Time(at.parse().unwrap()),
            n as u64 + 1,
            &[ended(replica, 0, &under_way)],
        );
    }
    q
}

/// The names of `all` that are quarantined.
fn held<'a>(q: &Quarantine, all: &[&'a str]) -> Vec<&'a str> {
    all.iter().copied().filter(|n| q.contains(&named(n))).collect()
}

#[rstest]
#[case::two_ends(
    "1000 r1 k:50 / 2000 r2 k:50",
    &[],
)]
#[case::three_ends(
    "1000 r1 k:50 / 2000 r2 k:50 / 3000 r3 k:50",
    &["k"],
)]
#[case::three_ends_of_one_replica_under_its_id(
    "1000 r1 k:50 / 2000 r1 k:50 / 3000 r1 k:50",
    &["k"],
)]
#[case::several_reports_of_each_end(
    "1000 r1 k:50 / \
     1040 r1 k:90 / \
     1090 r1 k:10 / \
     2000 r2 k:50 / \
     2030 r2 k:50",
    &[],
)]
#[case::replicas_that_end_together_are_one_strike(
    "1000 r1 hot:400 / 1010 r2 hot:300 / 1020 r3 hot:200 / 1030 r4 hot:500",
    &[],
)]
#[case::sent_before_the_strike_before(
    "1000 r1 a:900 / 1500 r2 a:900 / 1900 r3 a:1200",
    &[],
)]
#[case::bystanders_of_one_or_two_ends(
    "1000 r1 k:50 a:700 b:300 / \
     2000 r2 k:50 a:700 c:300 / \
     3000 r3 k:50 d:700 b:300",
    &["k"],
)]
#[case::rivals_are_told_apart_by_one_more_end(
    "1000 r1 k:50 a:700 / \
     2000 r2 k:50 a:700 / \
     3000 r3 k:50 a:700 / \
     4000 r4 k:50",
    &["k"],
)]
#[case::rivals_are_not_told_apart_yet(
    "1000 r1 k:50 a:700 / 2000 r2 k:50 a:700 / 3000 r3 k:50 a:700",
    &[],
)]
#[case::rivals_that_stay_together(
    "1000 r1 k:50 a:700 / \
     2000 r2 k:50 a:700 / \
     3000 r3 k:50 a:700 / \
     4000 r4 k:50 a:700 / \
     5000 r5 k:50 a:700",
    &["a", "k"],
)]
#[case::two_at_a_time(
    "1000 r1 k:50 / \
     1100 r2 l:50 / \
     2000 r3 k:50 l:20 / \
     3000 r4 l:50 / \
     4000 r5 k:50 / \
     5000 r6 k:50 / \
     5100 r7 l:50",
    &["k", "l"],
)]
#[case::one_that_met_two_is_free_again(
    "1000 r1 k:50 a:20 / \
     2000 r2 l:50 a:20 / \
     3000 r3 k:50 a:20 / \
     4000 r4 k:50 / \
     5000 r5 k:50",
    &["k"],
)]
#[case::strikes_are_forgotten(
    "1000 r1 k:50 / 2000 r2 k:50 / 603000 r3 k:50",
    &[],
)]
fn what_ends_of_replicas_come_to(#[case] ends: &str, #[case] expected: &[&str]) {
    assert_eq!(held(&after(ends), &["a", "b", "c", "d", "hot", "k", "l"]), expected);
}

const THREE: &str = "1000 r1 k:50 / 2000 r2 k:50 / 3000 r3 k:50";

/// A report that was held up by a cut counts for the time that it is of.
#[test]
fn a_late_report_is_of_its_time() {
    let mut q = Quarantine::default();
    let all = [("r1", 9_000), ("r2", 8_000), ("r3", 7_000)];
    let all: Vec<_> = all.into_iter().map(|(r, ago)| ended(r, ago, &[("k", 50)])).collect();
    assert_eq!(
        q.record_terminations(Time(10_000), 1, &all),
        [(named("k"), QuarantineChange::Quarantined)]
    );
    // Sent again, as its answer was lost, it changes nothing.
    assert_eq!(q.record_terminations(Time(10_050), 2, &all), []);
    assert_eq!(q.iter().next().unwrap().1.strikes, 3);
}

#[test]
fn one_that_is_answered_whole_is_free_and_gets_no_strikes_for_a_while() {
    let mut q = after(THREE);
    let k = named("k");
    assert_eq!(q.record_completions(Time(4_000), 4, &[k]), [(k, QuarantineChange::Completed)]);
    for n in 0..9 {
        q.record_terminations(
            Time(5_000 + n * 1_000),
            5 + n,
            &[ended(&format!("s{n}"), 0, &[("k", 50)])],
        );
    }
    assert!(!q.contains(&k));
}

#[test]
fn a_term_ends_and_one_more_end_begins_a_longer_one() {
    let mut q = after(THREE);
    let k = named("k");
    assert!(!q.has_expired(Time(HOUR)));
    let over = 3_000 + HOUR;
    assert!(q.has_expired(Time(over)));
    assert_eq!(q.expire_terms(Time(over), 9), [(k, QuarantineChange::Expired)]);
    assert!(!q.contains(&k) && q.list().quarantined.is_empty());
    let again =
        q.record_terminations(Time(over + 500), 10, &[ended("r9", 0, &[("k", 50), ("a", 20)])]);
    assert_eq!(again, [(k, QuarantineChange::Quarantined)]);
    assert!(
        !q.has_expired(Time(over + 500 + 2 * HOUR - 1))
            && q.has_expired(Time(over + 500 + 2 * HOUR))
    );
}

#[test]
fn an_operator_lifts_it_and_strikes_count_anew() {
    let mut q = after(THREE);
    let k = named("k");
    assert_eq!(q.lift(Time(4_000), 4, k), [(k, QuarantineChange::Lifted)]);
    q.record_terminations(Time(5_000), 5, &[ended("r5", 0, &[("k", 50)])]);
    q.record_terminations(Time(6_000), 6, &[ended("r6", 0, &[("k", 50)])]);
    assert!(!q.contains(&k));
    q.record_terminations(Time(7_000), 7, &[ended("r7", 0, &[("k", 50)])]);
    assert!(q.contains(&k));
}

/// An account cannot fill the list for others: its own oldest go.
#[test]
fn the_list_is_bounded_for_each_account() {
    let mut q = Quarantine::default();
    let mut dropped = 0;
    for n in 0..40 {
        for round in 0..3 {
            let at = Time(1_000 * n + 200 * round + 1_000);
            let e = ended(&format!("r{n}-{round}"), 0, &[(&format!("k{n}"), 50)]);
            let changes = q.record_terminations(at, n * 3 + round + 1, &[e]);
            dropped += changes.iter().filter(|(_, c)| *c == QuarantineChange::Evicted).count();
        }
    }
    assert_eq!((q.iter().count(), dropped), (32, 8));
    assert!(q.contains(&named("k39")) && !q.contains(&named("k0")));
}

/// Gateways hear of all, and at once of those that are quarantined.
#[test]
fn what_gateways_are_told() {
    let mut q = after("1000 r1 k:50 a:700");
    assert_eq!((q.revision(), q.quarantined_revision(), q.list().struck.len()), (1, 0, 2));
    q.record_terminations(Time(2_000), 2, &[ended("r2", 0, &[("k", 50), ("b", 100)])]);
    assert_eq!((q.revision(), q.quarantined_revision()), (2, 0));
    assert_eq!((q.list().suspects, q.list().struck.len()), (vec![named("k")], 2));
    q.record_terminations(Time(3_000), 3, &[ended("r3", 0, &[("k", 50)])]);
    assert_eq!((q.revision(), q.quarantined_revision()), (3, 3));
    assert_eq!((q.list().quarantined, q.list().suspects), (vec![named("k")], Vec::new()));
}

#[rstest]
#[case::another_account(Some("school"), "GET", "h", "/x", "b")]
#[case::no_account(None, "GET", "h", "/x", "b")]
#[case::another_method(Some("club"), "PUT", "h", "/x", "b")]
#[case::another_host(Some("club"), "GET", "g", "/x", "b")]
#[case::another_path(Some("club"), "GET", "h", "/y", "b")]
#[case::another_length(Some("club"), "GET", "h", "/x", "bb")]
#[case::the_same_text_divided_otherwise(Some("clu"), "bGET", "h", "/x", "b")]
fn what_tells_requests_apart(
    #[case] account: Option<&str>,
    #[case] method: &str,
    #[case] host: &str,
    #[case] path: &str,
    #[case] body: &str,
) {
    let one = Identity { account: Some("club"), method: "GET", host: "h", path: "/x", body: b"b" };
    let other = Identity { account, method, host, path, body: body.as_bytes() };
    assert_ne!(one.brief(), other.brief());
}

#[test]
fn what_was_answered_lately_is_remembered_within_bounds() {
    let mut s = CompletedRequests::default();
    s.record(1);
    (10..1_500).for_each(|n| s.record(n));
    assert!(s.contains(1) && s.contains(1_499) && !s.contains(2));
    (2_000..3_500).for_each(|n| s.record(n));
    assert!(!s.contains(1), "it was answered long ago");
}
