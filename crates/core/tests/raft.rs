//! Raft rules of a single member, message by message. Simulations reach these cases only on rare
//! schedules.

use std::sync::Arc;

use cypressfork_core::raft::{
    Action, Append, Body, Entry, HardState, Members, Message, Payload, PeerState, PersistentState,
    Position, Raft, Settings, SnapshotMeta,
};
use cypressfork_core::unit::{NodeId, Term, Time};
use rstest::rstest;

fn members() -> Members {
    Members::from_voters((1..=3).map(|n| (n, format!("10.0.0.{n}:1"))))
}

fn entry(term: Term, index: u64) -> Entry {
    let payload = Payload::Command(Arc::from(format!("{term}.{index}").as_bytes()));
    Entry { term, index, payload }
}

fn message(from: NodeId, term: Term, body: Body) -> Message {
    Message { from, to: 1, term, body }
}

/// Returns member 1 of three, in term `term`, with log entries of `terms`, after both peers
/// accepted its rejoin.
fn member(term: Term, terms: &[Term]) -> Raft {
    let entries = terms.iter().enumerate().map(|(n, t)| entry(*t, n as u64 + 1)).collect();
    let snapshot = SnapshotMeta { members: members(), ..SnapshotMeta::default() };
    let hard = HardState { term, vote: None };
    let restored =
        PersistentState { incarnation: 1, hard, snapshot, entries, ..PersistentState::default() };
    let mut r = Raft::new(Time(0), 1, Settings::default(), restored, 1);
    let boot = r.take_actions().iter().find_map(|a| match a {
        Action::Send(Message { body: Body::Rejoin(PeerState { boot, .. }), .. }) => Some(*boot),
        _ => None,
    });
    for n in 2..=3 {
        let body = Body::RejoinReply { boot: boot.unwrap(), accepted: true };
        r.step(Time(0), message(n, 0, body));
    }
    assert!(r.is_active());
    r.take_actions();
    r
}

/// Returns member 1 as leader of `term + 1`, elected with the vote of member 2.
fn leader(term: Term, terms: &[Term]) -> Raft {
    let mut r = member(term, terms);
    r.tick(Time(5_000));
    r.step(Time(5_000), message(2, term + 1, Body::PreVoteReply(true)));
    r.step(Time(5_000), message(2, term + 1, Body::VoteReply(true)));
    assert!(r.is_leader());
    r
}

/// Returns the bodies of the messages that `r` sends.
fn sent_bodies(r: &mut Raft) -> Vec<Body> {
    let actions = r.take_actions().into_iter();
    let bodies = actions.filter_map(|a| match a {
        Action::Send(m) => Some(m.body),
        _ => None,
    });
    bodies.collect()
}

/// Guards against a vote for a candidate whose log is behind the voter's, whatever its term.
#[rstest]
#[case::same(Position { index: 3, term: 2 }, true)]
#[case::longer(Position { index: 9, term: 2 }, true)]
#[case::newer_term(Position { index: 1, term: 3 }, true)]
#[case::shorter(Position { index: 2, term: 2 }, false)]
#[case::older_term(Position { index: 9, term: 1 }, false)]
fn a_vote_requires_an_up_to_date_log(#[case] last: Position, #[case] granted: bool) {
    let mut r = member(2, &[1, 2, 2]);
    r.step(Time(5_000), message(2, 5, Body::PreVote(last)));
    assert_eq!(sent_bodies(&mut r), [Body::PreVoteReply(granted)]);
    r.step(Time(5_000), message(2, 5, Body::Vote(last)));
    assert!(sent_bodies(&mut r).contains(&Body::VoteReply(granted)));
}

/// Guards against two votes in one term, and against a vote sent before it is stored.
#[test]
fn a_member_votes_once_per_term_and_stores_its_vote_first() {
    let mut r = member(2, &[1]);
    let last = Position { index: 9, term: 2 };
    r.step(Time(5_000), message(2, 3, Body::Vote(last)));
    let actions = r.take_actions();
    let saved = actions.iter().rposition(|a| matches!(a, Action::Save(h) if h.vote == Some(2)));
    let replied = actions.iter().position(|a| matches!(a, Action::Send(_)));
    assert!(saved.unwrap() < replied.unwrap());
    r.step(Time(5_000), message(3, 3, Body::Vote(last)));
    assert_eq!(sent_bodies(&mut r), [Body::VoteReply(false)]);
    r.step(Time(5_000), message(2, 3, Body::Vote(last)));
    assert_eq!(
        sent_bodies(&mut r),
        [Body::VoteReply(true)],
        "a repeated request of the same candidate"
    );
}

/// Guards against committing an entry of an earlier term by counting its copies: another leader
/// could still replace it. It is committed with a later entry of the leader's own term.
#[test]
fn an_entry_of_an_earlier_term_is_committed_only_with_one_of_the_current_term() {
    let mut r = leader(3, &[1, 2]);
    r.record_synced(Time(5_000), 3);
    r.step(Time(5_001), message(2, 4, Body::Appended { matched: 2, round: 0 }));
    assert_eq!(r.committed(), 0, "entry 2 is on a quorum but has term 2");
    r.step(Time(5_002), message(2, 4, Body::Appended { matched: 3, round: 0 }));
    assert_eq!(r.committed(), 3);
}

/// Guards against counting the leader's own copy before it is synced to disk.
#[test]
fn a_leader_counts_its_own_entry_once_it_is_synced() {
    let mut r = leader(0, &[]);
    r.record_synced(Time(5_000), 1);
    r.step(Time(5_001), message(2, 1, Body::Appended { matched: 1, round: 0 }));
    assert_eq!(r.committed(), 1);
    let index = r.propose(Time(5_002), entry(1, 2).payload).unwrap();
    r.step(Time(5_003), message(2, 1, Body::Appended { matched: index, round: 0 }));
    assert_eq!(r.committed(), 1, "one synced copy out of three");
    r.record_synced(Time(5_004), index);
    assert_eq!(r.committed(), index);
}

/// Returns whether the read `token` is ready. Discards all other actions.
fn read_is_ready(r: &mut Raft, token: u64) -> bool {
    r.take_actions().iter().any(|a| matches!(a, Action::ReadReady(t, _) if *t == token))
}

/// Guards against a stale read: a read is ready only after a quorum has answered a heartbeat round
/// that began after the read arrived.
#[test]
fn a_read_waits_for_a_quorum_in_a_later_heartbeat_round() {
    let mut r = leader(0, &[]);
    r.record_synced(Time(5_000), 1);
    r.step(Time(5_001), message(2, 1, Body::Appended { matched: 1, round: 0 }));
    r.take_actions();
    r.read(7).unwrap();
    assert!(!read_is_ready(&mut r, 7), "no round has begun");
    r.step(Time(5_002), message(2, 1, Body::Appended { matched: 1, round: 0 }));
    assert!(!read_is_ready(&mut r, 7), "an answer to an earlier round");
    r.step(Time(5_003), message(2, 1, Body::Appended { matched: 1, round: 1 }));
    assert!(read_is_ready(&mut r, 7));
    r.read(8).unwrap();
    r.read(9).unwrap();
    r.step(Time(5_004), message(2, 1, Body::Appended { matched: 1, round: 2 }));
    let ready: Vec<_> = r
        .take_actions()
        .into_iter()
        .filter_map(|a| match a {
            Action::ReadReady(t, _) => Some(t),
            _ => None,
        })
        .collect();
    assert_eq!(ready, [8], "read 9 arrived after round 2 began");
    r.step(Time(5_005), message(2, 1, Body::Appended { matched: 1, round: 3 }));
    assert!(read_is_ready(&mut r, 9));
}

/// Guards against reads by a new leader whose commit index may be behind.
#[test]
fn a_new_leader_serves_no_read_before_it_has_committed_in_its_term() {
    let mut r = leader(3, &[1, 2]);
    r.read(7).unwrap();
    r.step(Time(5_001), message(2, 4, Body::Appended { matched: 0, round: 1 }));
    assert!(!read_is_ready(&mut r, 7));
    r.record_synced(Time(5_002), 3);
    r.step(Time(5_002), message(2, 4, Body::Appended { matched: 3, round: 1 }));
    assert!(read_is_ready(&mut r, 7));
}

/// Guards against pending reads that are never answered after their leader steps down.
#[test]
fn the_reads_of_a_deposed_leader_fail() {
    let mut r = leader(0, &[]);
    r.read(7).unwrap();
    r.take_actions();
    let prev = Position::default();
    let body = Body::Append(Append { prev, entries: Vec::new(), commit: 0, round: 0 });
    r.step(Time(5_001), message(2, 9, body));
    let actions = r.take_actions();
    assert!(
        actions.contains(&Action::ReadFailed(7)) && actions.contains(&Action::LeaderChanged(false))
    );
    assert!(r.read(8).is_err());
}

fn append(prev: Position, entries: Vec<Entry>, commit: u64) -> Body {
    Body::Append(Append { prev, entries, commit, round: 0 })
}

/// Each case: the terms of the follower's log, the entries that the leader of term 5 appends after
/// `prev`, and the reply.
#[rstest]
#[case::next(&[1, 1], Position { index: 2, term: 1 }, &[5], Body::Appended { matched: 3, round: 0 })]
#[case::gap(&[1], Position { index: 4, term: 1 }, &[5], Body::Rejected { hint: 1, round: 0 })]
#[case::differs(&[1, 2], Position { index: 2, term: 3 }, &[5], Body::Rejected { hint: 1, round: 0 })]
#[case::replaces(&[1, 2, 2], Position { index: 1, term: 1 }, &[5], Body::Appended { matched: 2, round: 0 })]
#[case::duplicate(&[1, 1], Position { index: 0, term: 0 }, &[1, 1], Body::Appended { matched: 2, round: 0 })]
fn a_follower_appends_only_entries_that_continue_its_log(
    #[case] log: &[Term],
    #[case] prev: Position,
    #[case] terms: &[Term],
    #[case] reply: Body,
) {
    let mut r = member(4, log);
    let entries = terms.iter().zip(prev.index + 1..).map(|(t, i)| entry(*t, i)).collect();
    r.step(Time(10), message(2, 5, append(prev, entries, 0)));
    assert_eq!(sent_bodies(&mut r), [reply]);
}

/// Guards against committing entries that the heartbeat has not matched with the leader's log.
#[test]
fn a_heartbeat_commits_only_matched_entries() {
    let mut r = member(4, &[1, 2, 2]);
    r.step(Time(10), message(2, 5, append(Position { index: 1, term: 1 }, Vec::new(), 9)));
    assert_eq!(r.committed(), 1);
}

/// Guards against a deposed leader that never learns of the newer term.
#[test]
fn a_message_of_an_earlier_term_is_answered_with_the_current_term() {
    let mut r = member(6, &[1]);
    r.step(Time(10), message(2, 5, append(Position::default(), Vec::new(), 0)));
    let actions = r.take_actions();
    let newer = |a: &Action| matches!(a, Action::Send(m) if m.term == 6);
    assert!(actions.iter().any(newer));
    assert_eq!(r.leader(), None);
}

/// Guards against sending the missing entries once per rejection: late rejections answer messages
/// that were sent before the first rejection arrived.
#[test]
fn stale_rejections_do_not_resend_entries() {
    let mut r = leader(1, &[1; 40]);
    r.step(Time(5_010), message(3, 2, Body::Appended { matched: 41, round: 0 }));
    r.take_actions();
    for _ in 0..5 {
        r.step(Time(5_020), message(2, 2, Body::Rejected { hint: 3, round: 0 }));
    }
    let entry_count = |bodies: Vec<Body>| -> usize {
        let appends = bodies.iter().filter_map(|b| match b {
            Body::Append(a) => Some(a.entries.len()),
            _ => None,
        });
        appends.sum()
    };
    assert_eq!(entry_count(sent_bodies(&mut r)), 0, "only heartbeats until one matches");
    r.step(Time(5_030), message(2, 2, Body::Appended { matched: 3, round: 0 }));
    assert_eq!(entry_count(sent_bodies(&mut r)), 38, "the entries are sent once");
}
