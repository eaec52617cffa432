//! Tests of the quarantine of requests that terminate the replicas that run them.

use cypressfork_core::fleet::completed::CompletedRequests;
use cypressfork_core::fleet::fingerprint::{Fingerprint, RequestIdentity};
use cypressfork_core::fleet::quarantine::{
    InFlightRequest, Quarantine, QuarantineChange, TerminationReport,
};
use cypressfork_core::unit::{Millis, Time};
use rstest::rstest;

const HOUR: u64 = 3_600_000;

fn fingerprint(name: &str) -> Fingerprint {
    let account = Some("club");
    let identity = RequestIdentity { account, method: "GET", host: "h", path: name, body: b"" };
    Fingerprint { brief: identity.brief(), digest: 7 }
}

fn termination(replica: &str, ago: u64, under_way: &[(&str, u64)]) -> TerminationReport {
    let request = |(name, age): &(&str, u64)| InFlightRequest {
        fingerprint: fingerprint(name),
        account: "club".to_owned(),
        age: Millis(*age),
        ..InFlightRequest::default()
    };
    let under_way = under_way.iter().map(request).collect();
    TerminationReport {
        replica: replica.to_owned(),
        ago: Millis(ago),
        under_way,
        ..Default::default()
    }
}

/// Returns the quarantine after terminations of replicas. Terminations are separated by slashes;
/// each is a time, a replica and its in-flight requests, as `name:age`, in milliseconds.
fn replay(terminations: &str) -> Quarantine {
    let mut q = Quarantine::default();
    for (n, text) in terminations.split('/').enumerate() {
        let mut fields = text.split_whitespace();
        let (at, replica) = (fields.next().unwrap(), fields.next().unwrap());
        let under_way: Vec<_> = fields
            .map(|w| w.split_once(':').unwrap())
            .map(|(name, age)| (name, age.parse().unwrap()))
            .collect();
        q.record_terminations(
            Time(at.parse().unwrap()),
            n as u64 + 1,
            &[termination(replica, 0, &under_way)],
        );
    }
    q
}

/// Returns the names of `all` that are quarantined.
fn quarantined_of<'a>(q: &Quarantine, all: &[&'a str]) -> Vec<&'a str> {
    all.iter().copied().filter(|n| q.contains(&fingerprint(n))).collect()
}

#[rstest]
#[case::two_terminations(
    "1000 r1 k:50 / 2000 r2 k:50",
    &[],
)]
#[case::three_terminations(
    "1000 r1 k:50 / 2000 r2 k:50 / 3000 r3 k:50",
    &["k"],
)]
#[case::three_terminations_of_one_replica(
    "1000 r1 k:50 / 2000 r1 k:50 / 3000 r1 k:50",
    &["k"],
)]
#[case::several_reports_of_each_termination(
    "1000 r1 k:50 / \
     1040 r1 k:90 / \
     1090 r1 k:10 / \
     2000 r2 k:50 / \
     2030 r2 k:50",
    &[],
)]
#[case::simultaneous_terminations_are_one_strike(
    "1000 r1 hot:400 / 1010 r2 hot:300 / 1020 r3 hot:200 / 1030 r4 hot:500",
    &[],
)]
#[case::sent_before_the_previous_strike(
    "1000 r1 a:900 / 1500 r2 a:900 / 1900 r3 a:1200",
    &[],
)]
#[case::harmless_requests_in_one_or_two_terminations(
    "1000 r1 k:50 a:700 b:300 / \
     2000 r2 k:50 a:700 c:300 / \
     3000 r3 k:50 d:700 b:300",
    &["k"],
)]
#[case::suspects_distinguished_by_one_more_termination(
    "1000 r1 k:50 a:700 / \
     2000 r2 k:50 a:700 / \
     3000 r3 k:50 a:700 / \
     4000 r4 k:50",
    &["k"],
)]
#[case::suspects_not_yet_distinguished(
    "1000 r1 k:50 a:700 / 2000 r2 k:50 a:700 / 3000 r3 k:50 a:700",
    &[],
)]
#[case::suspects_that_are_never_distinguished(
    "1000 r1 k:50 a:700 / \
     2000 r2 k:50 a:700 / \
     3000 r3 k:50 a:700 / \
     4000 r4 k:50 a:700 / \
     5000 r5 k:50 a:700",
    &["a", "k"],
)]
#[case::two_poison_requests_at_once(
    "1000 r1 k:50 / \
     1100 r2 l:50 / \
     2000 r3 k:50 l:20 / \
     3000 r4 l:50 / \
     4000 r5 k:50 / \
     5000 r6 k:50 / \
     5100 r7 l:50",
    &["k", "l"],
)]
#[case::a_harmless_request_with_three_strikes(
    "1000 r1 k:50 a:20 / \
     2000 r2 l:50 a:20 / \
     3000 r3 k:50 a:20 / \
     4000 r4 k:50 / \
     5000 r5 k:50",
    &["k"],
)]
#[case::strikes_expire(
    "1000 r1 k:50 / 2000 r2 k:50 / 603000 r3 k:50",
    &[],
)]
fn terminations_quarantine_the_requests_that_explain_them(
    #[case] terminations: &str,
    #[case] expected: &[&str],
) {
    assert_eq!(
        quarantined_of(&replay(terminations), &["a", "b", "c", "d", "hot", "k", "l"]),
        expected
    );
}

const THREE_TERMINATIONS: &str = "1000 r1 k:50 / 2000 r2 k:50 / 3000 r3 k:50";

/// Guards against counting terminations whose reports were delayed together as one strike.
#[test]
fn a_late_report_counts_at_the_time_of_its_termination() {
    let mut q = Quarantine::default();
    let all = [("r1", 9_000), ("r2", 8_000), ("r3", 7_000)];
    let all: Vec<_> = all.into_iter().map(|(r, ago)| termination(r, ago, &[("k", 50)])).collect();
    assert_eq!(
        q.record_terminations(Time(10_000), 1, &all),
        [(fingerprint("k"), QuarantineChange::Quarantined)]
    );
    // A repeated report, after a lost response, changes nothing.
    assert_eq!(q.record_terminations(Time(10_050), 2, &all), []);
    assert_eq!(q.iter().next().unwrap().1.strikes, 3);
}

#[test]
fn a_completed_request_is_released_and_gets_no_strikes_for_a_while() {
    let mut q = replay(THREE_TERMINATIONS);
    let k = fingerprint("k");
    assert_eq!(q.record_completions(Time(4_000), 4, &[k]), [(k, QuarantineChange::Completed)]);
    for n in 0..9 {
        q.record_terminations(
            Time(5_000 + n * 1_000),
            5 + n,
            &[termination(&format!("s{n}"), 0, &[("k", 50)])],
        );
    }
    assert!(!q.contains(&k));
}

#[test]
fn after_a_quarantine_expires_one_more_termination_starts_a_longer_one() {
    let mut q = replay(THREE_TERMINATIONS);
    let k = fingerprint("k");
    assert!(!q.has_expired(Time(HOUR)));
    let expiry = 3_000 + HOUR;
    assert!(q.has_expired(Time(expiry)));
    assert_eq!(q.release_expired(Time(expiry), 9), [(k, QuarantineChange::Expired)]);
    assert!(!q.contains(&k) && q.list().quarantined.is_empty());
    let again = q.record_terminations(
        Time(expiry + 500),
        10,
        &[termination("r9", 0, &[("k", 50), ("a", 20)])],
    );
    assert_eq!(again, [(k, QuarantineChange::Quarantined)]);
    assert!(
        !q.has_expired(Time(expiry + 500 + 2 * HOUR - 1))
            && q.has_expired(Time(expiry + 500 + 2 * HOUR))
    );
}

#[test]
fn lifting_a_quarantine_resets_the_strikes() {
    let mut q = replay(THREE_TERMINATIONS);
    let k = fingerprint("k");
    assert_eq!(q.lift(Time(4_000), 4, k), [(k, QuarantineChange::Lifted)]);
    q.record_terminations(Time(5_000), 5, &[termination("r5", 0, &[("k", 50)])]);
    q.record_terminations(Time(6_000), 6, &[termination("r6", 0, &[("k", 50)])]);
    assert!(!q.contains(&k));
    q.record_terminations(Time(7_000), 7, &[termination("r7", 0, &[("k", 50)])]);
    assert!(q.contains(&k));
}

/// Guards against a client account that fills the list: its own oldest requests are evicted.
#[test]
fn the_list_is_bounded_for_each_account() {
    let mut q = Quarantine::default();
    let mut evicted = 0;
    for n in 0..40 {
        for round in 0..3 {
            let at = Time(1_000 * n + 200 * round + 1_000);
            let report = termination(&format!("r{n}-{round}"), 0, &[(&format!("k{n}"), 50)]);
            let changes = q.record_terminations(at, n * 3 + round + 1, &[report]);
            evicted += changes.iter().filter(|(_, c)| *c == QuarantineChange::Evicted).count();
        }
    }
    assert_eq!((q.iter().count(), evicted), (32, 8));
    assert!(q.contains(&fingerprint("k39")) && !q.contains(&fingerprint("k0")));
}

/// Guards against changes that do not reach gateways: each change advances the revision, and each
/// change of the quarantined requests advances the quarantined revision.
#[test]
fn gateways_get_suspects_and_quarantined_requests() {
    let mut q = replay("1000 r1 k:50 a:700");
    assert_eq!((q.revision(), q.quarantined_revision(), q.list().struck.len()), (1, 0, 2));
    q.record_terminations(Time(2_000), 2, &[termination("r2", 0, &[("k", 50), ("b", 100)])]);
    assert_eq!((q.revision(), q.quarantined_revision()), (2, 0));
    assert_eq!((q.list().suspects, q.list().struck.len()), (vec![fingerprint("k")], 2));
    q.record_terminations(Time(3_000), 3, &[termination("r3", 0, &[("k", 50)])]);
    assert_eq!((q.revision(), q.quarantined_revision()), (3, 3));
    assert_eq!((q.list().quarantined, q.list().suspects), (vec![fingerprint("k")], Vec::new()));
}

#[rstest]
#[case::another_account(Some("school"), "GET", "h", "/x", "b")]
#[case::no_account(None, "GET", "h", "/x", "b")]
#[case::another_method(Some("club"), "PUT", "h", "/x", "b")]
#[case::another_host(Some("club"), "GET", "g", "/x", "b")]
#[case::another_path(Some("club"), "GET", "h", "/y", "b")]
#[case::another_length(Some("club"), "GET", "h", "/x", "bb")]
#[case::the_same_text_divided_otherwise(Some("clu"), "bGET", "h", "/x", "b")]
fn requests_that_differ_have_different_fingerprints(
    #[case] account: Option<&str>,
    #[case] method: &str,
    #[case] host: &str,
    #[case] path: &str,
    #[case] body: &str,
) {
    let one =
        RequestIdentity { account: Some("club"), method: "GET", host: "h", path: "/x", body: b"b" };
    let other = RequestIdentity { account, method, host, path, body: body.as_bytes() };
    assert_ne!(one.brief(), other.brief());
}

#[test]
fn recently_completed_requests_are_remembered_within_bounds() {
    let mut completed = CompletedRequests::default();
    completed.record(1);
    (10..1_500).for_each(|n| completed.record(n));
    assert!(completed.contains(1) && completed.contains(1_499) && !completed.contains(2));
    (2_000..3_500).for_each(|n| completed.record(n));
    assert!(!completed.contains(1), "the oldest entry must be evicted");
}
