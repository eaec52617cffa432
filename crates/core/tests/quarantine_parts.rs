//! Tests of the quarantine of parts of prompts that terminate the replicas that run them.

use cypressfork_core::fleet::fingerprint::{Fingerprint, PartScope};
use cypressfork_core::fleet::quarantine::{
    InFlightPart, InFlightRequest, MAX_PARTS, Quarantine, QuarantineChange, Subject,
    TerminationReport,
};
use cypressfork_core::unit::{Millis, Time};
use rstest::rstest;

const SERVICE: &str = "talk";

/// Returns the id of the part that a letter stands for. Upper and lower case stand for the same part.
fn part_id(letter: char) -> u64 {
    u64::from(u32::from(letter.to_ascii_lowercase()))
}

fn part_of(account: &str, letter: char) -> Fingerprint {
    PartScope { account: Some(account), service: SERVICE }.fingerprint(part_id(letter))
}

fn part(letter: char) -> Fingerprint {
    part_of("club", letter)
}

/// Parses a request in flight: `NAME+PARTS:AGE[@ANSWERING]`. Parts in lower case were answered completely before.
/// A name that begins with `school` belongs to another account.
fn request(text: &str) -> InFlightRequest {
    let (head, times) = text.split_once(':').unwrap();
    let (name, parts) = head.split_once('+').unwrap_or((head, ""));
    let (age, answering) =
        times.split_once('@').map_or((times, None), |(age, span)| (age, Some(span)));
    let to_part = |c: char| InFlightPart { id: part_id(c), completed: c.is_lowercase() };
    let digest = name.bytes().fold(0, |h: u64, b| h * 131 + u64::from(b));
    InFlightRequest {
        fingerprint: Fingerprint { brief: 1, digest },
        account: if name.starts_with("school") { "school" } else { "club" }.to_owned(),
        age: Millis(age.parse().unwrap()),
        answering: answering.map(|span| Millis(span.parse().unwrap())),
        parts: parts.chars().map(to_part).collect(),
        ..InFlightRequest::default()
    }
}

/// Applies steps that are separated by slashes, at times in milliseconds: `AT ends REPLICA REQUEST...` for a
/// termination at a service that had responded to others, `AT fails REPLICA REQUEST...` at one that had not, and
/// `AT lives PARTS` for parts that replicas survived. Returns the quarantine and all changes.
fn replay(steps: &str) -> (Quarantine, Vec<(Fingerprint, QuarantineChange)>) {
    let (mut q, mut changes) = (Quarantine::default(), Vec::new());
    for (n, step) in steps.split('/').enumerate() {
        let mut words = step.split_whitespace();
        let now = Time(words.next().unwrap().parse().unwrap());
        let verb = words.next().unwrap();
        let of = words.next().unwrap();
        if verb == "lives" {
            let parts: Vec<_> = of.chars().map(part).collect();
            changes.extend(q.record_completions(now, n as u64 + 1, &parts));
            continue;
        }
        let report = TerminationReport {
            replica: of.to_owned(),
            service: SERVICE.to_owned(),
            completed_ago: (verb == "ends").then_some(Millis(30_000)),
            ago: Millis(0),
            under_way: words.map(request).collect(),
        };
        changes.extend(q.record_terminations(now, n as u64 + 1, &[report]));
    }
    (q, changes)
}

#[rstest]
#[case::three_different_requests(
    "1000 ends r1 a+P:50 / 2000 ends r2 b+P:50 / 3000 ends r3 c+P:50",
    "p"
)]
#[case::two_are_too_few("1000 ends r1 a+P:50 / 2000 ends r2 b+P:50", "")]
#[case::beside_a_part_of_most_requests(
    "1000 ends r1 a+sP:50 x+s:80 / 1500 ends r2 b+Ps:50 y+s:70 / 2000 ends r3 c+sP:50 z+s:20",
    "p"
)]
#[case::all_before_the_first_survivor(
    "1000 ends r1 a+sP:50 / 1070 ends r2 b+sP:50 / 1140 ends r3 c+sP:50",
    "p"
)]
#[case::all_requests_of_an_account_have_another_part(
    "1000 ends r1 a+SP:50 / 1500 ends r2 b+PS:50 / 2000 ends r3 c+SP:50 / 2500 ends r4 d+SP:50",
    ""
)]
#[case::which_a_replica_survives(
    "1000 ends r1 a+SP:50 / 1500 ends r2 b+PS:50 / 2000 ends r3 c+SP:50 / 2500 lives s",
    "p"
)]
#[case::two_parts_that_are_only_seen_together(
    "1000 ends r1 a+PQ:50 x+S:9 / 2000 ends r2 b+PQ:50 / 3000 ends r3 c+PQ:50 x+S:9 / 4000 lives s / \
     5000 ends r4 d+PQ:50 / 6000 ends r5 e+PQ:50",
    "pq"
)]
#[case::one_request_with_a_part_of_its_own_is_quarantined_itself(
    "1000 ends r1 a+P:50 / 2000 ends r2 a+P:50 / 3000 ends r3 a+P:50",
    ""
)]
#[case::many_requests_that_are_alike_are_in_flight_as_often(
    "1000 ends r1 a+SP:50 same+S:9 / 1100 ends r2 b+SP:50 same+S:9 / 1200 ends r3 c+SP:50 same+S:9 / \
     1300 ends r4 d+SP:50 same+S:9 / 1400 ends r5 e+SP:50 same+S:9 / 1500 ends r6 f+SP:50 same+S:9 / \
     1900 lives s / 2000 ends r7 g+SP:50 same+S:9",
    "p"
)]
#[case::all_requests_with_parts_have_both_and_others_have_none(
    "1000 ends r1 a+SP:50 x:9 / 1600 ends r2 b+SP:50 y:9 / 2200 ends r3 c+SP:50 z:9 / 2800 ends r4 d+SP:50 / \
     31500 ends r5 e+SP:50 / 32000 ends r6 f+SP:50",
    "ps"
)]
#[case::sent_before_the_previous_termination(
    "1000 ends r1 a+P:900 / 1500 ends r2 b+P:900 / 1900 ends r3 c+P:1200",
    ""
)]
#[case::one_of_several_was_sent_after_it(
    "1000 ends r1 a+P:900 / 1500 ends r2 b+P:900 b2+P:50 / 1900 ends r3 c+P:1200 c2+P:300",
    "p"
)]
#[case::responses_had_continued_for_long(
    "1000 ends r1 a+P:900@600 / 2000 ends r2 b+P:900@600 / 3000 ends r3 c+P:900@600",
    ""
)]
#[case::responses_had_just_begun(
    "1000 ends r1 a+P:900@90 / 2000 ends r2 b+P:900@10 / 3000 ends r3 c+P:900@0",
    "p"
)]
#[case::nothing_survives_at_the_service(
    "1000 fails r1 a+P:50 / 2000 fails r2 b+P:50 / 3000 fails r3 c+P:50 / 4000 fails r4 d+P:50 / \
     5000 fails r5 e+P:50 / 6000 fails r6 f+P:50",
    ""
)]
#[case::a_part_that_replicas_survive(
    "1000 ends r1 a+P:50 / 2000 ends r2 b+P:50 / 2500 lives p / 3000 ends r3 c+P:50 / 9000 ends r4 d+P:50 / \
     9500 ends r5 e+P:50",
    ""
)]
#[case::which_crashes_them_from_then_on(
    "1000 ends r1 a+P:50 / 2000 ends r2 b+P:50 / 2500 lives p / 9000 ends r3 d+P:50 / 9500 ends r4 e+P:50 / \
     9900 ends r5 f+P:50",
    "p"
)]
#[case::a_harmless_part_needs_more(
    "1000 ends r1 a+s:50 x+T:9 / 2000 ends r2 b+s:50 x+T:9 / 2500 lives t / 3000 ends r3 c+s:50 / \
     4000 ends r4 d+s:50",
    ""
)]
#[case::a_harmless_part_that_turns(
    "1000 ends r1 a+s:50 x+T:9 / 2000 ends r2 b+s:50 x+T:9 / 2500 lives t / 3000 ends r3 c+s:50 / \
     4000 ends r4 d+s:50 / 5000 ends r5 e+s:50",
    "s"
)]
#[case::a_harmless_part_where_nothing_else_survives(
    "1000 ends r1 a+s:50 / 2000 ends r2 b+s:50 / 3000 ends r3 c+s:50 / 4000 ends r4 d+s:50 / \
     5000 ends r5 e+s:50 / 6000 ends r6 f+s:50",
    ""
)]
#[case::a_quarantined_part_that_a_replica_survives(
    "1000 ends r1 a+P:50 / 2000 ends r2 b+P:50 / 3000 ends r3 c+P:50 / 3400 lives p",
    ""
)]
#[case::other_crashes_do_not_release_it(
    "1000 ends r1 a+sP:50 / 1500 ends r2 b+Ps:50 / 2000 ends r3 c+sP:50 / 2600 ends r4 d+s:50 / \
     3200 ends r5 e+s:50 / 3800 ends r6 f+s:50",
    "p"
)]
#[case::two_at_once_beside_other_crashes(
    "1000 ends r1 a+sP:50 / 1100 ends r2 b+sQ:50 / 1200 ends r3 c+sP:50 / 1300 ends r4 d+sQ:50 / \
     1400 ends r5 e+s:50 / 1500 ends r6 f+sP:50 / 1600 ends r7 g+sQ:50 / 1700 lives s / \
     1800 ends r8 h+sP:50 / 1900 ends r9 i+sQ:50 / 2000 ends r10 j+sP:50 / 2100 ends r11 k+sQ:50",
    "pq"
)]
fn a_part_is_quarantined_if_it_explains_terminations(#[case] steps: &str, #[case] expected: &str) {
    let (q, _) = replay(steps);
    let quarantined: String = ('a'..='z').filter(|c| q.contains(&part(*c))).collect();
    assert_eq!(quarantined, expected);
    let alike = request("same:0").fingerprint;
    assert!(!q.contains(&alike), "sound requests are quarantined");
}

/// Guards against a part that has to crash three replicas anew for each account.
#[test]
fn a_part_that_is_quarantined_in_one_account_needs_one_strike_in_another() {
    let (q, _) = replay(
        "1000 ends r1 a+P:50 / 2000 ends r2 b+P:50 / 3000 ends r3 c+P:50 / 4000 ends r4 school1+P:50",
    );
    assert!(q.contains(&part_of("school", 'p')));
    // Not if the account's requests with it were answered.
    let (q, _) = replay(
        "1000 ends r1 a+P:50 / 2000 ends r2 b+P:50 / 3000 ends r3 c+P:50 / 4000 ends r4 school1+p:50",
    );
    assert!(!q.contains(&part_of("school", 'p')));
}

/// Guards against an account that gets another account's requests refused by sending their part with its own poison.
#[test]
fn a_part_of_another_account_is_another_part() {
    let (q, _) = replay("1000 ends r1 a+P:50 / 2000 ends r2 b+P:50 / 3000 ends r3 c+P:50");
    assert!(q.contains(&part('p')));
    assert!(!q.contains(&part_of("school", 'p')));
}

/// Guards against a quarantine of a part that can be neither named nor lifted.
#[test]
fn a_quarantined_part_is_named_and_can_be_lifted() {
    let (mut q, _) = replay("1000 ends r1 a+P:50 / 2000 ends r2 b+P:50 / 3000 ends r3 c+P:50");
    let (f, entry) = q.iter().next().unwrap();
    let (f, entry) = (*f, entry.clone());
    let subject = Subject::Part { service: SERVICE.to_owned(), id: part_id('p') };
    assert_eq!((entry.subject, entry.strikes, entry.account.as_str()), (subject, 3, "club"));
    assert_eq!(q.list().quarantined, [f]);
    assert_eq!(q.lift(Time(4_000), 9, f), [(f, QuarantineChange::Lifted)]);
    assert!(!q.contains(&f));
}

/// Guards against a part that stays quarantined although another one explains the terminations better.
#[test]
fn a_part_is_released_if_another_one_explains_more() {
    let (q, changes) = replay(
        "1000 ends r1 a+PQ:50 / 2000 ends r2 b+PQ:50 / 3000 ends r3 c+P:50 / 4000 ends r4 d+P:50 / \
         5000 ends r5 e+P:50",
    );
    assert!(q.contains(&part('p')) && !q.contains(&part('q')), "{changes:?}");
}

/// Guards against a report whose size depends on a caller: parts beyond the limit are ignored.
#[test]
fn a_request_strikes_a_limited_number_of_parts() {
    let parts = (0..1_000).map(|id| InFlightPart { id, completed: false }).collect();
    let (age, account) = (Millis(50), "club".to_owned());
    let r = InFlightRequest { account, age, parts, ..InFlightRequest::default() };
    let report = TerminationReport { under_way: vec![r], ..TerminationReport::default() };
    let mut q = Quarantine::default();
    q.record_terminations(Time(1_000), 1, &[report]);
    assert_eq!(q.list().struck.len(), MAX_PARTS + 1);
}
